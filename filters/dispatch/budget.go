package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/retry"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Budgets holds the retries to each service that this entry is permitted by its
// own requests. Beyond them it asks for those that the fleet shares.
type Budgets struct {
	Window time.Duration
	Share  float64 // retries permitted for each request
	// Submit hands an event to the control loop.
	Submit func(ctx context.Context, ev control.Event) error
	table  sync.Map // service to *budget
}

// budget is the budget of one service.
type budget struct {
	*retry.WindowedBudget
	denied atomic.Int64 // when a shared retry was last denied, in Unix nanoseconds
}

// deniedMemory is how long no shared retry is asked for after one was denied. It
// bounds the asks while a whole service fails.
const deniedMemory = 100 * time.Millisecond

func (b *Budgets) get(service string) *budget {
	if known, ok := b.table.Load(service); ok {
		return known.(*budget)
	}
	made, _ := b.table.LoadOrStore(service, &budget{WindowedBudget: retry.NewWindowedBudget(b.Window, b.Share, 0)})
	return made.(*budget)
}

// deniedLately tells whether a shared retry was denied just now.
func (b *budget) deniedLately(now time.Time) bool {
	return now.UnixNano()-b.denied.Load() < int64(deniedMemory)
}

// retryLeft tells whether a failure can probably be repaired.
func (b *budget) retryLeft(now time.Time) bool { return b.Balance(now) >= 1 || !b.deniedLately(now) }

// share asks for one of the retries that the fleet shares.
func (b *Budgets) share(ctx context.Context, own *budget, req *pipeline.Request) bool {
	if own.deniedLately(time.Now()) {
		return false
	}
	wanted := mesh.TokenRequest{Purpose: notice.ForCallRetry, Service: req.Service, Reply: make(chan mesh.TokenDecision, 1)}
	if req.Principal.Team != "" {
		wanted.Purpose = notice.ForCallerRetry
	}
	if b.Submit(ctx, wanted) != nil {
		return false
	}
	select {
	case verdict := <-wanted.Reply:
		if !verdict.Granted {
			own.denied.Store(time.Now().UnixNano())
		}
		return verdict.Granted
	case <-ctx.Done():
		return false
	}
}
