package measure

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/fairqueue"
)

// exitQueue is the queue of an exit: the system's or a baseline.
type exitQueue interface {
	push(now time.Time, a *attempt) (refused *attempt)
	pop(now time.Time) (*attempt, bool)
	expire(now time.Time) []*attempt
	nextExpiry() (time.Time, bool) // when to call expire next
	ended(a *attempt)              // called when a popped attempt has ended
	length() int
	setServiceTimes(p fairqueue.ServiceTimes)
}

// fairQueue is the system's queue, decide/fairqueue.
type fairQueue struct{ q *fairqueue.Queue }

func newFairQueue() exitQueue { return fairQueue{fairqueue.New(slotsPerBackend)} }

func (f fairQueue) push(now time.Time, a *attempt) *attempt {
	r := f.q.Push(now, fairqueue.Item{ID: a.id, Team: a.call.teamName, Deadline: a.call.deadline, Payload: a})
	if r.Reason == fairqueue.Accepted {
		return nil
	}
	return r.Item.Payload.(*attempt)
}

func (f fairQueue) pop(now time.Time) (*attempt, bool) {
	item, ok := f.q.Pop(now)
	if !ok {
		return nil, false
	}
	return item.Payload.(*attempt), true
}

func (f fairQueue) expire(now time.Time) []*attempt {
	var expired []*attempt
	for _, item := range f.q.Expire(now) {
		expired = append(expired, item.Payload.(*attempt))
	}
	return expired
}

func (f fairQueue) nextExpiry() (time.Time, bool)            { return f.q.NextExpiry() }
func (f fairQueue) ended(*attempt)                           {}
func (f fairQueue) length() int                              { return f.q.Len() }
func (f fairQueue) setServiceTimes(p fairqueue.ServiceTimes) { f.q.SetServiceTimes(p) }

// fifoQueue is a baseline: one queue in arrival order, without regard to teams and
// deadlines.
type fifoQueue struct {
	maxLength int
	items     []*attempt
}

func (f *fifoQueue) push(_ time.Time, a *attempt) *attempt {
	if len(f.items) >= f.maxLength {
		return a
	}
	f.items = append(f.items, a)
	return nil
}

func (f *fifoQueue) pop(time.Time) (*attempt, bool) {
	if len(f.items) == 0 {
		return nil, false
	}
	a := f.items[0]
	f.items = f.items[1:]
	return a, true
}

func (f *fifoQueue) expire(time.Time) []*attempt            { return nil }
func (f *fifoQueue) nextExpiry() (time.Time, bool)          { return time.Time{}, false }
func (f *fifoQueue) ended(*attempt)                         {}
func (f *fifoQueue) length() int                            { return len(f.items) }
func (f *fifoQueue) setServiceTimes(fairqueue.ServiceTimes) {}

// serialQueue is a rejected design with a serial queue for each team and backend
// server: one request of a team runs at a time, and the teams take turns.
type serialQueue struct {
	queues   [][]*attempt // by team
	busy     []bool       // a request of the team is running
	nextTeam int
	count    int
}

func newSerialQueue() exitQueue {
	return &serialQueue{
		queues: make([][]*attempt, len(teamDemandShares)),
		busy:   make([]bool, len(teamDemandShares)),
	}
}

func (s *serialQueue) push(_ time.Time, a *attempt) *attempt {
	team := a.call.team
	if len(s.queues[team]) >= fairqueue.LengthPerSlot {
		return a
	}
	s.queues[team] = append(s.queues[team], a)
	s.count++
	return nil
}

func (s *serialQueue) pop(now time.Time) (*attempt, bool) {
	for range s.queues {
		team := s.nextTeam
		s.nextTeam = (s.nextTeam + 1) % len(s.queues)
		if s.busy[team] || len(s.queues[team]) == 0 {
			continue
		}
		a := s.queues[team][0]
		s.queues[team] = s.queues[team][1:]
		s.count--
		s.busy[team] = true
		return a, true
	}
	return nil, false
}

func (s *serialQueue) expire(now time.Time) []*attempt {
	var expired []*attempt
	for team, queue := range s.queues {
		for len(queue) > 0 && !now.Before(queue[0].call.deadline) {
			expired = append(expired, queue[0])
			queue = queue[1:]
			s.count--
		}
		s.queues[team] = queue
	}
	return expired
}

