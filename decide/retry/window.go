package retry

import (
	"sync/atomic"
	"time"
)

// WindowedBudget limits retries over a sliding window: within any window, at most
// a ratio of the first attempts plus a fixed number. In contrast to Budget, unspent
// retries stay available for the whole window, so that they can be used in a burst.
// It is lock-free and safe for concurrent use; a few retries too many may pass when
// one interval ends and the next begins.
type WindowedBudget struct {
	window       time.Duration
	retryRatio   float64
	fixedRetries float64
	intervals    [windowIntervals]interval
}

// windowIntervals is the number of intervals whose counts are kept. A window spans
// one less, so that a retry expires up to one interval after its window, never
// before.
const windowIntervals = 11

// interval counts the first attempts and retries of one part of the window.
type interval struct {
	index            atomic.Int64 // intervals since the Unix epoch
	requests         atomic.Int64
	milliRetriesUsed atomic.Int64
}

// NewWindowedBudget returns a budget that permits, within any window, retryRatio
// retries per first attempt plus fixedRetries.
func NewWindowedBudget(window time.Duration, retryRatio, fixedRetries float64) *WindowedBudget {
	return &WindowedBudget{window: window, retryRatio: retryRatio, fixedRetries: fixedRetries}
}

func (w *WindowedBudget) intervalIndex(now time.Time) int64 {
	return now.UnixNano() / int64(w.window/(windowIntervals-1))
}

// intervalAt returns the interval that contains now. It resets the counters if they
// belong to an earlier window.
func (w *WindowedBudget) intervalAt(now time.Time) *interval {
	index := w.intervalIndex(now)
	s := &w.intervals[index%windowIntervals]
	if old := s.index.Load(); old != index && s.index.CompareAndSwap(old, index) {
		s.requests.Store(0)
		s.milliRetriesUsed.Store(0)
	}
	return s
}

// Deposit counts one first attempt.
func (w *WindowedBudget) Deposit(now time.Time) { w.intervalAt(now).requests.Add(1) }

// Balance returns the number of retries permitted now. It can be negative after
// Charge.
func (w *WindowedBudget) Balance(now time.Time) float64 {
	oldest := w.intervalIndex(now) - windowIntervals + 1
	var requests, milliRetriesUsed int64
	for i := range w.intervals {
		if s := &w.intervals[i]; s.index.Load() >= oldest {
			requests += s.requests.Load()
			milliRetriesUsed += s.milliRetriesUsed.Load()
		}
	}
	return w.retryRatio*float64(requests) + w.fixedRetries - float64(milliRetriesUsed)/milliPerRetry
}

// TryWithdraw takes one retry out of the budget and reports whether it was
// permitted.
func (w *WindowedBudget) TryWithdraw(now time.Time) bool {
	if w.Balance(now) < 1 {
		return false
	}
	w.Charge(now, 1)
	return true
}

// Charge counts retries that were made without TryWithdraw: requests that a retried
// request causes are retries, too. The amount may be a fraction.
func (w *WindowedBudget) Charge(now time.Time, amount float64) {
	w.intervalAt(now).milliRetriesUsed.Add(int64(amount * milliPerRetry))
}
