package concurrency

import (
	"math"
	"time"
)

const (
	// toleratedExcess is the excess up to which latency counts as free of
	// congestion: the logarithm of 1.5 times the baseline. Latencies that vary by
	// half of their value give ratios up to 1.4 by chance with the smoothing below.
	toleratedExcess = 0.405
	// minCutEffect is the fall of the excess (10% of latency) below which a lower
	// limit is considered to have no effect and is reverted.
	minCutEffect = 0.1
	// smoothingSamples is the number of samples in the moving averages of latency.
	smoothingSamples = 32
	// A round takes minRoundSamples plus roundSamplesPerSlot for each slot of the
	// limit. The mean of 32 latencies that vary by half of their value is known to
	// 9%. Rounds are shorter at a low limit, which gives few samples per second and
	// must not last for long.
	minRoundSamples     = 16
	roundSamplesPerSlot = 8
	// growthStep is the number of slots added after a round without congestion. It
	// is doubled if the excess is below half of toleratedExcess.
	growthStep = 1.0
	// minCutFactor is the smallest factor that one round applies to the limit. With
	// 0.5, slots stayed idle while the limit grew again.
	minCutFactor = 0.75
	// shedFactor is applied to the limit when the backend server sheds load.
	shedFactor = 0.8
	// minShedInterval is the minimum time between two reductions because of
	// shedding. The requests sent before the first, of about 25 ms each, have ended
	// by then.
	minShedInterval = 50 * time.Millisecond
	// baselineSpan is the minimum time that the lowest latency is kept as the
	// baseline; the maximum is twice that.
	baselineSpan = time.Minute
	// idleGrowthInterval is the time without samples after which the limit grows by
	// 1, so that the limit of a backend server without traffic recovers.
	idleGrowthInterval = time.Second
)

// classLatency tracks the latency of one class. Values are logarithms of
// nanoseconds, which reduces the effect of outliers.
type classLatency struct {
	samples          int
	current          float64 // moving average
	baseline         float64 // lowest moving average in the current span
	previousBaseline float64 // lowest moving average in the span before
	spanEnd          time.Time
}

// recordCompleted adds a sample to the round and ends the round when it is full.
func (l *Limiter) recordCompleted(now time.Time, s Sample) {
	c := l.classes[s.Class]
	if c == nil {
		c = &classLatency{baseline: math.Inf(1), previousBaseline: math.Inf(1), spanEnd: now.Add(baselineSpan)}
		l.classes[s.Class] = c
	}
	c.observe(now, s.Latency)
	l.observeAverage(s.Latency)
	l.lastActive = now
	l.roundSampleCount++
	l.excess += c.excess(s.Latency)
	if l.roundSampleCount >= minRoundSamples+roundSamplesPerSlot*l.Limit() {
		l.endRound(l.excess / float64(l.roundSampleCount))
	}
}

func (l *Limiter) observeAverage(latency time.Duration) {
	if l.averageLatency == 0 {
		l.averageLatency = latency
		return
	}
	l.averageLatency += (latency - l.averageLatency) / smoothingSamples
}

func (c *classLatency) observe(now time.Time, latency time.Duration) {
	c.samples++
	weight := 1 / float64(min(c.samples, smoothingSamples))
	c.current += weight * (logNanos(latency) - c.current)
	if !now.Before(c.spanEnd) {
		c.previousBaseline, c.baseline = c.baseline, math.Inf(1)
		c.spanEnd = now.Add(baselineSpan)
	}
	if c.samples >= smoothingSamples {
		c.baseline = min(c.baseline, c.current)
	}
}

// excess returns the logarithm of the ratio of a latency to the baseline, or 0
// while there is no baseline.
func (c *classLatency) excess(latency time.Duration) float64 {
	if c.samples < smoothingSamples {
		return 0
	}
	return logNanos(latency) - min(c.baseline, c.previousBaseline)
}

func logNanos(latency time.Duration) float64 {
	return math.Log(float64(max(latency, 1)))
}

// endRound adjusts the limit by the mean excess of a round's samples. It grows the
// limit if there is no congestion and cuts it otherwise. It restores the limit and
// resets the baseline if earlier cuts had no effect.
func (l *Limiter) endRound(excess float64) {
	switch {
	case excess <= toleratedExcess:
		l.grow(excess)
	case l.Limit() == 1:
		l.resetBaseline()
	case l.limitBeforeCuts > 0 && excess > l.excessBeforeCuts-minCutEffect:
		l.setLimit(l.limitBeforeCuts)
		l.resetBaseline()
	default:
		l.cut(excess)
	}
	l.startRound()
}

func (l *Limiter) grow(excess float64) {
	l.limitBeforeCuts = 0
	if !l.limitReached {
		return
	}
	step := growthStep
	if excess < toleratedExcess/2 {
		step *= 2
	}
	l.setLimit(l.limit + step)
}

// cut lowers the limit by at least one slot, since less has no measurable effect.
func (l *Limiter) cut(excess float64) {
	if l.limitBeforeCuts == 0 {
		l.limitBeforeCuts = l.limit
		l.excessBeforeCuts = excess
	}
	scaled := l.limit * max(minCutFactor, math.Exp(toleratedExcess-excess))
	l.setLimit(min(scaled, l.limit-1))
}

// resetBaseline makes the current latency the baseline. It is called after cuts
// that did not lower the latency, which then has another cause than the requests of
// this limiter, and at a limit of 1, which cannot be cut further.
func (l *Limiter) resetBaseline() {
	for _, c := range l.classes {
		c.baseline, c.previousBaseline = c.current, c.current
	}
	l.limitBeforeCuts = 0
}

func (l *Limiter) startRound() {
	l.roundSampleCount = 0
	l.excess = 0
	l.limitReached = false
}

// recordShed reduces the limit below the number of requests that were running when
// one of them was shed.
func (l *Limiter) recordShed(now time.Time, running int) {
	if !l.lastShed.IsZero() && now.Sub(l.lastShed) < minShedInterval {
		return
	}
	l.lastShed = now
	l.lastActive = now
	l.setLimit(min(l.limit, float64(running)) * shedFactor)
	l.limitBeforeCuts = 0
	l.startRound()
}

// growWhenIdle raises the limit by 1 after idleGrowthInterval without completed or
// shed requests.
func (l *Limiter) growWhenIdle(now time.Time) {
	if now.Sub(l.lastActive) < idleGrowthInterval {
		return
	}
	l.setLimit(l.limit + 1)
	l.lastActive = now
}

func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, 1), float64(l.slots))
}
