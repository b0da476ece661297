package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

// Guards against a suspect that shares its server and a condemned request that
// starts.
func TestGateKeepsSuspectsAlone(t *testing.T) {
	g := quarantine.NewGate(1)
	clean := quarantine.Subject{Fingerprint: 2}
	suspect := quarantine.Subject{Fingerprint: 3, Standing: quarantine.Suspect, Version: 7, Crash: 9}
	steps := []struct {
		name string
		got  quarantine.Admission
		want quarantine.Admission
	}{
		{"first request", g.Enter(1, clean), quarantine.Start},
		{"suspect beside a request", g.Enter(2, suspect), quarantine.Wait},
		{"condemned request", g.Enter(3, quarantine.Subject{Fingerprint: 4, Standing: quarantine.Condemned}), quarantine.Refuse},
	}
	for _, s := range steps {
		if s.got != s.want {
			t.Errorf("%s: %v, want %v", s.name, s.got, s.want)
		}
	}
	g.Leave(epoch, 1, quarantine.Answered)
	if g.Enter(2, suspect) != quarantine.Start || g.Enter(1, clean) != quarantine.Wait {
		t.Error("the suspect does not run alone")
	}
	want := []quarantine.Report{{Fingerprint: 3, Clean: true, Alone: true, Version: 7, Crash: 9}}
	if got := g.Leave(epoch, 2, quarantine.Answered); !slices.Equal(got, want) {
		t.Errorf("reports %v, want %v", got, want)
	}
}

// Guards against crashes that go unnoticed, against fingerprints missing from
// the report of one, and against cut answers that are taken for crashes.
func TestGateNoticesCrashes(t *testing.T) {
	const cut, refused, answered = quarantine.Cut, quarantine.Refused, quarantine.Answered
	for _, c := range []struct {
		name string
		ends []quarantine.End // of requests that run together
		gap  time.Duration    // between them
		want int              // fingerprints reported
	}{
		{"connections reset and reopening refused", []quarantine.End{refused, refused, refused}, time.Millisecond, 3},
		{"noticed late", []quarantine.End{cut, cut, refused}, time.Millisecond, 3},
		{"all cut at once, server back at once", []quarantine.End{cut, cut, cut}, time.Millisecond, 3},
		{"one answer cut", []quarantine.End{cut, answered, answered}, time.Millisecond, 0},
		{"two answers cut beside a whole one", []quarantine.End{cut, cut, answered}, time.Millisecond, 0},
		{"two answers cut, a whole one, one left", []quarantine.End{cut, cut, answered, quarantine.Other}, time.Millisecond, 0},
		{"answers cut one after the other", []quarantine.End{cut, cut, cut}, time.Second, 0},
		{"one left, the others cut", []quarantine.End{quarantine.Other, cut, cut}, time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := quarantine.NewGate(1)
			for id := range c.ends {
				g.Enter(uint64(id), quarantine.Subject{Fingerprint: quarantine.Fingerprint(id + 1)})
			}
			var reports []quarantine.Report
			for id, end := range c.ends {
				reports = append(reports, g.Leave(epoch.Add(time.Duration(id)*c.gap), uint64(id), end)...)
			}
			if len(reports) != c.want {
				t.Fatalf("reports %v, want %d", reports, c.want)
			}
			for _, r := range reports {
				if r.Crash == 0 || r.Crash != reports[0].Crash || r.Alone {
					t.Errorf("report %+v of the crash %d", r, reports[0].Crash)
				}
			}
		})
	}
}

// Guards against requests that are not tracked hiding a crash, and against a
// crash that blames them.
func TestGateIgnoresUntrackedFingerprints(t *testing.T) {
	g := quarantine.NewGate(1)
	g.Enter(1, quarantine.Subject{})
	g.Enter(2, quarantine.Subject{Fingerprint: 5})
	if got := g.Leave(epoch, 1, quarantine.Refused); len(got) != 1 || got[0].Fingerprint != 5 {
		t.Errorf("reports %v, want fingerprint 5 only", got)
	}
}
