package soak

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a seed that cannot be played again, and against faults that are
// still there when recovery is judged.
func TestSchedulesFollowTheSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, hosts := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 40).Draw(t, "hosts")
		length := time.Duration(rapid.IntRange(16, 120).Draw(t, "seconds")) * time.Second
		actions := NewSchedule(seed, hosts, length)
		if !reflect.DeepEqual(actions, NewSchedule(seed, hosts, length)) {
			t.Fatal("two schedules of one seed differ")
		}
		last := time.Duration(0)
		for _, a := range actions {
			if a.At < max(last, warmUp) || a.At+a.For > length-settle || a.Host >= hosts || a.Kind == "" {
				t.Fatalf("%v", a)
			}
			last = a.At
		}
	})
}

// Guards against a recorded series that cannot be played any more.
func TestRegressionsAreReadable(t *testing.T) {
	known := map[Kind]bool{}
	for _, k := range kinds {
		known[k.kind] = true
	}
	for _, r := range Regressions {
		schedule := recorded(r.Seed)
		if len(schedule) == 0 || r.Cause == "" {
			t.Errorf("seed %d: %d faults, cause %q", r.Seed, len(schedule), r.Cause)
		}
		for _, a := range schedule {
			if !known[a.Kind] || a.Host >= 9 || a.At <= 0 || a.For <= 0 {
				t.Errorf("seed %d: %v", r.Seed, a)
			}
		}
	}
}

// Guards against kinds of faults that are never played.
func TestEveryKindIsPlayed(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(60) {
		for _, a := range NewSchedule(seed, 9, 24*time.Second) {
			seen[a.Kind] = true
		}
	}
	for _, k := range kinds {
		if !seen[k.kind] {
			t.Errorf("%s is not played in 60 seeds", k.kind)
		}
	}
}
