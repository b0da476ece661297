package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// idleCallerCount is the number of callers that keep an idle connection to a process when
// its graceful shutdown begins.
const idleCallerCount = 40

// idleCallers are callers with one idle connection each.
type idleCallers struct {
	testbed *testbed
	host    *host
	pools   []*callerPool
}

// idleCallerRequests numbers the requests of all idle callers.
var idleCallerRequests atomic.Int64

// newIdleCallers opens the connections by one request each.
func newIdleCallers(ctx context.Context, tb *testbed, h *host) *idleCallers {
	c := &idleCallers{testbed: tb, host: h}
	var pending sync.WaitGroup
	for range idleCallerCount {
		pool := &callerPool{addr: h.callerAddr}
		c.pools = append(c.pools, pool)
		pending.Go(func() { c.send(ctx, pool, shortTimeout) })
	}
	pending.Wait()
	return c
}

// sendDuring sends a request on each connection, at a random time within d. Every second
// one has a deadline that may end before the shutdown does.
func (c *idleCallers) sendDuring(ctx context.Context, d time.Duration) {
	var pending sync.WaitGroup
	for i, pool := range c.pools {
		timeout := requestTimeout
		if i%2 == 0 {
			timeout = shortTimeout
		}
		pending.Go(func() {
			defer pool.close()
			sleepContext(ctx, rand.N(d))
			c.send(ctx, pool, timeout)
		})
	}
	pending.Wait()
}

// send sends one request that may be repeated.
func (c *idleCallers) send(ctx context.Context, pool *callerPool, timeout time.Duration) {
	r := &request{
		id: fmt.Sprintf("idle-%x-%x", c.host.index, idleCallerRequests.Add(1)), host: c.host.index, idempotent: true,
		team: teamName(0), key: c.testbed.key(0), timeout: timeout,
	}
	c.testbed.checker.send(ctx, pool, r, pathRepeatable)
}
