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

// trafficPolicy is the behavior of the fleet: the system's, or a baseline that differs
// in one part.
type trafficPolicy struct {
	name           string
	roundRobin     bool             // round-robin instead of balance.Choose
	fixedSlots     bool             // all slots instead of the concurrency limiter
	noRetry        bool             // neither retries nor hedges
	backoffRetries bool             // retries with exponential backoff until the deadline
	queue          func() exitQueue // nil for the system's queue
}

var (
	systemPolicy       = trafficPolicy{name: "ragwortyard"}
	roundRobin         = trafficPolicy{name: "round-robin", roundRobin: true}
	fixedSlots         = trafficPolicy{name: "fixed-slots", fixedSlots: true}
	fifoBounded        = trafficPolicy{name: "fifo-28", queue: func() exitQueue { return &fifoQueue{maxLength: 28} }}
	fifoUnbounded      = trafficPolicy{name: "fifo-10000", queue: func() exitQueue { return &fifoQueue{maxLength: 10000} }}
	serialQueueBackoff = trafficPolicy{name: "serial-queue", backoffRetries: true, queue: newSerialQueue}
	withoutRetries     = trafficPolicy{name: "no-retries", noRetry: true}
)

type attemptResult uint8

const (
	attemptAnswered attemptResult = iota
	attemptRefused
)

// trafficCall is one request of a caller.
type trafficCall struct {
	team            int
	teamName        string
	startedAt       time.Time
	deadline        time.Time
	done            bool
	tried           balance.IndexSet
	attemptsStarted int
	attemptsRunning int
	measured        bool
}

type attempt struct {
	id          uint64
	call        *trafficCall
	entry       *entrySim
	memberIndex int // index of the member in the team's subset
	exit        *exitSim
	sent        time.Time
}

// entrySim simulates the entry of one process, with its own statistics of all members.
type entrySim struct {
	sim             *trafficSim
	zone            int
	subsets         []*balance.Subset // by team
	exits           map[string]*exitSim
	retries         *retry.Policy
	roundRobinIndex int // last member chosen by the round-robin baseline
}

// trafficSim simulates one service under load.
type trafficSim struct {
	clock          *virtualClock
	rng            *rand.Rand
	policy         trafficPolicy
	service        trafficService
	zones          int
	interZoneDelay time.Duration
	lastZoneDelay  time.Duration // added to the one-way delay to and from the last zone
	exits          []*exitSim
	entries        []*entrySim
	lastAttemptID  uint64
	stats          trafficStats
}

// trafficStats counts the calls that started while measuring was true.
type trafficStats struct {
	measuring      bool
	offered        []int // by team
	answeredInTime []int // answered before the deadline, by team
	latencies      []time.Duration
}

func newTrafficSim(d trafficDeployment, s trafficService, p trafficPolicy, seed uint64) *trafficSim {
	t := &trafficSim{
		clock:          &virtualClock{now: trafficStart},
		rng:            rand.New(rand.NewPCG(seed, 1)),
		policy:         p,
		service:        s,
		zones:          d.zones,
		interZoneDelay: d.interZoneDelay,
	}
	t.stats.offered = make([]int, len(teamDemandShares))
	t.stats.answeredInTime = make([]int, len(teamDemandShares))
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
	x.backend = &backendSim{clock: t.clock, rng: t.rng, meanServiceTime: t.service.meanServiceTime, slowdown: 1}
	if !t.policy.fixedSlots {
		x.limiter = concurrency.New(trafficStart, slotsPerBackend)
	}
	x.queue = newFairQueue()
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
	for team := range teamDemandShares {
		e.subsets = append(e.subsets, balance.NewSubset(fmt.Sprint("team-", team), t.service.name, members,
			balance.SubsetOptions{Zone: fmt.Sprint("zone-", zone), Slots: slotsPerBackend}))
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
		return t.interZoneDelay + t.lastZoneDelay
	}
	return t.interZoneDelay
}

// offer starts a Poisson stream of calls of one team.
func (t *trafficSim) offer(team int, rate float64) {
	t.clock.after(exponential(t.rng, rate), func() {
		t.arrive(team)
		t.offer(team, rate)
	})
}

// offerAll starts the streams of all teams for a total load given as a multiple of the
// capacity.
func (t *trafficSim) offerAll(load float64) {
	for team, share := range teamDemandShares {
		t.offer(team, load*share*t.service.capacity())
	}
}

func (t *trafficSim) arrive(team int) {
	now := t.clock.now
	c := &trafficCall{team: team, teamName: fmt.Sprint("team-", team), startedAt: now, deadline: now.Add(t.service.deadline), measured: t.stats.measuring}
	if c.measured {
		t.stats.offered[team]++
	}
	e := t.entries[t.rng.IntN(len(t.entries))]
	e.retries.Budget.Deposit()
	e.send(c)
}

