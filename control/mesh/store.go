package mesh

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Calls to the platform's store are rate limited and billed, so only a few processes,
// the store readers, watch it. They broadcast each change at once. Every other process
// queries one of them twice a second to check that its configuration and its list are
// current, and reads the store itself when they differ or no reader answers. A new
// configuration is read by a few processes in each availability zone, from which the
// others fetch it (configsources.go).
const (
	// minStoreReaders is the minimum number of readers. They are spread over the
	// availability zones, so that the loss of a zone leaves some.
	minStoreReaders = 3
	// peersPerStoreReader limits the queries that a reader answers per second.
	peersPerStoreReader = 50
	// storeQueryInterval is how often a process queries a reader. It bounds the
	// delay of a change whose broadcast was lost, and is a quarter of the time in
	// which a removed server may still receive requests.
	storeQueryInterval = 500 * time.Millisecond
	// storeQueryRetryDelay is how long a process waits for an answer before it
	// queries another reader; an answer takes a few milliseconds.
	storeQueryRetryDelay = 80 * time.Millisecond
	// firstStartDelay is when a process first reads the list if the whole fleet starts for
	// the first time. A list without most servers, which register meanwhile, would make
	// most processes readers.
	firstStartDelay = 1200 * time.Millisecond
	// firstQueryInterval is how often a process queries the readers until one has
	// answered for the first time, and firstAnswerTimeout is when it reads the store
	// instead: readers do not answer a host that they do not know yet.
	firstQueryInterval = 150 * time.Millisecond
	firstAnswerTimeout = 500 * time.Millisecond
	// maxListAge is the time without an answer about the list after which a
	// process reads the list itself: a query and its retry were not answered.
	maxListAge = 700 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation above which a process
	// reads the configuration itself; keys are trusted for several seconds.
	maxConfirmationAge = 2800 * time.Millisecond
	// maxReaderListAge and maxReaderConfirmationAge are the maximum ages of a
	// reader's own data at which it answers queries. A reader without a connection
	// to the store therefore stops answering.
	maxReaderListAge         = 1200 * time.Millisecond
	maxReaderConfirmationAge = 2 * time.Second
	// readerCheckInterval is how often a reader checks whether the store answers it. It
	// adds to maxReaderListAge before another process replaces the reader.
	readerCheckInterval = 250 * time.Millisecond
	// configRetryDelay is when the read of a configuration that did not arrive is
	// requested again. A read takes a few milliseconds, and some hundred while the
	// store is slow.
	configRetryDelay = 400 * time.Millisecond
	// minOwnReadInterval is the minimum time between two reads of the store by a
	// process that is not a reader.
	minOwnReadInterval = time.Second
	// maxMissedAnswers is the number of consecutive unanswered queries after which
	// a reader is excluded; one is not enough, since a datagram may be lost.
	maxMissedAnswers = 2
	// readerExclusionTime is how long a reader is excluded that did not answer, or
	// that got no answers from the store; the next host by rank replaces it.
	readerExclusionTime = 4 * time.Second
)

// ReadStore is a command to read the configuration or the list from the store.
type ReadStore struct {
	Config  bool
	Servers bool
	Stale   bool // a copy that may be some seconds old suffices; it costs less
}

// ControlCommand marks ReadStore as a command.
func (ReadStore) ControlCommand() {}

// storeQuery is a query to a reader that has not been answered yet.
type storeQuery struct {
	host     string
	bootTime time.Duration
	sentAt   time.Time
}

// storeStage chooses the store readers. It answers queries if this process is one,
// and otherwise keeps its data current by querying them.
type storeStage struct {
	state     *state
	config    *configStage
	servers   *serversStage
	bootClock func() time.Duration
	// firstStart delays the first read of the list.
	firstStart bool

	isReader         bool
	listReadAt       time.Time // when this process last read the list from the store
	listKnownAt      time.Time // when this process last got the list, also from a peer or an old copy
	readersKnownAt   time.Time // when this process first knew a list with servers
	announcedVersion uint64    // last configuration version that was broadcast
	nextQueryAt      time.Time
	retryQueryAt     time.Time // when the last query is retried; zero if it was answered or retried
	readerSince      time.Time // when this process became a reader
	storeRetryAt     time.Time // when a process with an unreachable store may be a reader again
	requestedVersion uint64    // last configuration version for which a read was requested
	requestedAt      time.Time
	nextID           uint32
	pending          map[uint32]storeQuery
	missedAnswers    map[string]int       // consecutive unanswered queries by reader
	excludedUntil    map[string]time.Time // end of the exclusion by reader
	queryCount       int                  // rotates the queries over the readers
	lastAnswerAt     time.Time            // last answer of a reader
	ownListReadAt    time.Time            // last read of the list requested by readStoreIfStale
	ownConfigReadAt  time.Time            // last read of the configuration requested by it
	awaitedVersion   uint64               // version of the configuration that a source is expected to offer
	awaitedUntil     time.Time            // when it is read from the store instead; zero while none is awaited
	fetchedVersion   uint64               // last version whose fetch from a source was requested
	noConfigAt       time.Time            // when a reader last answered that the store has no configuration
	named            namedVersion         // newest configuration that a peer named
}

