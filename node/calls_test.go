package node

import (
	"testing"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/filters/send"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against ejecting healthy backend servers because of a request that crashes
// them, and against ignoring other failures of a backend server while it runs a suspect
// request.
func TestCrashUnderSuspectIsIgnored(t *testing.T) {
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
			t.Errorf("suspect %t, run result %d: outcome %d, want %d", c.suspect, c.end, got, c.want)
		}
	}
}
