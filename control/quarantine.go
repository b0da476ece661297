package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

const (
	// gossipDelay is how long changed standings are collected before they are sent in
	// one message. A crash changes one standing for each request in flight.
	gossipDelay = 2 * time.Millisecond
	// gossipFanout is the number of random peers to which a process sends a changed
	// standing. With 4, about 98% of the processes receive it, in about 6 rounds at
	// 2,700 nodes; the digest exchange reaches the rest.
	gossipFanout = 4
	// exchangeInterval is the time between two digest exchanges with a random peer,
	// which make up for lost messages and inform processes that have just started.
	// An exchange without a difference takes about 170 bytes, so exchanges use 85
	// of the 2,000 bytes per second that a process may spend on control.
	exchangeInterval = 2 * time.Second
	// maxReplyEntries is the largest number of entries in a reply, about 10 KB. A
	// longer table is sent in parts.
	maxReplyEntries = 128
	// maxReportAttempts is the largest number of times that a report is sent until
	// it reaches the leader: to the three first ranks, and once more after a hint.
	maxReportAttempts = 4
)

// QuarantineReported carries the reports of the dispatcher of a local backend
// server on crashes and on suspects that completed.
type QuarantineReported struct {
	Backend string
	Reports []quarantine.Report
}

// ControlEvent marks QuarantineReported as an event.
func (QuarantineReported) ControlEvent() {}

// CrashLog is the command to log the crash of a local backend server.
type CrashLog struct {
	Backend  string
	InFlight []quarantine.Report
}

// ControlCommand marks CrashLog as a command.
func (CrashLog) ControlCommand() {}

// StandingLog is the command to log a standing that this process decided.
type StandingLog struct {
	Entry quarantine.Entry
}

// ControlCommand marks StandingLog as a command.
func (StandingLog) ControlCommand() {}

// quarantineStage holds the standings of all fingerprints and decides on those whose
// shards this process leads.
type quarantineStage struct {
	state         *State
	tracker       *quarantine.Tracker
	random        *rand.Rand
	pendingGossip []quarantine.Entry // changed entries that are not sent yet
	gossipAt      time.Time
	exchangeAt    time.Time
}

func newQuarantineStage(state *State, random *rand.Rand) *quarantineStage {
	return &quarantineStage{
		state:      state,
		tracker:    quarantine.NewTracker(),
		random:     random,
		exchangeAt: state.Self.Started,
	}
}

// Name returns "quarantine".
func (s *quarantineStage) Name() string { return "quarantine" }

// Deadline returns when gossip or the next exchange is due.
func (s *quarantineStage) Deadline() time.Time {
	if len(s.pendingGossip) > 0 && s.gossipAt.Before(s.exchangeAt) {
		return s.gossipAt
	}
	return s.exchangeAt
}

// Handle processes crash reports and gossip.
func (s *quarantineStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case QuarantineReported:
		s.observe(now, e, out)
	case PeerRequest:
		s.handleRequest(now, e, out)
	case PeerResponse:
		s.handleResponse(now, e, out)
	case Tick:
		s.tick(now, out)
	}
}

// observe applies the crashes of a local backend server at once, so that their
// fingerprints are isolated even if no leader replies. Only the leader clears
// suspects, since all reports of their crashes are sent to it.
func (s *quarantineStage) observe(now time.Time, e QuarantineReported, out *Output) {
	var crashed []quarantine.Report
	for _, r := range e.Reports {
		if !r.Completed {
			crashed = append(crashed, r)
			s.applyReport(now, r, out)
		}
		s.sendReport(now, r, out)
	}
	if len(crashed) > 0 {
		out.Emit(CrashLog{Backend: e.Backend, InFlight: crashed})
	}
}

func (s *quarantineStage) applyReport(now time.Time, r quarantine.Report, out *Output) {
	if entry, ok := s.tracker.OnReport(now, r); ok {
		out.Emit(StandingLog{Entry: entry})
		s.recordChanges(now, []quarantine.Entry{entry}, out)
	}
}

// recordChanges publishes changed standings and queues them for peers.
func (s *quarantineStage) recordChanges(now time.Time, changed []quarantine.Entry, out *Output) {
	if len(changed) == 0 {
		return
	}
	if len(s.pendingGossip) == 0 {
		s.gossipAt = now.Add(gossipDelay)
	}
	s.pendingGossip = append(s.pendingGossip, changed...)
	s.publish(out)
}

func (s *quarantineStage) publish(out *Output) {
	s.state.Quarantine = s.tracker.Snapshot()
	out.Publish()
}

// sendReport sends a report to the leader of its shard.
func (s *quarantineStage) sendReport(now time.Time, r quarantine.Report, out *Output) {
	for r.SendAttempts < maxReportAttempts {
		target, ok := s.state.Leases.Directory.Target(r.Fingerprint.Shard())
		if !ok {
			return
		}
		r.SendAttempts++
		if target != s.state.Self.ID {
			s.state.call(out, target, r)
			return
		}
		if s.recordReply(r, target, s.handleReport(now, r, out)) {
			return
		}
	}
}

