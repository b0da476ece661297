package ejection

import "time"

// Settings are the reporting parameters of an exit proxy. Each report states which of
// the two predefined settings its exit proxy uses, and the leader applies those to that
// server, so exit proxies with different settings can share a fleet.
type Settings struct {
	// LargeFleet is true for LargeFleetSettings.
	LargeFleet bool
	// ReportInterval is the time between two reports of a server with notable
	// calls.
	ReportInterval time.Duration
	// MaxReportGap is the longest time between two reports of a server without
	// notable calls. Most servers have none, so this determines the cost of
	// reporting.
	MaxReportGap time.Duration
	// StaleAfter is the age of the last report above which a server no longer
	// counts as healthy. It tolerates the loss of one report at MaxReportGap.
	StaleAfter time.Duration
}

// SmallFleetSettings returns the settings for a few dozen backend servers. An
// interval of 100 ms costs little, since it applies only to servers with notable
// calls. At 200 ms a gray server cannot be distinguished from a failure burst of
// 300 ms within 1 s.
func SmallFleetSettings() Settings {
	return Settings{ReportInterval: 100 * time.Millisecond, MaxReportGap: time.Second, StaleAfter: 3 * time.Second}
}

// LargeFleetSettings returns the settings for about 11 backend servers on a node
// with 2 KB/s for all control messages. Only servers with notable calls report at
// the interval. 300 ms is the length of a failure burst that is treated as noise:
// with longer intervals a burst hides more calls, and detection at 9 calls/s takes
// longer.
func LargeFleetSettings() Settings {
	return Settings{LargeFleet: true, ReportInterval: 300 * time.Millisecond, MaxReportGap: 5 * time.Second, StaleAfter: 12 * time.Second}
}

// Reporting selects the Settings of an exit proxy.
type Reporting string

// The reporting modes.
const (
	ReportingAutomatic  Reporting = "auto"   // chosen by the number of backend servers in the host list
	ReportingFrequent   Reporting = "often"  // SmallFleetSettings
	ReportingInfrequent Reporting = "seldom" // LargeFleetSettings
)

// largeFleetServers is the number of backend servers from which ReportingAutomatic
// selects LargeFleetSettings: ten times the largest current deployment and a hundredth
// of the target fleet size, at which a node has about 11 backend servers.
const largeFleetServers = 300

// Settings returns the settings for a fleet with the given number of backend
// servers.
func (r Reporting) Settings(servers int) Settings {
	if r == ReportingInfrequent || (r != ReportingFrequent && servers >= largeFleetServers) {
		return LargeFleetSettings()
	}
	return SmallFleetSettings()
}

// settingsOf returns the settings of the exit proxy that sent a report.
func settingsOf(r Report) Settings {
	if r.LargeFleet {
		return LargeFleetSettings()
	}
	return SmallFleetSettings()
}

const (
	// LeaseDuration is how long an ejection lasts without renewal. The exit proxy
	// counts it from when it sent the report that the verdict answers.
	LeaseDuration = 3 * time.Second
	// WarmUpTime is how long a started server has a higher latency limit,
	// unless its latency matches its siblings' earlier.
	WarmUpTime = 30 * time.Second
	// MinEjectionTime is the duration of a server's first ejection. It doubles
	// with each level.
	MinEjectionTime = 5 * time.Second
	// MaxEjectionTime limits the doubling of the ejection time.
	MaxEjectionTime = 5 * time.Minute
	// SlowFactor is the ratio to the siblings' median latency from which a
	// server counts as a gray failure. Slowness below it without failures is
	// attributed to other load on a shared server.
	SlowFactor = 4.0
	// MassFailureShare is the share of bad servers above which the cause is
	// assumed to lie outside the servers.
	MassFailureShare = 1.0 / 3
)
