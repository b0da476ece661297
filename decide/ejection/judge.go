package ejection

import "time"

// Judge decides on the ejections of one service. The keeper of the service
// owns it and calls Decide only while it holds its lease.
type Judge struct {
	settings Settings
	epoch    uint64
	floor    Floor
}

// NewJudge returns a judge for a keeper that took over in the given epoch. It
// knows nothing of its predecessor but what the reports tell.
func NewJudge(s Settings, epoch uint64) *Judge {
	return &Judge{settings: s, epoch: epoch}
}

// SetFleet sets the servers of the service and the floor. It takes effect
// before the next verdict.
func (j *Judge) SetFleet(now time.Time, servers []ServerState, floor Floor) {
	j.floor = floor
}

// Observe takes in a report.
func (j *Judge) Observe(now time.Time, r Report) {
}

// Decide returns the verdicts to send, at most one for each report.
func (j *Judge) Decide(now time.Time) []Verdict {
	return nil
}

// Status is the judge's view of one server, for operators.
type Status struct {
	Server  string
	Healthy bool
	Share   float64
	Level   int
	// Evidence is the strongest evidence against the server, in nats. 0 is
	// none.
	Evidence float64
}

// Status returns the view of all servers, sorted by identifier.
func (j *Judge) Status(now time.Time) []Status {
	return nil
}
