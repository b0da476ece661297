package forward

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/decide/path"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// crashingSender simulates exit proxies whose backend servers crash on each
// attempt. It records whether an attempt was sent as a suspect.
type crashingSender struct {
	path    fleet.PathError
	suspect []string
}

func (s *crashingSender) Do(_ context.Context, req *pipeline.Request, _, _ string) fleet.HopAnswer {
	kind := "not alone"
	if req.CrashSuspect {
		kind = "alone"
	}
	s.suspect = append(s.suspect, kind)
	return fleet.HopAnswer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, ""), Path: s.path}
}

// manyTargets never runs out of targets.
type manyTargets struct{}

func (manyTargets) Next() (pipeline.Target, bool) {
	return pipeline.Target{Stats: &balance.Member{}}, true
}

func (manyTargets) Untried() int { return 10 }

// Guards against an entry proxy that retries a crashing request on one backend
// server after another before the reports of the crashes arrive, and against
// treating a request as a suspect because the path to the exit proxy broke.
func TestCrashingRequestIsSentTwiceAtMost(t *testing.T) {
	for _, c := range []struct {
		path fleet.PathError
		want string
	}{
		{fleet.PathOK, "not alone, alone"},
		{fleet.PathConnLost, "not alone, not alone, not alone"},
	} {
		sender := &crashingSender{path: c.path}
		f := &Filter{
			Sender:      sender,
			Policies:    &control.RetryPolicies{},
			ObservePath: func(path.Observation) {},
			NewID:       func() string { return "attempt" },
		}
		req := &pipeline.Request{
			Deadline: time.Now().Add(time.Minute), Targets: manyTargets{}, Class: pipeline.Class{Idempotent: true},
		}
		for range 1000 { // fills the retry budget
			f.Policies.Get(control.RetryPolicyKey{}).Budget.Deposit()
		}
		result := f.Handle(t.Context(), req)
		if got := strings.Join(sender.suspect, ", "); got != c.want || result.Code != pipeline.CodeConnectionLost {
			t.Errorf("sent %s, want %s; code %v", got, c.want, result.Code)
		}
	}
}
