package measure

import "testing"

// requireTargets judges the rows of a case with seed 1.
func requireTargets(t *testing.T, run func(seed uint64) []Row) {
	t.Helper()
	for _, r := range run(1) {
		t.Logf("%-13s %-42s %-33s %-52s %9.4f %-6s %-9s %s",
			r.Deployment, r.Fault, r.Policy, r.Metric, r.Value, r.Unit, r.Target, r.Verdict())
		if !r.Pass {
			t.Errorf("%s, %s: %s is %g %s, want %s", r.Deployment, r.Fault, r.Metric, r.Value, r.Unit, r.Target)
		}
	}
}

// Guards against a configuration change or a withdrawn key that takes longer than
// design section 1.3 allows, and against a version that goes back.
func TestSpreadMeetsItsTargets(t *testing.T) {
	requireTargets(t, runSpread)
}
