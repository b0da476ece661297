package demo

import (
	"time"

	"github.com/ragwortyard/ragwortyard/internal/fakes"
)

// minEjectionGap is the shortest gap in the calls to a backend server that counts as an
// ejection. In the demonstration each backend server receives several calls per second,
// and the shortest ejection lasts 5 s.
const minEjectionGap = 2 * time.Second

// timeToEjection returns the time from the onset of a failure to the last call before
// the first gap of at least minEjectionGap. Without such a gap it returns the whole time
// from onset to until.
func timeToEjection(log []fakes.RequestRecord, onset, until time.Time) time.Duration {
	last := onset
	for _, record := range log {
		if record.At.Before(onset) {
			continue
		}
		if record.At.Sub(last) >= minEjectionGap {
			break
		}
		last = record.At
	}
	if until.Sub(last) < minEjectionGap {
		return until.Sub(onset)
	}
	return last.Sub(onset).Round(time.Millisecond)
}
