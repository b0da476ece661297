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

// Guards against slow detection and wrongful ejections; the bounds are those
// of design section 1.3.
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
