package measure

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

var simClasses = [2]string{"read", "write"}

// fleetPolicy is the policy of decide/ejection with its messages: reports are
// lost while a server is mute, verdicts while it is deaf, and a new keeper
// starts without knowledge.
type fleetPolicy struct {
	settings   ejection.Settings
	names      []string
	index      map[string]int
	collectors []*ejection.Collector
	guards     []*ejection.LeaseHolder
	judge      *ejection.Detector
	epoch      uint64
	floor      ejection.Floor
	late       []ejection.Verdict // held back by paused exits
	reports    int
}

// ejectionFloor is the configured floor of the cases.
var ejectionFloor = ejection.Floor{Share: 0.6}

func newFleetPolicy(spec serviceSpec, s ejection.Settings) *fleetPolicy {
	p := &fleetPolicy{settings: s, index: make(map[string]int), floor: ejectionFloor}
	for i := range spec.servers {
		name := fmt.Sprintf("10.0.0.%d:8080", i+1)
		p.names = append(p.names, name)
		p.index[name] = i
		p.collectors = append(p.collectors, ejection.NewCollector(s, spec.name, name))
		p.guards = append(p.guards, ejection.NewLeaseHolder(0))
	}
	p.replaceKeeper()
	return p
}

// replaceKeeper lets a new keeper take over.
func (p *fleetPolicy) replaceKeeper() {
	p.epoch++
	p.judge = ejection.NewDetector(p.epoch)
	var fleet []ejection.ServerState
	for _, name := range p.names {
		fleet = append(fleet, ejection.ServerState{ID: name, Host: name})
	}
	p.judge.SetServers(simEpoch, fleet, p.floor)
}

func (p *fleetPolicy) call(_ time.Time, server int, c simCall) {
	p.collectors[server].Observe(simClasses[c.class], c.outcome, c.latency)
}

func (p *fleetPolicy) share(now time.Time, server int) float64 {
	return p.guards[server].Lease().Share(now)
}

func (p *fleetPolicy) tick(now time.Time, w *simWorld) []int {
	t := w.now()
	held := p.late
	p.late = nil
	for _, v := range held {
		p.deliver(now, t, w, v)
	}
	for i := range w.servers {
		if s := &w.servers[i]; !s.frozen.holds(t) && !s.down.holds(t) {
			p.report(now, t, i, s)
		}
	}
	var ejected []int
	for _, v := range p.judge.Decide(now) {
		if v.Kind == ejection.Eject && !v.Renewal {
			ejected = append(ejected, p.index[v.Server])
		}
		p.deliver(now, t, w, v)
	}
	return ejected
}

func (p *fleetPolicy) report(now time.Time, t float64, i int, s *simServer) {
	state := ejection.LocalState{
		Suspect:         s.suspect.holds(t),
		Ejected:         p.guards[i].Lease().Share(now) < 1,
		ReportRequested: p.guards[i].ReportRequested(),
		LeaderEpoch:     p.epoch,
		InFlight:        s.running(t),
	}
	if s.started >= 0 {
		state.Started = simTime(s.started)
	}
	r, due := p.collectors[i].Report(now, state)
	if !due {
		return
	}
	p.guards[i].PrepareReport(now, p.epoch, &r)
	p.reports++
	if !s.mute.holds(t) {
		p.judge.Observe(now, r)
	}
}

func (p *fleetPolicy) deliver(now time.Time, t float64, w *simWorld, v ejection.Verdict) {
	i := p.index[v.Server]
	s := &w.servers[i]
	switch {
	case s.deaf.holds(t):
	case s.frozen.holds(t):
		p.late = append(p.late, v)
	default:
		p.guards[i].ApplyVerdict(now, v)
	}
}

// baselinePolicy holds what the two plain baselines share: each exit decides
// alone and ejects for 30 s.
type baselinePolicy struct {
	until []time.Time
	bad   func(server int, c simCall) bool
	// now is the start of the calls being told, for the ejections in them.
	ejected []int
}

// baselineEjection is a common default of published proxies.
const baselineEjection = 30 * time.Second

func (p *baselinePolicy) call(now time.Time, server int, c simCall) {
	if now.Before(p.until[server]) {
		return
	}
	if p.bad(server, c) {
		p.until[server] = now.Add(baselineEjection)
		p.ejected = append(p.ejected, server)
	}
}

func (p *baselinePolicy) tick(time.Time, *simWorld) []int {
	ejected := p.ejected
	p.ejected = nil
	return ejected
}

func (p *baselinePolicy) share(now time.Time, server int) float64 {
	if now.Before(p.until[server]) {
		return 0
	}
	return 1
}

// newFiveFailures ejects after five consecutive failures.
func newFiveFailures(spec serviceSpec, _ ejection.Settings) simPolicy {
	const consecutive = 5
	counts := make([]int, spec.servers)
	return &baselinePolicy{until: make([]time.Time, spec.servers), bad: func(server int, c simCall) bool {
		counts[server]++
		if c.outcome != ejection.Failure {
			counts[server] = 0
		}
		reached := counts[server] == consecutive
		if reached {
			counts[server] = 0
		}
		return reached
	}}
}

// newFixedThresholds ejects when over a fifth of the last 20 calls failed or
// over half of them took longer than 100 ms.
func newFixedThresholds(spec serviceSpec, _ ejection.Settings) simPolicy {
	const window, failuresMax, slowMax = 20, 4, 10
	const limit = 100 * time.Millisecond
	recent := make([][]simCall, spec.servers)
	return &baselinePolicy{until: make([]time.Time, spec.servers), bad: func(server int, c simCall) bool {
		recent[server] = append(recent[server], c)
		if len(recent[server]) < window {
			return false
		}
		failed, slow := 0, 0
		for _, old := range recent[server] {
			if old.outcome == ejection.Failure {
				failed++
			} else if old.latency > limit {
				slow++
			}
		}
		reached := failed > failuresMax || slow > slowMax
		recent[server] = recent[server][1:]
		if reached {
			recent[server] = nil
		}
		return reached
	}}
}
