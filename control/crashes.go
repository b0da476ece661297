package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

const (
	// newsDelay is how long changed standings wait to be passed on together. A
	// crash changes one for each request that was in flight.
	newsDelay = 2 * time.Millisecond
	// newsFanout is the number of random peers that a process passes a changed
	// standing on to. With 4, all but about 2 in 100 processes learn of it in
	// this way, in about 6 steps at 2,700 nodes; the exchange reaches the rest.
	newsFanout = 4
	// exchangeInterval is the time between two comparisons with a random peer,
	// which repair lost messages and inform processes that have just started.
	// One that finds no difference takes about 170 bytes, so that they cost 85 of
	// the 2,000 bytes a second that a process may spend on control.
	exchangeInterval = 2 * time.Second
	// answerEntries bounds the entries of one answer, to about 10 KB. A longer
	// table is sent in parts.
	answerEntries = 128
	// reportTries bounds the sends of a report while the keeper is looked for:
	// the three first ranks, and once more after a hint.
	reportTries = 4
)

// ExposureEnded carries what the dispatcher of a local backend server saw of
// suspects and crashes.
type ExposureEnded struct {
	Backend string
	Reports []quarantine.Report
}

// ControlEvent marks ExposureEnded as an event.
func (ExposureEnded) ControlEvent() {}

// CrashLog reports the crash of a local backend server to operators.
type CrashLog struct {
	Backend  string
	InFlight []quarantine.Report
}

// ControlCommand marks CrashLog as a command.
func (CrashLog) ControlCommand() {}

// StandingLog reports a standing that this process decided to operators.
type StandingLog struct {
	Entry quarantine.Entry
}

// ControlCommand marks StandingLog as a command.
func (StandingLog) ControlCommand() {}

// crashesStage holds the standings of the fleet and decides on the fingerprints
// whose shards this process keeps.
type crashesStage struct {
	state    *State
	tracker  *quarantine.Tracker
	random   *rand.Rand
	news     []quarantine.Entry // changes that were not passed on yet
	newsAt   time.Time
	exchange time.Time
}

func newCrashesStage(state *State, random *rand.Rand) *crashesStage {
	return &crashesStage{
		state:    state,
		tracker:  quarantine.NewTracker(),
		random:   random,
		exchange: state.Self.Started,
	}
}

// Name returns "crashes".
func (s *crashesStage) Name() string { return "crashes" }

// Deadline returns when news are due or the next exchange.
func (s *crashesStage) Deadline() time.Time {
	if len(s.news) > 0 && s.newsAt.Before(s.exchange) {
		return s.newsAt
	}
	return s.exchange
}

// Handle takes reports of exits and entries of peers.
func (s *crashesStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case ExposureEnded:
		s.observe(now, e, out)
	case PeerAsked:
		s.answer(now, e, out)
	case PeerReplied:
		s.takeReply(now, e, out)
	case Tick:
		s.tick(now, out)
	}
}

// observe applies the crashes of a local backend server at once, so that they
// are guarded against whether or not a keeper answers. Only the keeper clears
// suspects, since it alone may know of other crashes in the meantime.
func (s *crashesStage) observe(now time.Time, e ExposureEnded, out *Output) {
	var crashed []quarantine.Report
	for _, r := range e.Reports {
		if !r.Completed {
			crashed = append(crashed, r)
			s.decide(now, r, out)
		}
		s.report(now, r, out)
	}
	if len(crashed) > 0 {
		out.Emit(CrashLog{Backend: e.Backend, InFlight: crashed})
	}
}

func (s *crashesStage) decide(now time.Time, r quarantine.Report, out *Output) {
	if entry, ok := s.tracker.OnReport(now, r); ok {
		out.Emit(StandingLog{Entry: entry})
		s.learned(now, []quarantine.Entry{entry}, out)
	}
}

// learned publishes changed standings and queues them for peers.
func (s *crashesStage) learned(now time.Time, changed []quarantine.Entry, out *Output) {
	if len(changed) == 0 {
		return
	}
	if len(s.news) == 0 {
		s.newsAt = now.Add(newsDelay)
	}
	s.news = append(s.news, changed...)
	s.publish(out)
}

func (s *crashesStage) publish(out *Output) {
	s.state.Quarantine = s.tracker.Snapshot()
	out.Publish()
}

// report sends a report to the keeper of its shard.
func (s *crashesStage) report(now time.Time, r quarantine.Report, out *Output) {
	for r.SendAttempts < reportTries {
		target, ok := s.state.Leases.Directory.Target(r.Fingerprint.Shard())
		if !ok {
			return
		}
		r.SendAttempts++
		if target != s.state.Self.ID {
			s.state.call(out, target, r)
			return
		}
		if s.takeAnswer(r, target, s.judge(now, r, out)) {
			return
		}
	}
}

