// Package admit takes a rate-limit token for each request of a team. The rate and
// burst of a team apply to the whole fleet.
package admit

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter takes tokens from the team's token cache. If the cache cannot decide, it
// requests a token from the control loop.
type Filter struct {
	TokenCaches *control.TokenCacheTable
	// Submit sends an event to the control loop.
	Submit func(ctx context.Context, ev control.Event) error
	// Post sends an event to the control loop without waiting.
	Post func(ev control.Event) bool
}

// Name returns "admit".
func (f *Filter) Name() string { return "admit" }

// Handle refuses a request of a team that has exhausted its rate and burst.
// Requests without a team use open routes and are not limited.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	team := req.Principal.Team
	if team == "" {
		return nil
	}
	decision := quota.Pending
	if cache := f.TokenCaches.Lookup(team); cache != nil {
		decision = cache.TakeChecked(time.Now)
	}
	switch decision {
	case quota.Admit:
		f.Post(control.TokenSpent{Team: team})
		return nil
	case quota.Refuse:
		return pipeline.Refuse(pipeline.CodeRateExceeded, "")
	}
	return f.requestToken(ctx, req)
}

// resultFor returns the result for a decision of the control loop, or nil if the
// request is admitted. Only a refusal by a leader means that the team is over its
// rate. A request for which no leader answered may be tried at another exit proxy.
func resultFor(decision quota.Decision) *pipeline.Result {
	switch decision {
	case quota.Admit:
		return nil
	case quota.Refuse:
		return pipeline.Refuse(pipeline.CodeRateExceeded, "")
	}
	return pipeline.Refuse(pipeline.CodeQuotaUnavailable, "")
}

// requestToken waits until the control loop has decided on the request.
func (f *Filter) requestToken(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	reply := make(chan quota.Decision, 1)
	wanted := control.TokenRequested{Team: req.Principal.Team, Deadline: req.Deadline, Reply: reply}
	if err := f.Submit(ctx, wanted); err != nil {
		return pipeline.Refuse(pipeline.CodeQuotaUnavailable, "")
	}
	select {
	case decision := <-reply:
		return resultFor(decision)
	case <-ctx.Done():
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
}
