package balance

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/path"
)

const (
	// significant is by how much the expected wait of the random member must be
	// lower than that of the member whose turn it is. Reports are up to one
	// network distance old and latencies vary; following smaller differences
	// sends all entries to the same member and makes the arrivals of a team
	// uneven, which costs small teams their share under overload.
	significant = 2
	// remoteFactor is the penalty for leaving the zone. It equals significant, so
	// that a local member is taken over an equal remote one. Measured latency
	// already contains the distance.
	remoteFactor = significant
)

// The tiers in which members are used; a later tier only when all earlier ones
// are empty. Exits refuse work for ejected and leaving backend servers, so these
// two serve only when this process is wrong about them. A broken path comes last,
// since a request on it may be lost.
const (
	usable = iota
	suspectPath
	ejectedMember
	leavingMember
	brokenPath
	tierCount
)

// Choose returns the index of the member that the next attempt goes to. Members
// take turns; a random other member is taken instead when its expected wait is
// lower by at least half. It never returns a member of exclude. Members that are
// ejected, leaving or behind a suspect or broken path are chosen only when nothing
// better is left. ok is false when every member is excluded. r belongs to the
// calling goroutine. Choose allocates nothing and its cost does not depend on the
// size of the service.
func Choose(now time.Time, r *rand.Rand, s *Subset, exclude Set) (index int, ok bool) {
	candidates := s.best(now, exclude)
	count := bits.OnesCount32(uint32(candidates))
	switch count {
	case 0:
		return 0, false
	case 1:
		return nth(candidates, 0), true
	}
	first := s.nextTurn(r, count)
	second := r.IntN(count - 1)
	if second >= first {
		second++
	}
	return s.better(now, nth(candidates, first), nth(candidates, second), candidates), true
}

// nextTurn rotates over the candidates from a random start, so that the entries
// do not move in step.
func (s *Subset) nextTurn(r *rand.Rand, count int) int {
	if s.turn.Load() == 0 {
		s.turn.CompareAndSwap(0, r.Uint32())
	}
	return int(s.turn.Add(1) % uint32(count))
}

// best returns the members of the first tier that is not empty.
func (s *Subset) best(now time.Time, exclude Set) Set {
	var tiers [tierCount]Set
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

// better returns b when it is significantly better than a.
func (s *Subset) better(now time.Time, a, b int, candidates Set) int {
	costA, costB := s.Members[a].cost(now), s.Members[b].cost(now)
	if s.local.Has(a) != s.local.Has(b) && !s.localLoaded(now, candidates) {
		if s.local.Has(a) {
			costB *= remoteFactor
		} else {
			costA *= remoteFactor
		}
	}
	if costB*significant <= costA {
		return b
	}
	return a
}

// cost is the expected wait in nanoseconds.
func (m *Member) cost(now time.Time) float64 {
	at := m.millis(now)
	queue, wait := m.load(at)
	latency := max(m.latencyNanos(at), float64(wait))
	return float64(m.inFlight.Load()+int64(queue)+1) * latency
}

// localLoaded tells whether every local candidate has as many requests of this
// process in flight or queued as it has slots.
func (s *Subset) localLoaded(now time.Time, candidates Set) bool {
	for set := candidates & s.local; set != 0; set &= set - 1 {
		m := s.Members[nth(set, 0)]
		queue, _ := m.load(m.millis(now))
		if m.inFlight.Load()+int64(queue) < s.slots {
			return false
		}
	}
	return true
}

// nth returns the n-th lowest index in the set.
func nth(set Set, n int) int {
	for ; n > 0; n-- {
		set &= set - 1
	}
	return bits.TrailingZeros32(uint32(set))
}
