// Package retry decides whether a request is sent again or hedged. A request of
// a non-idempotent class is resent only on proof that the last attempt did not
// run; retries and hedges that add load are paid from a budget that is earned by
// first attempts (Google SRE book, "Handling Overload"; Dean and Barroso, "The
// Tail at Scale", 2013).
package retry

import "time"

// DefaultMaxAttempts bounds the attempts of one request, hedges included. The
// third attempt reaches a third zone, whatever happened to the first two.
const DefaultMaxAttempts = 3

// minLeft is the least time before the deadline in which a further attempt is
// worth sending: opening a connection takes 1 ms and an answer a few more.
const minLeft = 5 * time.Millisecond

// Result is how an attempt stands.
type Result uint8

// The results of an attempt.
const (
	Pending        Result = iota // still running
	Answered                     // the backend server answered; nothing to repair
	Failed                       // the backend server answered with a failure (5xx)
	NeverSent                    // no connection was opened: proven not run
	RefusedHere                  // the exit refused before running and others may serve: ejected, leaving, stopping
	RefusedLoad                  // the exit refused before running because of load: queue full, deadline too short
	RefusedFinal                 // refused before running, and every exit would refuse
	OutcomeUnknown               // lost, cut or silent after sending: it may have run
)

// NotRun tells whether the result proves that the attempt did not run.
func (r Result) NotRun() bool {
	switch r {
	case NeverSent, RefusedHere, RefusedLoad, RefusedFinal:
		return true
	default:
		return false
	}
}

// Attempt describes the latest attempt of a request.
type Attempt struct {
	Result     Result
	Started    int  // attempts started so far, hedges included; 1 after the first
	Running    int  // attempts still running, this one included while Pending
	Idempotent bool // from the class of the request
	Replayable bool // the body can be sent again from its start
	Untried    int  // backend servers of the subset not tried yet
	Sent       time.Time
	Deadline   time.Time
}

// Action is what to do next.
type Action uint8

// The actions.
const (
	GiveUp         Action = iota // return the result at hand
	RetryElsewhere               // start an attempt on another backend server
	Hedge                        // start a second attempt beside the running one
	Wait                         // an attempt is running; decide again when it ends or at HedgeAfter
)

// String returns the name used in logs and metrics.
func (a Action) String() string {
	return [...]string{"give-up", "retry-elsewhere", "hedge", "wait"}[a]
}

// Policy decides for one (service, class) at one entry. Traffic goroutines use
// it at the same time. A nil Budget allows no paid attempt; a nil Latency no
// hedge.
type Policy struct {
	Budget      *Budget
	Latency     *Quantile
	MaxAttempts int // 0 means DefaultMaxAttempts
	NoHedge     bool
}

// Next decides after an attempt has ended, or while it is Pending.
func (p *Policy) Next(now time.Time, a Attempt) Action {
	if a.Result == Pending {
		return p.whilePending(now, a)
	}
	if a.Result == Answered || a.Result == RefusedFinal {
		return GiveUp
	}
	if a.Running > 0 {
		return Wait
	}
	if !p.possible(now, a) || !safe(a) {
		return GiveUp
	}
	if addsLoad(a.Result) && !p.pay() {
		return GiveUp
	}
	return RetryElsewhere
}

// HedgeAfter returns how long after sending a hedge is considered; false while
// too few latencies are known.
func (p *Policy) HedgeAfter() (time.Duration, bool) {
	if p.NoHedge || p.Latency == nil {
		return 0, false
	}
	return p.Latency.Value()
}

func (p *Policy) whilePending(now time.Time, a Attempt) Action {
	after, ok := p.HedgeAfter()
	if !ok || now.Sub(a.Sent) < after {
		return Wait
	}
	if !a.Idempotent || !a.Replayable || a.Running > 1 || !p.possible(now, a) {
		return Wait
	}
	if !p.pay() {
		return Wait
	}
	return Hedge
}

// possible tells whether a further attempt has a place to go and time to end.
func (p *Policy) possible(now time.Time, a Attempt) bool {
	return a.Started < p.maxAttempts() && a.Untried > 0 && a.Deadline.Sub(now) >= minLeft
}

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts > 0 {
		return p.MaxAttempts
	}
	return DefaultMaxAttempts
}

func (p *Policy) pay() bool {
	return p.Budget != nil && p.Budget.Spend()
}

// safe tells whether sending again cannot run a non-idempotent request twice.
// NeverSent has consumed no body; every other result may have.
func safe(a Attempt) bool {
	if a.Result == NeverSent {
		return true
	}
	if !a.Replayable {
		return false
	}
	return a.Idempotent || a.Result.NotRun()
}

// addsLoad tells whether a retry adds work to the service. A connection that was
// never opened and a refusal by an exit whose backend server takes no work cost
// no slot anywhere, and refusing to go on would lose requests at each planned stop.
func addsLoad(r Result) bool {
	return r != NeverSent && r != RefusedHere
}
