// Package dispatch chooses backend servers for the attempts of a request and
// decides what is repeated.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Sender carries one attempt to the process on a host.
type Sender interface {
	Do(ctx context.Context, host string, req *pipeline.Request) hop.Answer
}

// Filter is the last filter of the entry chain.
type Filter struct {
	Snapshot func() *mesh.Snapshot
	Sender   Sender
	Budgets  *Budgets
	NewID    func() string
	// Repeated returns the probability that a call of the backend server of this
	// host was made by a request that is a repeat: such calls count as repeats.
	Repeated func(parent string) float64
	Log      *zap.Logger
}

// Name returns "dispatch".
func (f *Filter) Name() string { return "dispatch" }

const (
	// maxRefusals bounds the exits that may turn an attempt away for want of a slot
	// before the request waits at one of them: each refusal costs the bytes of the
	// request.
	maxRefusals = 1
	// firstWait is how long a first attempt may wait for a slot where the entry
	// expected a free one; a second attempt costs the bytes of the request again.
	firstWait = 150 * time.Millisecond
	// maxSends bounds the attempts of one request, those that were not run
	// included.
	maxSends = 8
	// endSlack lets an answer arrive that the backend server sent at the deadline.
	endSlack = 60 * time.Millisecond
	// hedgeShare is the part of its target latency after which a repeatable
	// request without an answer is also sent to a second server.
	hedgeShare = 0.85
	// pathMemory is how long an entry prefers other hosts after a hop failed.
	pathMemory = time.Second
	// retryAfter is the advice to callers when no backend server takes the
	// request: slots are free again after about a service time.
	retryAfter = 500 * time.Millisecond
	// usualAnswer is the size of an average answer with its header, in bytes.
	usualAnswer = 2000
)

// run is one request on its way to an answer.
type run struct {
	filter   *Filter
	req      *pipeline.Request
	budget   *budget
	results  chan ended
	open     int  // attempts without a result
	sends    int  // attempts sent
	ran      int  // attempts that may have run
	reached  bool // an attempt that was not run reached a backend server
	refusals int
	barred   map[string]bool // backend servers that are not chosen again
	full     map[string]bool // exits that had no free slot
	best     *pipeline.Result
	refusal  *pipeline.Result // the last answer that says not run
}

// ended is the end of one attempt.
type ended struct {
	target *mesh.Target
	answer hop.Answer
}

// Handle sends the request until it has an answer, may not be repeated or its
// time is over.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{
		filter:  f,
		req:     req,
		budget:  f.Budgets.get(req.Service),
		results: make(chan ended, maxSends),
		barred:  make(map[string]bool),
		full:    make(map[string]bool),
	}
	r.budget.Deposit(time.Now())
	if req.Principal.Team == "" {
		r.budget.Charge(time.Now(), f.Repeated(req.ParentID))
	}
	if !r.send(ctx) {
		return r.unserved()
	}
	return r.await(ctx)
}

func (r *run) await(ctx context.Context) *pipeline.Result {
	end := time.NewTimer(time.Until(r.req.Deadline) + endSlack)
	defer end.Stop()
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case e := <-r.results:
			r.open--
			if result := r.take(ctx, e); result != nil {
				return result
			}
		case <-hedge.C:
			if r.ran < r.req.MaxAttempts && r.mayRepeat() && r.pay(ctx) {
				r.send(ctx)
			}
		case <-end.C:
			return r.expired()
		case <-ctx.Done():
			return pipeline.Refuse(pipeline.CodeCanceled, "")
		}
	}
}

func (r *run) hedgeTimer() *time.Timer {
	if !r.req.Class.Idempotent || r.req.MaxAttempts < 2 || r.req.Class.TargetLatency <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(time.Duration(hedgeShare * float64(r.req.Class.TargetLatency)))
}

