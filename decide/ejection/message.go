package ejection

import "time"

// Report is what an exit tells the keeper about one backend server. The field
// names are short because a node sends about 11 of them at the size that the
// design aims for, within 2 KB/s.
type Report struct {
	Service string `json:"s"`
	Server  string `json:"b"`
	// Epoch is the epoch of the keeper that the report is addressed to.
	Epoch uint64 `json:"e"`
	// Seq numbers the reports of one server, from 1.
	Seq uint64 `json:"q"`
	// Ack is the Seq of the last verdict that the exit accepted, of any epoch.
	Ack uint64 `json:"a,omitempty"`
	// Life is the number of the server's start, counted by the exit, while that
	// was less than WarmUp ago, and 0 afterwards.
	Life uint32 `json:"w,omitempty"`
	// Suspect is true while the health check or the load report of the server
	// is bad.
	Suspect bool `json:"h,omitempty"`
	// Leaving is true once the host has announced that it stops.
	Leaving bool `json:"d,omitempty"`
	// Ejected is the lease in force, nil when the server takes its full share.
	Ejected *Ejected `json:"x,omitempty"`
	// Seldom is true when the exit reports with the settings AtScale.
	Seldom bool `json:"z,omitempty"`
	// Earlier covers the quiet intervals since the last report and Classes the
	// interval that ends now. They are apart only after something notable, so
	// that quiet intervals do not dilute the evidence.
	Earlier []ClassReport `json:"o,omitempty"`
	Classes []ClassReport `json:"c,omitempty"`
}

// ClassReport summarizes the calls of one class.
type ClassReport struct {
	Class    string `json:"c"`
	Count    uint32 `json:"n"`           // calls that count, failures included
	Failures uint32 `json:"f,omitempty"` // errors, cut answers, timeouts, refused connections
	Latency  Sketch `json:"l,omitempty"` // of calls that did not fail
	// Running holds the ages of calls in progress that are slow already. A
	// slow server is known by them before its first answer.
	Running Sketch `json:"r,omitempty"`
}

// Ejected is the state of an ejection, sent with verdicts and with reports so
// that a new keeper learns what its predecessor decided.
type Ejected struct {
	Share  float64       `json:"p,omitempty"` // share of its traffic that the server takes, 0 to 1
	Left   time.Duration `json:"t,omitempty"` // time until the return begins
	Level  int           `json:"v,omitempty"` // number of ejections that have not decayed
	Reason Reason        `json:"r,omitempty"`
}

// Kind is the direction of a verdict.
type Kind string

// The kinds of verdicts.
const (
	Eject  Kind = "eject"  // take the server out, or keep it out
	Return Kind = "return" // take the given share of traffic again
	Ask    Kind = "ask"    // report at the next interval, also when quiet
)

// Reason says why a verdict was given.
type Reason string

// The reasons.
const (
	Failures  Reason = "failures"  // more failures than the siblings
	Slow      Reason = "slow"      // SlowFactor or more over the siblings' median
	Recovered Reason = "recovered" // ejection time over, or clean at the last share
	Capacity  Reason = "capacity"  // the floor of healthy servers needs it back
	Compare   Reason = "compare"   // a sibling looks bad
)

// Verdict is the keeper's answer to one report.
type Verdict struct {
	Server string `json:"b"`
	Kind   Kind   `json:"k"`
	Epoch  uint64 `json:"e"`
	Seq    uint64 `json:"q"` // of the report that this answers
	// Renewal is true when the verdict only prolongs what is in force.
	Renewal bool `json:"n,omitempty"`
	Ejected
}

// ServerState is what the membership tells about a backend server.
type ServerState struct {
	ID      string
	Host    string
	Leaving bool
}

// Floor is the healthy capacity that ejections must leave: the higher of a
// number of servers and a share of all servers of the service that are not
// leaving.
type Floor struct {
	Servers int
	Share   float64
}
