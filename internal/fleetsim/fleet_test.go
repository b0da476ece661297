package fleetsim

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// Guards against refusing requests within the rate because no leader is found or no
// token is granted: without faults at most 1 in 10,000 may be refused.
func TestFleetServes(t *testing.T) {
	const (
		requests = 20_000
		interval = 12500 * time.Microsecond // 80 requests/s
		start    = 8 * time.Second          // buckets are full by then
	)
	cfg := Config{
		Seed:  1,
		Hosts: Hosts(26, "a", "b", "c", "d"), SameZoneLatency: 200 * time.Microsecond, CrossZoneLatency: 500 * time.Microsecond,
		Jitter: 200 * time.Microsecond, MaxClockSlowdown: 0.0196,
	}
	limit := quota.Limit{Rate: 100, Burst: 50, Version: 1}
	f := New(cfg, map[string]quota.Limit{"team": limit})
	decided, admitted := 0, 0
	for i := range requests {
		f.At(start+time.Duration(i)*interval, func() {
			f.Request(cfg.Hosts[f.rng.IntN(len(cfg.Hosts))].ID, "team", func(d quota.Decision) {
				decided++
				if d == quota.Admit {
					admitted++
				}
			})
		})
	}
	f.Run(start + requests*interval + time.Second)
	if decided != requests {
		t.Errorf("%d of %d requests were decided", decided, requests)
	}
	if refused := requests - admitted; refused > requests/10_000 {
		t.Errorf("%d of %d requests within the rate were not admitted, want at most 1 in 10,000", refused, requests)
	}
	if excess := Excess(f.Admissions, "team", []LimitChange{{Limit: limit}}, 0); excess > 0 {
		t.Errorf("admitted %.3f more than rate * w + burst in a window", excess)
	}
}

// Guards against an Excess that overlooks a violated bound: all other tests of the
// admission bound rely on it.
func TestExcess(t *testing.T) {
	limits := []LimitChange{{Limit: quota.Limit{Rate: 1, Burst: 2}}}
	at := func(times ...time.Duration) []Admission {
		var all []Admission
		for _, at := range times {
			all = append(all, Admission{At: at, Team: "team"})
		}
		return all
	}
	for _, c := range []struct {
		admitted []Admission
		want     float64
	}{
		{at(0, 0), 0},
		{at(0, 0, 0), 1},
		{at(0, 0, time.Second), 0},
		{at(0, 0, time.Second/2), 0.5},
		{at(0, 10*time.Second, 10*time.Second, 10*time.Second), 1},
	} {
		if got := Excess(c.admitted, "team", limits, 0); got != c.want {
			t.Errorf("Excess(%v) = %v, want %v", c.admitted, got, c.want)
		}
	}
}
