// Package forward sends a request to an exit, and again or in parallel to
// another one where that is safe.
package forward

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/path"
	"github.com/ragwortyard/ragwortyard/decide/retry"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Sender sends one attempt to the exit at addr.
type Sender interface {
	Do(ctx context.Context, req *pipeline.Request, addr, backend string) fleet.HopAnswer
}

// Filter is the last filter of the entry chain.
type Filter struct {
	Sender   Sender
	Policies *control.RetryPolicies
	// ObservePath hands what was seen of a path to the control loop. It must
	// not block.
	ObservePath func(path.Observation)
	// NewID returns an identifier that is unique in the fleet.
	NewID func() string
}

// Name returns "forward".
func (f *Filter) Name() string { return "forward" }

// Handle sends the request until an attempt settles it.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	req.OnComplete(func(pipeline.Completion) { cancel() })
	r := &run{
		filter:  f,
		ctx:     ctx,
		req:     req,
		policy:  f.Policies.Get(control.RetryPolicyKey{Service: req.Service, Class: req.Class.Name}),
		results: make(chan *attempt, retry.DefaultMaxAttempts),
	}
	r.policy.Budget.Deposit()
	r.hedges = r.mayHedge()
	return r.settle()
}

// classify maps the answer of a hop to what the retry policy decides on.
func classify(a *attempt) retry.AttemptStatus {
	result := a.answer.Result
	switch result.Outcome {
	case pipeline.Answered:
		if result.Status >= 500 {
			return retry.Failed
		}
		return retry.Answered
	case pipeline.Unknown:
		return retry.OutcomeUnknown
	}
	switch result.Code {
	case pipeline.CodePathBroken:
		return retry.NeverSent
	case pipeline.CodeEjected, pipeline.CodeBackendLeaving, pipeline.CodeStopping, pipeline.CodeWrongExit,
		pipeline.CodeNotReady, pipeline.CodeKeysUnsure, pipeline.CodeConnectFailed, pipeline.CodeSuspectBusy,
		// No token was to be had at that exit, so no slot was used anywhere.
		pipeline.CodeQuotaUnavailable:
		return retry.RefusedUnavailable
	case pipeline.CodeQueueFull, pipeline.CodeDeadlineTooShort, pipeline.CodeShed:
		return retry.RefusedOverloaded
	}
	return retry.RefusedPermanently
}

// refusalMemory is how long an entry avoids a backend server whose exit refused
// as ejected, leaving or stopping. The exit enforces that; this only saves the
// extra hop, and ends by itself, since nobody tells the entry of a backend server
// that takes work again.
const refusalMemory = time.Second

// record updates the statistics of the target with the end of an attempt.
func (a *attempt) record(now time.Time) {
	stats := a.target.Stats
	if a.answer.Loaded {
		stats.Report(now, a.answer.Load.Queued, a.answer.Load.Wait)
	}
	switch a.answer.Result.Code {
	case pipeline.CodeEjected, pipeline.CodeBackendLeaving, pipeline.CodeStopping:
		stats.SetEjected(now.Add(refusalMemory))
	}
	latency := now.Sub(a.sent)
	switch {
	case a.answer.Result.Outcome == pipeline.Answered && a.answer.Result.Status < 500:
		stats.Done(now, latency)
	case a.answer.Result.Outcome == pipeline.Answered, a.answer.Result.Code == pipeline.CodeDeadlineInRun:
		stats.Failed(now, latency)
	default:
		stats.Abandoned()
	}
}

// observation returns what the attempt says of the path; false when nothing.
func (a *attempt) observation() (path.Observation, bool) {
	observation := path.Observation{Peer: a.target.Host}
	switch a.answer.Path {
	case fleet.PathRefused:
		observation.Event = path.ConnectFailed
	case fleet.PathSilent:
		observation.Event = path.ConnStalled
	case fleet.PathBroken, fleet.PathCrossed:
		observation.Event = path.ConnReset
	default:
		return path.Observation{}, false
	}
	return observation, true
}
