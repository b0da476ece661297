package measure

import (
	"flag"
	"strings"
	"testing"
)

var (
	ejectionHours  = flag.Int("ejection.hours", defaultEjectionHours, "seeded hours of the ejection case")
	ejectionOnsets = flag.Int("ejection.onsets", defaultEjectionOnsets, "seeded onsets of the ejection case")
	ejectionSeed   = flag.Uint64("ejection.seed", 1, "seed of the ejection case")
)

// Guards against slow detection and wrongful ejections; the limits are those of design
// section 1.3.
func TestEjectionMeetsItsTargets(t *testing.T) {
	parts := ejectionParts(*ejectionHours, *ejectionOnsets)
	rows := make([][]Row, len(parts))
	t.Run("parts", func(t *testing.T) {
		for i, p := range parts {
			t.Run(p.name, func(t *testing.T) {
				t.Parallel()
				rows[i] = p.run(*ejectionSeed)
			})
		}
	})
	for _, part := range rows {
		for _, r := range part {
			t.Logf("%-9s %-32s %-26s %-32s %9.3f %-8s %-7s %v",
				r.Deployment, r.Fault, r.Policy, r.Metric, r.Value, r.Unit, r.Target, r.Pass)
			if !r.Pass {
				t.Errorf("%s, %s: %s is %.3f %s, want %s\n%s", r.Deployment, r.Fault, r.Metric, r.Value, r.Unit, r.Target,
					strings.Join(r.Trace, "\n"))
			}
		}
	}
}

// Guards against two failures that appear with seed 4 and not in the registered case: a
// slow tail of detection times, and an ejection 2.5 s after the end of a gray failure.
func TestEjectionMeetsItsTargetsWithSeed4(t *testing.T) {
	const seed, hour = 4, 37
	kowhai := ejectionDeployments[0]
	for _, r := range detectionRows(kowhai, ejectionLoads[1], defaultEjectionOnsets, seed) {
		if !r.Pass {
			t.Errorf("%s: %s is %.3f %s, want %s", r.Fault, r.Metric, r.Value, r.Unit, r.Target)
		}
	}
	spec, load := kowhai.services[hour%len(kowhai.services)], ejectionLoads[0]
	h := newEjectionHour(ejectionRand(seed, 1_000_000+hour), spec, load, newFleetPolicy(spec, load.settings))
	if r := h.run(); r.wrongfulEjections > 0 {
		t.Errorf("healthy servers wrongly ejected: %v, want none", r.traces)
	}
}
