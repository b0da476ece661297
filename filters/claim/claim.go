// Package claim makes a request with an idempotency key run at most once, however
// often and through whichever processes its caller sends it.
package claim

import (
	"context"
	"strconv"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// headerFirstStatus tells a caller the status of the answer to its first send.
const headerFirstStatus = "Ragwort-First-Status"

// Filter claims idempotency keys of non-idempotent classes.
type Filter struct {
	// Submit hands an event to the control loop.
	Submit func(ctx context.Context, ev control.Event) error
	// Post hands an event to the control loop without waiting.
	Post func(ev control.Event) bool
	// NewID returns an identifier that is unique in the fleet.
	NewID func() string
}

// Name returns "claim".
func (f *Filter) Name() string { return "claim" }

// Handle passes a request on once it holds its key. Requests of idempotent
// classes and those without an idempotency key need none.
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
		return pipeline.Refuse(pipeline.CodeCannotVouch, "")
	}
	select {
	case decided := <-wanted.Reply:
		return f.act(req, decided)
	case <-ctx.Done():
		f.Post(control.ClaimAbandoned{Attempt: wanted.Claim.Attempt})
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
}

// act maps the verdict to a refusal, or lets the request pass and reports its
// end.
func (f *Filter) act(req *pipeline.Request, decided control.ClaimDecided) *pipeline.Result {
	switch decided.Verdict {
	case ledger.Run:
		req.OnComplete(func(c pipeline.Completion) { f.Post(ended(decided, c)) })
		// The grants count for a short time only; a process that was paused since
		// then must not start the request.
		if !decided.Round.MayStart(time.Now()) {
			return pipeline.Refuse(pipeline.CodeCannotVouch, "")
		}
		return nil
	case ledger.AlreadyRan:
		return refuseRepeat(decided.Status)
	case ledger.StillRunning:
		return pipeline.Refuse(pipeline.CodeInProgress, "")
	case ledger.KeyReused:
		return pipeline.Refuse(pipeline.CodeKeyReuseDiffers, "")
	default:
		return pipeline.Refuse(pipeline.CodeCannotVouch, "")
	}
}

// refuseRepeat tells the status of the first send, or that it is not known.
func refuseRepeat(status int) *pipeline.Result {
	if status == control.UnknownStatus {
		return pipeline.Refuse(pipeline.CodeEarlierUnknown, "")
	}
	result := pipeline.Refuse(pipeline.CodeAlreadyRan, "")
	result.Header = pipeline.Header{headerFirstStatus: {strconv.Itoa(status)}}
	return result
}

// ended reports how the request ended. Only a request that certainly did not run
// frees its key.
func ended(decided control.ClaimDecided, c pipeline.Completion) control.ClaimEnded {
	end := control.ClaimEnded{Round: decided.Round, Holders: decided.Holders, Status: control.UnknownStatus}
	switch c.Outcome {
	case pipeline.NotRun:
		end.NotRun = true
	case pipeline.Answered:
		end.Status = c.Status
	}
	return end
}
