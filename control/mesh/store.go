package mesh

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Calls to the platform's store are limited and priced, so only a few processes,
// the readers, follow it. They tell the others each change at once; the others
// ask one of them twice a second whether their configuration and their list are
// current, and read the store themselves when they differ or no reader answers.
const (
	// minReaders readers are spread over availability zones, so that the loss of
	// a zone leaves some.
	minReaders = 3
	// peersPerReader bounds the asks that a reader answers in a second.
	peersPerReader = 50
	// storeAskInterval is how often a process asks a reader. It is the delay of a
	// change whose message was lost, a quarter of the time in which a server that
	// leaves may still get requests.
	storeAskInterval = 500 * time.Millisecond
	// storeAskRepeat is when another reader is asked because the first has not
	// answered; an answer takes a few milliseconds.
	storeAskRepeat = 80 * time.Millisecond
	// staleList is the time without an answer about the list from which a process
	// reads the list itself: an ask and its repetition had no answer.
	staleList = 700 * time.Millisecond
	// staleConfirm is the age of the last confirmation from which a process reads
	// the configuration itself; keys are trusted for several seconds.
	staleConfirm = 2800 * time.Millisecond
	// freshList and freshConfirm are the ages up to which a reader answers for
	// what it read. A reader that is cut from the store falls silent that way.
	freshList    = 1200 * time.Millisecond
	freshConfirm = 2 * time.Second
	// fetchRepeat is when a configuration is asked for again that did not come: a
	// read takes a few milliseconds, some hundred while the store is slow.
	fetchRepeat = 400 * time.Millisecond
	// ownReadPause is the time between two reads of a process that is no reader.
	ownReadPause = time.Second
	// maxMisses is the number of asks in a row without an answer from which a
	// reader is left out: a single datagram may be lost.
	maxMisses = 2
	// readerAway is how long a reader is left out that did not answer, or that the
	// store did not answer, so that the next in the order takes its place.
	readerAway = 4 * time.Second
)

// Wake asks the followers of the store for a read.
type Wake struct {
	Config  bool
	Servers bool
}

// ControlCommand marks Wake as a command.
func (Wake) ControlCommand() {}

// storeAsk is an ask without an answer.
type storeAsk struct {
	host string
	boot time.Duration
	sent time.Time
}

// storeStage decides which processes read the store and keeps the others current.
type storeStage struct {
	state  *state
	config *configStage
	boot   func() time.Duration // reads the boot clock

	reader    bool
	confirmed time.Duration // boot time at which the store confirmed the configuration
	listRead  time.Time     // when this process last read the list itself
	told      uint64        // version that the others were told
	next      time.Time     // when the next ask is due
	repeat    time.Time     // when the last ask is repeated; zero once it was
	since     time.Time     // when this process became a reader
	sighted   time.Time     // when a blind process may read for others again
	wanted    uint64        // version for which the followers were last woken
	wantedAt  time.Time
	nextID    uint32
	asked     map[uint32]storeAsk
	misses    map[string]int       // asks in a row that a reader did not answer
	away      map[string]time.Time // until when a reader is left out
	turn      int                  // which reader is asked next
	heard     time.Time            // of the last answer about the list
	woken     time.Time            // of the last own read
}

// Name returns "store".
func (s *storeStage) Name() string { return "store" }

// Deadline returns when the next ask is due.
func (s *storeStage) Deadline() time.Time {
	if !s.repeat.IsZero() {
		return s.repeat
	}
	return s.next
}

// Handle reacts to what was read and to messages about it.
func (s *storeStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case TableConfirmed:
		s.confirmed = max(s.confirmed, ev.Boot)
	case TableRead:
		s.tellVersion(now, out)
	case ServersRead:
		if s.listRead.IsZero() {
			s.next = now // the list shows who reads
		}
		s.listRead = now
	case Received:
		s.receive(now, ev, out)
	}
	switch {
	case !now.Before(s.next):
		s.next = now.Add(storeAskInterval)
		s.check(now, out)
	case !s.repeat.IsZero() && !now.Before(s.repeat):
		s.ask(now, s.readers(now), out)
		s.repeat = time.Time{}
	}
}

func (s *storeStage) receive(now time.Time, ev Received, out *control.Output) {
	switch m := ev.Message; {
	case s.state.peers[ev.Host] == nil:
	case m.StoreQuery != nil:
		s.answer(now, ev.Host, m.StoreQuery, out)
	case m.StoreState != nil:
		s.compare(now, m.StoreState, out)
	case m.ConfigVersion != nil:
		if !s.reader {
			s.fetch(now, m.ConfigVersion.Version, out)
		}
	}
}

// check decides anew who reads, and asks a reader unless this process is one.
func (s *storeStage) check(now time.Time, out *control.Output) {
	s.expire(now, out)
	s.lookOut(now, out)
	readers := s.readers(now)
	reader := slices.Contains(readers, s.state.self.Host)
	if reader != s.reader {
		s.reader, s.since = reader, now
		s.state.reading = reader
		out.Publish()
		log(out, "reading of the store decided", map[string]any{"reader": reader, "readers": readers})
		if reader {
			out.Emit(Wake{Config: true, Servers: true})
		}
	}
	if reader {
		s.repeat = time.Time{}
		return
	}
	s.ask(now, readers, out)
	s.readStale(now, out)
}

// lookOut notices that the store does not answer this reader, so that another
// process takes its place.
func (s *storeStage) lookOut(now time.Time, out *control.Output) {
	switch {
	case s.state.blind:
		s.state.blind = now.Before(s.sighted)
	case s.reader && now.Sub(s.since) > freshList && now.Sub(s.listRead) > freshList:
		s.state.blind, s.sighted = true, now.Add(readerAway)
		log(out, "reader gets no answers of the store", map[string]any{"since_ms": now.Sub(s.listRead).Milliseconds()})
	}
}

