// Package forward sends a request to an exit proxy. It retries or hedges the
// request at other exit proxies where that is safe.
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

// Sender sends one attempt to the exit proxy at addr.
type Sender interface {
	Do(ctx context.Context, req *pipeline.Request, addr, backend string) fleet.HopAnswer
}

// Filter is the last filter of the entry chain.
type Filter struct {
	Sender   Sender
	Policies *control.RetryPolicies
	// ObservePath sends an observation of a network path to the control loop. It must
	// not block.
	ObservePath func(path.Observation)
	// NewID returns an identifier that is unique in the fleet.
	NewID func() string
}

// Name returns "forward".
func (f *Filter) Name() string { return "forward" }

// Handle sends attempts until one succeeds or the retry policy ends the request.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	req.OnComplete(func(pipeline.Completion) { cancel() })
	r := &requestState{
		filter:  f,
		ctx:     ctx,
		req:     req,
		policy:  f.Policies.Get(control.RetryPolicyKey{Service: req.Service, Class: req.Class.Name}),
		results: make(chan *attempt, retry.DefaultMaxAttempts),
	}
	r.policy.Budget.Deposit()
	r.hedgeable = r.canHedge()
	return r.sendUntilAnswered()
}

// classify maps the answer of an exit proxy to the status that the retry policy uses.
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
		pipeline.CodeNotReady, pipeline.CodeKeysUnconfirmed, pipeline.CodeConnectFailed, pipeline.CodeSuspectBusy,
		// The exit proxy got no rate-limit token, so the request used no slot.
		pipeline.CodeQuotaUnavailable:
		return retry.RefusedUnavailable
	case pipeline.CodeQueueFull, pipeline.CodeDeadlineTooShort, pipeline.CodeShed:
		return retry.RefusedOverloaded
	}
	return retry.RefusedPermanently
}

// refusalBackoff is how long an entry proxy avoids a backend server whose exit
// proxy refused a request because the server is ejected, leaving or stopping. The
// exit proxy enforces this; the backoff only saves the extra hop. It must expire by
// itself, since no message tells the entry proxy that the server accepts requests
// again.
const refusalBackoff = time.Second

// updateTargetStats updates the statistics of the target after an attempt.
func (a *attempt) updateTargetStats(now time.Time) {
	stats := a.target.Stats
	if a.answer.HasLoad {
		stats.Report(now, a.answer.Load.Queued, a.answer.Load.ExpectedWait)
	}
	switch a.answer.Result.Code {
	case pipeline.CodeEjected, pipeline.CodeBackendLeaving, pipeline.CodeStopping:
		stats.SetEjected(now.Add(refusalBackoff))
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

// pathObservation returns what the attempt showed about the network path. It reports
// false if the path did not fail.
func (a *attempt) pathObservation() (path.Observation, bool) {
	observation := path.Observation{Peer: a.target.Host}
	switch a.answer.Path {
	case fleet.PathRefused:
		observation.Event = path.ConnectFailed
	case fleet.PathTimeout:
		observation.Event = path.ConnStalled
	case fleet.PathConnLost, fleet.PathMismatch:
		observation.Event = path.ConnReset
	default:
		return path.Observation{}, false
	}
	return observation, true
}
