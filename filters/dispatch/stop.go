package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/decide/shutdown"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// stopSchedule returns the schedule of the planned stop of this process. It reports false
// if none has begun, or if the request ends before it whatever happens.
func (r *requestState) stopSchedule() (shutdown.Schedule, bool) {
	select {
	case <-r.filter.StopBegan:
		schedule := r.filter.StopSchedule()
		return schedule, !schedule.EndsInTime(r.req.Deadline)
	default:
		return shutdown.Schedule{}, false
	}
}

// isLastStartPast reports whether this process stops so soon that no attempt may start any
// more.
func (r *requestState) isLastStartPast() bool {
	schedule, stopping := r.stopSchedule()
	return stopping && !time.Now().Before(schedule.LastStart())
}

// withdrawOpenAttempts withdraws the attempts that still wait for a slot. The process ends
// before they could be answered, and their callers would not learn that they never ran.
func (r *requestState) withdrawOpenAttempts(ctx context.Context) {
	for id, attempt := range r.open {
		go r.withdraw(ctx, id, attempt)
	}
}

// withdrawRetryInterval is the pause before a withdrawal without an answer is repeated.
const withdrawRetryInterval = 200 * time.Millisecond

// withdraw withdraws an attempt. If the exit proxy confirms that it never runs, the
// attempt is refused; otherwise its answer is awaited.
func (r *requestState) withdraw(ctx context.Context, id string, attempt openAttempt) {
	host := attempt.target.Host
	result := r.filter.Sender.Withdraw(ctx, host, id, attempt.sent)
	for result == hop.Unanswered && ctx.Err() == nil {
		pause(ctx, withdrawRetryInterval)
		result = r.filter.Sender.Withdraw(ctx, host, id, attempt.sent)
	}
	if ctx.Err() != nil {
		return // the request has ended
	}
	r.filter.Log.Info("withdrawal of an attempt ended", zap.String("request", r.req.ID), zap.String("attempt", id),
		zap.String("host", host), zap.Bool("withdrawn", result == hop.Withdrawn), zap.Int64("open_ms", time.Since(attempt.sent).Milliseconds()))
	if result == hop.Withdrawn {
		r.results <- attemptResult{id, attempt.target, hop.Answer{Result: pipeline.Refuse(pipeline.CodeStopping, ""), Reached: true}}
	}
}

// pause returns after a time or when ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// withdrawnResult returns the result of an attempt that its exit proxy refused because it
// had been withdrawn.
func (r *requestState) withdrawnResult() *pipeline.Result {
	if r.isLastStartPast() {
		return pipeline.Refuse(pipeline.CodeStopping, "")
	}
	return pipeline.Refuse(pipeline.CodePathBroken, "the exit withdrew the request")
}

// postponeRetryBeyondStop sets the Retry-After of a refusal to the time of the restart if
// this process would refuse a retry because it stops.
func (r *requestState) postponeRetryBeyondStop(result *pipeline.Result) {
	schedule, stopping := r.stopSchedule()
	now := time.Now()
	if stopping && schedule.RefusesCallers(now.Add(result.RetryAfter)) {
		result.RetryAfter = schedule.RetryAfter(now)
	}
}