// expire counts the asks that were not answered.
func (s *storeStage) expire(now time.Time, out *control.Output) {
	for id, a := range s.asked {
		if now.Sub(a.sent) < storeAskRepeat {
			continue
		}
		delete(s.asked, id)
		s.misses[a.host]++
		if s.misses[a.host] >= maxMisses {
			s.misses[a.host] = 0
			s.away[a.host] = now.Add(readerAway)
			log(out, "reader of the store does not answer", map[string]any{"host": a.host})
		}
	}
	for host, until := range s.away {
		if now.After(until) {
			delete(s.away, host)
		}
	}
}

// readers returns the hosts that read the store. Hosts that were listed just now
// are taken for live. There are none before the list was read.
func (s *storeStage) readers(now time.Time) []string {
	if len(s.state.servers) == 0 {
		return nil
	}
	var members []rendezvous.Member
	if !s.state.blind {
		members = append(members, rendezvous.Member{ID: s.state.self.Host, Zone: s.state.self.Zone})
	}
	for host, peer := range s.state.peers {
		if _, away := s.away[host]; away || peer.Blind {
			continue
		}
		if s.state.live(now, peer) || (peer.Heard.IsZero() && now.Sub(peer.Known) < s.state.timeout()) {
			members = append(members, rendezvous.Member{ID: host, Zone: peer.Zone})
		}
	}
	n := max(minReaders, len(members)/peersPerReader)
	var hosts []string
	for _, member := range rendezvous.Rank(rendezvous.Hash("store"), members, n) {
		hosts = append(hosts, member.ID)
	}
	return hosts
}

// ask asks the next reader.
func (s *storeStage) ask(now time.Time, readers []string, out *control.Output) {
	if len(readers) == 0 {
		return
	}
	s.nextID++
	s.turn++
	host := readers[s.turn%len(readers)]
	s.asked[s.nextID] = storeAsk{host: host, boot: s.boot(), sent: now}
	s.repeat = now.Add(storeAskRepeat)
	out.Emit(Send{Hosts: []string{host}, Message: notice.Message{StoreQuery: &notice.StoreQuery{ID: s.nextID}}})
}

// readStale reads the store when no reader has confirmed what this process knows.
func (s *storeStage) readStale(now time.Time, out *control.Output) {
	if now.Sub(s.woken) < ownReadPause {
		return
	}
	wake := Wake{
		Config:  s.boot()-s.confirmed > staleConfirm,
		Servers: now.Sub(s.heard) > staleList,
	}
	if wake.Config || wake.Servers {
		s.woken = now
		log(out, "no reader of the store confirms", map[string]any{"config": wake.Config, "servers": wake.Servers})
		out.Emit(wake)
	}
}

// answer tells what this process last read. Only readers answer: what others were
// told may be older than they know, and so may be what a reader knows that is cut
// from the store.
func (s *storeStage) answer(now time.Time, host string, ask *notice.StoreQuery, out *control.Output) {
	age := max(s.boot()-s.confirmed, 0)
	if s.state.table == nil || !s.reader || age > freshConfirm || now.Sub(s.listRead) > freshList {
		return
	}
	out.Emit(Send{Hosts: []string{host}, Message: notice.Message{StoreState: &notice.StoreState{
		ID: ask.ID, Version: s.version(), AgeMS: uint32(age.Milliseconds()), Digest: s.digest(),
	}}})
}

// compare takes in the state of a reader. Its confirmation counts from the moment
// of the ask, so that a process that paused in between trusts no key for longer.
func (s *storeStage) compare(now time.Time, state *notice.StoreState, out *control.Output) {
	asked, ok := s.asked[state.ID]
	if !ok {
		return
	}
	delete(s.asked, state.ID)
	s.repeat, s.misses[asked.host] = time.Time{}, 0
	switch {
	case state.Version > s.version():
		s.fetch(now, state.Version, out)
	case s.state.table != nil:
		boot := asked.boot - time.Duration(state.AgeMS+1)*time.Millisecond
		s.confirmed = max(s.confirmed, boot)
		s.config.confirm(boot)
	}
	s.heard = now
	if state.Digest != s.digest() {
		log(out, "list of backend servers differs from a reader's", nil)
		out.Emit(Wake{Servers: true})
	}
}

// fetch asks the followers for a configuration, once for each version: several
// readers tell the same.
func (s *storeStage) fetch(now time.Time, version uint64, out *control.Output) {
	if version <= s.version() || (version <= s.wanted && now.Sub(s.wantedAt) < fetchRepeat) {
		return
	}
	s.wanted, s.wantedAt = version, now
	out.Emit(Wake{Config: true})
}

func (s *storeStage) version() uint64 {
	if s.state.table == nil {
		return 0
	}
	return s.state.table.Version()
}

// tellVersion tells the others that there is a newer configuration.
func (s *storeStage) tellVersion(now time.Time, out *control.Output) {
	if !s.reader || s.version() <= s.told {
		return
	}
	s.told = s.version()
	s.state.tell(now, notice.Message{ConfigVersion: &notice.ConfigVersion{Version: s.told}}, urgentCopies, out)
}

// digest identifies the list of backend servers.
func (s *storeStage) digest() uint64 {
	var sum uint64
	for _, server := range s.state.servers {
		if !server.missing.IsZero() {
			continue
		}
		var digest xxhash.Digest
		digest.Reset()
		for _, field := range []string{server.ID, server.Addr, server.Service} {
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
		if server.Draining {
			_, _ = digest.Write([]byte{1})
		}
		sum += digest.Sum64() // independent of the order
	}
	return sum
}
