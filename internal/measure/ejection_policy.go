package measure

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

var callClasses = [2]string{"read", "write"}

// fleetPolicy runs decide/ejection with simulated message delivery: reports and
// verdicts of a server can be lost, and a new leader starts without state.
type fleetPolicy struct {
	settings        ejection.Settings
	serverIDs       []string
	index           map[string]int
	collectors      []*ejection.Collector
	leaseHolders    []*ejection.LeaseHolder
	detector        *ejection.Detector
	epoch           uint64
	floor           ejection.Floor
	delayedVerdicts []ejection.Verdict // not yet seen by paused exits
	reports         int
}

// ejectionFloor is the configured ejection floor of the cases.
var ejectionFloor = ejection.Floor{Share: 0.6}

func newFleetPolicy(spec serviceSpec, s ejection.Settings) *fleetPolicy {
	p := &fleetPolicy{settings: s, index: make(map[string]int), floor: ejectionFloor}
	for i := range spec.servers {
		name := fmt.Sprintf("10.0.0.%d:8080", i+1)
		p.serverIDs = append(p.serverIDs, name)
		p.index[name] = i
		p.collectors = append(p.collectors, ejection.NewCollector(s, spec.name, name))
		p.leaseHolders = append(p.leaseHolders, ejection.NewLeaseHolder(0))
	}
	p.replaceLeader()
	return p
}

// replaceLeader starts a new leader with the next epoch.
func (p *fleetPolicy) replaceLeader() {
	p.epoch++
	p.detector = ejection.NewDetector(p.epoch)
	var fleet []ejection.ServerState
	for _, name := range p.serverIDs {
		fleet = append(fleet, ejection.ServerState{ID: name, Host: name})
	}
	p.detector.SetServers(simEpoch, fleet, p.floor)
}

func (p *fleetPolicy) observeCall(_ time.Time, server int, c finishedCall) {
	p.collectors[server].Observe(callClasses[c.class], c.outcome, c.latency)
}

func (p *fleetPolicy) trafficShare(now time.Time, server int) float64 {
	return p.leaseHolders[server].Lease().Share(now)
}

func (p *fleetPolicy) endInterval(now time.Time, sim *serviceSim) []int {
	t := sim.now()
	delayed := p.delayedVerdicts
	p.delayedVerdicts = nil
	for _, v := range delayed {
		p.deliver(now, t, sim, v)
	}
	for i := range sim.servers {
		if s := &sim.servers[i]; !s.exitPause.contains(t) && !s.down.contains(t) {
			p.report(now, t, i, s)
		}
	}
	var ejected []int
	for _, v := range p.detector.Decide(now) {
		if v.Kind == ejection.Eject && !v.Renewal {
			ejected = append(ejected, p.index[v.Server])
		}
		p.deliver(now, t, sim, v)
	}
	return ejected
}

func (p *fleetPolicy) report(now time.Time, t float64, i int, s *simServer) {
	state := ejection.LocalState{
		Suspect:         s.healthCheckFailing.contains(t),
		Ejected:         p.leaseHolders[i].Lease().Share(now) < 1,
		ReportRequested: p.leaseHolders[i].ReportRequested(),
		LeaderEpoch:     p.epoch,
		InFlight:        s.inFlightCalls(t),
	}
	if s.started >= 0 {
		state.Started = simTime(s.started)
	}
	r, due := p.collectors[i].Report(now, state)
	if !due {
		return
	}
	p.leaseHolders[i].PrepareReport(now, p.epoch, &r)
	p.reports++
	if !s.reportsLost.contains(t) {
		p.detector.Observe(now, r)
	}
}

func (p *fleetPolicy) deliver(now time.Time, t float64, sim *serviceSim, v ejection.Verdict) {
	i := p.index[v.Server]
	s := &sim.servers[i]
	switch {
	case s.verdictsLost.contains(t):
	case s.exitPause.contains(t):
		p.delayedVerdicts = append(p.delayedVerdicts, v)
	default:
		p.leaseHolders[i].ApplyVerdict(now, v)
	}
}

// baselinePolicy is the common part of the two baselines: each exit decides alone and
// ejects for 30 s.
type baselinePolicy struct {
	ejectedUntil []time.Time
	shouldEject  func(server int, c finishedCall) bool
	// ejected lists the servers ejected in the current interval.
	ejected []int
}

// baselineEjectionTime is a common default in published proxies.
const baselineEjectionTime = 30 * time.Second

func (p *baselinePolicy) observeCall(now time.Time, server int, c finishedCall) {
	if now.Before(p.ejectedUntil[server]) {
		return
	}
	if p.shouldEject(server, c) {
		p.ejectedUntil[server] = now.Add(baselineEjectionTime)
		p.ejected = append(p.ejected, server)
	}
}

func (p *baselinePolicy) endInterval(time.Time, *serviceSim) []int {
	ejected := p.ejected
	p.ejected = nil
	return ejected
}

func (p *baselinePolicy) trafficShare(now time.Time, server int) float64 {
	if now.Before(p.ejectedUntil[server]) {
		return 0
	}
	return 1
}

// newConsecutiveFailures returns a policy that ejects after five consecutive failures.
func newConsecutiveFailures(spec serviceSpec, _ ejection.Settings) simPolicy {
	const consecutive = 5
	counts := make([]int, spec.servers)
	return &baselinePolicy{ejectedUntil: make([]time.Time, spec.servers), shouldEject: func(server int, c finishedCall) bool {
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

// newFixedThresholds returns a policy that ejects when more than a fifth of the last 20
// calls failed or more than half of them took longer than 100 ms.
func newFixedThresholds(spec serviceSpec, _ ejection.Settings) simPolicy {
	const window, failuresMax, slowMax = 20, 4, 10
	const limit = 100 * time.Millisecond
	recent := make([][]finishedCall, spec.servers)
	return &baselinePolicy{ejectedUntil: make([]time.Time, spec.servers), shouldEject: func(server int, c finishedCall) bool {
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
