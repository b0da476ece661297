// Package dispatch chooses a backend server for each attempt of a request and decides
// on retries and hedging.
package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/shutdown"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Sender sends attempts to the exit proxies on other hosts and on this one.
type Sender interface {
	Do(ctx context.Context, host string, req *pipeline.Request) hop.Answer
	// Withdraw asks the exit proxy on a host not to run an attempt.
	Withdraw(ctx context.Context, host, attemptID string, sent time.Time) hop.WithdrawResult
}

// Filter is the last filter of the entry chain.
type Filter struct {
	Snapshot func() *mesh.Snapshot
	Zone     string // availability zone of this process
	Sender   Sender
	Budgets  *RetryBudgets
	Sizes    ResponseSizes
	// ServiceTimes is what is known of the routes of requests.
	ServiceTimes ServiceTimes
	NewID        func() string
	// RetryProbability returns the probability that a call by the backend server of
	// this host was made on behalf of a retried request. Such calls are charged to
	// the retry budget. parent identifies the request that made the call.
	RetryProbability func(parent string) float64
	// StopBegan is closed when a planned stop of this process begins.
	StopBegan <-chan struct{}
	// StopSchedule returns the schedule of the planned stop. It is called only after
	// StopBegan has been closed.
	StopSchedule func() shutdown.Schedule
	// EvacuationRefusals counts requests that were refused because all backend servers of
	// their service are in evacuated availability zones.
	EvacuationRefusals *metrics.Counter
	// AttemptsInZone and AttemptsLeavingZone count attempts by the zone of their backend
	// server: that of this process, or another one. They may be nil.
	AttemptsInZone, AttemptsLeavingZone *metrics.Counter
	Log                                 *zap.Logger
}

// Name returns "dispatch".
func (f *Filter) Name() string { return "dispatch" }

const (
	// maxQueueFullRefusals is the number of exit proxies that may refuse an attempt
	// for lack of a free slot before the request waits in a queue. Each refusal
	// costs another transfer of the request.
	maxQueueFullRefusals = 1
	// maxQueuesTried is the number of exit proxies that may refuse a request for lack of
	// room. When a service is overloaded, most others would refuse it, too. Calls are sent
	// on, since the request that makes them fails with them.
	maxQueuesTried = 3
	// firstQueueWait is how long the first attempt may wait for a slot where the
	// entry proxy expected a free one. It is not 0, since a second attempt costs
	// another transfer of the request.
	firstQueueWait = 150 * time.Millisecond
	// maxAttemptsSent is the maximum number of attempts of one request, including
	// those that did not run.
	maxAttemptsSent = 8
	// responseGrace is added to the deadline, so that a response that the backend
	// server sends at the deadline still arrives.
	responseGrace = 60 * time.Millisecond
	// hedgeDelayFraction is the fraction of its target latency after which an
	// idempotent request without a response is also sent to a second server.
	hedgeDelayFraction = 0.85
	// pathSuspectDuration is how long an entry proxy prefers other hosts after the
	// network path to a host failed.
	pathSuspectDuration = time.Second
	// defaultRetryAfter is the Retry-After if no backend server accepts the request.
	// Slots become free after about one service time.
	defaultRetryAfter = 500 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After if all servers of the service are evacuated.
	// The end of an evacuation is known everywhere within a second.
	evacuatedRetryAfter = time.Second
)

// requestState is the state of one request while its attempts are sent.
type requestState struct {
	filter            *Filter
	req               *pipeline.Request
	requestBytes      int // size of the body
	times             *routeTimes
	serviceTime       time.Duration // for which it is expected to hold a slot; 0 when unknown
	isProbe           bool          // it is sent to full queues since its service time is not known
	budget            *retryBudget
	results           chan attemptResult
	open              map[string]openAttempt // attempts without a result, by identifier
	attemptsSent      int                    // all attempts, including those that did not run
	possiblyExecuted  int                    // attempts that may have run
	reachedBackend    bool                   // a backend server received an attempt without running it
	queueFullRefusals int
	excluded          map[string]bool // backend servers that are not chosen again
	queueFull         map[string]bool // backend servers whose exit proxy had no free slot
	bestResult        *pipeline.Result
	lastRefusal       *pipeline.Result // the last result of an attempt that did not run
}

// openAttempt is an attempt without a result.
type openAttempt struct {
	target *mesh.Target
	sent   time.Time
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attemptID string
	target    *mesh.Target
	answer    hop.Answer
}

// Handle sends attempts until one succeeds, no retry is permitted or the deadline has
// passed.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := f.newRequestState(req)
	r.budget.Deposit(time.Now())
	if req.Principal.Team == "" && !r.chargeCall(ctx) {
		return pipeline.Refuse(pipeline.CodeRetriesSpent, "")
	}
	if !r.send(ctx) {
		return r.unservedResult()
	}
	return r.awaitResult(ctx)
}

