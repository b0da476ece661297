package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	hedgeQuantile = 0.95
	// quantileLogStep scales the change of the estimated logarithm per sample. The
	// estimate follows a change of latency by a factor of 2 within about 15 slower
	// samples or 280 faster ones.
	quantileLogStep = 0.05
	// minQuantileSamples keeps hedging off until a few of the samples are expected
	// to lie above the 95th percentile.
	minQuantileSamples = 100
)

// P95Estimator tracks the 95th percentile of latency by stochastic approximation
// (Robbins and Monro, 1951) on a logarithmic scale. The zero value is ready for
// use. It is lock-free and safe for concurrent use.
type P95Estimator struct {
	logNanos atomic.Uint64 // estimate: float64 bits of the natural logarithm of nanoseconds
	samples  atomic.Int64
}

// Observe updates the estimate with the latency of one answered first attempt.
func (q *P95Estimator) Observe(latency time.Duration) {
	x := math.Log(float64(max(latency, 1)))
	if q.samples.Add(1) == 1 {
		q.logNanos.Store(math.Float64bits(x))
		return
	}
	for {
		old := q.logNanos.Load()
		next := math.Float64bits(nextEstimate(math.Float64frombits(old), x))
		if q.logNanos.CompareAndSwap(old, next) {
			return
		}
	}
}

func nextEstimate(estimate, x float64) float64 {
	if x > estimate {
		return estimate + quantileLogStep*hedgeQuantile
	}
	return estimate - quantileLogStep*(1-hedgeQuantile)
}

// Value returns the estimate. It reports false until there are minQuantileSamples
// samples.
func (q *P95Estimator) Value() (time.Duration, bool) {
	if q.samples.Load() < minQuantileSamples {
		return 0, false
	}
	return time.Duration(math.Exp(math.Float64frombits(q.logNanos.Load()))), true
}
