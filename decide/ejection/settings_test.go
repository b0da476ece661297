package ejection_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// Guards against a fleet of the goal's size that reports at today's cost.
func TestReportingFollowsTheFleetsSize(t *testing.T) {
	cases := []struct {
		reporting ejection.Reporting
		servers   int
		want      ejection.Settings
	}{
		{ejection.Automatic, 0, ejection.Today()},
		{ejection.Automatic, 30, ejection.Today()},
		{ejection.Automatic, 299, ejection.Today()},
		{ejection.Automatic, 300, ejection.AtScale()},
		{ejection.Automatic, 31_000, ejection.AtScale()},
		{ejection.Often, 31_000, ejection.Today()},
		{ejection.Seldom, 30, ejection.AtScale()},
		{"", 31_000, ejection.AtScale()},
	}
	for _, c := range cases {
		if got := c.reporting.Settings(c.servers); got != c.want {
			t.Errorf("%q with %d servers: %+v, want %+v", c.reporting, c.servers, got, c.want)
		}
	}
}

// Guards against processes with differing settings that do not work together: a
// server that reports every 5 s must stay healthy at a keeper that expects more.
func TestSettingsMayDifferInAFleet(t *testing.T) {
	r := newRig(8, ejection.Floor{Servers: 7})
	for i := 1; i < 8; i += 2 {
		r.collectors[i].Use(ejection.AtScale())
	}
	r.run(10*time.Second, healthy, false)
	for range 20 {
		r.run(time.Second, healthy, false)
		for _, s := range r.judge.Status(r.now) {
			if !s.Healthy {
				t.Fatalf("%s is not healthy at %v", s.Server, r.now)
			}
		}
	}
	if r.run(5*time.Second, failing(2, 1), true); len(r.ejected) != 1 || r.ejected[0].Server != "s01" {
		t.Errorf("ejections %+v, want s01", r.ejected)
	}
}
