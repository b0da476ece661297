package measure

import (
	"fmt"
	"math/rand/v2"
)

// hourSeconds is the length of a seeded hour.
const hourSeconds = 3600.0

// disturbance is a kind of event that is injected at random times.
type disturbance struct {
	meanInterval float64 // seconds between events, for the whole service
	inject       func(h *ejectionHour, t float64)
}

// disturbances are events that a policy must distinguish from gray failures, and some
// gray failures among them.
var disturbances = []disturbance{
	{30, (*ejectionHour).lossBurst},
	{15, (*ejectionHour).serverPause},
	{120, (*ejectionHour).exitPause},
	{300, (*ejectionHour).coldStart},
	{300, (*ejectionHour).colocatedLoad},
	{90, (*ejectionHour).partition},
	{600, (*ejectionHour).leaderLoss},
	{300, (*ejectionHour).badHealthCheck},
	{900, (*ejectionHour).grayFailure},
	{1800, (*ejectionHour).sharedFailure},
}

// hourResult counts the outcomes of a policy in seeded hours.
type hourResult struct {
	wrongfulEjections int      // ejections of healthy servers
	grayFailures      int      // injected gray failures
	detectedFailures  int      // injected gray failures that were ejected while gray
	traces            []string // one for each wrongful ejection, with the recent events of the server
}

func (r *hourResult) add(o hourResult) {
	r.wrongfulEjections += o.wrongfulEjections
	r.grayFailures += o.grayFailures
	r.detectedFailures += o.detectedFailures
	r.traces = append(r.traces, o.traces...)
}

// ejectionHour simulates one service under random disturbances for an hour.
type ejectionHour struct {
	sim         *serviceSim
	policy      simPolicy
	rng         *rand.Rand
	nextEventAt []float64   // time of the next event, by kind of disturbance
	lastNoise   []float64   // by server: time of the last loss burst or pause
	justified   []timeRange // by server: when an ejection is correct
	detected    []bool      // by server: the current gray failure was ejected
	newLeaderAt float64
	result      hourResult
}

func newEjectionHour(rng *rand.Rand, spec serviceSpec, load ejectionLoad, p simPolicy) *ejectionHour {
	h := &ejectionHour{
		sim: newServiceSim(rng, spec, load), policy: p, rng: rng,
		nextEventAt: make([]float64, len(disturbances)), lastNoise: make([]float64, spec.servers),
		justified: make([]timeRange, spec.servers), detected: make([]bool, spec.servers),
	}
	for i, e := range disturbances {
		h.nextEventAt[i] = rng.ExpFloat64() * e.meanInterval
	}
	return h
}

func (h *ejectionHour) run() hourResult {
	for h.sim.now() < hourSeconds {
		t := h.sim.now()
		for i, e := range disturbances {
			if t >= h.nextEventAt[i] {
				e.inject(h, t)
				h.nextEventAt[i] = t + h.rng.ExpFloat64()*e.meanInterval
			}
		}
		h.replaceLostLeader(t)
		for _, server := range h.sim.advance(h.policy) {
			h.classifyEjection(server)
		}
	}
	return h.result
}

func (h *ejectionHour) classifyEjection(server int) {
	t := h.sim.now()
	switch {
	case !h.justified[server].contains(t):
		h.result.wrongfulEjections++
		h.result.traces = append(h.result.traces, h.describe(server, t))
	case !h.detected[server] && h.sim.servers[server].gray.contains(t):
		h.detected[server] = true
		h.result.detectedFailures++
	}
}

// uniform returns a uniformly distributed value in [from, to).
func (h *ejectionHour) uniform(from, to float64) float64 {
	return from + (to-from)*h.rng.Float64()
}

func (h *ejectionHour) pickServer() (int, *simServer) {
	i := h.rng.IntN(len(h.sim.servers))
	return i, &h.sim.servers[i]
}

// minNoiseGapSeconds is the minimum time between two loss bursts or pauses of one
// server. Two within a second cannot be distinguished from a gray failure, and need not
// be.
const minNoiseGapSeconds = 10.0

// pickUndisturbed returns a random server and a random time in the current interval for
// its next loss burst or pause. It returns false if that server had one recently.
func (h *ejectionHour) pickUndisturbed(t float64) (s *simServer, from float64, ok bool) {
	i, s := h.pickServer()
	if t < h.lastNoise[i]+minNoiseGapSeconds {
		return nil, 0, false
	}
	h.lastNoise[i] = t
	return s, t + h.sim.interval*h.rng.Float64(), true
}

// lossBurst makes most calls of one server fail for up to 300 ms.
func (h *ejectionHour) lossBurst(t float64) {
	if s, from, ok := h.pickUndisturbed(t); ok {
		s.lossBurst = timeRange{from, from + h.uniform(0.1, 0.3)}
		s.burstLossRatio = h.uniform(0.5, 1)
	}
}

