package pipeline

import "time"

// TargetStats records the results of attempts and the state of a target. Each
// attempt ends with exactly one call of Done, Failed or Abandoned.
type TargetStats interface {
	// Done ends an attempt that was answered.
	Done(now time.Time, latency time.Duration)
	// Failed ends an attempt that failed in the backend server or timed out.
	Failed(now time.Time, latency time.Duration)
	// Abandoned ends an attempt that was canceled, refused before running or lost on
	// the network. It has no latency.
	Abandoned()
	// Report records the queue length and the expected wait that the exit proxy sent.
	Report(now time.Time, queue int, wait time.Duration)
	// SetEjected records that the target takes no new work until the given time.
	SetEjected(until time.Time)
	// SetLeaving records whether the target takes no new work because it is leaving.
	SetLeaving(leaving bool)
}

// Target is a backend server together with the proxy process in front of it.
type Target struct {
	Backend string
	Host    string
	Addr    string // address of the process for request traffic
	Stats   TargetStats
}

// TargetSelector chooses the targets for the attempts of one request.
type TargetSelector interface {
	// Next returns the next target. It never returns the same backend server twice,
	// and reports false if none is left.
	Next() (Target, bool)
	// Untried returns the number of backend servers that Next has not returned yet.
	Untried() int
}
