package fleetsim

import (
	"math"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// LimitChange is a limit and the time at which it was accepted.
type LimitChange struct {
	At    time.Duration
	Limit quota.Limit
}

// Excess returns the largest number of admissions of a team beyond rate * w + burst
// over all windows of length w; it is not positive if the bound holds everywhere.
// Until settle has passed after a change, the higher of the old and new rate and
// of the old and new burst apply. Admissions and changes must be sorted by time.
func Excess(admissions []Admission, team string, changes []LimitChange, settle time.Duration) float64 {
	worst := math.Inf(-1)
	for _, c := range changes {
		start := c.At + settle
		if c.At == 0 {
			start = 0
		}
		worst = math.Max(worst, excessFrom(start, admissions, team, changes, settle))
	}
	return worst
}

// excessFrom returns the excess over all windows that begin at start or later. It
// models a leaky bucket that drains at the rate and compares its fill with the
// largest burst since start.
func excessFrom(start time.Duration, admissions []Admission, team string, changes []LimitChange, settle time.Duration) float64 {
	worst, fill, at := math.Inf(-1), 0.0, start
	burst := 0.0
	for _, a := range admissions {
		if a.At < start || a.Team != team {
			continue
		}
		for at < a.At {
			now, until := limitInForce(at, changes, settle)
			until = min(until, a.At)
			burst = math.Max(burst, now.Burst)
			fill = math.Max(0, fill-now.Rate*(until-at).Seconds())
			at = until
		}
		now, _ := limitInForce(at, changes, settle)
		burst = math.Max(burst, now.Burst)
		fill++
		worst = math.Max(worst, fill-burst)
	}
	return worst
}

// limitInForce returns the highest rate and burst that apply at the given time, and
// the next time at which they may change.
func limitInForce(at time.Duration, changes []LimitChange, settle time.Duration) (l quota.Limit, until time.Duration) {
	until = math.MaxInt64
	for i, c := range changes {
		end := time.Duration(math.MaxInt64)
		if i+1 < len(changes) {
			end = changes[i+1].At + settle
		}
		for _, boundary := range []time.Duration{c.At, end} {
			if boundary > at {
				until = min(until, boundary)
			}
		}
		if c.At <= at && at < end {
			l.Rate = math.Max(l.Rate, c.Limit.Rate)
			l.Burst = math.Max(l.Burst, c.Limit.Burst)
		}
	}
	return l, until
}
