package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	hedgeQuantile = 0.95
	// quantileStep is the relative step of the estimate. It follows a change of
	// latency by a factor of 2 within about 15 slower samples or 280 faster ones.
	quantileStep = 0.05
	// minQuantileSamples keeps hedging off until the estimate rests on a few
	// samples above the 95th percentile.
	minQuantileSamples = 100
)

// Quantile follows the 95th percentile of latency by stochastic approximation
// (Robbins and Monro, 1951) on a logarithmic scale. The zero value is ready for
// use. Traffic goroutines use it at the same time without a lock.
type Quantile struct {
	logNanos atomic.Uint64 // float64 bits of the natural logarithm
	samples  atomic.Int64
}

// Observe takes in the latency of one answered first attempt.
func (q *Quantile) Observe(latency time.Duration) {
	x := math.Log(float64(max(latency, 1)))
	if q.samples.Add(1) == 1 {
		q.logNanos.Store(math.Float64bits(x))
		return
	}
	for {
		old := q.logNanos.Load()
		next := math.Float64bits(step(math.Float64frombits(old), x))
		if q.logNanos.CompareAndSwap(old, next) {
			return
		}
	}
}

func step(estimate, x float64) float64 {
	if x > estimate {
		return estimate + quantileStep*hedgeQuantile
	}
	return estimate - quantileStep*(1-hedgeQuantile)
}

// Value returns the estimate; false while there are fewer than 100 samples.
func (q *Quantile) Value() (time.Duration, bool) {
	if q.samples.Load() < minQuantileSamples {
		return 0, false
	}
	return time.Duration(math.Exp(math.Float64frombits(q.logNanos.Load()))), true
}
