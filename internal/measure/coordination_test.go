package measure

import "testing"

// requireTargets logs the rows and fails the test for each missed target.
func requireTargets(t *testing.T, rows []Row) {
	t.Helper()
	for _, r := range rows {
		t.Logf("%-13s %-44s %-33s %-52s %9.4f %-6s %-9s %s",
			r.Deployment, r.Fault, r.Policy, r.Metric, r.Value, r.Unit, r.Target, r.Result())
		if !r.Pass {
			t.Errorf("%s, %s: %s is %g %s, want %s", r.Deployment, r.Fault, r.Metric, r.Value, r.Unit, r.Target)
		}
	}
}

// Guards against a new configuration version or a key withdrawal that takes effect
// later than design section 1.3 allows, and against processes that return to an older
// version.
func TestSpreadMeetsItsTargets(t *testing.T) {
	requireTargets(t, runSpread(1))
}

// splitByCutZone separates the rows of refusals over all entries under faults that
// isolate a zone from the other rows.
func splitByCutZone(rows []Row) (cut, rest []Row) {
	cutting := make(map[string]bool)
	for _, f := range ledgerFaults {
		cutting[f.name] = f.isolatesZone
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

// Guards against an idempotency key that is executed twice, and against more wrongful
// refusals of keyed requests than design section 1.3 allows.
func TestLedgerMeetsItsTargets(t *testing.T) {
	_, rows := splitByCutZone(runLedger(1))
	requireTargets(t, rows)
}

// Guards against wrongful refusals over all entries, including those in an isolated
// zone.
func TestLedgerServesACutZone(t *testing.T) {
	rows, _ := splitByCutZone(runLedger(1))
	requireTargets(t, rows)
}

// Guards against a leaving process that still gets work after the time limit of design
// section 1.3, and against false suspicions of running processes.
func TestMembershipMeetsItsTargets(t *testing.T) {
	requireTargets(t, runMembership(1))
}
