package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/retry"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// SharedRetries limits the retries that all processes together may send to a service
// in each window, in addition to the retries that each process funds by a ratio of
// its requests. Failures concentrate on a few entry proxies, so one owner per service
// grants the shared retries to those that need them.
type SharedRetries struct {
	Window       time.Duration
	MaxPerWindow float64
	// CallOverdraft is how many calls on behalf of retried requests may be made in each
	// window beyond MaxPerWindow.
	CallOverdraft float64
}

// callReserveRatio is the fraction of the shared retries that is reserved for calls
// of backend servers: when a call fails, the request that made it fails, too.
const callReserveRatio = 0.5

// maxRetryPools limits the number of services with a shared budget.
const maxRetryPools = 4096

// retryPools holds the shared retry budgets of the services that this process owns.
type retryPools struct {
	limit   SharedRetries
	budgets map[string]*retry.WindowedBudget
}

func newRetryPools(r SharedRetries) *retryPools {
	return &retryPools{limit: r, budgets: make(map[string]*retry.WindowedBudget)}
}

// take spends one retry and returns the number granted, 0 or 1. Calls made on behalf of
// retried requests may overdraw the budget, since refusing one wastes its request; later
// retries lack what they spend. ownersChangedAt is
// when the set of possible owners last changed: a budget created within a window
// after that starts empty, since the previous owner may have granted everything.
func (p *retryPools) take(now, ownersChangedAt time.Time, service string, purpose notice.Purpose) int {
	budget := p.budgets[service]
	if budget == nil {
		if len(p.budgets) >= maxRetryPools {
			return 0
		}
		budget = retry.NewWindowedBudget(p.limit.Window, 0, p.limit.MaxPerWindow)
		if now.Sub(ownersChangedAt) < p.limit.Window {
			budget.Charge(now, p.limit.MaxPerWindow)
		}
		p.budgets[service] = budget
	}
	if purpose == notice.ForCallOfRetry {
		if budget.Balance(now) < 1-p.limit.CallOverdraft {
			return 0
		}
		budget.Charge(now, 1)
		return 1
	}
	if purpose == notice.ForCallerRetry && budget.Balance(now) < callReserveRatio*p.limit.MaxPerWindow {
		return 0
	}
	if !budget.TryWithdraw(now) {
		return 0
	}
	return 1
}
