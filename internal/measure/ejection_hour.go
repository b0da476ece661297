package measure

import (
	"fmt"
	"math/rand/v2"
)

// hourLength is the length of a seeded hour in seconds.
const hourLength = 3600.0

// hourEvent is one kind of disturbance in a seeded hour.
type hourEvent struct {
	mean  float64 // seconds between two, for the whole service
	begin func(h *ejectionHour, t float64)
}

// hourEvents are the disturbances that ejection must tell from gray failures,
// and some gray failures among them.
var hourEvents = []hourEvent{
	{30, (*ejectionHour).lossBurst},
	{15, (*ejectionHour).serverPause},
	{120, (*ejectionHour).exitPause},
	{300, (*ejectionHour).coldStart},
	{300, (*ejectionHour).sisterLoad},
	{90, (*ejectionHour).partition},
	{600, (*ejectionHour).keeperLoss},
	{300, (*ejectionHour).badHealthCheck},
	{900, (*ejectionHour).grayFailure},
	{1800, (*ejectionHour).sharedFailure},
}

// hourResult counts what an ejection policy did in seeded hours.
type hourResult struct {
	wrongful int      // ejections of healthy servers
	gray     int      // gray failures brought about
	caught   int      // of them ejected while gray
	traces   []string // one for each wrongful ejection, with what disturbed the server
}

func (r *hourResult) add(o hourResult) {
	r.wrongful += o.wrongful
	r.gray += o.gray
	r.caught += o.caught
	r.traces = append(r.traces, o.traces...)
}

// ejectionHour is a service under disturbances for an hour.
type ejectionHour struct {
	world     *simWorld
	policy    simPolicy
	rng       *rand.Rand
	next      []float64 // time of the next event, by kind
	disturbed []float64 // by server: time of the last burst or pause
	rightful  []span    // by server: while an ejection is right
	caught    []bool    // by server: this gray failure was ejected
	newKeeper float64
	result    hourResult
}

func newEjectionHour(rng *rand.Rand, spec serviceSpec, load ejectionLoad, p simPolicy) *ejectionHour {
	h := &ejectionHour{
		world: newSimWorld(rng, spec, load), policy: p, rng: rng,
		next: make([]float64, len(hourEvents)), disturbed: make([]float64, spec.servers),
		rightful: make([]span, spec.servers), caught: make([]bool, spec.servers),
	}
	for i, e := range hourEvents {
		h.next[i] = rng.ExpFloat64() * e.mean
	}
	return h
}

func (h *ejectionHour) run() hourResult {
	for h.world.now() < hourLength {
		t := h.world.now()
		for i, e := range hourEvents {
			if t >= h.next[i] {
				e.begin(h, t)
				h.next[i] = t + h.rng.ExpFloat64()*e.mean
			}
		}
		h.takeOver(t)
		for _, server := range h.world.run(h.policy) {
			h.judge(server)
		}
	}
	return h.result
}

func (h *ejectionHour) judge(server int) {
	t := h.world.now()
	switch {
	case !h.rightful[server].holds(t):
		h.result.wrongful++
		h.result.traces = append(h.result.traces, h.describe(server, t))
	case !h.caught[server] && h.world.servers[server].gray.holds(t):
		h.caught[server] = true
		h.result.caught++
	}
}

// between returns a uniform value.
func (h *ejectionHour) between(from, to float64) float64 {
	return from + (to-from)*h.rng.Float64()
}

func (h *ejectionHour) pick() (int, *simServer) {
	i := h.rng.IntN(len(h.world.servers))
	return i, &h.world.servers[i]
}

// noiseGap is the least time between two bursts or pauses of one server. Two
// within a second are not told from a gray failure, nor should they be.
const noiseGap = 10.0

// pickQuiet returns a server without a recent burst or pause, and the moment
// within the interval at which the next one begins.
func (h *ejectionHour) pickQuiet(t float64) (s *simServer, from float64, ok bool) {
	i, s := h.pick()
	if t < h.disturbed[i]+noiseGap {
		return nil, 0, false
	}
	h.disturbed[i] = t
	return s, t + h.world.interval*h.rng.Float64(), true
}

// lossBurst lets most calls of one server fail for up to 300 ms.
func (h *ejectionHour) lossBurst(t float64) {
	if s, from, ok := h.pickQuiet(t); ok {
		s.burst = span{from, from + h.between(0.1, 0.3)}
		s.loss = h.between(0.5, 1)
	}
}

