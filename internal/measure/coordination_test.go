package measure

import "testing"

// requireTargets judges rows that were measured with seed 1.
func requireTargets(t *testing.T, rows []Row) {
	t.Helper()
	for _, r := range rows {
		t.Logf("%-13s %-44s %-33s %-52s %9.4f %-6s %-9s %s",
			r.Deployment, r.Fault, r.Policy, r.Metric, r.Value, r.Unit, r.Target, r.Verdict())
		if !r.Pass {
			t.Errorf("%s, %s: %s is %g %s, want %s", r.Deployment, r.Fault, r.Metric, r.Value, r.Unit, r.Target)
		}
	}
}

// Guards against a configuration change or a withdrawn key that takes longer than
// design section 1.3 allows, and against a version that goes back.
func TestSpreadMeetsItsTargets(t *testing.T) {
	requireTargets(t, runSpread(1))
}

// splitByCutZone separates the refusals at all entries while a zone is cut off.
func splitByCutZone(rows []Row) (cut, rest []Row) {
	cutting := make(map[string]bool)
	for _, f := range ledgerFaults {
		cutting[f.name] = f.cuts
	}
	for _, r := range rows {
		if cutting[r.Fault] && r.Metric == refusedMetric {
			cut = append(cut, r)
		} else {
			rest = append(rest, r)
		}
	}
	return cut, rest
}

// Guards against a key that runs twice, and against refusals of keyed requests
// beyond what design section 1.3 allows.
func TestLedgerMeetsItsTargets(t *testing.T) {
	_, rows := splitByCutZone(runLedger(1))
	requireTargets(t, rows)
}

// Guards against refusals at all entries, also those in a zone that is cut off.
func TestLedgerServesACutZone(t *testing.T) {
	rows, _ := splitByCutZone(runLedger(1))
	requireTargets(t, rows)
}

// Guards against a leaving process that goes on to get work beyond the time of
// design section 1.3, and against processes that are suspected although they run.
func TestMembershipMeetsItsTargets(t *testing.T) {
	requireTargets(t, runMembership(1))
}
