package fleetsim

import (
	"math"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// LimitChange is a limit accepted at a moment.
type LimitChange struct {
	At    time.Duration
	Limit quota.Limit
}

// Excess returns by how many requests the admissions of a team exceed
// rate * w + burst in the worst window; it is not positive when the bound holds.
// After a change the higher rate and burst apply until settle has passed.
// Admissions and changes are in the order of time.
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

// excessFrom covers all windows that begin at start or later: it runs a bucket
// that leaks at the rate and compares its fill with the largest burst since
// start.
func excessFrom(start time.Duration, admissions []Admission, team string, changes []LimitChange, settle time.Duration) float64 {
	worst, fill, at := math.Inf(-1), 0.0, start
	burst := 0.0
	for _, a := range admissions {
		if a.At < start || a.Team != team {
			continue
		}
		for at < a.At {
			now, until := inForce(at, changes, settle)
			until = min(until, a.At)
			burst = math.Max(burst, now.Burst)
			fill = math.Max(0, fill-now.Rate*(until-at).Seconds())
			at = until
		}
		now, _ := inForce(at, changes, settle)
		burst = math.Max(burst, now.Burst)
		fill++
		worst = math.Max(worst, fill-burst)
	}
	return worst
}

// inForce returns the highest rate and burst at a moment and the next moment at
// which they may change.
func inForce(at time.Duration, changes []LimitChange, settle time.Duration) (l quota.Limit, until time.Duration) {
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
