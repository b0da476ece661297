package bench

import (
	"math"
	"slices"
	"time"
)

// Quantiles holds latency quantiles in microseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// quantiles returns the nearest-rank quantiles, or zeros if there are no samples. With
// fewer than 1,000 samples, P999 is the maximum. It sorts samples in place.
func quantiles(samples []time.Duration) Quantiles {
	if len(samples) == 0 {
		return Quantiles{}
	}
	slices.Sort(samples)
	at := func(q float64) float64 {
		rank := int(math.Ceil(q * float64(len(samples))))
		return float64(samples[max(rank, 1)-1]) / float64(time.Microsecond)
	}
	return Quantiles{P50: at(0.5), P99: at(0.99), P999: at(0.999)}
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P99: q.P99 - other.P99, P999: q.P999 - other.P999}
}