// Name returns "store".
func (s *storeStage) Name() string { return "store" }

// Deadline returns when the next query or retry is due.
func (s *storeStage) Deadline() time.Time {
	next := s.nextQueryAt
	if !s.retryQueryAt.IsZero() {
		next = s.retryQueryAt
	}
	if !s.awaitedUntil.IsZero() && s.awaitedUntil.Before(next) {
		next = s.awaitedUntil
	}
	return next
}

// Handle processes reads of the store and messages of readers, and sends queries
// that are due.
func (s *storeStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case TableRead:
		s.announceVersion(now, out)
		if s.config.confirmedAt == 0 {
			s.nextQueryAt = now // a peer's copy is of no use for keys until a reader confirms it
		}
		if ev.Table.Version() < s.requestedVersion {
			s.named.fetchAt = now // the store has an older one
		}
	case ConfigNotFetched:
		if !s.isReader {
			s.readConfig(now, ev.Version, out)
		}
	case ServersNotFetched:
		out.Emit(ReadStore{Servers: true})
	case ServerListRead:
		if ev.Era < s.state.listPosition.Era {
			break
		}
		if s.readersKnownAt.IsZero() && len(s.state.servers) > 0 {
			s.readersKnownAt, s.nextQueryAt = now, now // the list determines the readers
		}
		s.listKnownAt = now
		if ev.Source == FromStore {
			s.listReadAt = now
		}
	case MessageReceived:
		s.receive(now, ev, out)
	}
	s.stopAwaiting(now, out)
	s.fetchNamed(now, out)
	switch {
	case !now.Before(s.nextQueryAt):
		s.nextQueryAt = now.Add(s.queryInterval())
		s.updateReader(now, out)
	case !s.retryQueryAt.IsZero() && !now.Before(s.retryQueryAt):
		s.queryReader(now, s.chooseReaders(now), out)
		s.retryQueryAt = time.Time{}
	}
}

// queryInterval returns the time until the next query, or for a reader until it checks
// again whether the store answers it.
func (s *storeStage) queryInterval() time.Duration {
	switch {
	case s.isReader:
		return readerCheckInterval
	case s.lastAnswerAt.IsZero() && !s.readersKnownAt.IsZero():
		return firstQueryInterval
	}
	return storeQueryInterval
}

func (s *storeStage) receive(now time.Time, ev MessageReceived, out *control.Output) {
	switch m := ev.Message; {
	case s.state.peers[ev.Host] == nil:
	case m.StoreQuery != nil:
		s.answerQuery(now, ev.Host, m.StoreQuery, out)
	case m.StoreState != nil:
		s.handleAnswer(now, m.Era, m.StoreState, out)
	case m.ConfigVersion != nil:
		s.noteVersion(now, ev.Host, m.ConfigVersion.Version)
		if !s.isReader {
			s.handleOffer(now, ev.Host, m.ConfigVersion.Version, out)
		}
		if s.isReader || slices.Contains(s.configSources(now), s.state.identity.Host) {
			s.correctVersion(ev.Host, m.ConfigVersion.Version, out)
		}
	}
}

// updateReader decides again whether this process is a reader, and queries a reader
// if it is not.
func (s *storeStage) updateReader(now time.Time, out *control.Output) {
	s.expireQueries(now, out)
	s.checkStoreReachable(now, out)
	readers := s.chooseReaders(now)
	reader := slices.Contains(readers, s.state.identity.Host)
	if reader != s.isReader {
		s.isReader, s.readerSince = reader, now
		s.state.storeReader = reader
		out.Publish()
		emitLog(out, "store reader role changed", map[string]any{"reader": reader, "readers": readers})
		if reader {
			out.Emit(ReadStore{Config: true, Servers: true})
		}
	}
	if reader {
		s.retryQueryAt = time.Time{}
		return
	}
	s.queryReader(now, readers, out)
	s.readStoreIfStale(now, out)
}

