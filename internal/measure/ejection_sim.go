package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// The simulation of the ejection cases: one service, its backend servers and the calls
// to them. Times are in seconds since the start.

const (
	ejectionSlots = 7 // concurrent calls of a backend server (design section 1.1)
	// maxSlotWaitSeconds is how long a call waits for a slot before its entry tries
	// another server.
	maxSlotWaitSeconds = 0.25
	// callTimeoutSeconds is the time after which a call fails if its server or exit is
	// paused. Slow calls alone never reach the timeout.
	callTimeoutSeconds = 2.0
	// healthyFailureRatio is the failure ratio of a healthy server.
	healthyFailureRatio = 0.005
	// latencySigma is the standard deviation of the logarithm of the latency.
	latencySigma = 0.5
	// maxPendingIntervals limits how many intervals ahead a call can complete.
	maxPendingIntervals = 128
)

// serviceSpec is one service of a deployment.
type serviceSpec struct {
	name    string
	servers int
	median  time.Duration // median latency of a call
}

// deploymentSpec is one of the two deployments of design section 1.1. The
// latencies are assumptions: lookups are short, writes longer.
type deploymentSpec struct {
	name     string
	services []serviceSpec
}

var ejectionDeployments = []deploymentSpec{
	{"kowhai", []serviceSpec{
		{"roster", 8, 12 * time.Millisecond},
		{"bookings", 10, 30 * time.Millisecond},
		{"invoicing", 8, 40 * time.Millisecond},
	}},
	{"capsulas", []serviceSpec{
		{"lookup", 10, 12 * time.Millisecond},
		{"sealing", 12, 40 * time.Millisecond},
		{"opening", 6, 30 * time.Millisecond},
	}},
}

// ejectionLoad is the load of each backend server.
type ejectionLoad struct {
	name     string
	rate     float64 // calls/s for each backend server
	settings ejection.Settings
}

var ejectionLoads = []ejectionLoad{
	// 30 calls/s of 12 to 40 ms use 5% to 17% of the slots, which leaves room for the
	// load of the other company (see runColocatedLoad). The design states no figure.
	{"today", 30, ejection.SmallFleetSettings()},
	{"9/s", 9, ejection.LargeFleetSettings()},
}

// timeRange is a half-open time interval in seconds.
type timeRange struct{ from, to float64 }

func (s timeRange) contains(t float64) bool { return t >= s.from && t < s.to }

// grayFailureKind is the symptom of a gray server.
type grayFailureKind uint8

const (
	grayHalf     grayFailureKind = iota // half of its calls fail
	graySlow                            // calls take 10 times longer
	grayOneClass                        // all calls of one class fail, half of all calls
)

// simServer is one backend server with its state and its current disturbances.
type simServer struct {
	latencyFactor float64                // differs a little between servers
	slots         [ejectionSlots]float64 // by slot: end of its last call
	calls         []callSpan             // calls that have not ended, including those that wait for a slot
	pending       [maxPendingIntervals][]finishedCall
	inFlightBuf   []ejection.InFlightCall // reused by inFlightCalls

	gray               timeRange
	grayKind           grayFailureKind
	lossBurst          timeRange // calls fail with probability burstLossRatio
	burstLossRatio     float64
	serverPause        timeRange // the server stops processing
	colocatedLoad      timeRange // load of the other company multiplies latencies by slowdown
	slowdown           float64
	fewCalls           timeRange // a fifth of the calls arrive, as in a partition from some entries
	down               timeRange
	started            float64 // last start, -1 if none was seen
	coldStartFactor    float64 // latency factor right after the start
	warmUpTau          float64 // time constant of the warm-up in seconds
	healthCheckFailing timeRange
	exitPause          timeRange
	reportsLost        timeRange
	verdictsLost       timeRange
}

// callSpan is the time range and class of a call at its server.
type callSpan struct {
	begin, end float64
	class      uint8
}

// finishedCall is the result of a call as seen by the exit.
type finishedCall struct {
	class   uint8
	outcome ejection.Outcome
	latency time.Duration
}

// simPolicy is an ejection policy under test.
type simPolicy interface {
	// observeCall reports one finished call to the exit of a server.
	observeCall(now time.Time, server int, c finishedCall)
	// endInterval ends an interval and returns the servers ejected in it.
	endInterval(now time.Time, sim *serviceSim) []int
	// trafficShare returns the share of its normal traffic that a server gets, 0 to 1.
	trafficShare(now time.Time, server int) float64
}

// serviceSim simulates one service in virtual time.
type serviceSim struct {
	rng            *rand.Rand
	spec           serviceSpec
	load           ejectionLoad
	interval       float64
	step           int
	servers        []simServer
	latencyFactors []float64 // factors on the median latency at evenly spaced quantiles
}

// latencyFactorTable holds quantiles of the factor on the median latency; all
// simulations share it.
var latencyFactorTable = makeLatencyFactorTable()

func makeLatencyFactorTable() []float64 {
	table := make([]float64, 4096)
	for i := range table {
		p := (float64(i) + 0.5) / float64(len(table))
		table[i] = math.Exp(latencySigma * math.Sqrt2 * math.Erfinv(2*p-1))
	}
	return table
}

func newServiceSim(rng *rand.Rand, spec serviceSpec, load ejectionLoad) *serviceSim {
	sim := &serviceSim{rng: rng, spec: spec, load: load, interval: load.settings.ReportInterval.Seconds()}
	sim.latencyFactors = latencyFactorTable
	sim.servers = make([]simServer, spec.servers)
	for i := range sim.servers {
		sim.servers[i].latencyFactor = 0.95 + 0.1*rng.Float64()
		sim.servers[i].started = -1
	}
	return sim
}

