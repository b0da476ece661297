package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
)

// Times of evacuations and of the return of the store from a copy.
const (
	// evacuationTime is how soon an evacuation must take effect, as the settings give it.
	evacuationTime = 5 * time.Second
	// evacuatedTime is how long an evacuation lasts beyond evacuationTime.
	evacuatedTime = 3 * time.Second
	// storeCopyAge is the age of a copy. A key that was withdrawn when the copy was made has
	// to stay withdrawn although the store returns without that.
	storeCopyAge = 4 * time.Second
	// storeReturnTime is how long the store is away before it returns from a copy.
	storeReturnTime = 300 * time.Millisecond
	// serverReturnTime is the time after which the backend servers write their entries again.
	serverReturnTime = time.Second
	// operatorReturnTime is the time after which the operator repeats what the store lost.
	// Together with storeCopyAge it exceeds keyRevocationTime.
	operatorReturnTime = 2 * time.Second
	// knownAfter is the time in which the fleet learns what the store has acknowledged.
	knownAfter = 2 * time.Second
	// downgradeTime is how long requests may still be handled by the old configuration after
	// a host has used the new one.
	downgradeTime = 250 * time.Millisecond
)

// evacuation is the evacuation of an availability zone.
type evacuation struct {
	acknowledged time.Time
	ended        time.Time // zero until it is taken back
}

// hostKey is a key at a host.
type hostKey struct {
	host int
	key  string
}

// storeReturn is a return of the store from a copy.
type storeReturn struct{ away, back time.Time }

// evacuateZone evacuates a zone for a duration. Its servers are cold at the end.
func (tb *testbed) evacuateZone(ctx context.Context, zone string, d time.Duration) {
	tb.store.Evacuate(zone)
	tb.checker.recordEvacuation(zone)
	sleepContext(ctx, d)
	for i, h := range tb.hosts {
		if zoneName(i) == zone {
			h.backend.MakeCold(coldTime)
		}
	}
	tb.checker.recordEvacuationEnd(zone)
	tb.store.EndEvacuation(zone)
}

// restoreStore makes the store return from a copy. It loses the withdrawal of a key, that the
// server of a host drains, and that another server was replaced. The new one drains when the
// store is back.
func (tb *testbed) restoreStore(ctx context.Context, hostIndex int) {
	var pending sync.WaitGroup
	defer pending.Wait()
	draining, replaced := tb.hosts[hostIndex], tb.hosts[(hostIndex+2)%len(tb.hosts)]
	c := tb.store.TakeCopy()
	tb.withdrawKey()
	pending.Go(func() { tb.drain(ctx, replaced, drainTime+drainTime/2) })
	sleepContext(ctx, storeCopyAge-knownAfter)
	pending.Go(func() { tb.drain(ctx, draining, 2*drainTime) })
	sleepContext(ctx, knownAfter)
	tb.store.SetDown(true)
	tb.heartbeatsPaused.Store(true)
	tb.checker.recordStoreReturn(time.Now())
	sleepContext(ctx, storeReturnTime)
	lost := tb.store.Restore(c)
	tb.store.SetDown(false)
	pending.Go(func() { tb.drain(ctx, replaced, 2*drainTime) })
	sleepContext(ctx, serverReturnTime)
	tb.heartbeatsPaused.Store(false)
	sleepContext(ctx, operatorReturnTime-serverReturnTime)
	tb.store.WriteAgain(lost)
}

// recordEvacuation records that the store accepted the evacuation of a zone.
func (c *invariantChecker) recordEvacuation(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations[zone] = &evacuation{acknowledged: time.Now()}
}

// recordEvacuationEnd records that the evacuation of a zone is taken back.
func (c *invariantChecker) recordEvacuationEnd(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations[zone].ended = time.Now()
}

// recordStoreReturn records that the store is away and returns from a copy.
func (c *invariantChecker) recordStoreReturn(away time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeReturns = append(c.storeReturns, storeReturn{away, away.Add(storeReturnTime)})
}

// recordProcessStart records that the process of a host was started again. A process that
// starts may not know which keys the previous one refused.
func (c *invariantChecker) recordProcessStart(host int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for refused := range c.refusedKeys {
		if refused.host == host {
			delete(c.refusedKeys, refused)
		}
	}
}

// recordRefusedKey records that a host refused the key of a request. The caller holds the
// lock.
func (c *invariantChecker) recordRefusedKey(r *request) {
	refused := hostKey{r.host, r.key}
	if at, known := c.refusedKeys[refused]; !known || !at.After(c.withdrawn[r.key]) {
		c.refusedKeys[refused] = r.ended
	}
}

// checkRefusedKey reports requests with a withdrawn key that the process of the host has refused
// since. A key that is new may be refused until the host knows it.
func (c *invariantChecker) checkRefusedKey(r *request) {
	refused, known := c.refusedKeys[hostKey{r.host, r.key}]
	at, withdrawn := c.withdrawn[r.key]
	if known && withdrawn && refused.After(at) && r.sent.Sub(refused) > downgradeTime {
		c.report(ConfigReverted, "%s was sent %v after the refusal, at host %d", r.id, r.sent.Sub(refused), r.host)
	}
}

// acknowledgedAgain returns when the store acknowledged what it first acknowledged at a time.
// That is later if the store returned from a copy before the fleet had learned it. writtenAgain
// is the time after the return in which it is written again.
func (c *invariantChecker) acknowledgedAgain(at time.Time, writtenAgain time.Duration) time.Time {
	for _, s := range c.storeReturns {
		if at.Add(knownAfter).After(s.away) && at.Before(s.back) {
			at = s.back.Add(writtenAgain)
		}
	}
	return at
}

// checkEvacuation reports requests that reach a backend server of an evacuated zone. Hosts
// that have a fault are exempt, as they may not know of the evacuation.
func (c *invariantChecker) checkEvacuation(r *request, execution fakebackend.Execution) {
	var host, starts int
	if n, _ := fmt.Sscanf(execution.Backend, serverIDFormat, &host, &starts); n == 0 {
		return
	}
	e := c.evacuations[zoneName(host)]
	if e == nil || (!e.ended.IsZero() && execution.Began.After(e.ended)) {
		return
	}
	late := execution.Began.Sub(c.acknowledgedAgain(e.acknowledged, operatorReturnTime))
	if late > evacuationTime && !c.hostFaulty(r.host, execution.Began) && !c.hostFaulty(host, execution.Began) {
		c.report(RequestAfterEvacuation, "%s reached %s %v after the evacuation of its zone, through host %d", r.id, execution.Backend, late, r.host)
	}
}

// hostFaulty reports whether a host, or the whole fleet, had a fault at a time. The caller
// holds the lock.
func (c *invariantChecker) hostFaulty(host int, at time.Time) bool {
	for _, intervals := range [][]hostInterval{c.faultIntervals, c.storeFaultIntervals} {
		for _, s := range intervals {
			if (s.host == host || s.host < 0) && !s.from.After(at) && !s.to.Before(at) {
				return true
			}
		}
	}
	return false
}
