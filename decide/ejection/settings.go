package ejection

import "time"

// Settings are the parameters of an exit's reports. A report says which of the
// two settings its exit uses, and the keeper follows each report, so that exits
// with differing settings work together.
type Settings struct {
	// Seldom is true for AtScale.
	Seldom bool
	// ReportInterval is the time between two reports of a server that has
	// something notable to tell.
	ReportInterval time.Duration
	// MaxQuiet is the longest time between two reports of a server whose calls
	// look as before. Quiet servers are most of a fleet, so this sets the cost
	// of reporting.
	MaxQuiet time.Duration
	// Lately is the age of the last report above which a server no longer
	// counts as healthy. It leaves room for one lost quiet report.
	Lately time.Duration
}

// Today returns the settings for a few dozen backend servers. An interval of
// 100 ms costs little, since it applies only to servers with something notable.
// At 200 ms a gray server is not told from a burst of 300 ms within 1 s.
func Today() Settings {
	return Settings{ReportInterval: 100 * time.Millisecond, MaxQuiet: time.Second, Lately: 3 * time.Second}
}

// AtScale returns the settings for about 11 backend servers on a node with
// 2 KB/s for all control messages. Only servers with something notable
// report at the interval. 300 ms is the length of a burst of failures that is
// taken for noise: with longer intervals a burst hides more of the calls, and
// detection at 9 calls/s takes longer.
func AtScale() Settings {
	return Settings{Seldom: true, ReportInterval: 300 * time.Millisecond, MaxQuiet: 5 * time.Second, Lately: 12 * time.Second}
}

// Reporting selects the settings of an exit.
type Reporting string

// The ways to report.
const (
	Automatic Reporting = "auto"   // by the number of backend servers in the host list
	Often     Reporting = "often"  // Today
	Seldom    Reporting = "seldom" // AtScale
)

// automaticLimit is the number of backend servers in the fleet from which reports
// are seldom: ten times the largest deployment of today, and a hundredth of the
// goal's size, where a node has about 11 backend servers.
const automaticLimit = 300

// Settings returns the settings in a fleet of so many backend servers.
func (r Reporting) Settings(servers int) Settings {
	if r == Seldom || (r != Often && servers >= automaticLimit) {
		return AtScale()
	}
	return Today()
}

// settingsOf returns the settings that a report says its exit uses.
func settingsOf(r Report) Settings {
	if r.Seldom {
		return AtScale()
	}
	return Today()
}

const (
	// EjectionTerm is how long an ejection holds without renewal, counted by
	// the exit from the moment it sent the report that the verdict answers.
	EjectionTerm = 3 * time.Second
	// WarmUp is how long a started server is compared leniently on latency,
	// unless it has met its siblings earlier.
	WarmUp = 30 * time.Second
	// MinEjection is the ejection time of a server without relapses.
	MinEjection = 5 * time.Second
	// MaxEjection bounds the doubling of the ejection time.
	MaxEjection = 5 * time.Minute
	// SlowFactor is the ratio to the siblings' median latency from which a
	// server is gray. Below it, slowness without failures is taken for the
	// load of others on a shared server.
	SlowFactor = 4.0
	// MassFailure is the share of servers that look bad above which the cause
	// is taken to lie outside of the servers.
	MassFailure = 1.0 / 3
)
