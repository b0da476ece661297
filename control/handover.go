package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// handoverInterval is the time between two checks for shards that this process
// should hand over. Unanswered offers are repeated at the same interval.
const handoverInterval = 500 * time.Millisecond

// handoverStage transfers shards that this process leads, with all their token
// buckets, to their successors: at a planned stop, and when the host list ranks
// other members before this process. Without a handover, the successor would start
// with empty buckets after the lease has expired.
type handoverStage struct {
	state     *State
	leases    *leasesStage
	leader    *quota.Leader
	nextCheck time.Time
}

// Name returns "handover".
func (s *handoverStage) Name() string { return "handover" }

// Deadline returns the time of the next check.
func (s *handoverStage) Deadline() time.Time { return s.nextCheck }

// Handle offers shards and completes accepted offers.
func (s *handoverStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case Stop:
		s.offerShards(now, s.state.Leases.Candidate.HeldShards(now), out)
	case PeerRequest:
		s.handleRequest(now, e)
	case PeerResponse:
		if accept, ok := e.Reply.(quota.HandoverAccept); ok && e.Err == nil {
			s.complete(now, e.Peer, accept, out)
		}
	case Tick:
		s.tick(now, out)
	}
}

func (s *handoverStage) tick(now time.Time, out *Output) {
	if now.Before(s.nextCheck) {
		return
	}
	s.nextCheck = now.Add(handoverInterval)
	if s.state.Stopping {
		s.offerShards(now, s.state.Leases.Candidate.HeldShards(now), out)
		return
	}
	s.offerShards(now, s.state.Leases.Candidate.DisplacedShards(now), out)
}

func (s *handoverStage) offerShards(now time.Time, shards []uint32, out *Output) {
	for _, shard := range shards {
		successor, ok := s.state.Leases.Candidate.Successor(shard)
		if ok {
			s.state.call(out, successor, quota.HandoverOffer{Shard: shard, From: s.state.Self.ID})
		}
	}
}

func (s *handoverStage) handleRequest(now time.Time, e PeerRequest) {
	switch m := e.Message.(type) {
	case quota.HandoverOffer:
		if !s.state.Stopping {
			e.Respond(s.leader.AcceptHandover(now, m))
		}
	case quota.Handover:
		s.leader.ImportShard(m)
		s.leases.expectHandover(now, m.Shard)
		e.Respond(Ack{})
	}
}

// complete sends the buckets and releases the lease at the same time, so that this
// process grants no tokens after the export.
func (s *handoverStage) complete(now time.Time, successor string, accept quota.HandoverAccept, out *Output) {
	handover, ok := s.leader.ExportShard(now, accept)
	if !ok {
		return
	}
	s.state.call(out, successor, handover)
	s.leases.releaseShard(now, accept.Shard, successor, out)
}
