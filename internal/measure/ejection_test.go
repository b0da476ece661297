package measure

import (
	"flag"
	"testing"
)

var (
	ejectionHours  = flag.Int("ejection.hours", defaultEjectionHours, "seeded hours of the ejection case")
	ejectionOnsets = flag.Int("ejection.onsets", defaultEjectionOnsets, "seeded onsets of the ejection case")
)

// Guards against slow detection and wrongful ejections; the bounds are those
// of design section 1.3.
func TestEjectionMeetsItsTargets(t *testing.T) {
	for _, r := range EjectionCase(*ejectionHours, *ejectionOnsets).Run(1) {
		t.Logf("%-9s %-32s %-26s %-32s %9.3f %-8s %-7s %v",
			r.Deployment, r.Fault, r.Policy, r.Metric, r.Value, r.Unit, r.Target, r.Pass)
		if !r.Pass {
			t.Errorf("%s, %s: %s is %.3f %s, want %s", r.Deployment, r.Fault, r.Metric, r.Value, r.Unit, r.Target)
		}
	}
}
