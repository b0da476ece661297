package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// The simulated world of the ejection cases: one service, its backend servers
// and the calls to them. Times are seconds since the start.

const (
	ejectionSlots = 7 // concurrent calls of a backend server (design section 1.1)
	// slotWait is how long a call waits for a slot before its entry goes
	// elsewhere.
	slotWait = 0.25
	// callTimeout is after how long a call fails if its server or exit is
	// paused. Slow calls alone never take so long that callers give up.
	callTimeout = 2.0
	// backgroundFailures is the failure ratio of a healthy server.
	backgroundFailures = 0.005
	// latencySpread is the standard deviation of the logarithm of the latency.
	latencySpread = 0.5
	// pendingIntervals bounds how far ahead a call can complete, in intervals.
	pendingIntervals = 128
)

// serviceSpec is one service of a deployment.
type serviceSpec struct {
	name    string
	servers int
	median  time.Duration // latency of a call
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
	// 30 calls/s of 12 to 40 ms use 5% to 17% of the slots, so that a server
	// has room for the sister firm. The design states no figure.
	{"today", 30, ejection.SmallFleetSettings()},
	{"9/s", 9, ejection.LargeFleetSettings()},
}

// span is a time interval in seconds.
type span struct{ from, to float64 }

func (s span) holds(t float64) bool { return t >= s.from && t < s.to }

// grayKind is what is wrong with a gray server.
type grayKind uint8

const (
	grayHalf     grayKind = iota // half of its calls fail
	graySlow                     // 10 times slower
	grayOneClass                 // all calls of one class fail, which is half of them
)

// simServer is one backend server with what happens to it.
type simServer struct {
	speed    float64                // factor on latency, servers differ a little
	slots    [ejectionSlots]float64 // end of the last call given to each slot
	calls    []simSpan              // calls that have not ended, those that wait for their slot included
	pending  [pendingIntervals][]simCall
	progress []ejection.InFlightCall // reused by running

	gray     span
	grayKind grayKind
	burst    span // calls fail with burstLoss
	loss     float64
	pause    span // the server does nothing
	sister   span // the load of the sister firm slows calls by slowdown
	slowdown float64
	quiet    span // few calls arrive, as in a partition from some entries
	down     span
	started  float64 // last start, -1 if it was never seen
	coldPeak float64 // factor on latency right after the start
	coldTau  float64 // time constant of the warming
	suspect  span    // the health check fails
	frozen   span    // the exit process pauses
	mute     span    // reports are lost
	deaf     span    // verdicts are lost
}

// simSpan is the time that a call takes at its server.
type simSpan struct {
	begin, end float64
	class      uint8
}

// simCall is one finished call as the exit sees it.
type simCall struct {
	class   uint8
	outcome ejection.Outcome
	latency time.Duration
}

// simPolicy is an ejection policy under test.
type simPolicy interface {
	// call tells the exit of a server of one finished call.
	call(now time.Time, server int, c simCall)
	// tick ends an interval and returns the servers ejected in it.
	tick(now time.Time, w *simWorld) []int
	// share is the share of its traffic that a server takes, 0 to 1.
	share(now time.Time, server int) float64
}

// simWorld is one service in virtual time.
type simWorld struct {
	rng      *rand.Rand
	spec     serviceSpec
	load     ejectionLoad
	interval float64
	step     int
	servers  []simServer
	table    []float64 // latencies at evenly spaced quantiles, seconds
}

// latencyTable is shared by all worlds: factors on the median latency.
var latencyTable = makeLatencyTable()

func makeLatencyTable() []float64 {
	table := make([]float64, 4096)
	for i := range table {
		p := (float64(i) + 0.5) / float64(len(table))
		table[i] = math.Exp(latencySpread * math.Sqrt2 * math.Erfinv(2*p-1))
	}
	return table
}

func newSimWorld(rng *rand.Rand, spec serviceSpec, load ejectionLoad) *simWorld {
	w := &simWorld{rng: rng, spec: spec, load: load, interval: load.settings.ReportInterval.Seconds()}
	w.table = latencyTable
	w.servers = make([]simServer, spec.servers)
	for i := range w.servers {
		w.servers[i].speed = 0.95 + 0.1*rng.Float64()
		w.servers[i].started = -1
	}
	return w
}

// simEpoch is the time of second 0.
var simEpoch = time.Unix(1_700_000_000, 0)

func simTime(t float64) time.Time {
	return simEpoch.Add(time.Duration(t * float64(time.Second)))
}

