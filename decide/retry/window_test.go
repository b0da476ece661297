package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more retries in any window than the ratio of first attempts plus
// the fixed number permits.
func TestWindowedBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		ratio := rapid.Float64Range(0, 0.3).Draw(t, "share")
		fixed := rapid.Float64Range(0, 8).Draw(t, "extra")
		w := NewWindowedBudget(length, ratio, fixed)
		var requests, retries []time.Time
		now := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.Deposit(now)
				requests = append(requests, now)
				continue
			}
			if w.TryWithdraw(now) {
				retries = append(retries, now)
			}
		}
		for i, first := range retries {
			inWindow := 0
			for _, at := range retries[i:] {
				if at.Sub(first) < length {
					inWindow++
				}
			}
			// Requests of the window and of the intervals around it may count.
			counted := 0
			for _, at := range requests {
				if at.After(first.Add(-length-length/5)) && at.Before(first.Add(length)) {
					counted++
				}
			}
			if limit := ratio*float64(counted) + fixed; float64(inWindow) > limit+1e-9 {
				t.Fatalf("%d retries in a window, permitted %.2f", inWindow, limit)
			}
		}
	})
}

// Guards against losing unspent retries before the window ends: failures come in
// bursts.
func TestUnspentRetriesLastForTheWindow(t *testing.T) {
	w := NewWindowedBudget(10*time.Second, 0.2, 0)
	now := time.Unix(1_700_000_000, 0)
	for i := range 40 {
		w.Deposit(now.Add(time.Duration(i) * 200 * time.Millisecond))
	}
	spent := 0
	for w.TryWithdraw(now.Add(9 * time.Second)) {
		spent++
	}
	if spent < 7 {
		t.Errorf("%d retries, want 8", spent)
	}
}

// Guards against leaving out the requests that retried requests cause, which are
// counted by Charge.
func TestChargedRetriesUseTheBudget(t *testing.T) {
	w := NewWindowedBudget(10*time.Second, 0, 2)
	now := time.Unix(1_700_000_000, 0)
	w.Charge(now, 0.5)
	w.Charge(now, 0.75)
	if w.TryWithdraw(now) {
		t.Error("a retry was permitted although 1.25 of 2 are used")
	}
}
