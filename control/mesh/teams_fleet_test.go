package mesh

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawFleet(t *rapid.T) *testFleet {
	rate := rapid.Float64Range(2, 60).Draw(t, "rate")
	burst := rate * rapid.Float64Range(0.5, 2).Draw(t, "burst_seconds")
	return newTestFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 30).Draw(t, "hosts"), rate, burst)
}

// Guards against a team that gets more than its limit after all hosts have restarted.
func TestRestartOfAllHostsKeepsATeamWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		demand := f.team.Rate * rapid.Float64Range(2, 10).Draw(t, "demand")
		f.startAll(300*time.Millisecond, 300*time.Millisecond)
		f.advance(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "idle_ms")) * time.Millisecond)
		f.generate(demand, 20*time.Second)
		f.advance(time.Duration(rapid.IntRange(0, 8_000).Draw(t, "kill_after_ms")) * time.Millisecond)
		for _, host := range f.hosts {
			f.kill(host)
		}
		f.advance(time.Duration(rapid.IntRange(100, 1_000).Draw(t, "down_ms")) * time.Millisecond)
		f.startAll(300*time.Millisecond, 300*time.Millisecond)
		f.advance(8 * time.Second)
		if most := f.mostGranted(); float64(most) > f.permitted() {
			t.Fatalf("%d tokens within %v, permitted %.1f", most, fleetTolerance.Window, f.permitted())
		}
	})
}

// Guards against several owners of a team while restarted processes have not heard all
// others yet.
func TestRestartedProcessesAgreeOnOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.startAll(300*time.Millisecond, 300*time.Millisecond)
		f.generate(f.team.Rate*3, 4*time.Second)
		f.advance(4 * time.Second)
		if len(f.owners) != 1 {
			t.Fatalf("%d owners: %v", len(f.owners), f.owners)
		}
	})
}

// Guards against a team that gets more than its limit while some hosts are cut off from
// the others and decide locally.
func TestPartitionKeepsATeamWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.startAll(300*time.Millisecond, 300*time.Millisecond)
		f.advance(8 * time.Second)
		f.generate(f.team.Rate*rapid.Float64Range(2, 10).Draw(t, "demand"), 20*time.Second)
		f.advance(time.Duration(rapid.IntRange(0, 6_000).Draw(t, "cut_after_ms")) * time.Millisecond)
		for _, host := range f.hosts[:rapid.IntRange(1, len(f.hosts)-1).Draw(t, "cut_hosts")] {
			f.cut[host] = true
		}
		f.advance(9 * time.Second)
		if most := f.mostGranted(); float64(most) > f.permitted() {
			t.Fatalf("%d tokens within %v, permitted %.1f", most, fleetTolerance.Window, f.permitted())
		}
	})
}

// Guards against a process that becomes the owner of a team with tokens from before: of
// an earlier ownership, or since another owner was lost.
func TestChangesOfTheOwnerKeepATeamWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.startAll(300*time.Millisecond, 300*time.Millisecond)
		f.advance(4 * time.Second)
		f.generate(f.team.Rate*rapid.Float64Range(2, 10).Draw(t, "demand"), 40*time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			f.advance(time.Duration(rapid.IntRange(100, 6_000).Draw(t, "pause_ms")) * time.Millisecond)
			cut := rapid.Bool().Draw(t, "cut")
			for host := range f.owners {
				f.cut[host] = cut
				if !cut {
					f.kill(host)
				}
			}
			f.advance(time.Duration(rapid.IntRange(300, 6_000).Draw(t, "absent_ms")) * time.Millisecond)
			for _, host := range f.hosts {
				if f.processes[host] == nil {
					f.start(host, 50*time.Millisecond)
				}
			}
			clear(f.cut)
		}
		f.advance(5 * time.Second)
		if most := f.mostGranted(); float64(most) > f.permitted() {
			t.Fatalf("%d tokens within %v, permitted %.1f", most, fleetTolerance.Window, f.permitted())
		}
	})
}
