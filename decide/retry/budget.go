package retry

import "sync/atomic"

// The budget is counted in thousandths of a retry.
const (
	unit = 1000
	// DefaultShare is the part of first attempts that may be retried. 10% keeps
	// the added load of a total failure at a tenth.
	DefaultShare = 0.1
	// DefaultReserve bounds what is saved up, so that a quiet hour does not pay
	// for a burst of retries into an overload.
	DefaultReserve = 10
)

// Budget holds the retries that first attempts have earned. Traffic goroutines
// use it at the same time without a lock.
type Budget struct {
	level atomic.Int64
	share int64
	limit int64
}

// NewBudget returns a budget that earns share retries for each request and saves
// at most reserve of them. It starts with one, so that the first failure of a
// quiet service can be repaired. A share outside 0..1 is clamped; a reserve below
// 1 becomes 1.
func NewBudget(share float64, reserve int) *Budget {
	b := &Budget{
		share: int64(min(max(share, 0), 1) * unit),
		limit: int64(max(reserve, 1)) * unit,
	}
	b.level.Store(unit)
	return b
}

// Earn counts one first attempt.
func (b *Budget) Earn() {
	for {
		old := b.level.Load()
		next := min(old+b.share, b.limit)
		if next == old || b.level.CompareAndSwap(old, next) {
			return
		}
	}
}

// Spend takes one retry out of the budget; false means that there is none.
func (b *Budget) Spend() bool {
	for {
		old := b.level.Load()
		if old < unit {
			return false
		}
		if b.level.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Level returns the retries that are available now.
func (b *Budget) Level() float64 {
	return float64(b.level.Load()) / unit
}
