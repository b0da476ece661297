package ejection

import "time"

// Report is sent by an exit proxy to the leader about one backend server. The encoded
// field names are short because a node of the target fleet size reports on about
// 11 servers within 2 KB/s.
type Report struct {
	Service string `json:"s"`
	Server  string `json:"b"`
	// Epoch is the epoch of the leader that the report is addressed to.
	Epoch uint64 `json:"e"`
	// Seq numbers the reports of one server, from 1.
	Seq uint64 `json:"q"`
	// Ack is the Seq of the last verdict that the exit proxy accepted, of any epoch.
	Ack uint64 `json:"a,omitempty"`
	// Incarnation is the number of server starts that the exit proxy has counted. It
	// is 0 unless the last start was less than WarmUpTime ago.
	Incarnation uint32 `json:"w,omitempty"`
	// Suspect is true while the health check or the load report of the server
	// is bad.
	Suspect bool `json:"h,omitempty"`
	// Leaving is true once the host has announced its shutdown.
	Leaving bool `json:"d,omitempty"`
	// Ejected is the lease in force, nil when the server takes its full share.
	Ejected *Ejected `json:"x,omitempty"`
	// LargeFleet is true if the exit proxy uses LargeFleetSettings.
	LargeFleet bool `json:"z,omitempty"`
	// EarlierClasses covers the unreported intervals since the last report and
	// Classes the interval that ends now. They are separate only if the current
	// interval is notable, so that earlier calls do not dilute the evidence;
	// otherwise Classes covers both.
	EarlierClasses []ClassReport `json:"o,omitempty"`
	Classes        []ClassReport `json:"c,omitempty"`
}

// ClassReport summarizes the calls of one class.
type ClassReport struct {
	Class    string `json:"c"`
	Count    uint32 `json:"n"`           // successes and failures
	Failures uint32 `json:"f,omitempty"` // see Failure
	Latency  Sketch `json:"l,omitempty"` // of successful and abandoned calls
	// Overdue holds the ages of calls in progress that are already slow. They
	// reveal a slow server before its first response.
	Overdue Sketch `json:"r,omitempty"`
}

// Ejected is the state of an ejection. Verdicts carry it, and reports too, so
// that a new leader learns the decisions of its predecessor.
type Ejected struct {
	Share  float64       `json:"p,omitempty"` // share of its traffic that the server gets, 0 to 1
	Left   time.Duration `json:"t,omitempty"` // time until the server starts to return
	Level  int           `json:"v,omitempty"` // number of recent ejections, reduced by one per levelDecayTime
	Reason Reason        `json:"r,omitempty"`
}

// VerdictKind is the action that a verdict requests.
type VerdictKind string

// The kinds of verdicts. The strings are part of the message format.
const (
	Eject         VerdictKind = "eject"  // remove the server from traffic, or keep it out
	Return        VerdictKind = "return" // give the server the given share of its traffic
	RequestReport VerdictKind = "ask"    // report at the next interval, even if nothing is notable
)

// Reason is the reason for a verdict.
type Reason string

// The reasons.
const (
	Failures        Reason = "failures"  // higher failure ratio than the siblings
	Slow            Reason = "slow"      // latency at least SlowFactor times the siblings'
	Recovered       Reason = "recovered" // ejection time over, or no problems at the previous share
	Capacity        Reason = "capacity"  // needed to reach the floor of healthy servers
	CompareSiblings Reason = "compare"   // a sibling looks bad and needs a comparison
)

// Verdict is the leader's answer to one report.
type Verdict struct {
	Server string      `json:"b"`
	Kind   VerdictKind `json:"k"`
	Epoch  uint64      `json:"e"`
	Seq    uint64      `json:"q"` // Seq of the report that this verdict answers
	// Renewal is true if the verdict only extends the current state.
	Renewal bool `json:"n,omitempty"`
	Ejected
}

// ServerState is what the membership knows about a backend server.
type ServerState struct {
	ID      string
	Host    string
	Leaving bool
}

// Floor is the minimum healthy capacity that must remain after an ejection: the
// higher of a number of servers and a share of the service's servers that are
// not leaving.
type Floor struct {
	Servers int
	Share   float64
}
