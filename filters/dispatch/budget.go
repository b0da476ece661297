package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/retry"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// RetryBudgets holds the retry budget of this entry proxy for each service. Its own
// requests earn the local budget. If that is exhausted, it requests a retry from the
// budget that the fleet shares.
type RetryBudgets struct {
	Window            time.Duration
	RetriesPerRequest float64 // retries earned by each request
	// Submit sends an event to the control loop.
	Submit    func(ctx context.Context, ev control.Event) error
	byService sync.Map // service name to *retryBudget
}

// retryBudget is the local retry budget for one service.
type retryBudget struct {
	*retry.WindowedBudget
	lastDenied atomic.Int64 // when a shared retry was last denied, in Unix nanoseconds
}

// deniedBackoff is the time after a denial in which no shared retry is requested. It
// limits the number of requests to the fleet while a whole service is failing.
const deniedBackoff = 100 * time.Millisecond

// forService returns the budget for a service and creates it if necessary.
func (b *RetryBudgets) forService(service string) *retryBudget {
	if known, ok := b.byService.Load(service); ok {
		return known.(*retryBudget)
	}
	created, _ := b.byService.LoadOrStore(service, &retryBudget{WindowedBudget: retry.NewWindowedBudget(b.Window, b.RetriesPerRequest, 0)})
	return created.(*retryBudget)
}

// recentlyDenied reports whether a shared retry was denied within deniedBackoff.
func (b *retryBudget) recentlyDenied(now time.Time) bool {
	return now.UnixNano()-b.lastDenied.Load() < int64(deniedBackoff)
}

// retryLikelyAvailable reports whether a retry would probably be granted.
func (b *retryBudget) retryLikelyAvailable(now time.Time) bool {
	return b.Balance(now) >= 1 || !b.recentlyDenied(now)
}

// chargeCall charges a call of a backend server that was made on behalf of a retried request
// with the given probability: the call counts as a retry at its own service, too. It reports
// false if the call has to be refused because neither the local budget nor the shared one
// has a retry left.
func (b *RetryBudgets) chargeCall(ctx context.Context, local *retryBudget, service string, retryProbability float64) bool {
	switch {
	case retryProbability <= 0 || (retryProbability >= 1 && local.TryWithdraw(time.Now())):
		return true
	case retryProbability >= 1:
		decision, answered := b.request(ctx, mesh.TokenRequest{Purpose: notice.ForCallOfRetry, Service: service})
		if answered && decision.Source != mesh.DecidedAlone {
			return decision.Granted
		}
	}
	local.Charge(time.Now(), retryProbability)
	return true
}

// requestSharedRetry requests a retry from the budget that the fleet shares. It
// reports whether the retry was granted.
func (b *RetryBudgets) requestSharedRetry(ctx context.Context, local *retryBudget, req *pipeline.Request) bool {
	if local.recentlyDenied(time.Now()) {
		return false
	}
	wanted := mesh.TokenRequest{Purpose: notice.ForCallRetry, Service: req.Service}
	if req.Principal.Team != "" {
		wanted.Purpose = notice.ForCallerRetry
	}
	decision, answered := b.request(ctx, wanted)
	if answered && !decision.Granted {
		local.lastDenied.Store(time.Now().UnixNano())
	}
	return decision.Granted
}

// request asks the control loop for a shared retry. It reports false if there is no answer.
func (b *RetryBudgets) request(ctx context.Context, wanted mesh.TokenRequest) (decision mesh.TokenDecision, answered bool) {
	wanted.Reply = make(chan mesh.TokenDecision, 1)
	if b.Submit(ctx, wanted) != nil {
		return mesh.TokenDecision{}, false
	}
	select {
	case decision := <-wanted.Reply:
		return decision, true
	case <-ctx.Done():
		return mesh.TokenDecision{}, false
	}
}
