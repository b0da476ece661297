package forward

import (
	"bytes"
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/retry"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// attempt is one send of a request.
type attempt struct {
	target pipeline.Target
	sent   time.Time
	cancel context.CancelFunc
	answer fleet.HopAnswer
	result retry.AttemptStatus
}

// run is the state of one request while its attempts are sent. The goroutine of
// the request owns it; the goroutine of an attempt only writes its own attempt.
type run struct {
	filter  *Filter
	ctx     context.Context
	req     *pipeline.Request
	policy  *retry.Policy
	results chan *attempt
	pending []*attempt
	started int
	hedges  bool     // a second attempt may start while one is running
	best    *attempt // the most telling answer so far
	lost    int      // attempts whose exit lost its connection to the backend server
}

// settle starts attempts until the policy gives up or one is answered.
func (r *run) settle() *pipeline.Result {
	if !r.start() {
		return pipeline.Refuse(pipeline.CodeNoBackend, "")
	}
	for {
		ended := r.wait()
		r.keep(ended)
		if r.lost >= maxLost {
			return r.finish()
		}
		switch r.policy.NextAction(time.Now(), r.describe(ended, ended.result)) {
		case retry.RetryElsewhere:
			if r.start() {
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

// start sends one more attempt; false when no target is left.
func (r *run) start() bool {
	target, ok := r.req.Targets.Next()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{target: target, sent: time.Now(), cancel: cancel}
	sent := r.copyRequest()
	r.started++
	r.pending = append(r.pending, a)
	if r.hedges {
		go r.attempt(ctx, a, sent)
	} else {
		r.attempt(ctx, a, sent)
	}
	return true
}

// attempt sends one attempt and reports its end. A request that may be hedged
// runs it in a goroutine of its own; results has room for all attempts.
func (r *run) attempt(ctx context.Context, a *attempt, sent *pipeline.Request) {
	a.answer = r.filter.Sender.Do(ctx, sent, a.target.Addr, a.target.Backend)
	a.result = classify(a)
	a.record(time.Now())
	r.results <- a
}

// copyRequest returns the request of one attempt with its own identifier and
// body.
func (r *run) copyRequest() *pipeline.Request {
	sent := r.req.Copy()
	sent.ID = r.filter.NewID()
	if r.req.Payload != nil {
		sent.Body = bytes.NewReader(r.req.Payload)
	}
	return sent
}

// wait returns the next attempt that ends; meanwhile it may start a hedge.
func (r *run) wait() *attempt {
	timer, stop := r.hedgeTimer()
	defer stop()
	for {
		select {
		case a := <-r.results:
			r.forget(a)
			r.observe(a)
			r.noteLost(a)
			return a
		case <-timer:
			timer = nil
			r.hedge()
		}
	}
}

// mayHedge tells whether a second attempt may start while one is running. Only
// requests that may run twice get one.
func (r *run) mayHedge() bool {
	_, ok := r.policy.HedgeDelay()
	return ok && r.req.Class.Idempotent && r.replayable()
}

// hedgeTimer fires when a hedge may be considered. A suspect gets none, since it
// would run on two backend servers at once.
func (r *run) hedgeTimer() (<-chan time.Time, func()) {
	after, ok := r.policy.HedgeDelay()
	if !ok || !r.hedges || r.req.CrashSuspect || len(r.pending) != 1 {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(r.pending[0].sent.Add(after)))
	return timer.C, func() { timer.Stop() }
}

func (r *run) hedge() {
	first := r.pending[0]
	if r.policy.NextAction(time.Now(), r.describe(first, retry.Pending)) == retry.Hedge {
		r.start()
	}
}

// describe takes the result apart from the attempt, since the goroutine of a
// running attempt may be writing it.
func (r *run) describe(a *attempt, result retry.AttemptStatus) retry.Attempt {
	return retry.Attempt{
		Status:          result,
		AttemptsStarted: r.started,
		AttemptsRunning: len(r.pending),
		Idempotent:      r.req.Class.Idempotent,
		Replayable:      r.replayable(),
		UntriedBackends: r.req.Targets.Untried(),
		SentAt:          a.sent,
		Deadline:        r.req.Deadline,
	}
}

func (r *run) replayable() bool {
	return r.req.Replayable()
}

func (r *run) forget(a *attempt) {
	for i, p := range r.pending {
		if p == a {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

// maxLost is the number of attempts that may lose the backend server. The second
// of them ran alone, so a third would most likely crash one more server before
// the news of the others can stop it.
const maxLost = 2

// noteLost makes the further attempts run alone when an exit lost its connection
// to the backend server: the request may have crashed it, and the next attempt
// starts before the news of the crash can reach the next exit.
func (r *run) noteLost(a *attempt) {
	if a.answer.Path == fleet.PathOK && a.answer.Result.Code == pipeline.CodeConnectionLost {
		r.lost++
		r.req.CrashSuspect = true
	}
}

func (r *run) observe(a *attempt) {
	if o, ok := a.observation(); ok {
		r.filter.ObservePath(o)
	}
}

// keep remembers the more telling of two answers: one that was answered, then
// one that failed in the backend server, then an unknown outcome. A refusal is
// returned only when every attempt was refused, since otherwise "not run" would
// not be true.
func (r *run) keep(a *attempt) {
	if r.best == nil || rank(a.result) > rank(r.best.result) || (a.result.NotRun() && r.best.result.NotRun()) {
		r.discard(r.best)
		r.best = a
		return
	}
	r.discard(a)
}

func rank(result retry.AttemptStatus) int {
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

func (r *run) discard(a *attempt) {
	if a == nil {
		return
	}
	if a.answer.Result.Body != nil {
		_ = a.answer.Result.Body.Close()
	}
	a.cancel()
}

// finish cancels what still runs and returns the best answer.
func (r *run) finish() *pipeline.Result {
	for _, a := range r.pending {
		a.cancel()
	}
	if len(r.pending) > 0 {
		go r.drain(len(r.pending))
	}
	best := r.best
	r.req.OnComplete(func(pipeline.Completion) { best.cancel() })
	r.learn(best)
	return best.answer.Result
}

// drain closes the answers of canceled attempts.
func (r *run) drain(n int) {
	for range n {
		r.discard(<-r.results)
	}
}

// learn takes the latency of an answered first attempt into the estimate that
// hedging waits for.
func (r *run) learn(best *attempt) {
	if best.result == retry.Answered && r.started == 1 {
		r.policy.HedgeLatency.Observe(time.Since(best.sent))
	}
}
