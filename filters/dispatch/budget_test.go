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

// Guards against calls of retried requests that exceed the retry budget of their service,
// and against refusing them while the owner of the shared budget is away.
func TestCallsOfRetriedRequestsKeepToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decision := mesh.TokenDecision{Granted: true, Source: "owner"}
		asked := 0
		b := &RetryBudgets{Window: 10 * time.Second, RetriesPerRequest: 1, Submit: func(_ context.Context, ev control.Event) error {
			if wanted := ev.(mesh.TokenRequest); wanted.Purpose == notice.ForCallOfRetry {
				asked++
				wanted.Reply <- decision
			}
			return nil
		}}
		local := b.forService("roster")
		local.Deposit(time.Now())
		if !b.chargeCall(t.Context(), local, "roster", 1) || asked != 0 {
			t.Errorf("asked %d times while the local budget holds a retry", asked)
		}
		if !b.chargeCall(t.Context(), local, "roster", 0) || !b.chargeCall(t.Context(), local, "roster", 1) || asked != 1 {
			t.Errorf("asked %d times, want once for the second call of a retried request", asked)
		}
		decision.Granted = false
		if b.chargeCall(t.Context(), local, "roster", 1) {
			t.Error("a call was permitted although no budget is left")
		}
		decision.Source = mesh.DecidedAlone
		if !b.chargeCall(t.Context(), local, "roster", 1) {
			t.Error("a call was refused because the owner did not answer")
		}
	})
}