// checkStoreReachable detects that this reader gets no answers from the store, so
// that another process replaces it.
func (s *storeStage) checkStoreReachable(now time.Time, out *control.Output) {
	switch {
	case s.state.storeUnreachable:
		s.state.storeUnreachable = now.Before(s.storeRetryAt)
	case s.isReader && now.Sub(s.readerSince) > maxReaderListAge && now.Sub(s.listReadAt) > maxReaderListAge:
		s.state.storeUnreachable, s.storeRetryAt = true, now.Add(readerExclusionTime)
		emitLog(out, "store reader gets no answers from the store", map[string]any{"since_ms": now.Sub(s.listReadAt).Milliseconds()})
	}
}

// expireQueries counts unanswered queries and excludes readers that missed too many.
func (s *storeStage) expireQueries(now time.Time, out *control.Output) {
	for id, query := range s.pending {
		if now.Sub(query.sentAt) < storeQueryRetryDelay {
			continue
		}
		delete(s.pending, id)
		if s.lastAnswerAt.IsZero() {
			continue // the readers of a fleet that starts are not ready yet
		}
		s.missedAnswers[query.host]++
		if s.missedAnswers[query.host] >= maxMissedAnswers {
			s.missedAnswers[query.host] = 0
			s.excludedUntil[query.host] = now.Add(readerExclusionTime)
			emitLog(out, "store reader does not answer queries", map[string]any{"host": query.host})
		}
	}
	for host, until := range s.excludedUntil {
		if now.After(until) {
			delete(s.excludedUntil, host)
		}
	}
}

// chooseReaders returns the hosts that are store readers. Hosts that became peers
// within the peer timeout count as alive before they are heard. There are no readers
// before the list has been read.
func (s *storeStage) chooseReaders(now time.Time) []string {
	if len(s.state.servers) == 0 {
		return nil
	}
	var members []rendezvous.Member
	if !s.state.storeUnreachable {
		members = append(members, rendezvous.Member{ID: s.state.identity.Host, Zone: s.state.identity.Zone})
	}
	for host, peer := range s.state.peers {
		if _, excluded := s.excludedUntil[host]; excluded || peer.StoreUnreachable {
			continue
		}
		if s.state.isAlive(now, peer) || (peer.HeardAt.IsZero() && now.Sub(peer.KnownSince) < s.state.scaledPeerTimeout()) {
			members = append(members, rendezvous.Member{ID: host, Zone: peer.Zone})
		}
	}
	n := max(minStoreReaders, len(members)/peersPerStoreReader)
	var hosts []string
	for _, member := range rendezvous.Rank(rendezvous.Hash("store"), members, n) {
		hosts = append(hosts, member.ID)
	}
	return hosts
}

// queryReader sends a query to the next reader in rotation.
func (s *storeStage) queryReader(now time.Time, readers []string, out *control.Output) {
	if len(readers) == 0 {
		return
	}
	s.nextID++
	s.queryCount++
	host := readers[s.queryCount%len(readers)]
	s.pending[s.nextID] = storeQuery{host: host, bootTime: s.bootClock(), sentAt: now}
	s.retryQueryAt = now.Add(storeQueryRetryDelay)
	out.Emit(SendMessage{Hosts: []string{host}, Message: notice.Message{StoreQuery: &notice.StoreQuery{ID: s.nextID}}})
}