// serverPause pauses one server for up to 500 ms, like a garbage collection.
func (h *ejectionHour) serverPause(t float64) {
	if s, from, ok := h.pickUndisturbed(t); ok {
		s.serverPause = timeRange{from, from + h.uniform(0.05, 0.5)}
	}
}

// exitPause pauses one exit process, which sees events of that time late.
func (h *ejectionHour) exitPause(t float64) {
	if s, from, ok := h.pickUndisturbed(t); ok {
		s.exitPause = timeRange{from, from + h.uniform(0.2, 10)}
	}
}

// coldStart restarts one server after a planned stop.
func (h *ejectionHour) coldStart(t float64) {
	_, s := h.pickServer()
	s.started, s.coldStartFactor, s.warmUpTau = t, h.uniform(2, 12), h.uniform(3, 10)
}

// colocatedLoad slows some of the servers by less than 4 times, including the
// differences between servers.
func (h *ejectionHour) colocatedLoad(t float64) {
	end := t + h.uniform(30, 300)
	factor := h.uniform(1.5, 3.6)
	share := h.rng.Float64()
	for i := range h.sim.servers {
		if s := &h.sim.servers[i]; h.rng.Float64() < share {
			s.colocatedLoad, s.slowdown = timeRange{t, end}, factor
		}
	}
}

// partition drops the reports, the verdicts or some of the calls of a random set of
// servers.
func (h *ejectionHour) partition(t float64) {
	cut := timeRange{t, t + h.uniform(1, 20)}
	kind, share := h.rng.IntN(3), h.rng.Float64()
	for i := range h.sim.servers {
		s := &h.sim.servers[i]
		if h.rng.Float64() >= share {
			continue
		}
		switch kind {
		case 0:
			s.reportsLost = cut
		case 1:
			s.verdictsLost = cut
		default:
			s.fewCalls = cut
		}
	}
}

// leaderLoss schedules a new leader for when the lease of the current one has expired.
func (h *ejectionHour) leaderLoss(t float64) {
	h.newLeaderAt = t + h.uniform(2, 3)
	for i := range h.sim.servers {
		h.sim.servers[i].reportsLost = timeRange{t, h.newLeaderAt}
	}
}

func (h *ejectionHour) replaceLostLeader(t float64) {
	if h.newLeaderAt == 0 || t < h.newLeaderAt {
		return
	}
	h.newLeaderAt = 0
	if p, ok := h.policy.(*fleetPolicy); ok {
		p.replaceLeader()
	}
}

// badHealthCheck makes the health check of a healthy server fail.
func (h *ejectionHour) badHealthCheck(t float64) {
	_, s := h.pickServer()
	s.healthCheckFailing = timeRange{t, t + h.uniform(10, 60)}
}

// evidenceLagSeconds is how long after the end of a gray failure an ejection is still
// correct: calls that began before its end are still being reported.
const evidenceLagSeconds = 2.0

// grayFailure makes one server gray.
func (h *ejectionHour) grayFailure(t float64) {
	i, s := h.pickServer()
	if s.gray.contains(t) {
		return
	}
	s.gray = timeRange{t, t + h.uniform(20, 90)}
	s.grayKind = grayFailureKind(h.rng.IntN(3))
	h.justified[i] = timeRange{t, s.gray.to + evidenceLagSeconds}
	h.detected[i] = false
	h.result.grayFailures++
}

// sharedFailure makes all servers gray at nearly the same time; no ejection is correct
// then.
func (h *ejectionHour) sharedFailure(t float64) {
	length := h.uniform(10, 40)
	kind := grayFailureKind(h.rng.IntN(3))
	for i := range h.sim.servers {
		s := &h.sim.servers[i]
		if s.gray.contains(t) {
			continue
		}
		from := t + h.uniform(0, 0.5)
		s.gray, s.grayKind = timeRange{from, t + length}, kind
	}
}

// describe lists the disturbances of a server within minNoiseGapSeconds before t, as
// the trace of a wrongful ejection.
func (h *ejectionHour) describe(server int, t float64) string {
	s := &h.sim.servers[server]
	text := fmt.Sprintf("%s server %d at %.1f s", h.sim.spec.name, server, t)
	named := []struct {
		name string
		span timeRange
	}{
		{"gray", s.gray},
		{"burst", s.lossBurst},
		{"pause", s.serverPause},
		{"sister load", s.colocatedLoad},
		{"few calls", s.fewCalls},
		{"bad health check", s.healthCheckFailing},
		{"exit paused", s.exitPause},
		{"reports lost", s.reportsLost},
		{"verdicts lost", s.verdictsLost},
	}
	for _, n := range named {
		if n.span.from <= t && n.span.to > t-minNoiseGapSeconds {
			text += fmt.Sprintf(", %s %.1f to %.1f s", n.name, n.span.from, n.span.to)
		}
	}
	if s.started >= 0 {
		text += fmt.Sprintf(", started at %.1f s", s.started)
	}
	return text
}
