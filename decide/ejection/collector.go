package ejection

import (
	"math"
	"time"
)

// Outcome is how a call to a backend server ended, as seen by its exit.
type Outcome uint8

// The outcomes.
const (
	// Success is a whole answer.
	Success Outcome = iota
	// Failure is an error answer, a cut answer, a timeout or a refused
	// connection.
	Failure
	// Abandoned is a call that the caller gave up. It says only that the
	// latency is higher than what passed.
	Abandoned
	// Excused is a call that says nothing about the server: it shed load, or
	// a crash that is counted against a request cut the call.
	Excused
)

const (
	// classesKept bounds the classes that one server reports on.
	classesKept = 16
	// notableFactor is the ratio to the server's own earlier median from which
	// a call is notable. It is half of SlowFactor, so that a keeper hears of a
	// change well before it matters.
	notableFactor = 2
	// loudFor is how long a server reports at every interval after something
	// notable: longer than any ejection test takes.
	loudFor = 10 * time.Second
	// ownMemory is the time over which a server's own median adapts.
	ownMemory = 30 * time.Second
)

// Window holds the calls of one class since the last report.
type Window struct {
	count    uint32
	failures uint32
	latency  [Buckets]uint32
	timed    uint32 // calls in latency
	notable  uint32 // calls in latency above notableFactor times the own median
	own      float64
}

// Collector turns the calls of one local backend server into reports. The
// control loop owns it.
type Collector struct {
	settings Settings
	service  string
	server   string
	names    []string
	windows  []*Window
	last     time.Time // of the last report
	loud     time.Time // report at every interval until then
	keeper   uint64
}

// NewCollector returns a collector for one backend server.
func NewCollector(s Settings, service, server string) *Collector {
	return &Collector{settings: s, service: service, server: server}
}

var _ = math.Log

// Observe takes in one call. Calls without an answer count with the time until
// they failed.
func (c *Collector) Observe(class string, outcome Outcome, latency time.Duration) {
}

// State is what the exit knows of a backend server beside its calls.
type State struct {
	Started time.Time // when the server was last seen to start; zero if it was never seen
	Suspect bool      // the health check or the load report is bad
	Leaving bool      // the host has announced that it stops
	Ejected bool      // a lease is in force
	Keeper  uint64    // epoch of the keeper; a new keeper gets a report at once
}

// Report returns the report that is due now, without the fields that
// Guard.Stamp sets. It returns false when there is nothing that the keeper
// needs now. Call it once in every ReportInterval.
func (c *Collector) Report(now time.Time, s State) (Report, bool) {
	return Report{}, false
}
