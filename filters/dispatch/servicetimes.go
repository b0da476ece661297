package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/servicetime"
	"github.com/ragwortyard/ragwortyard/decide/slotqueue"
)

// probeInterval is the time between two requests of a route that are sent to full queues because
// its service time is not known.
const probeInterval = time.Second

// ServiceTimes estimates how long the requests of each route hold a slot, from what exit proxies
// report. A short request finds room in a queue that is full for others, since it passes
// these. The zero value knows no route.
type ServiceTimes struct {
	byRoute sync.Map // route name to *routeTimes
}

// routeTimes is what is known of one route.
type routeTimes struct {
	estimate  atomic.Pointer[servicetime.Estimate]
	lastProbe atomic.Int64 // in Unix nanoseconds
}

func (s *ServiceTimes) of(route string) *routeTimes {
	if known, ok := s.byRoute.Load(route); ok {
		return known.(*routeTimes)
	}
	created := &routeTimes{}
	created.estimate.Store(&servicetime.Estimate{})
	known, _ := s.byRoute.LoadOrStore(route, created)
	return known.(*routeTimes)
}

// observe records how long a request has held a slot. Concurrent observations may replace each
// other.
func (t *routeTimes) observe(now time.Time, held time.Duration) {
	next := t.estimate.Load().After(now, held)
	t.estimate.Store(&next)
}

// expected returns how long a request is expected to hold a slot, or 0 if that is not known.
func (t *routeTimes) expected(now time.Time) time.Duration { return t.estimate.Load().Expected(now) }

// takeProbe reports whether a request may be sent to full queues to find out how long it takes, and
// counts it if so.
func (t *routeTimes) takeProbe(now time.Time) bool {
	last := t.lastProbe.Load()
	return now.UnixNano()-last >= int64(probeInterval) && t.lastProbe.CompareAndSwap(last, now.UnixNano())
}

// passesOthers reports whether the request is so short that it passes those that wait for a server.
// Calls go before these anyway, and don't pass each other.
func (r *requestState) passesOthers(health *mesh.Health) bool {
	return !r.req.IsCall && r.serviceTime > 0 && slotqueue.MinLengthRatio*r.serviceTime <= health.MeanServiceTime
}

// becomeProbe reports whether the request, which is refused otherwise, is sent to full queues to
// find out how long it takes.
func (r *requestState) becomeProbe(now time.Time) bool {
	if r.isProbe || r.req.IsCall || r.serviceTime > 0 || !r.times.takeProbe(now) {
		return false
	}
	r.isProbe = true
	return true
}