// serverPause stops one server for up to 500 ms, as a garbage collector does.
func (h *ejectionHour) serverPause(t float64) {
	if s, from, ok := h.pickQuiet(t); ok {
		s.pause = span{from, from + h.between(0.05, 0.5)}
	}
}

// exitPause stops one exit process, which sees what happened meanwhile late.
func (h *ejectionHour) exitPause(t float64) {
	if s, from, ok := h.pickQuiet(t); ok {
		s.frozen = span{from, from + h.between(0.2, 10)}
	}
}

// coldStart restarts one server after a planned stop.
func (h *ejectionHour) coldStart(t float64) {
	_, s := h.pick()
	s.started, s.coldPeak, s.coldTau = t, h.between(2, 12), h.between(3, 10)
}

// sisterLoad slows some of the servers below 4x, differences between servers
// included.
func (h *ejectionHour) sisterLoad(t float64) {
	end := t + h.between(30, 300)
	factor := h.between(1.5, 3.6)
	share := h.rng.Float64()
	for i := range h.world.servers {
		if s := &h.world.servers[i]; h.rng.Float64() < share {
			s.sister, s.slowdown = span{t, end}, factor
		}
	}
}

// partition cuts reports, verdicts or part of the calls of some servers.
func (h *ejectionHour) partition(t float64) {
	cut := span{t, t + h.between(1, 20)}
	kind, share := h.rng.IntN(3), h.rng.Float64()
	for i := range h.world.servers {
		s := &h.world.servers[i]
		if h.rng.Float64() >= share {
			continue
		}
		switch kind {
		case 0:
			s.mute = cut
		case 1:
			s.deaf = cut
		default:
			s.quiet = cut
		}
	}
}

// keeperLoss replaces the keeper after its lease has lapsed.
func (h *ejectionHour) keeperLoss(t float64) {
	h.newKeeper = t + h.between(2, 3)
	for i := range h.world.servers {
		h.world.servers[i].mute = span{t, h.newKeeper}
	}
}

func (h *ejectionHour) takeOver(t float64) {
	if h.newKeeper == 0 || t < h.newKeeper {
		return
	}
	h.newKeeper = 0
	if p, ok := h.policy.(*fleetPolicy); ok {
		p.replaceKeeper()
	}
}

// badHealthCheck lets the health check of a good server fail.
func (h *ejectionHour) badHealthCheck(t float64) {
	_, s := h.pick()
	s.suspect = span{t, t + h.between(10, 60)}
}

// aftermath is how long after the end of a gray failure its evidence may still
// eject: calls that began before its end are still being reported.
const aftermath = 2.0

// grayFailure makes one server gray.
func (h *ejectionHour) grayFailure(t float64) {
	i, s := h.pick()
	if s.gray.holds(t) {
		return
	}
	s.gray = span{t, t + h.between(20, 90)}
	s.grayKind = grayKind(h.rng.IntN(3))
	h.rightful[i] = span{t, s.gray.to + aftermath}
	h.caught[i] = false
	h.result.gray++
}

// sharedFailure makes all servers gray nearly at once; no ejection is right
// then.
func (h *ejectionHour) sharedFailure(t float64) {
	length := h.between(10, 40)
	kind := grayKind(h.rng.IntN(3))
	for i := range h.world.servers {
		s := &h.world.servers[i]
		if s.gray.holds(t) {
			continue
		}
		from := t + h.between(0, 0.5)
		s.gray, s.grayKind = span{from, t + length}, kind
	}
}

// describe names the disturbances of a server within noiseGap before t, to trace
// a wrongful ejection.
func (h *ejectionHour) describe(server int, t float64) string {
	s := &h.world.servers[server]
	text := fmt.Sprintf("%s server %d at %.1f s", h.world.spec.name, server, t)
	named := []struct {
		name string
		span span
	}{
		{"gray", s.gray},
		{"burst", s.burst},
		{"pause", s.pause},
		{"sister load", s.sister},
		{"few calls", s.quiet},
		{"bad health check", s.suspect},
		{"exit paused", s.frozen},
		{"reports lost", s.mute},
		{"verdicts lost", s.deaf},
	}
	for _, n := range named {
		if n.span.from <= t && n.span.to > t-noiseGap {
			text += fmt.Sprintf(", %s %.1f to %.1f s", n.name, n.span.from, n.span.to)
		}
	}
	if s.started >= 0 {
		text += fmt.Sprintf(", started at %.1f s", s.started)
	}
	return text
}