// newRequestState returns the state of a request without attempts.
func (f *Filter) newRequestState(req *pipeline.Request) *requestState {
	times := f.ServiceTimes.of(req.Route)
	return &requestState{
		filter:       f,
		req:          req,
		requestBytes: len(req.Payload),
		budget:       f.Budgets.forService(req.Service),
		results:      make(chan attemptResult, 2*maxAttemptsSent), // an attempt has a second result if it is withdrawn
		open:         make(map[string]openAttempt),
		excluded:     make(map[string]bool),
		queueFull:    make(map[string]bool),
		times:        times,
		serviceTime:  times.expected(time.Now()),
	}
}

// chargeCall charges a request without a team to the retry budget, since a call of a retried
// request is a retry, too. It reports false if the call has to be refused. A request that
// names no parent may be a caller's, where requests need no key, and is never refused.
func (r *requestState) chargeCall(ctx context.Context) bool {
	probability := r.filter.RetryProbability(r.req.ParentID)
	if r.req.ParentID == "" {
		r.budget.Charge(time.Now(), probability)
		return true
	}
	return r.filter.Budgets.chargeCall(ctx, r.budget, r.req.Service, probability)
}

func (r *requestState) awaitResult(ctx context.Context) *pipeline.Result {
	end := time.NewTimer(time.Until(r.req.Deadline) + responseGrace)
	defer end.Stop()
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	stopBegan := r.filter.StopBegan
	var lastStart, finalAnswer <-chan time.Time
	for {
		select {
		case <-stopBegan:
			stopBegan = nil
			if schedule, limited := r.stopSchedule(); limited {
				start, answer := time.NewTimer(time.Until(schedule.LastStart())), time.NewTimer(time.Until(schedule.FinalAnswer()))
				defer start.Stop()
				defer answer.Stop()
				lastStart, finalAnswer = start.C, answer.C
			}
		case <-lastStart:
			r.withdrawOpenAttempts(ctx)
		case <-finalAnswer:
			return r.finalResult(pipeline.CodeStopped)
		case e := <-r.results:
			if _, open := r.open[e.attemptID]; !open {
				continue
			}
			delete(r.open, e.attemptID)
			if result := r.handleResult(ctx, e); result != nil {
				return result
			}
		case <-hedge.C:
			if r.possiblyExecuted < r.req.MaxAttempts && r.canRetryInTime() && r.withdrawRetry(ctx) {
				r.send(ctx)
			}
		case <-end.C:
			return r.finalResult(pipeline.CodeDeadlineInRun)
		case <-ctx.Done():
			return pipeline.Refuse(pipeline.CodeCanceled, "")
		}
	}
}

// hedgeTimer returns a timer that fires when the request is hedged. It never fires if
// the request may not be hedged.
func (r *requestState) hedgeTimer() *time.Timer {
	if !r.req.Class.Idempotent || r.req.MaxAttempts < 2 || r.req.Class.TargetLatency <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(time.Duration(hedgeDelayFraction * float64(r.req.Class.TargetLatency)))
}

// handleResult handles the end of an attempt. It returns the final result of the
// request, or nil if an attempt is still open or another one was sent.
func (r *requestState) handleResult(ctx context.Context, e attemptResult) *pipeline.Result {
	result := e.answer.Result
	if result.Code == pipeline.CodeDuplicateSend { // only withdrawn attempts are refused with it
		result = r.withdrawnResult()
	}
	switch {
	case isSuccess(result):
		return result
	case result.Outcome == pipeline.NotRun:
		r.possiblyExecuted--
		r.reachedBackend = r.reachedBackend || result.Code == pipeline.CodeShed || result.Code == pipeline.CodeWrongExit
		r.lastRefusal = result
		if r.sendElsewhere(ctx, e, result) {
			return nil
		}
	default:
		r.bestResult = betterResult(r.bestResult, result)
		if r.req.Class.Idempotent && r.possiblyExecuted < r.req.MaxAttempts && r.canRetryInTime() && r.withdrawRetry(ctx) && r.send(ctx) {
			return nil
		}
	}
	if len(r.open) > 0 {
		return nil
	}
	if r.bestResult != nil {
		return r.bestResult
	}
	return r.unservedResult()
}

// isSuccess reports whether a result is a response with a status below 500.
func isSuccess(result *pipeline.Result) bool {
	return result.Outcome == pipeline.Answered && result.Status < http.StatusInternalServerError
}

// betterResult prefers a response of a backend server to an unknown outcome.
func betterResult(a, b *pipeline.Result) *pipeline.Result {
	if a != nil && (a.Outcome == pipeline.Answered || b.Outcome != pipeline.Answered) {
		return a
	}
	return b
}

// withdrawRetry takes a retry from the local budget or, if that is exhausted, from
// the shared one.
func (r *requestState) withdrawRetry(ctx context.Context) bool {
	return r.budget.TryWithdraw(time.Now()) || r.filter.Budgets.requestSharedRetry(ctx, r.budget, r.req)
}

// canRetryInTime reports whether another attempt may be sent and could be answered
// before the deadline.
func (r *requestState) canRetryInTime() bool {
	left := time.Until(r.req.Deadline)
	return left > r.req.Class.TargetLatency/8 && r.attemptsSent < maxAttemptsSent && !r.isLastStartPast()
}