// readStoreIfStale reads the store if no reader has confirmed the data of this
// process recently. Until it knows the list, and thereby the readers, an old copy of the
// list will do: it is not used for traffic before a reader or the store has confirmed it.
func (s *storeStage) readStoreIfStale(now time.Time, out *control.Output) {
	if len(s.state.servers) == 0 {
		registering := s.firstStart && now.Sub(s.state.identity.StartedAt) < firstStartDelay
		if !registering && now.Sub(s.ownListReadAt) >= minOwnReadInterval {
			s.ownListReadAt = now
			out.Emit(ReadStore{Servers: true, Stale: !s.state.listConfirmed})
		}
		return
	}
	maxConfigAge, maxAge := maxConfirmationAge, maxListAge
	if s.lastAnswerAt.IsZero() {
		maxConfigAge, maxAge = maxListAge, firstAnswerTimeout // peers may not know this host yet, and then announce nothing to it
	}
	read := ReadStore{
		Config: s.bootClock()-s.config.confirmedAt > maxConfigAge && now.Sub(latest(s.noConfigAt, s.readersKnownAt)) > maxAge &&
			now.Sub(s.ownConfigReadAt) >= minOwnReadInterval,
		Servers: now.Sub(latest(s.lastAnswerAt, s.listKnownAt)) > maxAge && now.Sub(s.ownListReadAt) >= minOwnReadInterval,
	}
	if s.state.evacuationsFollowed && now.Sub(s.ownConfigReadAt) >= minOwnReadInterval {
		unknown := s.state.evacuations == nil && now.Sub(s.readersKnownAt) > firstAnswerTimeout
		read.Config = read.Config || read.Servers || unknown // evacuations are read with the configuration
	}
	if read.Config {
		s.ownConfigReadAt = now
	}
	if read.Servers {
		s.ownListReadAt = now
	}
	if read.Config || read.Servers {
		emitLog(out, "no store reader confirmed the current state, reading the store", map[string]any{"config": read.Config, "servers": read.Servers})
		out.Emit(read)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// answerQuery sends the state that this process last read from the store. Only readers
// with recent data answer: the data of other processes, and of a reader without a
// connection to the store, may be outdated without their knowing. Version 0 says that the
// store has no configuration. After the store came back from a copy, the version is named
// before the store confirms it again.
func (s *storeStage) answerQuery(now time.Time, host string, query *notice.StoreQuery, out *control.Output) {
	age := max(s.bootClock()-s.config.confirmedAt, 0)
	if !s.isReader || s.state.listIncomplete || now.Sub(s.listReadAt) > maxReaderListAge {
		return
	}
	answer := notice.StoreState{ID: query.ID, Digest: s.digest()}
	if s.state.table != nil {
		if age > maxReaderConfirmationAge && !s.config.settling(now) {
			return
		}
		answer.Version, answer.AgeMS = s.version(), uint32(age.Milliseconds())
	}
	message := withEvacuations(notice.Message{StoreState: &answer, Era: s.state.listPosition.Era}, s.state.evacuations)
	out.Emit(SendMessage{Hosts: []string{host}, Message: message})
}

// handleAnswer compares the state of a reader with that of this process. The
// confirmation counts from when the query was sent, so that a pause of the process
// before it handles the answer does not extend the trust in keys. The list of a reader that
// is still in an earlier era is not compared.
func (s *storeStage) handleAnswer(now time.Time, era uint64, state *notice.StoreState, out *control.Output) {
	query, ok := s.pending[state.ID]
	if !ok {
		return
	}
	delete(s.pending, state.ID)
	s.retryQueryAt, s.missedAnswers[query.host] = time.Time{}, 0
	s.noteVersion(now, query.host, state.Version)
	s.correctVersion(query.host, state.Version, out)
	switch {
	case state.Version == 0:
		s.noConfigAt = now
	case state.Version > s.version():
		s.handleMissedOffer(now, state.Version, out)
	default:
		confirmedAt := query.bootTime - time.Duration(state.AgeMS+1)*time.Millisecond
		s.config.confirm(confirmedAt)
	}
	s.lastAnswerAt = now
	if era >= s.state.listPosition.Era {
		s.servers.readerAnswered(now, query.sentAt.Add(-maxReaderListAge), out)
	}
	switch {
	case era < s.state.listPosition.Era:
	case state.Digest != s.digest():
		emitLog(out, "list of backend servers differs from that of a store reader", map[string]any{"host": query.host})
		out.Emit(FetchServers{Host: query.host})
	default:
		s.servers.confirmList(now, era, out)
	}
}

// readConfig requests a read of the configuration from the store, once per version
// within configRetryDelay: several readers announce the same version.
func (s *storeStage) readConfig(now time.Time, version uint64, out *control.Output) {
	if version <= s.version() || (version <= s.requestedVersion && now.Sub(s.requestedAt) < configRetryDelay) {
		return
	}
	s.requestedVersion, s.requestedAt = version, now
	out.Emit(ReadStore{Config: true})
}

func (s *storeStage) version() uint64 {
	if s.state.table == nil {
		return 0
	}
	return s.state.table.Version()
}

// announceVersion announces the version of a newer configuration: a reader to all peers,
// and a source, which read it because a reader had announced it, to those of its
// availability zone.
func (s *storeStage) announceVersion(now time.Time, out *control.Output) {
	if s.version() <= s.announcedVersion {
		return
	}
	message := notice.Message{ConfigVersion: &notice.ConfigVersion{Version: s.version()}}
	switch {
	case s.isReader:
		s.announcedVersion = s.version()
		s.state.broadcast(now, message, urgentRelaysPerZone, out)
	case slices.Contains(s.configSources(now), s.state.identity.Host):
		s.announcedVersion = s.version()
		sendTo(out, s.state.hostsByZone[s.state.identity.Zone], message)
	}
}

// digest returns a hash of the list of backend servers.
func (s *storeStage) digest() uint64 {
	var sum uint64
	for _, server := range s.state.servers {
		if !server.missingSince.IsZero() {
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
