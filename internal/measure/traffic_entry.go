package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/retry"
)

// trafficPolicy is what the fleet does: the real decisions, or a baseline in one
// place.
type trafficPolicy struct {
	name       string
	roundRobin bool           // plain rotation in place of balance.Choose
	fixedSlots bool           // all slots in place of the limiter
	noRetry    bool           // no retry and no hedge
	delayed    bool           // retries after a delay that doubles, until the deadline
	queue      func() waiting // nil means the real queue
}

var (
	realPolicy     = trafficPolicy{name: "ragwortyard"}
	roundRobin     = trafficPolicy{name: "round-robin", roundRobin: true}
	fixedSlots     = trafficPolicy{name: "fixed-slots", fixedSlots: true}
	fifoBounded    = trafficPolicy{name: "fifo-28", queue: func() waiting { return &fifoWaiting{bound: 28} }}
	fifoUnbounded  = trafficPolicy{name: "fifo-10000", queue: func() waiting { return &fifoWaiting{bound: 10000} }}
	serialDelayed  = trafficPolicy{name: "serial-queue", delayed: true, queue: newSerialWaiting}
	withoutRetries = trafficPolicy{name: "no-retries", noRetry: true}
)

type attemptResult uint8

const (
	attemptAnswered attemptResult = iota
	attemptRefused
)

// call is one request of a caller.
type call struct {
	team     int
	teamName string
	born     time.Time
	deadline time.Time
	done     bool
	tried    balance.IndexSet
	started  int
	running  int
	measured bool
}

type attempt struct {
	id    uint64
	call  *call
	entry *entrySim
	index int // of the member in the subset
	exit  *exitSim
	sent  time.Time
}

// entrySim is the entry of one process with its own statistics of all members.
type entrySim struct {
	sim     *trafficSim
	zone    int
	subsets []*balance.Subset // by team
	exits   map[string]*exitSim
	retries *retry.Policy
	next    int // rotation of the round-robin baseline
}

// trafficSim is one service under load.
type trafficSim struct {
	clock    *virtualClock
	r        *rand.Rand
	policy   trafficPolicy
	service  trafficService
	zones    int
	distance time.Duration
	far      time.Duration // added one way to and from the last zone
	exits    []*exitSim
	entries  []*entrySim
	ids      uint64
	stats    trafficStats
}

// trafficStats counts the calls that began while measuring was on.
type trafficStats struct {
	measuring bool
	offered   []int // by team
	good      []int // answered before the deadline
	latencies []time.Duration
}

func newTrafficSim(d trafficDeployment, s trafficService, p trafficPolicy, seed uint64) *trafficSim {
	t := &trafficSim{
		clock:    &virtualClock{now: trafficStart},
		r:        rand.New(rand.NewPCG(seed, 1)),
		policy:   p,
		service:  s,
		zones:    d.zones,
		distance: d.distance,
	}
	t.stats.offered = make([]int, len(trafficShares))
	t.stats.good = make([]int, len(trafficShares))
	for i := range s.backends {
		t.exits = append(t.exits, t.newExit(i))
	}
	for i := range s.backends {
		t.entries = append(t.entries, t.newEntry(i%d.zones))
	}
	return t
}

func (t *trafficSim) newExit(i int) *exitSim {
	x := &exitSim{sim: t, index: i, zone: i % t.zones}
	x.backend = &backendSim{clock: t.clock, r: t.r, service: t.service.service, slow: 1}
	if !t.policy.fixedSlots {
		x.limiter = concurrency.New(trafficStart, trafficSlots)
	}
	x.queue = newFairWaiting()
	if t.policy.queue != nil {
		x.queue = t.policy.queue()
	}
	return x
}

func (t *trafficSim) newEntry(zone int) *entrySim {
	e := &entrySim{sim: t, zone: zone, exits: make(map[string]*exitSim)}
	var members []*balance.Member
	for i, x := range t.exits {
		m := balance.NewMember(trafficStart, fmt.Sprint("backend-", i), fmt.Sprint("host-", i), fmt.Sprint("zone-", x.zone))
		members = append(members, m)
		e.exits[m.ID] = x
	}
	for team := range trafficShares {
		e.subsets = append(e.subsets, balance.NewSubset(fmt.Sprint("team-", team), t.service.name, members,
			balance.SubsetOptions{Zone: fmt.Sprint("zone-", zone), Slots: trafficSlots}))
	}
	e.retries = &retry.Policy{
		Budget:       retry.NewBudget(retry.DefaultRetryRatio, retry.DefaultMaxBalance),
		HedgeLatency: &retry.P95Estimator{},
	}
	return e
}

func (t *trafficSim) delay(from, to int) time.Duration {
	if from == to {
		return 50 * time.Microsecond
	}
	if from == t.zones-1 || to == t.zones-1 {
		return t.distance + t.far
	}
	return t.distance
}

// offer starts a Poisson stream of calls of one team.
func (t *trafficSim) offer(team int, rate float64) {
	t.clock.after(exponential(t.r, rate), func() {
		t.arrive(team)
		t.offer(team, rate)
	})
}

