// Package concurrency implements an adaptive concurrency limit for one backend
// server. The server also runs requests from outside this fleet (of an affiliated
// company), which the fleet cannot observe. The limit therefore depends on the ratio of
// latency to its recent baseline (gradient limits, as in Netflix
// concurrency-limits) and on requests that the server sheds. A limiter is not safe
// for concurrent use.
package concurrency

import "time"

// Outcome classifies a finished request by what it indicates about load.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota // answered; its latency counts
	Shed                     // the backend server refused it because of load
	Ignored                  // canceled or failed; no evidence about load
)

// Sample is one finished request.
type Sample struct {
	Class   string        // latencies are compared within a class
	Latency time.Duration // from the start on the backend server to the answer
	Outcome Outcome
}

// Limiter adapts the concurrency limit of one backend server.
type Limiter struct {
	slots          int
	limit          float64 // between 1 and slots
	inFlight       int
	classes        map[string]*classLatency
	averageLatency time.Duration // moving average over all classes

	// The current round of samples, after which the limit is adjusted.
	roundSampleCount int
	excess           float64 // sum over the samples of the round; see classLatency.excess
	limitReached     bool    // a request was refused in this round because the limit was in use

	limitBeforeCuts  float64 // limit before the first of a series of cuts; 0 outside a series
	excessBeforeCuts float64 // excess that caused the first cut

	lastShed   time.Time
	lastActive time.Time // last completed or shed request, or last growth when idle
}

// New returns a limiter whose limit starts at slots, which is also its maximum.
func New(now time.Time, slots int) *Limiter {
	slots = max(slots, 1)
	return &Limiter{
		slots:      slots,
		limit:      float64(slots),
		classes:    make(map[string]*classLatency),
		lastActive: now,
	}
}

// Limit returns the concurrency limit, between 1 and the number of slots.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// AverageLatency returns the moving average of the latency, or 0 while it is
// unknown. Divided by Limit, it is the mean time between two free slots of a fully
// used server.
func (l *Limiter) AverageLatency() time.Duration {
	return l.averageLatency
}

// InFlight returns the number of running requests.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

// Acquire takes a slot and reports whether one was free.
func (l *Limiter) Acquire(now time.Time) bool {
	l.growWhenIdle(now)
	if l.inFlight >= l.Limit() {
		l.limitReached = true
		return false
	}
	l.inFlight++
	return true
}

// Release gives a slot back and adjusts the limit by the finished request.
func (l *Limiter) Release(now time.Time, s Sample) {
	running := l.inFlight
	l.inFlight--
	switch s.Outcome {
	case Shed:
		l.recordShed(now, running)
	case Completed:
		l.recordCompleted(now, s)
	}
}
