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

// everyAttempt calls check with each combination of what a decision depends on.
func everyAttempt(check func(now time.Time, a Attempt)) {
	for i := range 8 * 4 * 3 * 2 * 2 * 2 * 3 * 2 {
		digit := func(base int) int {
			d := i % base
			i /= base
			return d
		}
		a := Attempt{
			Result: Result(digit(8)), Started: 1 + digit(4), Running: digit(3), Untried: digit(2),
			Idempotent: digit(2) == 1, Replayable: digit(2) == 1,
			Sent: start, Deadline: start.Add(time.Duration(digit(3)) * 100 * time.Millisecond),
		}
		check(start.Add(time.Duration(digit(2))*100*time.Millisecond), a)
	}
}

// hedging returns a policy whose 95th percentile is 40 ms.
func hedging(reserve int) *Policy {
	p := &Policy{Budget: NewBudget(1, reserve), Latency: &Quantile{}}
	for range minQuantileSamples {
		p.Latency.Observe(40 * time.Millisecond)
		p.Budget.Earn()
	}
	return p
}

// Guards against a booking or an invoice that runs twice, attempts beyond the
// limit or the deadline, and a body that is sent again after it was used up.
func TestNothingUnsafeIsSentAgain(t *testing.T) {
	everyAttempt(func(now time.Time, a Attempt) {
		action := hedging(DefaultReserve).Next(now, a)
		if action == GiveUp || action == Wait {
			return
		}
		if !a.Idempotent && (action == Hedge || !a.Result.NotRun()) {
			t.Errorf("%v for a non-idempotent request without proof that it did not run: %+v", action, a)
		}
		if !a.Replayable && a.Result != NeverSent {
			t.Errorf("%v although the body is used up: %+v", action, a)
		}
		if a.Started >= DefaultMaxAttempts || a.Untried == 0 || !now.Before(a.Deadline) {
			t.Errorf("%v without a place or time left: %+v", action, a)
		}
		if a.Result == Answered || a.Result == RefusedFinal {
			t.Errorf("%v after a final result: %+v", action, a)
		}
		if (action == Hedge) != (a.Result == Pending) || a.Running > 1 {
			t.Errorf("%v while %d attempts run: %+v", action, a.Running, a)
		}
	})
}

// Guards against the opposite fault: giving up where a retry is safe and paid.
func TestRepairableFailuresAreRetried(t *testing.T) {
	base := Attempt{Started: 1, Untried: 2, Sent: start, Deadline: start.Add(time.Second)}
	for _, c := range []struct {
		result                 Result
		idempotent, replayable bool
		want                   Action
	}{
		{NeverSent, false, false, RetryElsewhere},
		{RefusedHere, false, true, RetryElsewhere},
		{RefusedHere, false, false, GiveUp},
		{RefusedLoad, false, true, RetryElsewhere},
		{Failed, true, true, RetryElsewhere},
		{Failed, false, true, GiveUp},
		{OutcomeUnknown, true, true, RetryElsewhere},
		{OutcomeUnknown, false, true, GiveUp},
		{RefusedFinal, true, true, GiveUp},
		{Answered, true, true, GiveUp},
	} {
		a := base
		a.Result, a.Idempotent, a.Replayable = c.result, c.idempotent, c.replayable
		if got := hedging(DefaultReserve).Next(start, a); got != c.want {
			t.Errorf("%+v: %v, want %v", a, got, c.want)
		}
	}
}

// Guards against retries and hedges that multiply the load of a failing service.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		reserve := rapid.IntRange(1, 20).Draw(t, "reserve")
		p := &Policy{Budget: NewBudget(share, reserve), Latency: hedging(1).Latency}
		requests, paid := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				p.Budget.Earn()
				requests++
				continue
			}
			a := Attempt{
				Result:     rapid.SampledFrom([]Result{Pending, Failed, RefusedLoad, OutcomeUnknown}).Draw(t, "result"),
				Started:    1,
				Idempotent: true, Replayable: true, Untried: 1,
				Sent: start, Deadline: start.Add(time.Minute),
			}
			if action := p.Next(start.Add(time.Second), a); action == RetryElsewhere || action == Hedge {
				paid++
			}
			if float64(paid) > 1+share*float64(requests) {
				t.Fatalf("%d paid attempts for %d requests at a share of %.3f", paid, requests, share)
			}
		}
		if p.Budget.Level() < 0 || p.Budget.Level() > float64(reserve) {
			t.Fatalf("level %.1f, reserve %d", p.Budget.Level(), reserve)
		}
	})
}

// Guards against savings of a quiet hour that pay for a burst of retries.
func TestBudgetSavesNoMoreThanItsReserve(t *testing.T) {
	b := NewBudget(DefaultShare, DefaultReserve)
	for range 100_000 {
		b.Earn()
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	if spent != DefaultReserve {
		t.Errorf("spent %d after a quiet time, want %d", spent, DefaultReserve)
	}
}

// Guards against spending the same retry twice from two goroutines.
func TestBudgetUnderConcurrentUse(t *testing.T) {
	const requests = 1000
	b := NewBudget(DefaultShare, 8*requests)
	var spent atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range requests {
				b.Earn()
				if b.Spend() {
					spent.Add(1)
				}
			}
		})
	}
	wg.Wait()
	for b.Spend() {
		spent.Add(1)
	}
	if want := int64(1 + DefaultShare*8*requests); spent.Load() != want {
		t.Errorf("spent %d, want %d", spent.Load(), want)
	}
}

// Guards against losing the requests that meet a planned stop or an ejection
// because the budget is spent: such refusals cost no slot.
func TestRefusalsWithoutLoadAreNotPaid(t *testing.T) {
	p := &Policy{Budget: NewBudget(0, 1)}
	p.Budget.Spend()
	a := Attempt{Started: 1, Untried: 1, Replayable: true, Deadline: start.Add(time.Second)}
	for result, want := range map[Result]Action{
		NeverSent: RetryElsewhere, RefusedHere: RetryElsewhere, RefusedLoad: GiveUp,
	} {
		a.Result = result
		if got := p.Next(start, a); got != want {
			t.Errorf("result %d with an empty budget: %v, want %v", result, got, want)
		}
	}
}

// Guards against hedges before the 95th percentile, which would double the load.
func TestHedgeWaitsForTheSlowestTwentieth(t *testing.T) {
	p := hedging(DefaultReserve)
	a := Attempt{Result: Pending, Started: 1, Running: 1, Idempotent: true, Replayable: true, Untried: 1, Sent: start, Deadline: start.Add(time.Minute)}
	after, ok := p.HedgeAfter()
	if !ok {
		t.Fatal("no hedge time after enough samples")
	}
	if got := p.Next(start.Add(after-time.Millisecond), a); got != Wait {
		t.Errorf("before the percentile: %v", got)
	}
	if got := p.Next(start.Add(after), a); got != Hedge {
		t.Errorf("after the percentile: %v", got)
	}
}

// Guards against an estimate that is far from the percentile it stands for.
func TestQuantileFollowsThePercentile(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var q Quantile
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

func ExamplePolicy_Next() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	p := &Policy{Budget: NewBudget(DefaultShare, DefaultReserve)}
	lost := Attempt{
		Result: OutcomeUnknown, Started: 1, Replayable: true, Untried: 7,
		Sent: now, Deadline: now.Add(time.Second),
	}
	fmt.Println("booking lost after sending:", p.Next(now, lost))
	lost.Idempotent = true
	fmt.Println("lookup lost after sending:", p.Next(now, lost))
	// Output:
	// booking lost after sending: give-up
	// lookup lost after sending: retry-elsewhere
}
