package node

import (
	"testing"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/filters/send"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against a crashing request that gets healthy backend servers ejected,
// and against a suspect that hides the failures of a bad one.
func TestCrashUnderASuspectIsExcused(t *testing.T) {
	for _, c := range []struct {
		suspect bool
		end     pipeline.RunResult
		want    ejection.Outcome
	}{
		{true, pipeline.RunBackendCrashed, ejection.Ignored},
		{true, pipeline.RunConnectionLost, ejection.Failure},
		{true, pipeline.RunNotObserved, ejection.Failure},
		{false, pipeline.RunBackendCrashed, ejection.Failure},
	} {
		o := send.Observation{Request: &pipeline.Request{CrashSuspect: c.suspect, RunResult: c.end}, Outcome: send.Crashed}
		if got := ejectionOutcome(o); got != c.want {
			t.Errorf("suspect %t, end %d: %d, want %d", c.suspect, c.end, got, c.want)
		}
	}
}
