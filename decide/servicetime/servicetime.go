// Package servicetime estimates how long requests of each kind run on a backend server. It
// keeps the kinds apart, since requests of one route may take a hundred times as long as
// those of another.
package servicetime

import "time"

const (
	// smoothing is the number of requests in a moving average.
	smoothing = 16
	// MaxAge, plus the estimate itself, is the time after the last run of its kind for which an
	// estimate is used. Requests that are refused because of an estimate do not correct it, so
	// it has to expire.
	MaxAge = 3 * time.Second
	// maxKinds is the maximum number of kinds with an estimate.
	maxKinds = 256
)

// Estimates holds the mean service time of each kind of request. It is not safe for
// concurrent use.
type Estimates[Kind comparable] struct {
	byKind map[Kind]Estimate
}

// Estimate is the mean service time of one kind of request. The zero value has seen none.
type Estimate struct {
	mean    time.Duration
	lastRun time.Time
}

// Expected returns the mean service time, or 0 if it is not known.
func (e Estimate) Expected(now time.Time) time.Duration {
	if now.Sub(e.lastRun) > MaxAge+e.mean {
		return 0
	}
	return e.mean
}

// After returns the estimate after a further request that has run for a time.
func (e Estimate) After(now time.Time, ran time.Duration) Estimate {
	return Estimate{mean: Smooth(e.Expected(now), ran), lastRun: now}
}

// New returns Estimates without any kind.
func New[Kind comparable]() *Estimates[Kind] {
	return &Estimates[Kind]{byKind: make(map[Kind]Estimate)}
}

// Observe records how long a request of a kind has run.
func (e *Estimates[Kind]) Observe(now time.Time, kind Kind, ran time.Duration) {
	known, ok := e.byKind[kind]
	if !ok {
		e.makeRoom()
	}
	e.byKind[kind] = known.After(now, ran)
}

// Expected returns the mean service time of a kind, or 0 if it is not known.
func (e *Estimates[Kind]) Expected(now time.Time, kind Kind) time.Duration {
	return e.byKind[kind].Expected(now)
}

// Last returns the mean service time of a kind at its last run, however old, or 0 if it has
// not run. Nothing may be refused because of it.
func (e *Estimates[Kind]) Last(kind Kind) time.Duration { return e.byKind[kind].mean }

// makeRoom removes the kind that has not run for the longest time if there are maxKinds.
func (e *Estimates[Kind]) makeRoom() {
	if len(e.byKind) < maxKinds {
		return
	}
	var oldest Kind
	var oldestRun time.Time
	for kind, known := range e.byKind {
		if oldestRun.IsZero() || known.lastRun.Before(oldestRun) {
			oldest, oldestRun = kind, known.lastRun
		}
	}
	delete(e.byKind, oldest)
}

// Smooth returns a moving average after a further value. The average is 0 before the first
// one.
func Smooth(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/smoothing
}
