package quarantine_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

// The fingerprints of the crashing request and of the harmless ones.
const (
	crashing      = quarantine.Fingerprint(1)
	harmlessCount = 4 // 2, 3, 4, 5
)

// Times in the simulated fleet.
const (
	maxDelay = 50 * time.Millisecond // of any message
	downTime = 100 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// exitProxy is a process that forwards requests to one backend server.
type exitProxy struct {
	tracker   *quarantine.Tracker
	gate      *quarantine.Gate
	running   []*run
	waiting   []*run
	downUntil time.Time
}

// run is one copy of a request on a backend server.
type run struct {
	id      uint64
	f       quarantine.Fingerprint
	suspect bool // the entry proxy marks it as suspect after a lost connection
	alone   bool
	start   time.Time
	crashed time.Time
	ended   bool
}

type event struct {
	at time.Time
	do func()
}

// simulation is a fleet in virtual time. Every message arrives within maxDelay, but
// reports are lost while there is no leader.
type simulation struct {
	t           *rapid.T
	now         time.Time
	events      []event
	exitProxies []*exitProxy
	leader      int  // index in exitProxies; -1 if there is none
	retries     bool // a copy that lost its connection is resent at once, before other exit proxies learn of the crash
	runs        []*run
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: epoch, leader: -1}
	for i := range rapid.IntRange(2, 6).Draw(t, "exits") {
		sim.exitProxies = append(sim.exitProxies, &exitProxy{
			tracker: quarantine.NewTracker(),
			gate:    quarantine.NewGate(uint64(i) << 32),
		})
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.events = append(sim.events, event{sim.now.Add(d), do})
}

func (sim *simulation) delay(most time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(sim.t, label))
}

// runEvents runs all events in the order of their times.
func (sim *simulation) runEvents() {
	for len(sim.events) > 0 {
		next := 0
		for i, e := range sim.events {
			if e.at.Before(sim.events[next].at) {
				next = i
			}
		}
		e := sim.events[next]
		sim.events = slices.Delete(sim.events, next, next+1)
		sim.now = e.at
		e.do()
	}
}

func (sim *simulation) randomExitProxy() *exitProxy {
	return sim.exitProxies[rapid.IntRange(0, len(sim.exitProxies)-1).Draw(sim.t, "exit")]
}

// send sends a copy of a request to an exit proxy.
func (sim *simulation) send(x *exitProxy, f quarantine.Fingerprint, suspect bool) {
	r := &run{id: uint64(len(sim.runs) + 1), f: f, suspect: suspect}
	sim.runs = append(sim.runs, r)
	sim.enter(x, r)
}

// enter starts the run as soon as the gate admits it. A server that is down refuses
// it without running it.
func (sim *simulation) enter(x *exitProxy, r *run) {
	if sim.now.Before(x.downUntil) {
		return
	}
	s := x.tracker.Snapshot().Lookup(sim.now, r.f)
	if r.suspect {
		s.Standing = max(s.Standing, quarantine.Suspect)
	}
	switch x.gate.Enter(r.id, s) {
	case quarantine.AdmitLater:
		x.waiting = append(x.waiting, r)
	case quarantine.AdmitNow:
		r.start, r.alone = sim.now, s.Standing == quarantine.Suspect
		sim.checkIsolated(x, r)
		x.running = append(x.running, r)
		sim.after(time.Millisecond+sim.delay(20*time.Millisecond, "service time"), func() { sim.finish(x, r) })
	}
}

// checkIsolated fails the test if a suspect shares its server.
func (sim *simulation) checkIsolated(x *exitProxy, r *run) {
	for _, other := range x.running {
		if r.alone || other.alone {
			sim.t.Fatalf("fingerprints %d and %d run at the same time and one is a suspect", r.f, other.f)
		}
	}
}

func (sim *simulation) finish(x *exitProxy, r *run) {
	if r.ended {
		return
	}
	if r.f == crashing {
		sim.crash(x, r)
		return
	}
	sim.leave(x, r, quarantine.Completed)
	sim.retryWaiting(x)
}

// crash closes the connections of all requests in flight and stops the server for
// downTime.
func (sim *simulation) crash(x *exitProxy, r *run) {
	r.crashed = sim.now
	x.downUntil = sim.now.Add(downTime)
	inFlight := slices.Clone(x.running)
	for _, other := range rapid.Permutation(inFlight).Draw(sim.t, "order of ends") {
		sim.leave(x, other, quarantine.ReconnectRefused)
		if sim.retries {
			sim.send(sim.randomExitProxy(), other.f, true)
		}
	}
	sim.after(downTime, func() { sim.retryWaiting(x) })
}

func (sim *simulation) retryWaiting(x *exitProxy) {
	waiting := x.waiting
	x.waiting = nil
	for _, r := range waiting {
		sim.enter(x, r)
	}
}

func (sim *simulation) leave(x *exitProxy, r *run, end quarantine.RequestEnd) {
	r.ended = true
	x.running = slices.DeleteFunc(x.running, func(o *run) bool { return o == r })
	for _, report := range x.gate.Leave(sim.now, r.id, end) {
		if !report.Completed {
			sim.applyReport(x, report)
		}
		if sim.leader >= 0 {
			leader := sim.exitProxies[sim.leader]
			sim.after(sim.delay(maxDelay, "report"), func() { sim.applyReport(leader, report) })
		}
	}
}

func (sim *simulation) applyReport(x *exitProxy, report quarantine.Report) {
	if entry, ok := x.tracker.OnReport(sim.now, report); ok {
		sim.gossip(x, entry)
	}
}

func (sim *simulation) gossip(from *exitProxy, entry quarantine.Entry) {
	for _, x := range sim.exitProxies {
		if x != from {
			sim.after(sim.delay(maxDelay, "spread"), func() { sim.receiveEntry(x, entry) })
		}
	}
}

func (sim *simulation) receiveEntry(x *exitProxy, entry quarantine.Entry) {
	next, ok := x.tracker.OnEntry(sim.now, entry)
	if ok && next != entry {
		sim.gossip(x, next)
	}
}

// crashes returns the copies that crashed a server, in the order of their crashes.
func (sim *simulation) crashes() []*run {
	var crashed []*run
	for _, r := range sim.runs {
		if !r.crashed.IsZero() {
			crashed = append(crashed, r)
		}
	}
	slices.SortStableFunc(crashed, func(a, b *run) int { return a.crashed.Compare(b.crashed) })
	return crashed
}
