package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// handoverTick is how often shards that this process should no longer keep are
// looked for, and how long an offer may stay unanswered before it is repeated.
const handoverTick = 500 * time.Millisecond

// handoverStage passes kept shards on to their successors with all their
// buckets: at a planned stop, and when the host list ranks others before this
// process. Without it a successor would start with an empty bucket after the
// lease has lapsed.
type handoverStage struct {
	state  *State
	leases *leasesStage
	keeper *quota.Keeper
	next   time.Time
}

// Name returns "handover".
func (s *handoverStage) Name() string { return "handover" }

// Deadline returns the time of the next look.
func (s *handoverStage) Deadline() time.Time { return s.next }

// Handle offers shards and completes accepted offers.
func (s *handoverStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case Stop:
		s.offer(now, s.state.Leases.Candidate.HeldShards(now), out)
	case PeerAsked:
		s.answer(now, e)
	case PeerReplied:
		if accept, ok := e.Reply.(quota.HandoverAccept); ok && e.Err == nil {
			s.complete(now, e.Peer, accept, out)
		}
	case Tick:
		s.tick(now, out)
	}
}

func (s *handoverStage) tick(now time.Time, out *Output) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(handoverTick)
	if s.state.Stopping {
		s.offer(now, s.state.Leases.Candidate.HeldShards(now), out)
		return
	}
	s.offer(now, s.state.Leases.Candidate.DisplacedShards(now), out)
}

func (s *handoverStage) offer(now time.Time, shards []uint32, out *Output) {
	for _, shard := range shards {
		successor, ok := s.state.Leases.Candidate.Successor(shard)
		if ok {
			s.state.call(out, successor, quota.HandoverOffer{Shard: shard, From: s.state.Self.ID})
		}
	}
}

func (s *handoverStage) answer(now time.Time, e PeerAsked) {
	switch m := e.Message.(type) {
	case quota.HandoverOffer:
		if !s.state.Stopping {
			e.Answer(s.keeper.AcceptHandover(now, m))
		}
	case quota.Handover:
		s.keeper.ImportShard(m)
		s.leases.invite(now, m.Shard)
		e.Answer(Ack{})
	}
}

// complete sends the buckets and gives up the lease at the same moment, so that
// nothing is granted after the state was taken.
func (s *handoverStage) complete(now time.Time, successor string, accept quota.HandoverAccept, out *Output) {
	handover, ok := s.keeper.ExportShard(now, accept)
	if !ok {
		return
	}
	s.state.call(out, successor, handover)
	s.leases.release(now, accept.Shard, successor, out)
}