// send starts an attempt on a member that the call has not tried.
func (e *entrySim) send(c *trafficCall) {
	i, ok := e.choose(c)
	if !ok {
		return
	}
	now := e.sim.clock.now
	m := e.subsets[c.team].Members[i]
	e.sim.lastAttemptID++
	a := &attempt{id: e.sim.lastAttemptID, call: c, entry: e, memberIndex: i, exit: e.exits[m.ID], sent: now}
	c.attemptsStarted++
	c.attemptsRunning++
	c.tried = c.tried.With(i)
	m.Begin()
	e.sim.clock.after(e.sim.delay(e.zone, a.exit.zone), func() { a.exit.arrive(a) })
	if after, ok := e.retries.HedgeDelay(); ok && e.sim.service.idempotent && !e.sim.policy.noRetry {
		e.sim.clock.after(after, func() { e.decide(a, retry.Pending) })
	}
}

func (e *entrySim) choose(c *trafficCall) (int, bool) {
	s := e.subsets[c.team]
	if !e.sim.policy.roundRobin {
		return balance.Choose(e.sim.clock.now, e.sim.rng, s, c.tried)
	}
	for range s.Members {
		e.roundRobinIndex = (e.roundRobinIndex + 1) % len(s.Members)
		if !c.tried.Has(e.roundRobinIndex) {
			return e.roundRobinIndex, true
		}
	}
	return 0, false
}

func (e *entrySim) receive(a *attempt, result attemptResult, queue int, wait time.Duration) {
	now := e.sim.clock.now
	m := e.subsets[a.call.team].Members[a.memberIndex]
	m.Report(now, queue, wait)
	a.call.attemptsRunning--
	if result == attemptRefused {
		m.Abandoned()
		e.decide(a, retry.RefusedOverloaded)
		return
	}
	m.Done(now, now.Sub(a.sent))
	e.retries.HedgeLatency.Observe(now.Sub(a.sent))
	e.sim.answered(a.call)
}

func (t *trafficSim) answered(c *trafficCall) {
	if c.done {
		return
	}
	c.done = true
	if !c.measured {
		return
	}
	t.stats.latencies = append(t.stats.latencies, t.clock.now.Sub(c.startedAt))
	if t.clock.now.Before(c.deadline) {
		t.stats.answeredInTime[c.team]++
	}
}

// decide applies the retry policy after a refusal or while the attempt is running.
func (e *entrySim) decide(a *attempt, result retry.AttemptStatus) {
	c := a.call
	if c.done || e.sim.policy.noRetry {
		return
	}
	if e.sim.policy.backoffRetries && result != retry.Pending {
		e.retryAfterBackoff(c)
		return
	}
	action := e.retries.NextAction(e.sim.clock.now, retry.Attempt{
		Status: result, AttemptsStarted: c.attemptsStarted, AttemptsRunning: c.attemptsRunning,
		Idempotent: e.sim.service.idempotent, Replayable: true,
		UntriedBackends: len(e.subsets[c.team].Members) - c.attemptsStarted,
		SentAt:          a.sent, Deadline: c.deadline,
	})
	if action == retry.RetryElsewhere || action == retry.Hedge {
		e.send(c)
	}
}

// serialRetryBaseDelay is the first backoff delay of the serial-queue policy.
const serialRetryBaseDelay = 50 * time.Millisecond

func (e *entrySim) retryAfterBackoff(c *trafficCall) {
	delay := serialRetryBaseDelay << (c.attemptsStarted - 1)
	if e.sim.clock.now.Add(delay).After(c.deadline) {
		return
	}
	c.tried = 0
	e.sim.clock.after(delay, func() { e.send(c) })
}

// measure counts the calls that start within the span and waits until their deadlines.
func (t *trafficSim) measure(span time.Duration) {
	t.stats.measuring = true
	t.clock.runUntil(t.clock.now.Add(span))
	t.stats.measuring = false
	t.clock.runUntil(t.clock.now.Add(t.service.deadline))
}

// reset clears the counts.
func (s *trafficStats) reset() {
	clear(s.offered)
	clear(s.answeredInTime)
	s.latencies = nil
}

// worstTeamShare returns the lowest ratio, over all teams, of the answers in time to
// the team's fair share of the possible answers.
func (s *trafficStats) worstTeamShare(possible float64) float64 {
	demands := make([]float64, len(s.offered))
	for team, n := range s.offered {
		demands[team] = float64(n)
	}
	worst := math.Inf(1)
	for team, share := range maxMinShares(demands, possible) {
		worst = min(worst, float64(s.answeredInTime[team])/share)
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
