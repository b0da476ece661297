package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against failures of calls that are not repaired while the retries of
// other entries lie idle, and against an ask for each failure while all are spent.
func TestSharedRetriesAreAskedForWhenTheOwnAreSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []notice.Purpose
		b := &Budgets{Window: 10 * time.Second, Share: 0.5, Submit: func(_ context.Context, ev control.Event) error {
			wanted := ev.(mesh.TokenRequest)
			asked = append(asked, wanted.Purpose)
			wanted.Reply <- mesh.TokenDecision{Granted: len(asked) == 1}
			return nil
		}}
		own := b.get("roster")
		own.Deposit(time.Now())
		own.Deposit(time.Now())
		call, caller := &pipeline.Request{Service: "roster"}, &pipeline.Request{Service: "roster"}
		caller.Principal.Team = "acme"
		pay := func(req *pipeline.Request) bool {
			r := run{filter: &Filter{Budgets: b}, budget: own, req: req}
			return r.pay(t.Context())
		}
		if !pay(call) || len(asked) != 0 {
			t.Errorf("asked %d times while the own budget holds a retry", len(asked))
		}
		if !pay(call) || len(asked) != 1 || asked[0] != notice.ForCallRetry {
			t.Errorf("asked %v, want one ask for a call", asked)
		}
		first, second := pay(caller), pay(caller)
		if first || second || len(asked) != 2 || asked[1] != notice.ForCallerRetry {
			t.Errorf("asked %v, want one denied ask for a caller", asked)
		}
		<-time.After(deniedMemory)
		if pay(call) || len(asked) != 3 {
			t.Errorf("asked %d times, want another one later", len(asked))
		}
	})
}
