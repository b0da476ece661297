package soak

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a run that cannot be reproduced from its seed, and against faults
// that are still active when recovery is checked.
func TestScheduleIsDeterministicPerSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, hosts := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 40).Draw(t, "hosts")
		length := time.Duration(rapid.IntRange(16, 120).Draw(t, "seconds")) * time.Second
		faults := NewSchedule(seed, hosts, length)
		if !reflect.DeepEqual(faults, NewSchedule(seed, hosts, length)) {
			t.Fatal("two schedules of one seed differ")
		}
		last := time.Duration(0)
		for _, f := range faults {
			if f.At < max(last, warmUp) || f.At+f.Duration > length-settleTime || f.Host >= hosts || f.Kind == "" {
				t.Fatalf("%v", f)
			}
			last = f.At
		}
	})
}

// Guards against a recorded regression that can no longer be parsed, for example
// because a fault kind was renamed.
func TestRecordedRegressionsParse(t *testing.T) {
	known := map[FaultKind]bool{Overload: true, ZoneEvacuated: true, StoreRestored: true}
	for _, k := range faultKinds {
		known[k.kind] = true
	}
	for _, r := range Regressions {
		schedule := recordedSchedule(r.Seed)
		if len(schedule) == 0 || r.Cause == "" {
			t.Errorf("seed %d: %d faults, cause %q", r.Seed, len(schedule), r.Cause)
		}
		for _, f := range schedule {
			if !known[f.Kind] || f.Host >= 9 || f.At <= 0 || f.Duration <= 0 {
				t.Errorf("seed %d: %v", r.Seed, f)
			}
		}
	}
}

// Guards against a fault kind that is never scheduled.
func TestEveryFaultKindIsScheduled(t *testing.T) {
	seen := map[FaultKind]bool{}
	for seed := range uint64(60) {
		for _, f := range NewSchedule(seed, 9, 24*time.Second) {
			seen[f.Kind] = true
		}
	}
	for _, k := range occasionalKinds {
		if !seen[k.kind] {
			t.Errorf("%s is not scheduled by any of 60 seeds", k.kind)
		}
	}
	for _, k := range faultKinds {
		if !seen[k.kind] {
			t.Errorf("%s is not scheduled by any of 60 seeds", k.kind)
		}
	}
}
