// Package retry decides whether a request is retried or hedged. A non-idempotent
// request is resent only if the last attempt provably did not run. Retries and
// hedges that add load draw on a retry budget proportional to the number of first
// attempts (Google SRE book, "Handling Overload"; Dean and Barroso, "The Tail at
// Scale", 2013).
package retry

import "time"

// DefaultMaxAttempts is the maximum number of attempts of one request, hedges
// included. The third attempt reaches a third availability zone, whatever happened
// to the first two.
const DefaultMaxAttempts = 3

// minAttemptTime is the minimum time to the deadline for a further attempt to be
// sent: opening a connection takes 1 ms and an answer a few more.
const minAttemptTime = 5 * time.Millisecond

// AttemptStatus is the state of an attempt.
type AttemptStatus uint8

// The states of an attempt.
const (
	Pending            AttemptStatus = iota // no result yet
	Answered                                // the backend server answered without a failure
	Failed                                  // the backend server answered with a failure (5xx)
	NeverSent                               // no connection was opened: proven not run
	RefusedUnavailable                      // not run: refused by the exit proxy, others may accept (ejected, leaving, stopping)
	RefusedOverloaded                       // not run: refused by the exit proxy because of load (queue full, deadline too short)
	RefusedPermanently                      // not run: every exit proxy would refuse
	OutcomeUnknown                          // connection lost, cut or silent after sending; the request may have run
)

// NotRun reports whether the status proves that the attempt did not run.
func (s AttemptStatus) NotRun() bool {
	switch s {
	case NeverSent, RefusedUnavailable, RefusedOverloaded, RefusedPermanently:
		return true
	default:
		return false
	}
}

// Attempt describes the latest attempt of a request.
type Attempt struct {
	Status          AttemptStatus
	AttemptsStarted int  // attempts started so far, hedges included; 1 after the first
	AttemptsRunning int  // attempts still running, this one included while Pending
	Idempotent      bool // the request may run more than once
	Replayable      bool // the body can be resent from its start
	UntriedBackends int  // backend servers of the subset that were not tried yet
	SentAt          time.Time
	Deadline        time.Time
}

// Action is the decision on how a request proceeds.
type Action uint8

// The actions.
const (
	GiveUp         Action = iota // return the result of the last attempt
	RetryElsewhere               // start an attempt on another backend server
	Hedge                        // start a second attempt in parallel with the running one
	Wait                         // an attempt is running; decide again when it ends or after HedgeDelay
)

// String returns the name used in logs and metrics.
func (a Action) String() string {
	return [...]string{"give-up", "retry-elsewhere", "hedge", "wait"}[a]
}

// Policy decides on retries and hedges for one pair of service and class at one
// entry proxy. It is safe for concurrent use. Without a Budget, no attempt that
// adds load is made; without HedgeLatency, no hedge.
type Policy struct {
	Budget         *Budget
	HedgeLatency   *P95Estimator
	MaxAttempts    int // 0 means DefaultMaxAttempts
	DisableHedging bool
}

// NextAction returns what to do after an attempt has ended, or while it is Pending.
func (p *Policy) NextAction(now time.Time, a Attempt) Action {
	if a.Status == Pending {
		return p.nextWhilePending(now, a)
	}
	if a.Status == Answered || a.Status == RefusedPermanently {
		return GiveUp
	}
	if a.AttemptsRunning > 0 {
		return Wait
	}
	if !p.canStartAnother(now, a) || !safeToResend(a) {
		return GiveUp
	}
	if addsLoad(a.Status) && !p.spendBudget() {
		return GiveUp
	}
	return RetryElsewhere
}

// HedgeDelay returns the time after sending at which a hedge is considered. It
// reports false while hedging is off or too few latencies are known.
func (p *Policy) HedgeDelay() (time.Duration, bool) {
	if p.DisableHedging || p.HedgeLatency == nil {
		return 0, false
	}
	return p.HedgeLatency.Value()
}

func (p *Policy) nextWhilePending(now time.Time, a Attempt) Action {
	after, ok := p.HedgeDelay()
	if !ok || now.Sub(a.SentAt) < after {
		return Wait
	}
	if !a.Idempotent || !a.Replayable || a.AttemptsRunning > 1 || !p.canStartAnother(now, a) {
		return Wait
	}
	if !p.spendBudget() {
		return Wait
	}
	return Hedge
}

// canStartAnother reports whether the attempt limit, the untried backend servers
// and the deadline permit a further attempt.
func (p *Policy) canStartAnother(now time.Time, a Attempt) bool {
	return a.AttemptsStarted < p.maxAttempts() && a.UntriedBackends > 0 && a.Deadline.Sub(now) >= minAttemptTime
}

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts > 0 {
		return p.MaxAttempts
	}
	return DefaultMaxAttempts
}

func (p *Policy) spendBudget() bool {
	return p.Budget != nil && p.Budget.TryWithdraw()
}

// safeToResend reports whether a retry can neither run a non-idempotent request
// twice nor send an incomplete body. Only NeverSent guarantees that no part of the
// body was consumed.
func safeToResend(a Attempt) bool {
	if a.Status == NeverSent {
		return true
	}
	if !a.Replayable {
		return false
	}
	return a.Idempotent || a.Status.NotRun()
}

// addsLoad reports whether a retry adds load to the service and so needs budget.
// An attempt that failed to connect, or that was refused because the backend
// server takes no work, used no slot; limiting such retries would lose requests at
// each planned stop.
func addsLoad(s AttemptStatus) bool {
	return s != NeverSent && s != RefusedUnavailable
}
