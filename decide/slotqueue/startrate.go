package slotqueue

import (
	"math"
	"time"
)

// minStartRate is the lowest rate, in requests per second, at which requests start on a
// server. Only answers tell when a limit ends, so a server that accepts nothing still
// gets a request every four seconds.
const minStartRate = 0.25

// startRate is a token bucket that limits how often requests start. The zero value does
// not limit them.
type startRate struct {
	perSecond  float64 // 0 if there is no limit
	spaced     bool    // no two requests start at once
	tokens     float64
	refilledAt time.Time
}

// set changes the rate. A server that names a limit gets one request at once; when the
// limit changes, requests that have started still count.
func (r *startRate) set(now time.Time, perSecond float64) {
	tokens := 1.0
	if r.perSecond > 0 {
		tokens = r.tokensAt(now)
	}
	r.perSecond = max(perSecond, minStartRate)
	r.tokens, r.refilledAt = min(tokens, r.capacity()), now
}

// setSpaced limits the rate without a burst: any second has at most one start more than
// the rate, also if requests started just before.
func (r *startRate) setSpaced(now time.Time, perSecond float64) {
	if r.spaced && r.perSecond == perSecond {
		return
	}
	*r = startRate{perSecond: perSecond, spaced: true, tokens: min(r.tokens, 1), refilledAt: now}
}

// clear removes the limit.
func (r *startRate) clear() { *r = startRate{} }

// capacity is the number of requests that may start at once after a pause: those of a
// second, or one if they are spaced.
func (r *startRate) capacity() float64 {
	if r.spaced {
		return 1
	}
	return max(r.perSecond, 1)
}

func (r *startRate) tokensAt(now time.Time) float64 {
	return min(r.tokens+r.perSecond*now.Sub(r.refilledAt).Seconds(), r.capacity())
}

// take counts a request that starts. wait has returned 0 for it.
func (r *startRate) take(now time.Time) {
	if r.perSecond > 0 {
		r.tokens, r.refilledAt = r.tokensAt(now)-1, now
	}
}

// interval returns the time between two starts, or 0 without a limit.
func (r *startRate) interval() time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.perSecond)
}

// wait returns the time until the n-th of the next requests may start.
func (r *startRate) wait(now time.Time, n int) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	missing := float64(n) - r.tokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / r.perSecond * float64(time.Second)))
}