func (w *simWorld) now() float64 { return float64(w.step) * w.interval }

// run advances by one interval and returns the servers ejected in it.
func (w *simWorld) run(p simPolicy) []int {
	start := w.now()
	for i := range w.servers {
		w.arrivals(i, start, p.share(simTime(start), i))
	}
	w.step++
	now := simTime(w.now())
	for i := range w.servers {
		s := &w.servers[i]
		due := &s.pending[(w.step-1)%pendingIntervals]
		for _, c := range *due {
			p.call(now, i, c)
		}
		*due = (*due)[:0]
		s.dropEnded(w.now())
	}
	return p.tick(now, w)
}

// arrivals makes the calls that reach a server in one interval.
func (w *simWorld) arrivals(i int, start, share float64) {
	s := &w.servers[i]
	rate := w.load.rate * share
	if s.quiet.holds(start) {
		rate /= 5
	}
	if rate <= 0 {
		return
	}
	end := start + w.interval
	for t := start + w.rng.ExpFloat64()/rate; t < end; t += w.rng.ExpFloat64() / rate {
		w.arrive(s, t)
	}
}

func (w *simWorld) arrive(s *simServer, t float64) {
	if s.frozen.holds(t) {
		return // a paused exit starts no call
	}
	draw := w.rng.Uint64()
	c := simCall{class: uint8(draw & 1)}
	if s.down.holds(t) {
		c.outcome = ejection.Failure // connection refused
		w.complete(s, c, t, t)
		return
	}
	slot := s.freeSlot()
	begin := max(t, s.slots[slot])
	if begin-t > slotWait {
		return
	}
	latency := w.latency(s, begin, draw>>1)
	stalled := stall(s.pause, begin, latency) + stall(s.frozen, begin, latency)
	latency += stalled
	if w.fails(s, t, begin+latency, c.class) || (stalled > 0 && latency > callTimeout) {
		c.outcome = ejection.Failure
	}
	s.slots[slot] = begin + latency
	s.calls = append(s.calls, simSpan{begin, begin + latency, c.class})
	w.complete(s, c, begin, begin+latency)
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

// dropEnded forgets the calls that have ended.
func (s *simServer) dropEnded(t float64) {
	s.calls = slices.DeleteFunc(s.calls, func(c simSpan) bool { return c.end <= t })
}

// running returns the calls in progress. A call that waits for a slot does not
// hide the call that runs in it.
func (s *simServer) running(t float64) []ejection.InFlightCall {
	calls := s.progress[:0]
	for _, c := range s.calls {
		if c.begin <= t {
			calls = append(calls, ejection.InFlightCall{Class: simClasses[c.class], Since: simTime(c.begin)})
		}
	}
	s.progress = calls
	return calls
}

func (w *simWorld) latency(s *simServer, begin float64, draw uint64) float64 {
	latency := w.spec.median.Seconds() * s.speed * w.table[draw%uint64(len(w.table))]
	if s.sister.holds(begin) {
		latency *= s.slowdown
	}
	if s.started >= 0 {
		latency *= 1 + (s.coldPeak-1)*math.Exp(-(begin-s.started)/s.coldTau)
	}
	if s.gray.holds(begin) && s.grayKind == graySlow {
		latency *= 10
	}
	return latency
}

// stall returns how much of a pause a call sits through.
func stall(pause span, begin, latency float64) float64 {
	if begin >= pause.to || begin+latency < pause.from {
		return 0
	}
	return pause.to - max(begin, pause.from)
}

// fails decides by the begin of a call whether a gray server fails it, and by
// its end whether a burst loses its answer.
func (w *simWorld) fails(s *simServer, begin, end float64, class uint8) bool {
	ratio := backgroundFailures
	if s.burst.holds(end) {
		ratio = s.loss
	}
	if s.gray.holds(begin) {
		switch {
		case s.grayKind == grayHalf:
			ratio = 0.5
		case s.grayKind == grayOneClass && class == 0:
			ratio = 1
		}
	}
	return w.rng.Float64() < ratio
}

// complete files a call under the interval in which the exit sees its end.
func (w *simWorld) complete(s *simServer, c simCall, begin, end float64) {
	c.latency = time.Duration((end - begin) * float64(time.Second))
	slot := max(int(end/w.interval), w.step)
	slot = min(slot, w.step+pendingIntervals-1)
	s.pending[slot%pendingIntervals] = append(s.pending[slot%pendingIntervals], c)
}
