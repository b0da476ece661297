package forward

import (
	"bytes"
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/retry"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// attempt is one attempt of a request.
type attempt struct {
	target pipeline.Target
	sent   time.Time
	cancel context.CancelFunc
	answer fleet.HopAnswer
	result retry.AttemptStatus
}

// requestState is the state of one request while its attempts are sent. It belongs to
// the goroutine of the request. The goroutine of an attempt writes only that attempt.
type requestState struct {
	filter          *Filter
	ctx             context.Context
	req             *pipeline.Request
	policy          *retry.Policy
	results         chan *attempt
	pending         []*attempt
	attemptsStarted int
	hedgeable       bool     // a second attempt may start while one is running
	bestAttempt     *attempt // the attempt with the best result so far
	connectionsLost int      // attempts whose exit proxy lost its connection to the backend server
}

// sendUntilAnswered starts attempts until one is answered or the retry policy ends
// the request.
func (r *requestState) sendUntilAnswered() *pipeline.Result {
	if !r.startAttempt() {
		return pipeline.Refuse(pipeline.CodeNoBackend, "")
	}
	for {
		ended := r.awaitAttempt()
		r.keepBetter(ended)
		if r.connectionsLost >= maxConnectionsLost {
			return r.finish()
		}
		switch r.policy.NextAction(time.Now(), r.policyAttempt(ended, ended.result)) {
		case retry.RetryElsewhere:
			if r.startAttempt() {
				continue
			}
		case retry.Wait:
			if len(r.pending) > 0 {
				continue
			}
		}
		return r.finish()
	}
}

// startAttempt sends the next attempt. It reports false if no target is left.
func (r *requestState) startAttempt() bool {
	target, ok := r.req.Targets.Next()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{target: target, sent: time.Now(), cancel: cancel}
	sent := r.copyRequest()
	r.attemptsStarted++
	r.pending = append(r.pending, a)
	if r.hedgeable {
		go r.runAttempt(ctx, a, sent)
	} else {
		r.runAttempt(ctx, a, sent)
	}
	return true
}

// runAttempt sends one attempt and queues it in results when it has ended. For a
// request that may be hedged, it runs in its own goroutine. results has capacity
// for all attempts, so that sending to it never blocks.
func (r *requestState) runAttempt(ctx context.Context, a *attempt, sent *pipeline.Request) {
	a.answer = r.filter.Sender.Do(ctx, sent, a.target.Addr, a.target.Backend)
	a.result = classify(a)
	a.updateTargetStats(time.Now())
	r.results <- a
}

// copyRequest returns a copy of the request with its own identifier and body for one
// attempt.
func (r *requestState) copyRequest() *pipeline.Request {
	sent := r.req.Copy()
	sent.ID = r.filter.NewID()
	if r.req.Payload != nil {
		sent.Body = bytes.NewReader(r.req.Payload)
	}
	return sent
}

// awaitAttempt returns the next attempt that ends. It may start a hedged attempt
// while it waits.
func (r *requestState) awaitAttempt() *attempt {
	timer, stop := r.hedgeTimer()
	defer stop()
	for {
		select {
		case a := <-r.results:
			r.removePending(a)
			r.reportPath(a)
			r.recordConnectionLoss(a)
			return a
		case <-timer:
			timer = nil
			r.startHedge()
		}
	}
}

// canHedge reports whether a second attempt may start while one is running. The
// request must be idempotent and replayable.
func (r *requestState) canHedge() bool {
	_, ok := r.policy.HedgeDelay()
	return ok && r.req.Class.Idempotent && r.replayable()
}

// hedgeTimer returns a timer that fires when the request may be hedged. A crash
// suspect is not hedged, since it would run on two backend servers at once.
func (r *requestState) hedgeTimer() (<-chan time.Time, func()) {
	after, ok := r.policy.HedgeDelay()
	if !ok || !r.hedgeable || r.req.CrashSuspect || len(r.pending) != 1 {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(r.pending[0].sent.Add(after)))
	return timer.C, func() { timer.Stop() }
}

func (r *requestState) startHedge() {
	first := r.pending[0]
	if r.policy.NextAction(time.Now(), r.policyAttempt(first, retry.Pending)) == retry.Hedge {
		r.startAttempt()
	}
}

// policyAttempt returns the input of the retry policy. The result is a separate
// parameter, since the goroutine of a running attempt may be writing a.result.
func (r *requestState) policyAttempt(a *attempt, result retry.AttemptStatus) retry.Attempt {
	return retry.Attempt{
		Status:          result,
		AttemptsStarted: r.attemptsStarted,
		AttemptsRunning: len(r.pending),
		Idempotent:      r.req.Class.Idempotent,
		Replayable:      r.replayable(),
		UntriedBackends: r.req.Targets.Untried(),
		SentAt:          a.sent,
		Deadline:        r.req.Deadline,
	}
}

func (r *requestState) replayable() bool {
	return r.req.Replayable()
}

func (r *requestState) removePending(a *attempt) {
	for i, p := range r.pending {
		if p == a {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

// maxConnectionsLost is the number of attempts that may lose the connection to the
// backend server. The second of them ran alone, so a third would most likely crash
// another server before the reports of the first crashes arrive.
const maxConnectionsLost = 2

// recordConnectionLoss marks the request as a crash suspect if the exit proxy lost
// its connection to the backend server, so that further attempts run alone. The
// request may have crashed the server, and the next attempt starts before the
// report of the crash can reach the next exit proxy.
func (r *requestState) recordConnectionLoss(a *attempt) {
	if a.answer.Path == fleet.PathOK && a.answer.Result.Code == pipeline.CodeConnectionLost {
		r.connectionsLost++
		r.req.CrashSuspect = true
	}
}

func (r *requestState) reportPath(a *attempt) {
	if o, ok := a.pathObservation(); ok {
		r.filter.ObservePath(o)
	}
}

// keepBetter keeps the better of two results: a success is preferred to a failure
// of the backend server, and that to an unknown outcome. A refusal is kept only if
// all attempts were refused, since otherwise the request may have run.
func (r *requestState) keepBetter(a *attempt) {
	if r.bestAttempt == nil || resultRank(a.result) > resultRank(r.bestAttempt.result) || (a.result.NotRun() && r.bestAttempt.result.NotRun()) {
		r.discard(r.bestAttempt)
		r.bestAttempt = a
		return
	}
	r.discard(a)
}

func resultRank(result retry.AttemptStatus) int {
	switch result {
	case retry.Answered:
		return 3
	case retry.Failed:
		return 2
	case retry.OutcomeUnknown:
		return 1
	default:
		return 0
	}
}

func (r *requestState) discard(a *attempt) {
	if a == nil {
		return
	}
	if a.answer.Result.Body != nil {
		_ = a.answer.Result.Body.Close()
	}
	a.cancel()
}

// finish cancels the pending attempts and returns the best result.
func (r *requestState) finish() *pipeline.Result {
	for _, a := range r.pending {
		a.cancel()
	}
	if len(r.pending) > 0 {
		go r.discardPending(len(r.pending))
	}
	best := r.bestAttempt
	r.req.OnComplete(func(pipeline.Completion) { best.cancel() })
	r.observeLatency(best)
	return best.answer.Result
}

// discardPending waits for n canceled attempts and closes their responses.
func (r *requestState) discardPending(n int) {
	for range n {
		r.discard(<-r.results)
	}
}

// observeLatency adds the latency of a successful first attempt to the estimate from
// which the hedge delay is derived.
func (r *requestState) observeLatency(best *attempt) {
	if best.result == retry.Answered && r.attemptsStarted == 1 {
		r.policy.HedgeLatency.Observe(time.Since(best.sent))
	}
}
