package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// forEachAttempt calls check with every combination of a decision's inputs.
func forEachAttempt(check func(now time.Time, a Attempt)) {
	for i := range 8 * 4 * 3 * 2 * 2 * 2 * 3 * 2 {
		digit := func(base int) int {
			d := i % base
			i /= base
			return d
		}
		a := Attempt{
			Status: AttemptStatus(digit(8)), AttemptsStarted: 1 + digit(4), AttemptsRunning: digit(3), UntriedBackends: digit(2),
			Idempotent: digit(2) == 1, Replayable: digit(2) == 1,
			SentAt: start, Deadline: start.Add(time.Duration(digit(3)) * 100 * time.Millisecond),
		}
		check(start.Add(time.Duration(digit(2))*100*time.Millisecond), a)
	}
}

// newHedgingPolicy returns a policy that hedges after about 40 ms.
func newHedgingPolicy(maxRetries int) *Policy {
	p := &Policy{Budget: NewBudget(1, maxRetries), HedgeLatency: &P95Estimator{}}
	for range minQuantileSamples {
		p.HedgeLatency.Observe(40 * time.Millisecond)
		p.Budget.Deposit()
	}
	return p
}

// Guards against a non-idempotent request that runs twice, attempts beyond the
// limit or the deadline, and a retry whose body was already consumed.
func TestNothingUnsafeIsSentAgain(t *testing.T) {
	forEachAttempt(func(now time.Time, a Attempt) {
		action := newHedgingPolicy(DefaultMaxBalance).NextAction(now, a)
		if action == GiveUp || action == Wait {
			return
		}
		if !a.Idempotent && (action == Hedge || !a.Status.NotRun()) {
			t.Errorf("%v for a non-idempotent request without proof that it did not run: %+v", action, a)
		}
		if !a.Replayable && a.Status != NeverSent {
			t.Errorf("%v although the body was consumed: %+v", action, a)
		}
		if a.AttemptsStarted >= DefaultMaxAttempts || a.UntriedBackends == 0 || !now.Before(a.Deadline) {
			t.Errorf("%v although the attempts, backend servers or time are used up: %+v", action, a)
		}
		if a.Status == Answered || a.Status == RefusedPermanently {
			t.Errorf("%v after a final result: %+v", action, a)
		}
		if (action == Hedge) != (a.Status == Pending) || a.AttemptsRunning > 1 {
			t.Errorf("%v while %d attempts run: %+v", action, a.AttemptsRunning, a)
		}
	})
}

// Guards against giving up although a retry is safe and the budget permits it.
func TestSafeFailuresAreRetried(t *testing.T) {
	base := Attempt{AttemptsStarted: 1, UntriedBackends: 2, SentAt: start, Deadline: start.Add(time.Second)}
	for _, c := range []struct {
		status                 AttemptStatus
		idempotent, replayable bool
		want                   Action
	}{
		{NeverSent, false, false, RetryElsewhere},
		{RefusedUnavailable, false, true, RetryElsewhere},
		{RefusedUnavailable, false, false, GiveUp},
		{RefusedOverloaded, false, true, RetryElsewhere},
		{Failed, true, true, RetryElsewhere},
		{Failed, false, true, GiveUp},
		{OutcomeUnknown, true, true, RetryElsewhere},
		{OutcomeUnknown, false, true, GiveUp},
		{RefusedPermanently, true, true, GiveUp},
		{Answered, true, true, GiveUp},
	} {
		a := base
		a.Status, a.Idempotent, a.Replayable = c.status, c.idempotent, c.replayable
		if got := newHedgingPolicy(DefaultMaxBalance).NextAction(start, a); got != c.want {
			t.Errorf("%+v: %v, want %v", a, got, c.want)
		}
	}
}

// Guards against retries and hedges beyond the budget, which would multiply the
// load of a failing service.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "share")
		maxRetries := rapid.IntRange(1, 20).Draw(t, "reserve")
		p := &Policy{Budget: NewBudget(ratio, maxRetries), HedgeLatency: newHedgingPolicy(1).HedgeLatency}
		requests, withdrawn := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				p.Budget.Deposit()
				requests++
				continue
			}
			a := Attempt{
				Status:          rapid.SampledFrom([]AttemptStatus{Pending, Failed, RefusedOverloaded, OutcomeUnknown}).Draw(t, "result"),
				AttemptsStarted: 1,
				Idempotent:      true, Replayable: true, UntriedBackends: 1,
				SentAt: start, Deadline: start.Add(time.Minute),
			}
			if action := p.NextAction(start.Add(time.Second), a); action == RetryElsewhere || action == Hedge {
				withdrawn++
			}
			if float64(withdrawn) > 1+ratio*float64(requests) {
				t.Fatalf("%d attempts on budget for %d requests at a ratio of %.3f", withdrawn, requests, ratio)
			}
		}
		if p.Budget.Balance() < 0 || p.Budget.Balance() > float64(maxRetries) {
			t.Fatalf("balance %.1f, maximum %d", p.Budget.Balance(), maxRetries)
		}
	})
}

