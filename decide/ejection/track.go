package ejection

import (
	"math"
	"time"
)

const (
	// intervalsKept covers windowAge at the shortest interval.
	intervalsKept = 100
	// memory is the time after which the weight of a call in the picture of
	// the siblings has fallen to 1/e. It must outlast MaxQuiet.
	memory = 15 * time.Second
	// referenceCalls is the weight of timed calls from which a server is part
	// of the reference of its siblings.
	referenceCalls = 10
)

// tally counts calls.
type tally struct {
	count    uint32
	failures uint32
	timed    uint32
	slow     uint32 // at least SlowFactor times the siblings' median
	ranks    uint32 // sum of the ranks among the siblings' calls, see rankShares
}

func (t *tally) add(o tally) {
	t.count += o.count
	t.failures += o.failures
	t.timed += o.timed
	t.slow += o.slow
	t.ranks += o.ranks
}

// addSketch counts the calls of a sketch.
func (t *tally) addSketch(s Sketch, lim limits) {
	s.each(func(bucket int, n uint32) {
		t.timed += n
		rank := lim.rank(bucket)
		t.ranks += rank * n
		if rank > 0 {
			t.slow += n
		}
	})
}

// interval is what one report says.
type interval struct {
	at      time.Time // receipt
	ended   tally
	running tally // calls in progress at the end of the interval
}

// failing and slowing tell whether the interval speaks against the server.
func (i *interval) failing() bool { return i.ended.failures > 0 }

func (i *interval) slowing() bool {
	slow := i.ended.slow + i.running.slow
	return slow > 0 && 2*slow >= i.ended.timed+i.running.timed
}

// history holds the last intervals of one class, or of all together.
type history struct {
	ring [intervalsKept]interval
	next int
	used int
}

func (h *history) push(in interval) {
	h.ring[h.next] = in
	h.next = (h.next + 1) % intervalsKept
	h.used = min(h.used+1, intervalsKept)
}

// back returns the interval that was received k before the newest.
func (h *history) back(k int) *interval {
	return &h.ring[(h.next-1-k+2*intervalsKept)%intervalsKept]
}

func (h *history) forget() {
	h.next, h.used = 0, 0
}

// total sums up the intervals since forget.
func (h *history) total() tally {
	var sum tally
	for k := range h.used {
		sum.add(h.back(k).ended)
	}
	return sum
}

// track is what a judge knows about the calls of one class on one server.
type track struct {
	history

	// Decayed counts, the server's part of the reference of its siblings.
	decayed  time.Time
	count    float64
	failures float64
	timed    float64
	latency  [Buckets]float64
	levels   limits // buckets of the quantiles of rankShares
}

// add takes in one summary and returns its interval.
func (t *track) add(now time.Time, c ClassReport, lim limits) interval {
	in := interval{at: now}
	in.ended.count, in.ended.failures = c.Count, min(c.Failures, c.Count)
	in.ended.addSketch(c.Latency, lim)
	in.running.addSketch(c.Running, lim)
	t.push(in)
	t.remember(now, in.ended, c.Latency)
	return in
}

func (t *track) remember(now time.Time, ended tally, latency Sketch) {
	t.decay(now)
	t.count += float64(ended.count)
	t.failures += float64(ended.failures)
	t.timed += float64(ended.timed)
	latency.each(func(bucket int, n uint32) { t.latency[bucket] += float64(n) })
	t.levels = t.quantiles()
}

func (t *track) decay(now time.Time) {
	factor := math.Exp(-now.Sub(t.decayed).Seconds() / memory.Seconds())
	t.decayed = now
	t.count *= factor
	t.failures *= factor
	t.timed *= factor
	for i := range t.latency {
		t.latency[i] *= factor
	}
}

// quantiles returns the buckets that hold the quantiles of rankShares.
func (t *track) quantiles() limits {
	var levels limits
	var below float64
	rank := 0
	for i, n := range t.latency {
		below += n
		for rank < len(levels) && t.timed-below <= t.timed*tailShares[rank] {
			levels[rank] = i
			rank++
		}
	}
	return levels
}
