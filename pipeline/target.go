package pipeline

import "time"

// TargetStats takes in how an attempt went. Exactly one of Done, Failed and
// Abandoned ends an attempt.
type TargetStats interface {
	Done(now time.Time, latency time.Duration)
	Failed(now time.Time, latency time.Duration)
	Abandoned()
	Report(now time.Time, queue int, wait time.Duration)
	SetEjected(until time.Time)
	SetLeaving(leaving bool)
}

// Target is a backend server and the process in front of it.
type Target struct {
	Backend string
	Host    string
	Addr    string // traffic address of the process
	Stats   TargetStats
}

// Targets chooses where the attempts of one request go.
type Targets interface {
	// Next returns the next target, never the same backend server twice; false
	// when none is left.
	Next() (Target, bool)
	// Untried returns how many backend servers are left.
	Untried() int
}
