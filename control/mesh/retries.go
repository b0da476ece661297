package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/retry"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Retries are the retries that all processes may send to a service besides a
// share of the requests, within each window. Failures come together at few
// entries, so the owner of a service grants them where they are needed.
type Retries struct {
	Window time.Duration
	Extra  float64
}

// callerReserve is the part of the shared retries that only calls of backend
// servers get: when a call fails, the request that made it fails, too.
const callerReserve = 0.5

// maxPools bounds the services for which retries are kept.
const maxPools = 4096

// retryPools keeps the shared retries of the services that this process owns.
type retryPools struct {
	retries Retries
	pools   map[string]*retry.WindowedBudget
}

func newRetryPools(r Retries) *retryPools {
	return &retryPools{retries: r, pools: make(map[string]*retry.WindowedBudget)}
}

// take grants a retry and returns the number granted. settled is when the
// processes that share the services last changed: within a window after it,
// another owner may have granted all.
func (p *retryPools) take(now, settled time.Time, service string, purpose notice.Purpose) int {
	pool := p.pools[service]
	if pool == nil {
		if len(p.pools) >= maxPools {
			return 0
		}
		pool = retry.NewWindowedBudget(p.retries.Window, 0, p.retries.Extra)
		if now.Sub(settled) < p.retries.Window {
			pool.Charge(now, p.retries.Extra)
		}
		p.pools[service] = pool
	}
	if purpose == notice.ForCallerRetry && pool.Balance(now) < callerReserve*p.retries.Extra {
		return 0
	}
	if !pool.TryWithdraw(now) {
		return 0
	}
	return 1
}
