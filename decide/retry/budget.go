package retry

import "sync/atomic"

// Balances are kept in thousandths of a retry.
const (
	milliPerRetry = 1000
	// DefaultRetryRatio is the number of retries permitted per first attempt. With
	// 10%, a total failure raises the load by at most a tenth.
	DefaultRetryRatio = 0.1
	// DefaultMaxBalance is the largest number of retries that can accumulate, so
	// that a long time without failures does not fund a burst of retries into an
	// overloaded service.
	DefaultMaxBalance = 10
)

// Budget is a retry budget: each first attempt deposits a fraction of a retry and
// each retry withdraws a whole one. It is lock-free and safe for concurrent use.
type Budget struct {
	balance    atomic.Int64 // in thousandths of a retry, as are the next two
	deposit    int64        // per first attempt
	maxBalance int64
}

// NewBudget returns a budget that gains retryRatio retries per first attempt and
// holds at most maxRetries. It starts with one retry, so that the first failure of
// a service with little traffic can be retried. A retryRatio outside 0..1 is
// clamped; a maxRetries below 1 becomes 1.
func NewBudget(retryRatio float64, maxRetries int) *Budget {
	b := &Budget{
		deposit:    int64(min(max(retryRatio, 0), 1) * milliPerRetry),
		maxBalance: int64(max(maxRetries, 1)) * milliPerRetry,
	}
	b.balance.Store(milliPerRetry)
	return b
}

// Deposit adds the fraction of a retry that one first attempt permits.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		next := min(old+b.deposit, b.maxBalance)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// TryWithdraw takes one retry out of the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	for {
		old := b.balance.Load()
		if old < milliPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(old, old-milliPerRetry) {
			return true
		}
	}
}

// Balance returns the number of retries available now.
func (b *Budget) Balance() float64 {
	return float64(b.balance.Load()) / milliPerRetry
}
