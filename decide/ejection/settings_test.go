package ejection_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// Guards against a large fleet with the report interval of a small one, which
// would exceed its limit for control traffic.
func TestReportingFollowsTheFleetsSize(t *testing.T) {
	cases := []struct {
		reporting ejection.Reporting
		servers   int
		want      ejection.Settings
	}{
		{ejection.ReportingAutomatic, 0, ejection.SmallFleetSettings()},
		{ejection.ReportingAutomatic, 30, ejection.SmallFleetSettings()},
		{ejection.ReportingAutomatic, 299, ejection.SmallFleetSettings()},
		{ejection.ReportingAutomatic, 300, ejection.LargeFleetSettings()},
		{ejection.ReportingAutomatic, 31_000, ejection.LargeFleetSettings()},
		{ejection.ReportingFrequent, 31_000, ejection.SmallFleetSettings()},
		{ejection.ReportingInfrequent, 30, ejection.LargeFleetSettings()},
		{"", 31_000, ejection.LargeFleetSettings()},
	}
	for _, c := range cases {
		if got := c.reporting.Settings(c.servers); got != c.want {
			t.Errorf("%q with %d servers: %+v, want %+v", c.reporting, c.servers, got, c.want)
		}
	}
}

// Guards against a leader that applies its own settings to all exit proxies: a server
// that reports every 5 s would count as unhealthy between two reports.
func TestSettingsMayDifferInAFleet(t *testing.T) {
	r := newTestService(8, ejection.Floor{Servers: 7})
	for i := 1; i < 8; i += 2 {
		r.collectors[i].SetSettings(ejection.LargeFleetSettings())
	}
	r.run(10*time.Second, healthy, false)
	for range 20 {
		r.run(time.Second, healthy, false)
		for _, s := range r.detector.Status(r.now) {
			if !s.Healthy {
				t.Fatalf("%s is not healthy at %v", s.Server, r.now)
			}
		}
	}
	if r.run(5*time.Second, failing(2, 1), true); len(r.ejected) != 1 || r.ejected[0].Server != "s01" {
		t.Errorf("ejections %+v, want s01", r.ejected)
	}
}
