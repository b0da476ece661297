package measure

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/fairqueue"
)

// waiting is the queue of an exit: the real one or a baseline.
type waiting interface {
	push(now time.Time, a *attempt) (refused *attempt)
	pop(now time.Time) (*attempt, bool)
	expire(now time.Time) []*attempt
	next() (time.Time, bool) // when expire has work
	ended(a *attempt)        // a popped attempt has ended
	length() int
	pace(p fairqueue.ServiceTimes)
}

// fairWaiting is the real queue.
type fairWaiting struct{ q *fairqueue.Queue }

func newFairWaiting() waiting { return fairWaiting{fairqueue.New(trafficSlots)} }

func (f fairWaiting) push(now time.Time, a *attempt) *attempt {
	r := f.q.Push(now, fairqueue.Item{ID: a.id, Team: a.call.teamName, Deadline: a.call.deadline, Payload: a})
	if r.Reason == fairqueue.Accepted {
		return nil
	}
	return r.Item.Payload.(*attempt)
}

func (f fairWaiting) pop(now time.Time) (*attempt, bool) {
	item, ok := f.q.Pop(now)
	if !ok {
		return nil, false
	}
	return item.Payload.(*attempt), true
}

func (f fairWaiting) expire(now time.Time) []*attempt {
	var expired []*attempt
	for _, item := range f.q.Expire(now) {
		expired = append(expired, item.Payload.(*attempt))
	}
	return expired
}

func (f fairWaiting) next() (time.Time, bool)       { return f.q.NextExpiry() }
func (f fairWaiting) ended(*attempt)                {}
func (f fairWaiting) length() int                   { return f.q.Len() }
func (f fairWaiting) pace(p fairqueue.ServiceTimes) { f.q.SetServiceTimes(p) }

// fifoWaiting is the plain baseline: one queue in order of arrival, which knows
// neither teams nor deadlines.
type fifoWaiting struct {
	bound int
	items []*attempt
}

func (f *fifoWaiting) push(_ time.Time, a *attempt) *attempt {
	if len(f.items) >= f.bound {
		return a
	}
	f.items = append(f.items, a)
	return nil
}

func (f *fifoWaiting) pop(time.Time) (*attempt, bool) {
	if len(f.items) == 0 {
		return nil, false
	}
	a := f.items[0]
	f.items = f.items[1:]
	return a, true
}

func (f *fifoWaiting) expire(time.Time) []*attempt { return nil }
func (f *fifoWaiting) next() (time.Time, bool)     { return time.Time{}, false }
func (f *fifoWaiting) ended(*attempt)              {}
func (f *fifoWaiting) length() int                 { return len(f.items) }
func (f *fifoWaiting) pace(fairqueue.ServiceTimes) {}

// serialWaiting is the candidate of a serial queue for each (team, backend
// server): one request of a team runs at a time; teams take turns for slots.
type serialWaiting struct {
	teams [][]*attempt // by team
	busy  []bool       // the team has a request running
	turn  int
	count int
}

func newSerialWaiting() waiting {
	return &serialWaiting{
		teams: make([][]*attempt, len(trafficShares)),
		busy:  make([]bool, len(trafficShares)),
	}
}

func (s *serialWaiting) push(_ time.Time, a *attempt) *attempt {
	team := a.call.team
	if len(s.teams[team]) >= fairqueue.LengthPerSlot {
		return a
	}
	s.teams[team] = append(s.teams[team], a)
	s.count++
	return nil
}

func (s *serialWaiting) pop(now time.Time) (*attempt, bool) {
	for range s.teams {
		team := s.turn
		s.turn = (s.turn + 1) % len(s.teams)
		if s.busy[team] || len(s.teams[team]) == 0 {
			continue
		}
		a := s.teams[team][0]
		s.teams[team] = s.teams[team][1:]
		s.count--
		s.busy[team] = true
		return a, true
	}
	return nil, false
}

func (s *serialWaiting) expire(now time.Time) []*attempt {
	var expired []*attempt
	for team, queue := range s.teams {
		for len(queue) > 0 && !now.Before(queue[0].call.deadline) {
			expired = append(expired, queue[0])
			queue = queue[1:]
			s.count--
		}
		s.teams[team] = queue
	}
	return expired
}

func (s *serialWaiting) next() (time.Time, bool)     { return time.Time{}, false }
func (s *serialWaiting) ended(a *attempt)            { s.busy[a.call.team] = false }
func (s *serialWaiting) length() int                 { return s.count }
func (s *serialWaiting) pace(fairqueue.ServiceTimes) {}

// backendSim is a backend server with slots, shared with the sister firm. What
// exceeds the slots waits in its own queue; what exceeds that is shed.
type backendSim struct {
	clock   *virtualClock
	r       *rand.Rand
	service time.Duration
	slow    float64 // factor on service times
	running int
	backlog []func()
}

// backendBacklog is how many requests a backend server keeps beyond its slots.
const backendBacklog = 14

// run calls end once; shed tells that the request was not run.
func (b *backendSim) run(end func(shed bool)) {
	if b.running < trafficSlots {
		b.start(end)
		return
	}
	if len(b.backlog) >= backendBacklog {
		b.clock.after(time.Millisecond, func() { end(true) })
		return
	}
	b.backlog = append(b.backlog, func() { b.start(end) })
}

func (b *backendSim) start(end func(shed bool)) {
	b.running++
	took := time.Duration(float64(lognormal(b.r, b.service)) * b.slow)
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

// exitSim is the exit in front of one backend server.
type exitSim struct {
	sim     *trafficSim
	index   int
	zone    int
	backend *backendSim
	limiter *concurrency.Limiter // nil for fixed slots
	running int
	queue   waiting
	wake    time.Time // the pending timer for expired items
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
	next, ok := x.queue.next()
	if !ok || (x.wake.After(now) && !next.Before(x.wake)) {
		return
	}
	x.wake = next
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
	if x.running >= trafficSlots {
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
	x.queue.pace(fairqueue.ServiceTimes{PopInterval: typical / time.Duration(x.limiter.Limit()), ServiceTime: typical})
}

// reply sends the result back with the queue's length and wait.
func (x *exitSim) reply(a *attempt, result attemptResult) {
	queue, wait := x.queue.length(), time.Duration(0)
	if x.limiter != nil {
		wait = time.Duration(queue) * x.limiter.AverageLatency() / time.Duration(x.limiter.Limit())
	}
	x.sim.clock.after(x.sim.delay(a.entry.zone, x.zone), func() { a.entry.receive(a, result, queue, wait) })
}