// judge decides on a report if this process keeps the shard.
func (s *crashesStage) judge(now time.Time, r quarantine.Report, out *Output) quarantine.ReportReply {
	shard := r.Fingerprint.Shard()
	if !s.state.Leases.Candidate.Holds(now, shard) {
		return quarantine.ReportReply{KeeperHint: s.state.hint(shard)}
	}
	s.decide(now, r, out)
	return quarantine.ReportReply{Keeper: true}
}

// takeAnswer learns who keeps the shard of a report; false when the report must
// be sent again.
func (s *crashesStage) takeAnswer(r quarantine.Report, peer string, answer quarantine.ReportReply) bool {
	shard := r.Fingerprint.Shard()
	if !answer.Keeper {
		s.state.Leases.Directory.OnMiss(shard, peer, answer.KeeperHint)
		return false
	}
	s.state.Leases.Directory.OnKeeper(shard, peer)
	return true
}

func (s *crashesStage) answer(now time.Time, e PeerAsked, out *Output) {
	switch m := e.Message.(type) {
	case quarantine.Report:
		e.Answer(s.judge(now, m, out))
	case quarantine.Gossip:
		s.learned(now, s.merge(now, m.Entries), out)
		e.Answer(s.compare(now, m))
	}
}

// merge takes in the entries of a peer and returns those that were new.
func (s *crashesStage) merge(now time.Time, entries []quarantine.Entry) []quarantine.Entry {
	var changed []quarantine.Entry
	for _, entry := range entries {
		if next, ok := s.tracker.OnEntry(now, entry); ok {
			changed = append(changed, next)
		}
	}
	return changed
}

// compare returns entries of this process to a peer that holds others.
func (s *crashesStage) compare(now time.Time, m quarantine.Gossip) quarantine.GossipReply {
	if !m.Compare || m.Digest == s.tracker.Digest(now) {
		return quarantine.GossipReply{}
	}
	return quarantine.GossipReply{Entries: s.part(s.tracker.Entries(now))}
}

// part returns at most answerEntries entries from a random place on, and from the
// first one again after the last.
func (s *crashesStage) part(entries []quarantine.Entry) []quarantine.Entry {
	if len(entries) <= answerEntries {
		return entries
	}
	start := s.random.IntN(len(entries))
	return slices.Concat(entries[start:], entries[:start])[:answerEntries]
}

func (s *crashesStage) takeReply(now time.Time, e PeerReplied, out *Output) {
	switch m := e.Message.(type) {
	case quarantine.Report:
		answer, ok := e.Reply.(quarantine.ReportReply)
		if !ok || e.Err != nil {
			answer = quarantine.ReportReply{}
		}
		if !s.takeAnswer(m, e.Peer, answer) {
			s.report(now, m, out)
		}
	case quarantine.Gossip:
		if answer, ok := e.Reply.(quarantine.GossipReply); ok && e.Err == nil {
			s.repair(now, answer.Entries, out)
		}
	}
}

// repair takes in what a peer knew better. It is not passed on: most processes
// have it already, and the others find it in their own exchanges.
func (s *crashesStage) repair(now time.Time, entries []quarantine.Entry, out *Output) {
	if len(s.merge(now, entries)) > 0 {
		s.publish(out)
	}
}

func (s *crashesStage) tick(now time.Time, out *Output) {
	if len(s.news) > 0 && !now.Before(s.newsAt) {
		s.passOn(out)
	}
	if now.Before(s.exchange) {
		return
	}
	s.exchange = now.Add(exchangeInterval)
	if s.tracker.Expire(now) {
		s.publish(out)
	}
	for _, peer := range s.peers(1) {
		s.state.call(out, peer, quarantine.Gossip{Compare: true, Digest: s.tracker.Digest(now)})
	}
}

// passOn sends the changed standings to a few peers, which pass on what is new
// to them. A process thus sends at most newsFanout messages for each batch.
func (s *crashesStage) passOn(out *Output) {
	for _, peer := range s.peers(newsFanout) {
		s.state.call(out, peer, quarantine.Gossip{Entries: s.news})
	}
	s.news = nil
}

// peers returns up to n different random members without this process.
func (s *crashesStage) peers(n int) []string {
	members := s.state.Members
	var peers []string
	for _, i := range s.sample(min(n+1, len(members)), len(members)) {
		if id := members[i].ID; id != s.state.Self.ID && len(peers) < n {
			peers = append(peers, id)
		}
	}
	return peers
}

// sample returns n different numbers below limit.
func (s *crashesStage) sample(n, limit int) []int {
	seen := make(map[int]bool, n)
	picked := make([]int, 0, n)
	for len(picked) < n {
		if i := s.random.IntN(limit); !seen[i] {
			seen[i] = true
			picked = append(picked, i)
		}
	}
	return picked
}
