package concurrency

import (
	"math"
	"time"
)

const (
	// tolerance is the logarithm of the ratio (1.5) of current to best recent
	// latency that is accepted as noise. Latencies that vary by half of their
	// value give ratios up to 1.4 by chance alone with the smoothing below.
	tolerance = 0.405
	// cutEffect is the least fall of the logarithm of the ratio (10%) by which
	// cuts must lower latency to be kept.
	cutEffect = 0.1
	// smoothing is the number of samples that averages of latency extend over.
	smoothing = 32
	// A round ends after roundSamples and perSlotSamples for each slot of the
	// limit. The mean of 32 latencies that vary by half of their value is known to
	// 9%; a low limit gives few samples a second and must not last for long.
	roundSamples   = 16
	perSlotSamples = 8
	// growStep is added in a round without congestion, twice that when the excess
	// is below half of the tolerance.
	growStep = 1.0
	// maxCut bounds the reduction of one round: half left slots idle while the
	// limit grew again.
	maxCut = 0.75
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
	l.observeTypical(s.Latency)
	l.lastGrow = now
	l.pending++
	l.excess += c.excess(s.Latency)
	if l.pending >= roundSamples+perSlotSamples*l.Limit() {
		l.adjust(l.excess / float64(l.pending))
	}
}

func (l *Limiter) observeTypical(latency time.Duration) {
	if l.typical == 0 {
		l.typical = latency
		return
	}
	l.typical += (latency - l.typical) / smoothing
}

func (c *classLatency) observe(now time.Time, latency time.Duration) {
	c.samples++
	weight := 1 / float64(min(c.samples, smoothing))
	c.current += weight * (logNanos(latency) - c.current)
	if !now.Before(c.spanEnd) {
		c.lastBest, c.best = c.best, math.Inf(1)
		c.spanEnd = now.Add(bestSpan)
	}
	if c.samples >= smoothing {
		c.best = min(c.best, c.current)
	}
}

// excess is the logarithm of the ratio between a latency and the best recent
// average; 0 while that is unknown.
func (c *classLatency) excess(latency time.Duration) float64 {
	if c.samples < smoothing {
		return 0
	}
	return logNanos(latency) - min(c.best, c.lastBest)
}

func logNanos(latency time.Duration) float64 {
	return math.Log(float64(max(latency, 1)))
}

// adjust ends a round with the mean excess of its samples.
func (l *Limiter) adjust(excess float64) {
	switch {
	case excess <= tolerance:
		l.grow(excess)
	case l.Limit() == 1:
		l.acceptLatency()
	case l.cutFrom > 0 && excess > l.cutExcess-cutEffect:
		l.setLimit(l.cutFrom)
		l.acceptLatency()
	default:
		l.cut(excess)
	}
	l.startRound()
}

func (l *Limiter) grow(excess float64) {
	l.cutFrom = 0
	if !l.reached {
		return
	}
	step := growStep
	if excess < tolerance/2 {
		step *= 2
	}
	l.setLimit(l.limit + step)
}

// cut lowers the limit by at least one slot, since less has no effect that could
// be measured.
func (l *Limiter) cut(excess float64) {
	if l.cutFrom == 0 {
		l.cutFrom = l.limit
		l.cutExcess = excess
	}
	scaled := l.limit * max(maxCut, math.Exp(tolerance-excess))
	l.setLimit(min(scaled, l.limit-1))
}

// acceptLatency makes the present latency the best one. It follows cuts that did
// not lower the latency, which then has another cause than the requests of this
// limiter, and a limit of 1, below which nothing can be learned.
func (l *Limiter) acceptLatency() {
	for _, c := range l.classes {
		c.best, c.lastBest = c.current, c.current
	}
	l.cutFrom = 0
}

func (l *Limiter) startRound() {
	l.pending = 0
	l.excess = 0
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
	l.cutFrom = 0
	l.startRound()
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
