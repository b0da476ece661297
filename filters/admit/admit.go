// Package admit spends a token of the team for each request, so that the team
// stays within its rate and burst counted over the whole fleet.
package admit

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter takes tokens at hand without the control loop and asks it for more
// when there are none.
type Filter struct {
	Shares *control.TokenCacheTable
	// Submit hands an event to the control loop.
	Submit func(ctx context.Context, ev control.Event) error
	// Post hands an event to the control loop without waiting.
	Post func(ev control.Event) bool
}

// Name returns "admit".
func (f *Filter) Name() string { return "admit" }

// Handle refuses a request of a team that has used its rate and burst. Requests
// without a team are on routes open to all and are not counted.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	team := req.Principal.Team
	if team == "" {
		return nil
	}
	decision := quota.Pending
	if share := f.Shares.Lookup(team); share != nil {
		decision = share.TakeChecked(time.Now)
	}
	switch decision {
	case quota.Admit:
		f.Post(control.TokenSpent{Team: team})
		return nil
	case quota.Refuse:
		return pipeline.Refuse(pipeline.CodeRateExceeded, "")
	}
	return f.ask(ctx, req)
}

// settle turns the decision for a request that waited into a result, nil to go
// on. Only a refusal by a keeper says that the team is over its rate; a request
// for which no keeper answered may be tried at another exit.
func settle(decision quota.Decision) *pipeline.Result {
	switch decision {
	case quota.Admit:
		return nil
	case quota.Refuse:
		return pipeline.Refuse(pipeline.CodeRateExceeded, "")
	}
	return pipeline.Refuse(pipeline.CodeQuotaUnavailable, "")
}

func (f *Filter) ask(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	reply := make(chan quota.Decision, 1)
	wanted := control.TokenRequested{Team: req.Principal.Team, Deadline: req.Deadline, Reply: reply}
	if err := f.Submit(ctx, wanted); err != nil {
		return pipeline.Refuse(pipeline.CodeQuotaUnavailable, "")
	}
	select {
	case decision := <-reply:
		return settle(decision)
	case <-ctx.Done():
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
}
