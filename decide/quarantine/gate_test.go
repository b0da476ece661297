package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

// Guards against a suspect that shares its server with other requests and a blocked
// request that starts.
func TestGateKeepsSuspectsAlone(t *testing.T) {
	g := quarantine.NewGate(1)
	clean := quarantine.FingerprintStatus{Fingerprint: 2}
	suspect := quarantine.FingerprintStatus{Fingerprint: 3, Standing: quarantine.Suspect, Generation: 7, CrashID: 9}
	steps := []struct {
		name string
		got  quarantine.Admission
		want quarantine.Admission
	}{
		{"first request", g.Enter(1, clean), quarantine.AdmitNow},
		{"suspect while a request runs", g.Enter(2, suspect), quarantine.AdmitLater},
		{"blocked request", g.Enter(3, quarantine.FingerprintStatus{Fingerprint: 4, Standing: quarantine.Blocked}), quarantine.Reject},
	}
	for _, s := range steps {
		if s.got != s.want {
			t.Errorf("%s: %v, want %v", s.name, s.got, s.want)
		}
	}
	g.Leave(epoch, 1, quarantine.Completed)
	if g.Enter(2, suspect) != quarantine.AdmitNow || g.Enter(1, clean) != quarantine.AdmitLater {
		t.Error("the suspect does not run alone")
	}
	want := []quarantine.Report{{Fingerprint: 3, Completed: true, RanAlone: true, Generation: 7, CrashID: 9}}
	if got := g.Leave(epoch, 2, quarantine.Completed); !slices.Equal(got, want) {
		t.Errorf("reports %v, want %v", got, want)
	}
}

// Guards against undetected crashes, fingerprints that are missing from the reports of
// a crash, and lost connections that are mistaken for a crash.
func TestGateDetectsCrashes(t *testing.T) {
	const lost, refused, completed = quarantine.ConnectionLost, quarantine.ReconnectRefused, quarantine.Completed
	for _, c := range []struct {
		name string
		ends []quarantine.RequestEnd // of requests that run at the same time
		gap  time.Duration           // between the ends
		want int                     // number of reported fingerprints
	}{
		{"connections lost and reconnects refused", []quarantine.RequestEnd{refused, refused, refused}, time.Millisecond, 3},
		{"one reconnect refused after two lost connections", []quarantine.RequestEnd{lost, lost, refused}, time.Millisecond, 3},
		{"all connections lost at once and the server restarts at once", []quarantine.RequestEnd{lost, lost, lost}, time.Millisecond, 3},
		{"one connection lost", []quarantine.RequestEnd{lost, completed, completed}, time.Millisecond, 0},
		{"two connections lost and one response complete", []quarantine.RequestEnd{lost, lost, completed}, time.Millisecond, 0},
		{"two connections lost, one response complete, one call canceled", []quarantine.RequestEnd{lost, lost, completed, quarantine.EndedOtherwise}, time.Millisecond, 0},
		{"connections lost one second apart", []quarantine.RequestEnd{lost, lost, lost}, time.Second, 0},
		{"one call canceled and the others' connections lost", []quarantine.RequestEnd{quarantine.EndedOtherwise, lost, lost}, time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := quarantine.NewGate(1)
			for id := range c.ends {
				g.Enter(uint64(id), quarantine.FingerprintStatus{Fingerprint: quarantine.Fingerprint(id + 1)})
			}
			var reports []quarantine.Report
			for id, end := range c.ends {
				reports = append(reports, g.Leave(epoch.Add(time.Duration(id)*c.gap), uint64(id), end)...)
			}
			if len(reports) != c.want {
				t.Fatalf("got reports %v, want %d", reports, c.want)
			}
			for _, r := range reports {
				if r.CrashID == 0 || r.CrashID != reports[0].CrashID || r.RanAlone {
					t.Errorf("got report %+v, want one of crash %d that did not run alone", r, reports[0].CrashID)
				}
			}
		})
	}
}

// Guards against an untracked request that hides a crash or that is reported for one.
func TestGateIgnoresUntrackedFingerprints(t *testing.T) {
	g := quarantine.NewGate(1)
	g.Enter(1, quarantine.FingerprintStatus{})
	g.Enter(2, quarantine.FingerprintStatus{Fingerprint: 5})
	if got := g.Leave(epoch, 1, quarantine.ReconnectRefused); len(got) != 1 || got[0].Fingerprint != 5 {
		t.Errorf("reports %v, want fingerprint 5 only", got)
	}
}