func (s *serialQueue) nextExpiry() (time.Time, bool)          { return time.Time{}, false }
func (s *serialQueue) ended(a *attempt)                       { s.busy[a.call.team] = false }
func (s *serialQueue) length() int                            { return s.count }
func (s *serialQueue) setServiceTimes(fairqueue.ServiceTimes) {}

// backendSim simulates a backend server with slots, shared with the load of another
// company. Requests beyond the slots wait in its backlog; requests beyond that are shed.
type backendSim struct {
	clock           *virtualClock
	rng             *rand.Rand
	meanServiceTime time.Duration
	slowdown        float64 // factor on service times
	running         int
	backlog         []func()
}

// maxBackendBacklog is the number of requests that a backend server queues beyond its
// slots.
const maxBackendBacklog = 14

// run calls end once; shed reports that the request was not executed.
func (b *backendSim) run(end func(shed bool)) {
	if b.running < slotsPerBackend {
		b.start(end)
		return
	}
	if len(b.backlog) >= maxBackendBacklog {
		b.clock.after(time.Millisecond, func() { end(true) })
		return
	}
	b.backlog = append(b.backlog, func() { b.start(end) })
}

func (b *backendSim) start(end func(shed bool)) {
	b.running++
	took := time.Duration(float64(lognormal(b.rng, b.meanServiceTime)) * b.slowdown)
	b.clock.after(took, func() {
		b.running--
		if len(b.backlog) > 0 {
			next := b.backlog[0]
			b.backlog = b.backlog[1:]
			next()
		}
		end(false)
	})
}

// exitSim simulates the exit in front of one backend server.
type exitSim struct {
	sim     *trafficSim
	index   int
	zone    int
	backend *backendSim
	limiter *concurrency.Limiter // nil for fixed slots
	running int
	queue   exitQueue
	wakeAt  time.Time // time of the pending timer for expired items
}

func (x *exitSim) arrive(a *attempt) {
	if refused := x.queue.push(x.sim.clock.now, a); refused != nil {
		x.reply(refused, attemptRefused)
	}
	x.dispatch()
}

func (x *exitSim) dispatch() {
	now := x.sim.clock.now
	for _, a := range x.queue.expire(now) {
		x.reply(a, attemptRefused)
	}
	for x.queue.length() > 0 && x.acquire(now) {
		a, ok := x.queue.pop(now)
		if !ok {
			x.release(now, concurrency.Sample{Outcome: concurrency.Ignored})
			break
		}
		x.run(a)
	}
	x.setTimer(now)
}

func (x *exitSim) setTimer(now time.Time) {
	next, ok := x.queue.nextExpiry()
	if !ok || (x.wakeAt.After(now) && !next.Before(x.wakeAt)) {
		return
	}
	x.wakeAt = next
	x.sim.clock.after(next.Sub(now), x.dispatch)
}

func (x *exitSim) run(a *attempt) {
	began := x.sim.clock.now
	x.backend.run(func(shed bool) {
		now := x.sim.clock.now
		sample := concurrency.Sample{Latency: now.Sub(began)}
		result := attemptAnswered
		if shed {
			sample.Outcome = concurrency.Shed
			result = attemptRefused
		}
		x.release(now, sample)
		x.queue.ended(a)
		x.reply(a, result)
		x.dispatch()
	})
}

func (x *exitSim) acquire(now time.Time) bool {
	if x.limiter != nil {
		return x.limiter.Acquire(now)
	}
	if x.running >= slotsPerBackend {
		return false
	}
	x.running++
	return true
}

func (x *exitSim) release(now time.Time, s concurrency.Sample) {
	if x.limiter == nil {
		x.running--
		return
	}
	x.limiter.Release(now, s)
	typical := x.limiter.AverageLatency()
	x.queue.setServiceTimes(fairqueue.ServiceTimes{PopInterval: typical / time.Duration(x.limiter.Limit()), ServiceTime: typical})
}

// reply sends the result back with the queue length and the estimated wait.
func (x *exitSim) reply(a *attempt, result attemptResult) {
	queue, wait := x.queue.length(), time.Duration(0)
	if x.limiter != nil {
		wait = time.Duration(queue) * x.limiter.AverageLatency() / time.Duration(x.limiter.Limit())
	}
	x.sim.clock.after(x.sim.delay(a.entry.zone, x.zone), func() { a.entry.receive(a, result, queue, wait) })
}
