// Package ratelimit enforces the rate limit of each team over all hosts.
package ratelimit

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter requests a token from the control loop for each request of a team with a
// rate limit.
type Filter struct {
	Snapshot func() *mesh.Snapshot
	// Submit sends an event to the control loop.
	Submit func(ctx context.Context, ev control.Event) error
	// Metrics counts the decisions by their source.
	Metrics *metrics.Set
}

// Name returns "ratelimit".
func (f *Filter) Name() string { return "ratelimit" }

// maxRetryAfter is the upper bound of Retry-After: a team that is far over its rate
// may be within it a second later.
const maxRetryAfter = time.Second

// Handle refuses a request of a team that has exhausted its rate.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	if req.Principal.Team == "" {
		return nil
	}
	team, ok := f.Snapshot().Table.TeamByName(req.Principal.Team)
	if !ok {
		return pipeline.Refuse(pipeline.CodeKeyUnknown, "")
	}
	if team.Rate <= 0 {
		return nil
	}
	wanted := mesh.TokenRequest{Team: team, Reply: make(chan mesh.TokenDecision, 1)}
	if err := f.Submit(ctx, wanted); err != nil {
		return pipeline.Refuse(pipeline.CodeQuotaUnavailable, "")
	}
	select {
	case decision := <-wanted.Reply:
		f.count(decision)
		return refusal(decision)
	case <-ctx.Done():
		return pipeline.Refuse(pipeline.CodeQuotaUnavailable, "")
	}
}

// count counts a decision. Sources are few, so the metric has few labels.
func (f *Filter) count(decision mesh.TokenDecision) {
	f.Metrics.GetOrCreateCounter(fmt.Sprintf(`ragwortyard_team_token_decisions_total{source=%q,granted="%t"}`, decision.Source, decision.Granted)).Inc()
}

// refusal returns nil if the token was granted.
func refusal(decision mesh.TokenDecision) *pipeline.Result {
	if decision.Granted {
		return nil
	}
	result := pipeline.Refuse(pipeline.CodeRateExceeded, "decided by "+decision.Source)
	result.RetryAfter = min(decision.Wait, maxRetryAfter)
	return result
}
