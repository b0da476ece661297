package concurrency

import (
	"math"
	"time"
)

const (
	// tolerance is the ratio of current to best recent latency that is accepted
	// as noise. Latencies that vary by half of their value give ratios up to 1.4
	// by chance alone with the smoothing below.
	tolerance = 1.5
	// smoothing is the number of samples that the current latency averages over.
	smoothing = 32
	// roundSamples is the number of samples between two changes of the limit.
	roundSamples = 16
	// growStep is added in a round without congestion.
	growStep = 0.5
	// maxCut bounds the reduction of one round.
	maxCut = 0.5
	// shedCut is the reduction when the backend server sheds.
	shedCut = 0.8
	// shedGap lets a reduction take effect before the next one: the requests
	// sent before it, of about 25 ms each, have ended by then.
	shedGap = 50 * time.Millisecond
	// bestSpan is how long the best latency is remembered, at least; twice that
	// at most.
	bestSpan = time.Minute
	// idleGrowth is the time without samples after which the limit grows by 1,
	// so that a quiet backend server regains its slots.
	idleGrowth = time.Second
)

// classLatency follows the latency of one class as logarithms of nanoseconds, so
// that a few long outliers weigh little.
type classLatency struct {
	samples  int
	current  float64
	best     float64 // least smoothed value in the running span
	lastBest float64 // least smoothed value in the span before
	spanEnd  time.Time
}

func (l *Limiter) completed(now time.Time, s Sample) {
	c := l.classes[s.Class]
	if c == nil {
		c = &classLatency{best: math.Inf(1), lastBest: math.Inf(1), spanEnd: now.Add(bestSpan)}
		l.classes[s.Class] = c
	}
	c.observe(now, s.Latency)
	l.lastGrow = now
	l.pending++
	if l.pending >= roundSamples {
		l.adjust(c.ratio())
	}
}

func (c *classLatency) observe(now time.Time, latency time.Duration) {
	c.samples++
	weight := 1 / float64(min(c.samples, smoothing))
	c.current += weight * (math.Log(float64(max(latency, 1))) - c.current)
	if !now.Before(c.spanEnd) {
		c.lastBest, c.best = c.best, math.Inf(1)
		c.spanEnd = now.Add(bestSpan)
	}
	if c.samples >= smoothing {
		c.best = min(c.best, c.current)
	}
}

// ratio compares the current latency with the best recent one; 1 while unknown.
func (c *classLatency) ratio() float64 {
	if c.samples < smoothing {
		return 1
	}
	return math.Exp(c.current - min(c.best, c.lastBest))
}

func (l *Limiter) adjust(ratio float64) {
	switch {
	case ratio > tolerance:
		l.setLimit(l.limit * max(maxCut, tolerance/ratio))
	case l.reached:
		l.setLimit(l.limit + growStep)
	}
	l.pending = 0
	l.reached = false
}

// shed reduces the limit below the number of requests that were running when one
// of them was shed.
func (l *Limiter) shed(now time.Time, running int) {
	if !l.lastShed.IsZero() && now.Sub(l.lastShed) < shedGap {
		return
	}
	l.lastShed = now
	l.lastGrow = now
	l.setLimit(min(l.limit, float64(running)) * shedCut)
	l.pending = 0
	l.reached = false
}

func (l *Limiter) recoverUnused(now time.Time) {
	if now.Sub(l.lastGrow) < idleGrowth {
		return
	}
	l.setLimit(l.limit + 1)
	l.lastGrow = now
}

func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, 1), float64(l.slots))
}
