package queue

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/fairqueue"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter waits for a slot of its dispatcher. The slot is given back when the
// request completes.
type Filter struct {
	Dispatcher *Dispatcher
}

// Name returns "queue".
func (f *Filter) Name() string { return "queue" }

// Handle returns once the request holds a slot or is refused.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	d := f.Dispatcher
	t := &ticket{
		fingerprint: quarantine.Fingerprint(req.Fingerprint),
		suspect:     req.CrashSuspect,
		verdict:     make(chan verdict, 1),
	}
	t.item = fairqueue.Item{
		ID:       d.ids.Add(1),
		Team:     req.Principal.Team,
		Weight:   req.Class.Worth,
		Deadline: req.Deadline,
		Payload:  t,
	}
	if refusal := d.submit(ctx, t); refusal != nil {
		return refusal
	}
	v := d.await(ctx, t)
	if v.code != pipeline.CodeOK {
		return f.refuse(v.code)
	}
	req.CrashSuspect = v.alone
	granted := time.Now()
	req.OnComplete(func(c pipeline.Completion) {
		d.release(departure{
			id:     t.item.ID,
			sample: concurrency.Sample{Class: req.Class.Name, Latency: time.Since(granted), Outcome: sampleOutcome(c)},
			end:    runEnd(req.RunResult),
		})
	})
	return nil
}

func (d *Dispatcher) submit(ctx context.Context, t *ticket) *pipeline.Result {
	select {
	case d.enters <- t:
		return nil
	case <-ctx.Done():
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	case <-d.finished:
		return pipeline.Refuse(pipeline.CodeBackendLeaving, "")
	}
}

// await returns the verdict of the dispatcher. When the caller goes away first,
// it withdraws the ticket and still waits for the verdict, since a slot may have
// been granted at the same moment.
func (d *Dispatcher) await(ctx context.Context, t *ticket) verdict {
	select {
	case v := <-t.verdict:
		return v
	case <-d.finished:
		return d.afterEnd(t)
	case <-ctx.Done():
	}
	select {
	case d.cancels <- t.item.ID:
	case <-d.finished:
		return d.afterEnd(t)
	}
	select {
	case v := <-t.verdict:
		if v.code == pipeline.CodeOK {
			d.release(departure{id: t.item.ID, sample: concurrency.Sample{Outcome: concurrency.Ignored}})
		}
	case <-d.finished:
	}
	return verdict{code: pipeline.CodeDeadlinePassed}
}

// afterEnd returns the verdict that was given before the dispatcher ended, or a
// refusal.
func (d *Dispatcher) afterEnd(t *ticket) verdict {
	select {
	case v := <-t.verdict:
		return v
	default:
		return verdict{code: pipeline.CodeBackendLeaving}
	}
}

func (d *Dispatcher) release(l departure) {
	select {
	case d.leaves <- l:
	case <-d.finished:
	}
}

func (f *Filter) refuse(code pipeline.Code) *pipeline.Result {
	result := pipeline.Refuse(code, "")
	result.RetryAfter = f.Dispatcher.Load().Wait
	return result
}

// runEnd maps the end of a run to what the gate learns from it.
func runEnd(e pipeline.RunResult) quarantine.RequestEnd {
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

// sampleOutcome maps the end of a request to what the limiter learns from it.
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
