package queue

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/fairqueue"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter waits for a slot from its dispatcher. The slot is released when the request
// completes.
type Filter struct {
	Dispatcher *Dispatcher
}

// Name returns "queue".
func (f *Filter) Name() string { return "queue" }

// Handle returns when the request holds a slot or is refused.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	d := f.Dispatcher
	t := &ticket{
		fingerprint: quarantine.Fingerprint(req.Fingerprint),
		suspect:     req.CrashSuspect,
		decision:    make(chan decision, 1),
	}
	t.item = fairqueue.Item{
		ID:       d.lastID.Add(1),
		Team:     req.Principal.Team,
		Class:    req.Class.Name,
		Weight:   req.Class.Worth,
		Deadline: req.Deadline,
		Payload:  t,
	}
	if refusal := d.enqueue(ctx, t); refusal != nil {
		return refusal
	}
	v := d.await(ctx, t)
	if v.code != pipeline.CodeOK {
		return f.refuse(v.code)
	}
	req.CrashSuspect = v.asSuspect
	granted := time.Now()
	req.OnComplete(func(c pipeline.Completion) {
		d.release(departure{
			id:     t.item.ID,
			sample: concurrency.Sample{Class: req.Class.Name, Latency: time.Since(granted), Outcome: sampleOutcome(c)},
			end:    requestEnd(req.RunResult),
		})
	})
	return nil
}

// enqueue passes a ticket to the dispatcher. It returns a refusal if that fails.
func (d *Dispatcher) enqueue(ctx context.Context, t *ticket) *pipeline.Result {
	select {
	case d.arrivals <- t:
		return nil
	case <-ctx.Done():
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	case <-d.stopped:
		return pipeline.Refuse(pipeline.CodeBackendLeaving, "")
	}
}

// await returns the decision of the dispatcher. If the caller cancels first, it
// cancels the ticket and still waits for the decision, since a slot may have been
// granted at the same time and must then be released.
func (d *Dispatcher) await(ctx context.Context, t *ticket) decision {
	select {
	case v := <-t.decision:
		return v
	case <-d.stopped:
		return d.decisionAfterStop(t)
	case <-ctx.Done():
	}
	select {
	case d.cancellations <- t.item.ID:
	case <-d.stopped:
		return d.decisionAfterStop(t)
	}
	select {
	case v := <-t.decision:
		if v.code == pipeline.CodeOK {
			d.release(departure{id: t.item.ID, sample: concurrency.Sample{Outcome: concurrency.Ignored}})
		}
	case <-d.stopped:
	}
	return decision{code: pipeline.CodeDeadlinePassed}
}

// decisionAfterStop returns the decision that was made before the dispatcher
// stopped, or a refusal.
func (d *Dispatcher) decisionAfterStop(t *ticket) decision {
	select {
	case v := <-t.decision:
		return v
	default:
		return decision{code: pipeline.CodeBackendLeaving}
	}
}

func (d *Dispatcher) release(dep departure) {
	select {
	case d.departures <- dep:
	case <-d.stopped:
	}
}

func (f *Filter) refuse(code pipeline.Code) *pipeline.Result {
	result := pipeline.Refuse(code, "")
	result.RetryAfter = f.Dispatcher.Load().Wait
	return result
}

// requestEnd maps a run result to the request end that the quarantine gate expects.
func requestEnd(e pipeline.RunResult) quarantine.RequestEnd {
	switch e {
	case pipeline.RunCompleted:
		return quarantine.Completed
	case pipeline.RunConnectionLost:
		return quarantine.ConnectionLost
	case pipeline.RunBackendCrashed:
		return quarantine.ReconnectRefused
	default:
		return quarantine.EndedOtherwise
	}
}

// sampleOutcome maps the completion of a request to the outcome that the concurrency
// limiter expects.
func sampleOutcome(c pipeline.Completion) concurrency.Outcome {
	switch {
	case c.Code == pipeline.CodeShed:
		return concurrency.Shed
	case c.Outcome == pipeline.Answered && c.Status < 500:
		return concurrency.Completed
	default:
		return concurrency.Ignored
	}
}
