// Package concurrency learns how many requests a backend server can run at once
// for this fleet. A backend server is shared with a sister firm whose load cannot
// be seen, so the limit follows latency against the best recent latency (gradient
// limits, as published with Netflix concurrency-limits) and answers that were
// shed. One goroutine owns a limiter.
package concurrency

import "time"

// Outcome tells what a finished request says about load.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota // answered; its latency counts
	Shed                     // the backend server refused it because of load
	Ignored                  // canceled or failed; says nothing about load
)

// Sample is one finished request.
type Sample struct {
	Class   string        // latencies are compared within a class
	Latency time.Duration // from the start on the backend server to the answer
	Outcome Outcome
}

// Limiter holds the usable concurrency of one backend server.
type Limiter struct {
	slots    int
	limit    float64 // between 1 and slots
	inFlight int
	classes  map[string]*classLatency
	typical  time.Duration // average latency of all classes

	// The running round, which ends with a decision about the limit.
	pending int     // samples
	excess  float64 // sum of their excess
	reached bool    // the limit was in use

	cutFrom   float64 // the limit before a series of cuts; 0 when there is none
	cutExcess float64 // the excess that led to the first of them

	lastShed time.Time
	lastGrow time.Time
}

// New returns a limiter that starts with all slots.
func New(now time.Time, slots int) *Limiter {
	slots = max(slots, 1)
	return &Limiter{
		slots:    slots,
		limit:    float64(slots),
		classes:  make(map[string]*classLatency),
		lastGrow: now,
	}
}

// Limit returns the usable concurrency, between 1 and the slots.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Typical returns the average latency of recent requests, 0 while unknown. It
// divided by Limit is the time between two free slots of a server in full use.
func (l *Limiter) Typical() time.Duration {
	return l.typical
}

// InFlight returns the requests that are running.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

// Acquire takes a slot; false means that the limit is in use.
func (l *Limiter) Acquire(now time.Time) bool {
	l.recoverUnused(now)
	if l.inFlight >= l.Limit() {
		l.reached = true
		return false
	}
	l.inFlight++
	return true
}

// Release returns a slot and learns from the finished request.
func (l *Limiter) Release(now time.Time, s Sample) {
	running := l.inFlight
	l.inFlight--
	switch s.Outcome {
	case Shed:
		l.shed(now, running)
	case Completed:
		l.completed(now, s)
	}
}
