package quarantine

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against blocked requests that are not refused, suspects that are not
// marked, and a process without quarantine state that refuses every request.
func TestFilterFollowsTheStandings(t *testing.T) {
	const suspect, blocked, other = 1, 2, 3
	now := time.Now()
	tracker := quarantine.NewTracker()
	tracker.OnCrash(now, 10, []quarantine.Fingerprint{suspect, blocked})
	tracker.OnReport(now, quarantine.Report{CrashID: 11, Fingerprint: blocked, RanAlone: true, Generation: 1})
	for _, c := range []struct {
		table       *quarantine.Snapshot
		fingerprint uint64
		code        pipeline.Code
		suspect     bool
	}{
		{tracker.Snapshot(), suspect, pipeline.CodeOK, true},
		{tracker.Snapshot(), blocked, pipeline.CodeQuarantined, false},
		{tracker.Snapshot(), other, pipeline.CodeOK, false},
		{tracker.Snapshot(), 0, pipeline.CodeOK, false},
		{nil, blocked, pipeline.CodeOK, false},
	} {
		f := &Filter{Snapshot: func() *control.Snapshot { return &control.Snapshot{Quarantine: c.table} }}
		req := &pipeline.Request{Fingerprint: c.fingerprint}
		result := f.Handle(t.Context(), req)
		if result == nil {
			result = &pipeline.Result{}
		}
		if result.Code != c.code || req.CrashSuspect != c.suspect {
			t.Errorf("fingerprint %d: code %v, suspect %t", c.fingerprint, result.Code, req.CrashSuspect)
		}
		if c.code != pipeline.CodeOK && (result.Outcome != pipeline.NotRun || result.RetryAfter <= 4*time.Minute) {
			t.Errorf("fingerprint %d: outcome %v, retry after %v", c.fingerprint, result.Outcome, result.RetryAfter)
		}
	}
}