// handleReport applies a report if this process leads the shard.
func (s *quarantineStage) handleReport(now time.Time, r quarantine.Report, out *Output) quarantine.ReportReply {
	shard := r.Fingerprint.Shard()
	if !s.state.Leases.Candidate.Holds(now, shard) {
		return quarantine.ReportReply{LeaderHint: s.state.leaderHint(shard)}
	}
	s.applyReport(now, r, out)
	return quarantine.ReportReply{Leader: true}
}

// recordReply updates the directory from the reply to a report. It reports false if the
// report must be sent again.
func (s *quarantineStage) recordReply(r quarantine.Report, peer string, reply quarantine.ReportReply) bool {
	shard := r.Fingerprint.Shard()
	if !reply.Leader {
		s.state.Leases.Directory.OnMiss(shard, peer, reply.LeaderHint)
		return false
	}
	s.state.Leases.Directory.OnLeader(shard, peer)
	return true
}

func (s *quarantineStage) handleRequest(now time.Time, e PeerRequest, out *Output) {
	switch m := e.Message.(type) {
	case quarantine.Report:
		e.Respond(s.handleReport(now, m, out))
	case quarantine.Gossip:
		s.recordChanges(now, s.merge(now, m.Entries), out)
		e.Respond(s.replyToDigest(now, m))
	}
}

// merge applies the entries of a peer and returns those that changed.
func (s *quarantineStage) merge(now time.Time, entries []quarantine.Entry) []quarantine.Entry {
	var changed []quarantine.Entry
	for _, entry := range entries {
		if next, ok := s.tracker.OnEntry(now, entry); ok {
			changed = append(changed, next)
		}
	}
	return changed
}

// replyToDigest returns entries of this process to a peer with a different digest.
func (s *quarantineStage) replyToDigest(now time.Time, m quarantine.Gossip) quarantine.GossipReply {
	if !m.Compare || m.Digest == s.tracker.Digest(now) {
		return quarantine.GossipReply{}
	}
	return quarantine.GossipReply{Entries: s.limitEntries(s.tracker.Entries(now))}
}

// limitEntries returns at most maxReplyEntries entries, starting at a random index and
// wrapping around.
func (s *quarantineStage) limitEntries(entries []quarantine.Entry) []quarantine.Entry {
	if len(entries) <= maxReplyEntries {
		return entries
	}
	start := s.random.IntN(len(entries))
	return slices.Concat(entries[start:], entries[:start])[:maxReplyEntries]
}

func (s *quarantineStage) handleResponse(now time.Time, e PeerResponse, out *Output) {
	switch m := e.Message.(type) {
	case quarantine.Report:
		reply, ok := e.Reply.(quarantine.ReportReply)
		if !ok || e.Err != nil {
			reply = quarantine.ReportReply{}
		}
		if !s.recordReply(m, e.Peer, reply) {
			s.sendReport(now, m, out)
		}
	case quarantine.Gossip:
		if reply, ok := e.Reply.(quarantine.GossipReply); ok && e.Err == nil {
			s.mergeReply(now, reply.Entries, out)
		}
	}
}

// mergeReply applies the entries of an exchange. They are not sent on: most processes
// have them already, and the others get them in their own exchanges.
func (s *quarantineStage) mergeReply(now time.Time, entries []quarantine.Entry, out *Output) {
	if len(s.merge(now, entries)) > 0 {
		s.publish(out)
	}
}

func (s *quarantineStage) tick(now time.Time, out *Output) {
	if len(s.pendingGossip) > 0 && !now.Before(s.gossipAt) {
		s.sendGossip(out)
	}
	if now.Before(s.exchangeAt) {
		return
	}
	s.exchangeAt = now.Add(exchangeInterval)
	if s.tracker.Expire(now) {
		s.publish(out)
	}
	for _, peer := range s.randomPeers(1) {
		s.state.call(out, peer, quarantine.Gossip{Compare: true, Digest: s.tracker.Digest(now)})
	}
}

// sendGossip sends the changed standings to random peers, which send on those that are
// new to them. A process thus sends at most gossipFanout messages per batch.
func (s *quarantineStage) sendGossip(out *Output) {
	for _, peer := range s.randomPeers(gossipFanout) {
		s.state.call(out, peer, quarantine.Gossip{Entries: s.pendingGossip})
	}
	s.pendingGossip = nil
}

// randomPeers returns up to n distinct random members other than this process.
func (s *quarantineStage) randomPeers(n int) []string {
	members := s.state.Members
	var peers []string
	for _, i := range s.sample(min(n+1, len(members)), len(members)) {
		if id := members[i].ID; id != s.state.Self.ID && len(peers) < n {
			peers = append(peers, id)
		}
	}
	return peers
}

// sample returns n distinct random numbers below limit.
func (s *quarantineStage) sample(n, limit int) []int {
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
