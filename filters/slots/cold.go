package slots

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/decide/slotqueue"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// coldStarts limits the starts of requests while the backend server is cold.
type coldStarts struct {
	log       *zap.Logger
	warmUp    slotqueue.WarmUp
	perSecond float64   // limit in force; 0 while there is none
	until     time.Time // end of the limit; zero if it is not known
	since     time.Time
	refused   uint64 // attempts since then
	everCold  bool   // the limit was in force before
	refusals  atomic.Uint64
}

// update applies or ends the limit.
func (c *coldStarts) update(now time.Time, queue *slotqueue.Queue, b *Backend) {
	c.warmUp.SetListed(b.WarmUpUntil)
	until, cold := c.warmUp.Cold(now)
	cold = cold && b.WarmUpRate > 0
	switch {
	case cold:
		if c.perSecond == 0 {
			c.since, c.refused = now, 0
			c.log.Info("backend server is cold", zap.Float64("per_second", b.WarmUpRate), zap.Int64("left_ms", max(until.Sub(now), 0).Milliseconds()))
		}
		c.perSecond, c.until, c.everCold = b.WarmUpRate, until, true
		queue.SpaceStarts(now, b.WarmUpRate)
	case c.perSecond > 0:
		c.log.Info("backend server is warm", zap.Int64("cold_ms", now.Sub(c.since).Milliseconds()), zap.Uint64("attempts_refused", c.refused))
		c.perSecond, c.until = 0, time.Time{}
		queue.StopSpacingStarts()
	}
}

// limit returns the limit for entry proxies: the lower of the one that the server has named
// and that of a cold server.
func (c *coldStarts) limit(named pipeline.RateLimit) pipeline.RateLimit {
	switch {
	case c.perSecond > 0 && (!named.Limited || c.perSecond < named.PerSecond):
		return pipeline.RateLimit{Known: true, Limited: true, PerSecond: c.perSecond}
	case c.everCold && !named.Limited:
		named.Known = true // entry proxies have to learn that the limit has ended
	}
	return named
}

// countRefusal counts a refused attempt if only the limit kept it from starting.
func (c *coldStarts) countRefusal(queue *slotqueue.Queue) {
	if c.perSecond > 0 && queue.HasFreeSlot() {
		c.refused++
		c.refusals.Add(1)
	}
}
