// Package claim ensures that a request with an idempotency key runs at most once,
// even if the caller sends it several times through different proxies.
package claim

import (
	"context"
	"strconv"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// headerFirstStatus is the header with the status of the original request in the
// refusal of a duplicate.
const headerFirstStatus = "Ragwort-First-Status"

// Filter claims the idempotency keys of requests in non-idempotent classes.
type Filter struct {
	// Submit sends an event to the control loop.
	Submit func(ctx context.Context, ev control.Event) error
	// Post sends an event to the control loop without waiting.
	Post func(ev control.Event) bool
	// NewID returns an identifier that is unique in the fleet.
	NewID func() string
}

// Name returns "claim".
func (f *Filter) Name() string { return "claim" }

// Handle lets a request continue once it has claimed its idempotency key. Requests
// of idempotent classes and requests without a key need no claim.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	if req.Class.Idempotent || req.IdempotencyKey == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	wanted := control.ClaimRequested{
		Claim: ledger.Claim{
			Team:          req.Principal.Team,
			Key:           req.IdempotencyKey,
			Attempt:       f.NewID(),
			RequestDigest: req.Fingerprint,
			First:         req.FirstSend,
		},
		Reply: make(chan control.ClaimDecided, 1),
	}
	if err := f.Submit(ctx, wanted); err != nil {
		return pipeline.Refuse(pipeline.CodeEarlierSendPossible, "")
	}
	select {
	case decided := <-wanted.Reply:
		return f.handleDecision(req, decided)
	case <-ctx.Done():
		f.Post(control.ClaimAbandoned{Attempt: wanted.Claim.Attempt})
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
}

// handleDecision refuses the request, or lets it continue and reports its end to
// the control loop.
func (f *Filter) handleDecision(req *pipeline.Request, decided control.ClaimDecided) *pipeline.Result {
	switch decided.Verdict {
	case ledger.Run:
		req.OnComplete(func(c pipeline.Completion) { f.Post(claimEnded(decided, c)) })
		// The grants of the key's replicas expire after a short time. A process that
		// was paused in the meantime must not start the request.
		if !decided.Round.MayStart(time.Now()) {
			return pipeline.Refuse(pipeline.CodeEarlierSendPossible, "")
		}
		return nil
	case ledger.AlreadyRan:
		return refuseDuplicate(decided.Status)
	case ledger.StillRunning:
		return pipeline.Refuse(pipeline.CodeInProgress, "")
	case ledger.KeyReused:
		return pipeline.Refuse(pipeline.CodeKeyReuseDiffers, "")
	default:
		return pipeline.Refuse(pipeline.CodeEarlierSendPossible, "")
	}
}

// refuseDuplicate refuses a request that already ran. The result has the status of
// the original request if it is known.
func refuseDuplicate(status int) *pipeline.Result {
	if status == control.UnknownStatus {
		return pipeline.Refuse(pipeline.CodeEarlierUnknown, "")
	}
	result := pipeline.Refuse(pipeline.CodeAlreadyRan, "")
	result.Header = pipeline.Header{headerFirstStatus: {strconv.Itoa(status)}}
	return result
}

// claimEnded returns the event that reports the end of a request. The key is
// released only if the request certainly did not run.
func claimEnded(decided control.ClaimDecided, c pipeline.Completion) control.ClaimEnded {
	end := control.ClaimEnded{Round: decided.Round, Replicas: decided.Replicas, Status: control.UnknownStatus}
	switch c.Outcome {
	case pipeline.NotRun:
		end.NotRun = true
	case pipeline.Answered:
		end.Status = c.Status
	}
	return end
}
