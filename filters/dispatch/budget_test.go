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

// Guards against failed calls that are not retried although other entry proxies have
// unused retries, and against a request for a shared retry after every failure while
// the shared budget is exhausted.
func TestSharedRetriesAreRequestedWhenLocalBudgetIsExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requested []notice.Purpose
		b := &RetryBudgets{Window: 10 * time.Second, RetriesPerRequest: 0.5, Submit: func(_ context.Context, ev control.Event) error {
			wanted := ev.(mesh.TokenRequest)
			requested = append(requested, wanted.Purpose)
			wanted.Reply <- mesh.TokenDecision{Granted: len(requested) == 1}
			return nil
		}}
		local := b.forService("roster")
		local.Deposit(time.Now())
		local.Deposit(time.Now())
		call, caller := &pipeline.Request{Service: "roster"}, &pipeline.Request{Service: "roster"}
		caller.Principal.Team = "acme"
		withdraw := func(req *pipeline.Request) bool {
			r := requestState{filter: &Filter{Budgets: b}, budget: local, req: req}
			return r.withdrawRetry(t.Context())
		}
		if !withdraw(call) || len(requested) != 0 {
			t.Errorf("requested %d shared retries while the local budget holds a retry", len(requested))
		}
		if !withdraw(call) || len(requested) != 1 || requested[0] != notice.ForCallRetry {
			t.Errorf("requested %v, want one shared retry for a call", requested)
		}
		first, second := withdraw(caller), withdraw(caller)
		if first || second || len(requested) != 2 || requested[1] != notice.ForCallerRetry {
			t.Errorf("requested %v, want one denied retry for a caller", requested)
		}
		<-time.After(deniedBackoff)
		if withdraw(call) || len(requested) != 3 {
			t.Errorf("requested %d shared retries, want another one after the backoff", len(requested))
		}
	})
}
