package ejection

import (
	"math"
	"time"
)

const (
	// maxIntervals covers maxWindowAge at the shortest interval.
	maxIntervals = 100
	// referenceTimeConstant is the time after which the weight of a call in the
	// reference has dropped to 1/e. It must be longer than MaxReportGap.
	referenceTimeConstant = 15 * time.Second
	// minReferenceCalls is the decayed number of timed calls from which a server
	// contributes to the reference.
	minReferenceCalls = 10
)

// callCounts are counts of calls by result.
type callCounts struct {
	count    uint32
	failures uint32
	timed    uint32 // calls with a latency sample
	slow     uint32 // at least SlowFactor times the siblings' median
	rankSum  uint32 // sum of the ranks of the timed calls, see rankTailShares
}

func (t *callCounts) add(o callCounts) {
	t.count += o.count
	t.failures += o.failures
	t.timed += o.timed
	t.slow += o.slow
	t.rankSum += o.rankSum
}

// addSketch adds the calls of a latency sketch.
func (t *callCounts) addSketch(s Sketch, thresholds rankThresholds) {
	s.forEach(func(bucket int, n uint32) {
		t.timed += n
		rank := thresholds.rankOf(bucket)
		t.rankSum += rank * n
		if rank > 0 {
			t.slow += n
		}
	})
}

// interval holds the calls of one report interval.
type interval struct {
	received time.Time // receipt time of the report
	ended    callCounts
	inFlight callCounts // calls in progress at the end of the interval
}

func (i *interval) hasFailures() bool { return i.ended.failures > 0 }

func (i *interval) isMostlySlow() bool {
	slow := i.ended.slow + i.inFlight.slow
	return slow > 0 && 2*slow >= i.ended.timed+i.inFlight.timed
}

// intervalHistory is a ring buffer of the last intervals of one class, or of all
// classes together.
type intervalHistory struct {
	ring [maxIntervals]interval
	next int
	used int
}

func (h *intervalHistory) push(in interval) {
	h.ring[h.next] = in
	h.next = (h.next + 1) % maxIntervals
	h.used = min(h.used+1, maxIntervals)
}

// fromNewest returns the k-th interval before the newest.
func (h *intervalHistory) fromNewest(k int) *interval {
	return &h.ring[(h.next-1-k+2*maxIntervals)%maxIntervals]
}

func (h *intervalHistory) reset() {
	h.next, h.used = 0, 0
}

// total returns the sum of the finished calls since the last reset.
func (h *intervalHistory) total() callCounts {
	var sum callCounts
	for k := range h.used {
		sum.add(h.fromNewest(k).ended)
	}
	return sum
}

// classStats holds the calls of one class on one server.
type classStats struct {
	intervalHistory

	// Exponentially decayed counts, the server's contribution to the reference.
	decayedAt       time.Time
	count           float64
	failures        float64
	timed           float64
	latency         [NumBuckets]float64
	quantileBuckets rankThresholds // see computeQuantiles
}

// add records the calls of one class report and returns its interval.
func (t *classStats) add(now time.Time, c ClassReport, thresholds rankThresholds) interval {
	in := interval{received: now}
	in.ended.count, in.ended.failures = c.Count, min(c.Failures, c.Count)
	in.ended.addSketch(c.Latency, thresholds)
	in.inFlight.addSketch(c.Overdue, thresholds)
	t.push(in)
	t.updateDecayed(now, in.ended, c.Latency)
	return in
}

func (t *classStats) updateDecayed(now time.Time, ended callCounts, latency Sketch) {
	t.decay(now)
	t.count += float64(ended.count)
	t.failures += float64(ended.failures)
	t.timed += float64(ended.timed)
	latency.forEach(func(bucket int, n uint32) { t.latency[bucket] += float64(n) })
	t.quantileBuckets = t.computeQuantiles()
}

func (t *classStats) decay(now time.Time) {
	factor := math.Exp(-now.Sub(t.decayedAt).Seconds() / referenceTimeConstant.Seconds())
	t.decayedAt = now
	t.count *= factor
	t.failures *= factor
	t.timed *= factor
	for i := range t.latency {
		t.latency[i] *= factor
	}
}

// computeQuantiles returns the buckets of the latency quantiles that have
// rankTailShares of the calls above them.
func (t *classStats) computeQuantiles() rankThresholds {
	var quantiles rankThresholds
	var below float64
	rank := 0
	for i, n := range t.latency {
		below += n
		for rank < len(quantiles) && t.timed-below <= t.timed*rankTailShares[rank] {
			quantiles[rank] = i
			rank++
		}
	}
	return quantiles
}