// simEpoch is the virtual time of second 0.
var simEpoch = time.Unix(1_700_000_000, 0)

func simTime(t float64) time.Time {
	return simEpoch.Add(time.Duration(t * float64(time.Second)))
}

func (sim *serviceSim) now() float64 { return float64(sim.step) * sim.interval }

// advance simulates one interval and returns the servers ejected in it.
func (sim *serviceSim) advance(p simPolicy) []int {
	start := sim.now()
	for i := range sim.servers {
		sim.generateCalls(i, start, p.trafficShare(simTime(start), i))
	}
	sim.step++
	now := simTime(sim.now())
	for i := range sim.servers {
		s := &sim.servers[i]
		due := &s.pending[(sim.step-1)%maxPendingIntervals]
		for _, c := range *due {
			p.observeCall(now, i, c)
		}
		*due = (*due)[:0]
		s.removeEndedCalls(sim.now())
	}
	return p.endInterval(now, sim)
}

// generateCalls generates the calls that reach a server in one interval.
func (sim *serviceSim) generateCalls(i int, start, share float64) {
	s := &sim.servers[i]
	rate := sim.load.rate * share
	if s.fewCalls.contains(start) {
		rate /= 5
	}
	if rate <= 0 {
		return
	}
	end := start + sim.interval
	for t := start + sim.rng.ExpFloat64()/rate; t < end; t += sim.rng.ExpFloat64() / rate {
		sim.startCall(s, t)
	}
}

func (sim *serviceSim) startCall(s *simServer, t float64) {
	if s.exitPause.contains(t) {
		return // a paused exit starts no call
	}
	draw := sim.rng.Uint64()
	c := finishedCall{class: uint8(draw & 1)}
	if s.down.contains(t) {
		c.outcome = ejection.Failure // connection refused
		sim.scheduleCompletion(s, c, t, t)
		return
	}
	slot := s.freeSlot()
	begin := max(t, s.slots[slot])
	if begin-t > maxSlotWaitSeconds {
		return
	}
	latency := sim.latency(s, begin, draw>>1)
	stalled := stallSeconds(s.serverPause, begin, latency) + stallSeconds(s.exitPause, begin, latency)
	latency += stalled
	if sim.drawFailure(s, t, begin+latency, c.class) || (stalled > 0 && latency > callTimeoutSeconds) {
		c.outcome = ejection.Failure
	}
	s.slots[slot] = begin + latency
	s.calls = append(s.calls, callSpan{begin, begin + latency, c.class})
	sim.scheduleCompletion(s, c, begin, begin+latency)
}

func (s *simServer) freeSlot() int {
	best := 0
	for i := 1; i < ejectionSlots; i++ {
		if s.slots[i] < s.slots[best] {
			best = i
		}
	}
	return best
}

// removeEndedCalls removes the calls that have ended.
func (s *simServer) removeEndedCalls(t float64) {
	s.calls = slices.DeleteFunc(s.calls, func(c callSpan) bool { return c.end <= t })
}

// inFlightCalls returns the calls in progress at t. Calls that still wait for a slot
// are left out; the call that occupies the slot is listed.
func (s *simServer) inFlightCalls(t float64) []ejection.InFlightCall {
	calls := s.inFlightBuf[:0]
	for _, c := range s.calls {
		if c.begin <= t {
			calls = append(calls, ejection.InFlightCall{Class: callClasses[c.class], Since: simTime(c.begin)})
		}
	}
	s.inFlightBuf = calls
	return calls
}

func (sim *serviceSim) latency(s *simServer, begin float64, draw uint64) float64 {
	latency := sim.spec.median.Seconds() * s.latencyFactor * sim.latencyFactors[draw%uint64(len(sim.latencyFactors))]
	if s.colocatedLoad.contains(begin) {
		latency *= s.slowdown
	}
	if s.started >= 0 {
		latency *= 1 + (s.coldStartFactor-1)*math.Exp(-(begin-s.started)/s.warmUpTau)
	}
	if s.gray.contains(begin) && s.grayKind == graySlow {
		latency *= 10
	}
	return latency
}

// stallSeconds returns by how much a pause delays a call.
func stallSeconds(pause timeRange, begin, latency float64) float64 {
	if begin >= pause.to || begin+latency < pause.from {
		return 0
	}
	return pause.to - max(begin, pause.from)
}

// drawFailure reports whether a call fails. The begin of the call decides whether a
// gray server fails it, its end whether a loss burst drops the answer.
func (sim *serviceSim) drawFailure(s *simServer, begin, end float64, class uint8) bool {
	ratio := healthyFailureRatio
	if s.lossBurst.contains(end) {
		ratio = s.burstLossRatio
	}
	if s.gray.contains(begin) {
		switch {
		case s.grayKind == grayHalf:
			ratio = 0.5
		case s.grayKind == grayOneClass && class == 0:
			ratio = 1
		}
	}
	return sim.rng.Float64() < ratio
}

// scheduleCompletion queues a call for the interval in which the exit sees its end.
func (sim *serviceSim) scheduleCompletion(s *simServer, c finishedCall, begin, end float64) {
	c.latency = time.Duration((end - begin) * float64(time.Second))
	slot := max(int(end/sim.interval), sim.step)
	slot = min(slot, sim.step+maxPendingIntervals-1)
	s.pending[slot%maxPendingIntervals] = append(s.pending[slot%maxPendingIntervals], c)
}