// sendElsewhere sends a request that did not run to another backend server. If the
// backend server itself refused the request, the new attempt takes a retry from the
// budget, since the refused one reached the server.
func (r *requestState) sendElsewhere(ctx context.Context, e attemptResult, result *pipeline.Result) bool {
	switch result.Code {
	case pipeline.CodeQueueFull:
		r.queueFullRefusals++
		r.queueFull[e.target.ID] = true
		return (r.req.IsCall || r.queueFullRefusals < maxQueuesTried) && r.canSendAgain() && r.send(ctx)
	case pipeline.CodeShed, pipeline.CodeWrongExit:
		r.excluded[e.target.ID] = true
		return r.canRetryInTime() && r.withdrawRetry(ctx) && r.send(ctx)
	case pipeline.CodeDeadlineTooShort, pipeline.CodeQuarantined, pipeline.CodeDeadlinePassed:
		return false
	}
	r.excluded[e.target.ID] = true
	return r.canSendAgain() && r.send(ctx)
}

// canSendAgain reports whether another attempt may follow one that reached no backend
// server. Such an attempt takes no retry from the budget.
func (r *requestState) canSendAgain() bool {
	return r.attemptsSent < maxAttemptsSent && time.Now().Before(r.req.Deadline) && !r.isLastStartPast()
}

// send starts the next attempt. It reports false if no backend server is left.
func (r *requestState) send(ctx context.Context) bool {
	if r.isLastStartPast() {
		return false
	}
	target, candidate := r.choose()
	if target == nil {
		return false
	}
	attempt := r.req.Copy()
	attempt.ID = r.filter.NewID()
	attempt.Backend = target.ID
	attempt.BackendLimit, _ = target.Live.Limit(time.Now())
	attempt.ReachedBackend = r.possiblyExecuted > 0 || r.reachedBackend
	attempt.MaxQueueWait = firstQueueWait
	if r.queueFullRefusals >= maxQueueFullRefusals || candidate.EstimatedWait() > 0 {
		attempt.MaxQueueWait = time.Until(r.req.Deadline)
		r.excluded[target.ID] = true
	}
	if schedule, stopping := r.stopSchedule(); stopping {
		attempt.MaxQueueWait = min(attempt.MaxQueueWait, time.Until(schedule.LastStart()))
	}
	r.open[attempt.ID] = openAttempt{target, time.Now()}
	r.attemptsSent++
	r.countZone(target)
	r.possiblyExecuted++
	target.Live.AttemptStarted()
	go func() {
		defer target.Live.AttemptEnded()
		started := time.Now()
		answer := r.filter.Sender.Do(ctx, target.Host, attempt)
		r.updateTarget(ctx, target, answer)
		r.logAttempt(target, &candidate, attempt, answer, time.Since(started))
		r.results <- attemptResult{attempt.ID, target, answer}
	}()
	return true
}

// unservedResult returns the result of a request that did not run and for which no
// backend server is left.
func (r *requestState) unservedResult() *pipeline.Result {
	if r.allEvacuated() {
		r.filter.EvacuationRefusals.Inc()
	}
	result := r.unservedRefusal()
	if result.Code == pipeline.CodeQueueFull {
		r.logNoRoom(result)
	}
	return result
}

// unservedRefusal is unservedResult without counting and logging it.
func (r *requestState) unservedRefusal() *pipeline.Result {
	result := r.lastRefusal
	switch {
	case r.allEvacuated():
		result = pipeline.Refuse(pipeline.CodeNoBackend, "")
		result.RetryAfter = evacuatedRetryAfter
	case result != nil && result.Code == pipeline.CodeZoneEvacuated:
		result = pipeline.Refuse(pipeline.CodeNoBackend, "") // this process does not know of the evacuation yet
	case result != nil:
	case r.isLastStartPast():
		result = pipeline.Refuse(pipeline.CodeStopping, "")
	default:
		result = pipeline.Refuse(pipeline.CodeNoBackend, "")
		if wait := r.timeUntilRoom(); wait > 0 {
			result = pipeline.Refuse(pipeline.CodeQueueFull, "")
			result.RetryAfter = wait
		}
	}
	if result.Code == pipeline.CodeQueueFull && result == r.lastRefusal {
		result.RetryAfter = r.timeUntilRoom()
	}
	if result.RetryAfter <= 0 {
		result.RetryAfter = defaultRetryAfter
	}
	r.postponeRetryBeyondStop(result)
	return result
}

// allEvacuated reports whether the service has servers and all are in evacuated
// availability zones.
func (r *requestState) allEvacuated() bool {
	targets := r.filter.Snapshot().Services[r.req.Service]
	inUse := func(target *mesh.Target) bool { return !target.Evacuated }
	return len(targets) > 0 && !slices.ContainsFunc(targets, inUse)
}

// finalResult returns the result of a request that can't be awaited any longer. If an
// attempt is still open, the outcome is unknown and has the given code.
func (r *requestState) finalResult(unknown pipeline.Code) *pipeline.Result {
	switch {
	case r.bestResult != nil:
		return r.bestResult
	case len(r.open) > 0:
		return pipeline.Refuse(unknown, "")
	}
	return r.unservedResult()
}
