package measure

import (
	"sync"
	"testing"
)

var quotaRowsOnce = sync.OnceValue(func() []Row { return runQuota(1, quotaShortFaultRuns) })

func requireQuotaTargets(t *testing.T, metric string) {
	t.Helper()
	checked := 0
	for _, r := range quotaRowsOnce() {
		if r.Target == "" || r.Metric != metric {
			continue
		}
		checked++
		t.Logf("%s, %s: %s is %.6g %s, want %s", r.Deployment, r.Fault, r.Metric, r.Value, r.Unit, r.Target)
		if !r.Pass {
			t.Errorf("%s, %s: %s is %.6g %s, want %s", r.Deployment, r.Fault, r.Metric, r.Value, r.Unit, r.Target)
		}
	}
	if want := len(trafficDeployments) * len(quotaFaults); checked != want {
		t.Errorf("%d figures with a target, want %d", checked, want)
	}
}

// Guards against a team that gets more than its rate and burst summed over all hosts,
// with and without faults (invariant I5).
func TestQuotaNeverExceedsTheRate(t *testing.T) {
	requireQuotaTargets(t, "excess over rate * w + burst")
}

// Guards against too many requests refused although within the rate; the limits are
// those of design section 1.3.
func TestQuotaMeetsItsRefusalTargets(t *testing.T) {
	requireQuotaTargets(t, "refused within the rate")
}

// Guards against figures that differ between two runs with the same seed.
func TestQuotaIsRepeatable(t *testing.T) {
	d, fault := trafficDeployments[0], quotaFaults[1]
	if first, second := quotaRun(d, fault, 3), quotaRun(d, fault, 3); first != second {
		t.Errorf("two runs with the same seed differ: %+v and %+v", first, second)
	}
}
