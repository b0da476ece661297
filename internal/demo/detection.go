package demo

import (
	"time"

	"github.com/ragwortyard/ragwortyard/internal/fakes"
)

// quietGap is the pause in the calls to a backend server that shows an ejection.
// In the demonstration each one receives several calls a second, and the
// shortest ejection lasts for 5 s.
const quietGap = 2 * time.Second

// ejectedAfter returns the time from the onset of a failure to the last call
// before the first pause of at least quietGap. Without a pause it returns the
// whole span.
func ejectedAfter(log []fakes.RequestRecord, onset, until time.Time) time.Duration {
	last := onset
	for _, record := range log {
		if record.At.Before(onset) {
			continue
		}
		if record.At.Sub(last) >= quietGap {
			break
		}
		last = record.At
	}
	if until.Sub(last) < quietGap {
		return until.Sub(onset)
	}
	return last.Sub(onset).Round(time.Millisecond)
}
