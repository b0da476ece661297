package balance

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/path"
)

const (
	// minCostRatio is the ratio between the cost of the member whose turn it is and
	// that of a random member from which the random member is chosen instead. Load
	// reports are as old as the network delay and latencies vary; if smaller
	// differences counted, all entry proxies would choose the same member. The
	// arrivals of a team would become uneven, and small teams would lose their share
	// under overload.
	minCostRatio = 2
	// remoteCostFactor is the penalty for a member in another zone. It equals
	// minCostRatio, so that a local member is preferred to a remote one of equal
	// cost. The measured latency already includes the network distance.
	remoteCostFactor = minCostRatio
)

// Tiers of members by preference. A tier is used only if all earlier ones are empty.
// Exit proxies refuse work for ejected and leaving backend servers, so these two
// tiers help only if this process has outdated state. Members behind a broken path
// come last, since a request to them may be lost.
const (
	usable = iota
	suspectPath
	ejectedMember
	leavingMember
	brokenPath
	tierCount
)

// Choose returns the index of the member to which the next attempt is sent. Members
// take turns, but another random member is chosen instead if its cost, the expected
// wait, is at most half. Members in exclude are never returned. Members that are
// ejected, leaving or behind a suspect or broken path are chosen only if no better
// tier has a member. ok is false if every member is excluded. r must not be used by
// other goroutines. Choose does not allocate, and its run time does not depend on the
// size of the service.
func Choose(now time.Time, r *rand.Rand, s *Subset, exclude IndexSet) (index int, ok bool) {
	candidates := s.bestTier(now, exclude)
	count := bits.OnesCount32(uint32(candidates))
	switch count {
	case 0:
		return 0, false
	case 1:
		return nthIndex(candidates, 0), true
	}
	first := s.nextRoundRobin(r, count)
	second := r.IntN(count - 1)
	if second >= first {
		second++
	}
	return s.pickBetter(now, nthIndex(candidates, first), nthIndex(candidates, second), candidates), true
}

// nextRoundRobin returns the next index below count in turn. It starts at a random
// index, so that entry proxies do not all choose the same member at the same time.
func (s *Subset) nextRoundRobin(r *rand.Rand, count int) int {
	if s.roundRobin.Load() == 0 {
		s.roundRobin.CompareAndSwap(0, r.Uint32())
	}
	return int(s.roundRobin.Add(1) % uint32(count))
}

// bestTier returns the members of the first tier that is not empty, without those in
// exclude.
func (s *Subset) bestTier(now time.Time, exclude IndexSet) IndexSet {
	var tiers [tierCount]IndexSet
	for i, m := range s.Members {
		if !exclude.Has(i) {
			t := m.tier(now)
			tiers[t] = tiers[t].With(i)
		}
	}
	for _, set := range tiers {
		if set != 0 {
			return set
		}
	}
	return 0
}

func (m *Member) tier(now time.Time) int {
	switch {
	case m.pathState() == path.Broken:
		return brokenPath
	case m.leaving.Load():
		return leavingMember
	case m.isEjected(now):
		return ejectedMember
	case m.pathState() == path.Suspect:
		return suspectPath
	default:
		return usable
	}
}

// pickBetter returns b if the cost of a is at least minCostRatio times that of b,
// otherwise a. The cost of a remote member is multiplied by remoteCostFactor if the
// other one is local, unless all local candidates are saturated.
func (s *Subset) pickBetter(now time.Time, a, b int, candidates IndexSet) int {
	costA, costB := s.Members[a].cost(now), s.Members[b].cost(now)
	if s.localMembers.Has(a) != s.localMembers.Has(b) && !s.localSaturated(now, candidates) {
		if s.localMembers.Has(a) {
			costB *= remoteCostFactor
		} else {
			costA *= remoteCostFactor
		}
	}
	if costB*minCostRatio <= costA {
		return b
	}
	return a
}

// cost returns the expected wait in nanoseconds: the number of requests in flight and
// queued, plus one, times the latency.
func (m *Member) cost(now time.Time) float64 {
	at := m.millisSinceEpoch(now)
	queue, wait := m.reportedLoad(at)
	latency := max(m.latencyNanos(at), float64(wait))
	return float64(m.inFlight.Load()+int64(queue)+1) * latency
}

// localSaturated reports whether every candidate in the local zone has at least as
// many requests as slots. It counts requests of this process in flight and the queue
// that the exit proxy reported.
func (s *Subset) localSaturated(now time.Time, candidates IndexSet) bool {
	for set := candidates & s.localMembers; set != 0; set &= set - 1 {
		m := s.Members[nthIndex(set, 0)]
		queue, _ := m.reportedLoad(m.millisSinceEpoch(now))
		if m.inFlight.Load()+int64(queue) < s.slots {
			return false
		}
	}
	return true
}

// nthIndex returns the n-th lowest index in the set.
func nthIndex(set IndexSet, n int) int {
	for ; n > 0; n-- {
		set &= set - 1
	}
	return bits.TrailingZeros32(uint32(set))
}
