package ejection

import (
	"math"
	"time"
)

const (
	// intervalsKept bounds the sliding windows: 13 s at an interval of 200 ms,
	// 64 s at 1 s, which is about 600 calls at 9 calls/s either way or more.
	intervalsKept = 64
	// memory is the time after which the weight of a call in the picture of
	// the siblings has fallen to 1/e. It must outlast MaxQuiet.
	memory = 15 * time.Second
	// referenceCalls is the weight of timed calls from which a server is part
	// of the reference of its siblings.
	referenceCalls = 10
)

// interval is what one report says about one class.
type interval struct {
	at       time.Time // receipt
	count    uint32
	failures uint32
	timed    uint32
	slow     uint32 // at least SlowFactor times the siblings' median
	far      uint32 // at least SlowFactor times the siblings' upper quartile
}

// failing and slowing tell whether the interval speaks against the server.
func (i interval) failing() bool { return i.failures > 0 }
func (i interval) slowing() bool { return i.slow > 0 && 2*i.slow >= i.timed }

// track is what a judge knows about the calls of one class on one server.
type track struct {
	ring [intervalsKept]interval
	next int
	used int

	// Decayed counts, the server's part of the reference of its siblings.
	decayed  time.Time
	count    float64
	failures float64
	timed    float64
	latency  [Buckets]float64
	median   int // bucket
	quartile int // bucket of the upper quartile
}

// add takes in one summary. The limits are the buckets from which a call is
// slow and far.
func (t *track) add(now time.Time, c ClassReport, lim limits) {
	in := interval{at: now, count: c.Count, failures: min(c.Failures, c.Count)}
	t.decay(now)
	c.Latency.each(func(bucket int, n uint32) {
		in.timed += n
		if bucket >= lim.slow {
			in.slow += n
		}
		if bucket >= lim.far {
			in.far += n
		}
		t.latency[bucket] += float64(n)
	})
	t.count += float64(in.count)
	t.failures += float64(in.failures)
	t.timed += float64(in.timed)
	t.median, t.quartile = t.quantiles()
	t.ring[t.next] = in
	t.next = (t.next + 1) % intervalsKept
	t.used = min(t.used+1, intervalsKept)
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

func (t *track) quantiles() (median, quartile int) {
	var sum float64
	median = -1
	for i, n := range t.latency {
		sum += n
		if median < 0 && sum >= t.timed/2 {
			median = i
		}
		if sum >= t.timed*3/4 {
			return median, i
		}
	}
	return median, Buckets - 1
}

// newest returns the latest interval.
func (t *track) newest() interval {
	return t.back(0)
}

// back returns the interval that was received k before the newest.
func (t *track) back(k int) interval {
	return t.ring[(t.next-1-k+2*intervalsKept)%intervalsKept]
}

// forget drops the sliding windows but keeps the part of the reference.
func (t *track) forget() {
	t.next, t.used = 0, 0
}

// total sums up the intervals since forget.
func (t *track) total() interval {
	var sum interval
	for k := range t.used {
		in := t.back(k)
		sum.count += in.count
		sum.failures += in.failures
		sum.timed += in.timed
		sum.slow += in.slow
	}
	return sum
}