// Guards against a budget that accumulates during a long time without failures and
// then permits a large burst of retries.
func TestBudgetBalanceIsCapped(t *testing.T) {
	b := NewBudget(DefaultRetryRatio, DefaultMaxBalance)
	for range 100_000 {
		b.Deposit()
	}
	spent := 0
	for b.TryWithdraw() {
		spent++
	}
	if spent != DefaultMaxBalance {
		t.Errorf("withdrew %d after a time without retries, want %d", spent, DefaultMaxBalance)
	}
}

// Guards against lost updates by which two goroutines withdraw the same retry.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	const requests = 1000
	b := NewBudget(DefaultRetryRatio, 8*requests)
	var spent atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range requests {
				b.Deposit()
				if b.TryWithdraw() {
					spent.Add(1)
				}
			}
		})
	}
	wg.Wait()
	for b.TryWithdraw() {
		spent.Add(1)
	}
	if want := int64(1 + DefaultRetryRatio*8*requests); spent.Load() != want {
		t.Errorf("withdrew %d, want %d", spent.Load(), want)
	}
}

// Guards against losing requests at a planned stop or an ejection because the
// budget is empty: attempts that were refused there used no slot.
func TestRefusalsWithoutLoadNeedNoBudget(t *testing.T) {
	p := &Policy{Budget: NewBudget(0, 1)}
	p.Budget.TryWithdraw()
	a := Attempt{AttemptsStarted: 1, UntriedBackends: 1, Replayable: true, Deadline: start.Add(time.Second)}
	for status, want := range map[AttemptStatus]Action{
		NeverSent: RetryElsewhere, RefusedUnavailable: RetryElsewhere, RefusedOverloaded: GiveUp,
	} {
		a.Status = status
		if got := p.NextAction(start, a); got != want {
			t.Errorf("status %d with an empty budget: %v, want %v", status, got, want)
		}
	}
}

// Guards against hedges before the 95th percentile of latency, which could double
// the load.
func TestHedgeWaitsForP95(t *testing.T) {
	p := newHedgingPolicy(DefaultMaxBalance)
	a := Attempt{Status: Pending, AttemptsStarted: 1, AttemptsRunning: 1, Idempotent: true, Replayable: true, UntriedBackends: 1, SentAt: start, Deadline: start.Add(time.Minute)}
	after, ok := p.HedgeDelay()
	if !ok {
		t.Fatal("no hedge delay after enough samples")
	}
	if got := p.NextAction(start.Add(after-time.Millisecond), a); got != Wait {
		t.Errorf("before the percentile: %v", got)
	}
	if got := p.NextAction(start.Add(after), a); got != Hedge {
		t.Errorf("after the percentile: %v", got)
	}
}

// Guards against an estimate that is far from the true 95th percentile, at first
// and after latency has risen by a factor of 4.
func TestP95EstimatorFollowsLatency(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var q P95Estimator
	for _, scale := range []float64{20e6, 80e6} {
		above, samples := 0, 0
		for n := range 4000 {
			latency := time.Duration(scale * math.Exp(r.NormFloat64()/2))
			if estimate, ok := q.Value(); ok && n >= 2000 {
				samples++
				if latency > estimate {
					above++
				}
			}
			q.Observe(latency)
		}
		if part := float64(above) / float64(samples); part < 0.03 || part > 0.07 {
			t.Errorf("%.3f of the samples exceed the estimate, want 0.05", part)
		}
	}
}

func ExamplePolicy_NextAction() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	p := &Policy{Budget: NewBudget(DefaultRetryRatio, DefaultMaxBalance)}
	lost := Attempt{
		Status: OutcomeUnknown, AttemptsStarted: 1, Replayable: true, UntriedBackends: 7,
		SentAt: now, Deadline: now.Add(time.Second),
	}
	fmt.Println("booking lost after sending:", p.NextAction(now, lost))
	lost.Idempotent = true
	fmt.Println("lookup lost after sending:", p.NextAction(now, lost))
	// Output:
	// booking lost after sending: give-up
	// lookup lost after sending: retry-elsewhere
}
