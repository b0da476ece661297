package room

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests that leave for a zone that is as full as their own, and against a
// cost that rises while the zone fills up.
func TestLeavingGetsCheaperOnlyTowardsEmptierZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := rapid.Float64Range(0, noRoom).Draw(t, "local")
		fuller := rapid.Float64Range(local, noRoom).Draw(t, "fuller")
		other := rapid.Float64Range(0, noRoom).Draw(t, "other")
		bytes := rapid.IntRange(0, 100_000).Draw(t, "bytes")
		whole := LeaveCost(0, 0, bytes)
		cost := LeaveCost(local, other, bytes)
		if cost > whole || cost < minLeaveShare*whole-1e-9 {
			t.Fatalf("cost %.3f, without need %.3f", cost, whole)
		}
		if LeaveCost(fuller, other, bytes) > cost {
			t.Fatalf("the cost rises from a zone at %.2f to one at %.2f", local, fuller)
		}
		if there, back := cost, LeaveCost(other, local, bytes); there < whole && back < whole {
			t.Fatalf("leaving is cheaper in both directions between %.2f and %.2f", local, other)
		}
	})
}

// Guards against a service without sound servers in a zone that counts as having room.
func TestServersInAGrayFailureAreNoRoom(t *testing.T) {
	var sound, failing, none Use
	sound.Add(Server{Slots: 5, Running: 2})
	failing.Add(Server{Slots: 5, Running: 2})
	failing.Add(Server{Slots: 5, GrayFailureProbability: 1})
	if sound.utilization() != 0.4 || failing.utilization() != 0.4 || none.utilization() != noRoom {
		t.Errorf("utilization %.2f, %.2f and %.2f", sound.utilization(), failing.utilization(), none.utilization())
	}
}

// Guards against zones that react to single reports.
func TestUtilizationIsSmoothed(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	z := Zone{}.Update(start, Use{slots: 10, busy: 4})
	if z.Utilization != 0.4 {
		t.Errorf("the first observation gives %.2f", z.Utilization)
	}
	z = z.Update(start.Add(100*time.Millisecond), Use{slots: 10, busy: 14})
	if z.Utilization > 0.6 {
		t.Errorf("one report raises the utilization to %.2f", z.Utilization)
	}
	for i := range 40 {
		z = z.Update(start.Add(time.Duration(i+2)*100*time.Millisecond), Use{slots: 10, busy: 14})
	}
	if z.Utilization < 1.3 {
		t.Errorf("utilization %.2f after four seconds at 1.4", z.Utilization)
	}
}