// offerAll starts the teams' usual parts of a load, given as a multiple of the
// capacity.
func (t *trafficSim) offerAll(load float64) {
	for team, share := range trafficShares {
		t.offer(team, load*share*t.service.capacity())
	}
}

func (t *trafficSim) arrive(team int) {
	now := t.clock.now
	c := &call{team: team, teamName: fmt.Sprint("team-", team), born: now, deadline: now.Add(t.service.deadline), measured: t.stats.measuring}
	if c.measured {
		t.stats.offered[team]++
	}
	e := t.entries[t.r.IntN(len(t.entries))]
	e.retries.Budget.Deposit()
	e.send(c)
}

// send starts an attempt on a member that was not tried.
func (e *entrySim) send(c *call) {
	i, ok := e.choose(c)
	if !ok {
		return
	}
	now := e.sim.clock.now
	m := e.subsets[c.team].Members[i]
	e.sim.ids++
	a := &attempt{id: e.sim.ids, call: c, entry: e, index: i, exit: e.exits[m.ID], sent: now}
	c.started++
	c.running++
	c.tried = c.tried.With(i)
	m.Begin()
	e.sim.clock.after(e.sim.delay(e.zone, a.exit.zone), func() { a.exit.arrive(a) })
	if after, ok := e.retries.HedgeDelay(); ok && e.sim.service.idempotent && !e.sim.policy.noRetry {
		e.sim.clock.after(after, func() { e.decide(a, retry.Pending) })
	}
}

func (e *entrySim) choose(c *call) (int, bool) {
	s := e.subsets[c.team]
	if !e.sim.policy.roundRobin {
		return balance.Choose(e.sim.clock.now, e.sim.r, s, c.tried)
	}
	for range s.Members {
		e.next = (e.next + 1) % len(s.Members)
		if !c.tried.Has(e.next) {
			return e.next, true
		}
	}
	return 0, false
}

func (e *entrySim) receive(a *attempt, result attemptResult, queue int, wait time.Duration) {
	now := e.sim.clock.now
	m := e.subsets[a.call.team].Members[a.index]
	m.Report(now, queue, wait)
	a.call.running--
	if result == attemptRefused {
		m.Abandoned()
		e.decide(a, retry.RefusedOverloaded)
		return
	}
	m.Done(now, now.Sub(a.sent))
	e.retries.HedgeLatency.Observe(now.Sub(a.sent))
	e.sim.answered(a.call)
}

func (t *trafficSim) answered(c *call) {
	if c.done {
		return
	}
	c.done = true
	if !c.measured {
		return
	}
	t.stats.latencies = append(t.stats.latencies, t.clock.now.Sub(c.born))
	if t.clock.now.Before(c.deadline) {
		t.stats.good[c.team]++
	}
}

// decide asks the retry policy after a refusal or while the attempt is running.
func (e *entrySim) decide(a *attempt, result retry.AttemptStatus) {
	c := a.call
	if c.done || e.sim.policy.noRetry {
		return
	}
	if e.sim.policy.delayed && result != retry.Pending {
		e.retryLater(c)
		return
	}
	action := e.retries.NextAction(e.sim.clock.now, retry.Attempt{
		Status: result, AttemptsStarted: c.started, AttemptsRunning: c.running,
		Idempotent: e.sim.service.idempotent, Replayable: true,
		UntriedBackends: len(e.subsets[c.team].Members) - c.started,
		SentAt:          a.sent, Deadline: c.deadline,
	})
	if action == retry.RetryElsewhere || action == retry.Hedge {
		e.send(c)
	}
}

// serialRetryDelay is the first delay of the serial candidate.
const serialRetryDelay = 50 * time.Millisecond

func (e *entrySim) retryLater(c *call) {
	delay := serialRetryDelay << (c.started - 1)
	if e.sim.clock.now.Add(delay).After(c.deadline) {
		return
	}
	c.tried = 0
	e.sim.clock.after(delay, func() { e.send(c) })
}

// measure counts the calls that begin within the span and waits for their ends.
func (t *trafficSim) measure(span time.Duration) {
	t.stats.measuring = true
	t.clock.runUntil(t.clock.now.Add(span))
	t.stats.measuring = false
	t.clock.runUntil(t.clock.now.Add(t.service.deadline))
}

// reset forgets what was counted.
func (s *trafficStats) reset() {
	clear(s.offered)
	clear(s.good)
	s.latencies = nil
}

// worstTeam is the least part of its fair share of the possible answers that a
// team received in time.
func (s *trafficStats) worstTeam(possible float64) float64 {
	demands := make([]float64, len(s.offered))
	for team, n := range s.offered {
		demands[team] = float64(n)
	}
	worst := math.Inf(1)
	for team, share := range maxMinShares(demands, possible) {
		worst = min(worst, float64(s.good[team])/share)
	}
	return worst
}

func total(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum)
}
