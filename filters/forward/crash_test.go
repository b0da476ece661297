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

// crashingSender answers as the exits of backend servers that crash under each
// attempt, and notes whether an attempt was sent as a suspect.
type crashingSender struct {
	path    fleet.PathError
	suspect []string
}

func (s *crashingSender) Do(_ context.Context, req *pipeline.Request, _, _ string) fleet.HopAnswer {
	kind := "beside others"
	if req.CrashSuspect {
		kind = "alone"
	}
	s.suspect = append(s.suspect, kind)
	return fleet.HopAnswer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, ""), Path: s.path}
}

// manyTargets always has one more target.
type manyTargets struct{}

func (manyTargets) Next() (pipeline.Target, bool) {
	return pipeline.Target{Stats: &balance.Member{}}, true
}

func (manyTargets) Untried() int { return 10 }

// Guards against an entry that carries a crashing request from one backend server
// to the next before the news of the crashes arrive, and against suspicion of a
// request whose path to the exit broke.
func TestCrashingRequestIsSentTwiceAtMost(t *testing.T) {
	for _, c := range []struct {
		path fleet.PathError
		want string
	}{
		{fleet.PathOK, "beside others, alone"},
		{fleet.PathBroken, "beside others, beside others, beside others"},
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
		for range 1000 { // enough earlier requests to pay for the retries
			f.Policies.Get(control.RetryPolicyKey{}).Budget.Deposit()
		}
		result := f.Handle(t.Context(), req)
		if got := strings.Join(sender.suspect, ", "); got != c.want || result.Code != pipeline.CodeConnectionLost {
			t.Errorf("sent %s, want %s; code %v", got, c.want, result.Code)
		}
	}
}