// take decides after an attempt has ended. It returns the final result, or nil
// while an attempt is still open or another one was sent.
func (r *run) take(ctx context.Context, e ended) *pipeline.Result {
	result := e.answer.Result
	switch {
	case good(result):
		return result
	case result.Outcome == pipeline.NotRun:
		r.ran--
		r.reached = r.reached || result.Code == pipeline.CodeShed || result.Code == pipeline.CodeWrongExit
		r.refusal = result
		if r.again(ctx, e, result) {
			return nil
		}
	default:
		r.best = better(r.best, result)
		if r.req.Class.Idempotent && r.ran < r.req.MaxAttempts && r.mayRepeat() && r.pay(ctx) && r.send(ctx) {
			return nil
		}
	}
	if r.open > 0 {
		return nil
	}
	if r.best != nil {
		return r.best
	}
	return r.unserved()
}

// good tells whether a result is final in any case.
func good(result *pipeline.Result) bool {
	return result.Outcome == pipeline.Answered && result.Status < http.StatusInternalServerError
}

// better prefers an answer of a backend server to an unknown outcome.
func better(a, b *pipeline.Result) *pipeline.Result {
	if a != nil && (a.Outcome == pipeline.Answered || b.Outcome != pipeline.Answered) {
		return a
	}
	return b
}

// pay takes a retry out of the budget of this entry, or out of the shared one.
func (r *run) pay(ctx context.Context) bool {
	return r.budget.TryWithdraw(time.Now()) || r.filter.Budgets.share(ctx, r.budget, r.req)
}

// mayRepeat tells whether another attempt can be answered in time.
func (r *run) mayRepeat() bool {
	left := time.Until(r.req.Deadline)
	return left > r.req.Class.TargetLatency/8 && r.sends < maxSends
}

// again sends a request elsewhere that was not run. A refusal of the backend
// server itself counts against the budget, since it had reached the server.
func (r *run) again(ctx context.Context, e ended, result *pipeline.Result) bool {
	switch result.Code {
	case pipeline.CodeQueueFull:
		r.refusals++
		r.full[e.target.ID] = true
		return r.maySend() && r.send(ctx)
	case pipeline.CodeShed, pipeline.CodeWrongExit:
		r.barred[e.target.ID] = true
		return r.mayRepeat() && r.pay(ctx) && r.send(ctx)
	case pipeline.CodeDeadlineTooShort, pipeline.CodeQuarantined, pipeline.CodeDeadlinePassed:
		return false
	}
	r.barred[e.target.ID] = true
	return r.maySend() && r.send(ctx)
}

// maySend tells whether another attempt may follow one that reached no backend
// server. Such attempts cost no retry budget.
func (r *run) maySend() bool {
	return r.sends < maxSends && time.Now().Before(r.req.Deadline)
}

// send starts the next attempt; false when no server is left.
func (r *run) send(ctx context.Context) bool {
	target, known := r.choose()
	if target == nil {
		return false
	}
	attempt := r.req.Copy()
	attempt.ID = r.filter.NewID()
	attempt.Backend = target.ID
	attempt.ReachedBackend = r.ran > 0 || r.reached
	attempt.MaxQueueWait = firstWait
	if r.refusals >= maxRefusals || known.EstimatedWait() > 0 {
		attempt.MaxQueueWait = time.Until(r.req.Deadline)
		r.barred[target.ID] = true
	}
	r.open++
	r.sends++
	r.ran++
	target.Live.AttemptStarted()
	go func() {
		defer target.Live.AttemptEnded()
		started := time.Now()
		answer := r.filter.Sender.Do(ctx, target.Host, attempt)
		r.note(ctx, target, answer)
		r.log(target, &known, attempt, answer, time.Since(started))
		r.results <- ended{target, answer}
	}()
	return true
}

// unserved is the result when no server is left for a request that has not run.
func (r *run) unserved() *pipeline.Result {
	result := r.refusal
	if result == nil {
		result = pipeline.Refuse(pipeline.CodeNoBackend, "")
	}
	if result.RetryAfter <= 0 {
		result.RetryAfter = retryAfter
	}
	return result
}

// expired is the result at the deadline: unknown while an attempt is open.
func (r *run) expired() *pipeline.Result {
	switch {
	case r.best != nil:
		return r.best
	case r.open > 0:
		return pipeline.Refuse(pipeline.CodeDeadlineInRun, "")
	}
	return r.unserved()
}
