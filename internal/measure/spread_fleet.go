package measure

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

// spreadProcesses are the processes of a fleet that receive the configuration.
type spreadProcesses interface {
	start(id string)
	stop(id string)
	version(id string) uint64 // in force, 0 for none
	serves(id string) bool    // requests that need a key are accepted
	reads() int               // reads that reached the configuration service
}

// spreadPolicy is a method of distributing the configuration to every process.
type spreadPolicy struct {
	name         string
	newProcesses func(*spreadSim) spreadProcesses
	versions     int // number published under each fault
}

var spreadPolicies = []spreadPolicy{
	{systemPolicyName, newSystemSpread, spreadVersions},
	{"every process polls once a second", newPollers, baselineVersions},
}

// systemSpread are processes that run decide/spread.
type systemSpread struct {
	fleet *simnet.SpreadFleet
}

func newSystemSpread(sim *spreadSim) spreadProcesses {
	f := simnet.NewSpreadFleet(sim.net, sim.fleet.members)
	f.Serve = func(string) *simnet.Config { return sim.servedCopy }
	return systemSpread{f}
}

func (s systemSpread) start(id string) { s.fleet.Start(id) }
func (s systemSpread) stop(id string)  { s.fleet.Stop(id) }
func (s systemSpread) reads() int      { return s.fleet.ServiceReads }

func (s systemSpread) version(id string) uint64 {
	return s.fleet.Spreaders[id].Document().Stamp.Version
}

func (s systemSpread) serves(id string) bool {
	now := s.fleet.Net.Now()
	return s.fleet.Spreaders[id].Ready(now) && s.fleet.Spreaders[id].Current(now)
}

// pollers are the baseline: processes that read the service once a second and keep
// using the last copy that they got.
type pollers struct {
	sim       *spreadSim
	versions  map[string]uint64
	readCount int
}

func newPollers(sim *spreadSim) spreadProcesses {
	return &pollers{sim: sim, versions: make(map[string]uint64)}
}

const pollInterval = time.Second

func (p *pollers) start(id string) {
	n := p.sim.net
	n.Restart(id)
	n.RunOn(id, time.Duration(n.Rand.Int64N(int64(pollInterval))), func() { p.poll(id) })
}

func (p *pollers) stop(id string) {
	p.sim.net.Stop(id)
	delete(p.versions, id)
}

func (p *pollers) poll(id string) {
	n := p.sim.net
	n.Send(id, simnet.ConfigServiceName, func() {
		p.readCount++
		if c := p.sim.servedCopy; c != nil {
			n.Send(simnet.ConfigServiceName, id, func() { p.versions[id] = c.Stamp.Version })
		}
	})
	n.RunOn(id, pollInterval, func() { p.poll(id) })
}

func (p *pollers) version(id string) uint64 { return p.versions[id] }
func (p *pollers) serves(id string) bool    { return p.versions[id] > 0 }
func (p *pollers) reads() int               { return p.readCount }

// spreadSim simulates a fleet and a configuration service and samples the processes.
type spreadSim struct {
	fleet          coordinationFleet
	net            *simnet.Net
	processes      spreadProcesses
	sampleInterval time.Duration // between samples

	latest     simnet.Config
	servedCopy *simnet.Config // the copy that the service returns; nil while it is down
	published  time.Time

	inForce           map[string]time.Time // when each process first had the latest version
	lastOldKeyUse     time.Time            // last sample of a process that accepted keys of an older version
	lastServedVersion map[string]uint64    // last version that each process served, also before restarts
	regressions       int                  // times that a process served an older version than before
	samples           int
	refusingSamples   int // samples of processes that accept no keys
}

// defaultSampleInterval is the time between samples outside of outages.
const defaultSampleInterval = 20 * time.Millisecond

// newSpreadSim returns a fleet that runs with version 1.
func newSpreadSim(f coordinationFleet, p spreadPolicy, seed uint64) *spreadSim {
	sim := &spreadSim{fleet: f, net: f.network(seed), sampleInterval: defaultSampleInterval, lastServedVersion: make(map[string]uint64)}
	sim.processes = p.newProcesses(sim)
	sim.publish()
	for _, m := range f.members {
		sim.processes.start(m.ID)
	}
	sim.net.Run(5 * time.Second)
	sim.sample()
	sim.samples, sim.refusingSamples = 0, 0
	return sim
}

// publish publishes a new version at the service, in which a key is withdrawn.
func (sim *spreadSim) publish() {
	version := sim.latest.Stamp.Version + 1
	sim.latest = simnet.NewConfig(version, map[string][]byte{
		"fleet":  []byte("services"),
		"team-0": []byte(fmt.Sprintf("keys of version %d", version)),
	})
	next := sim.latest
	sim.servedCopy = &next
	sim.published = sim.net.Now()
	sim.inForce = make(map[string]time.Time)
	sim.lastOldKeyUse = sim.published
}

// sample observes each running process, now and every sampleInterval.
func (sim *spreadSim) sample() {
	for _, m := range sim.fleet.members {
		if !sim.net.Down(m.ID) && !sim.net.Paused(m.ID) {
			sim.observe(m.ID)
		}
	}
	sim.net.RunAfter(sim.sampleInterval, sim.sample)
}

func (sim *spreadSim) observe(id string) {
	now, version, latest := sim.net.Now(), sim.processes.version(id), sim.latest.Stamp.Version
	if _, ok := sim.inForce[id]; !ok && version == latest {
		sim.inForce[id] = now
	}
	sim.samples++
	if !sim.processes.serves(id) {
		sim.refusingSamples++
		return
	}
	if version < latest {
		sim.lastOldKeyUse = now
	}
	if version < sim.lastServedVersion[id] {
		sim.regressions++
	}
	sim.lastServedVersion[id] = version
}

// idsExcept returns all processes except the given ones.
func (sim *spreadSim) idsExcept(without ...string) []string {
	skip := make(map[string]bool)
	for _, id := range without {
		skip[id] = true
	}
	var ids []string
	for _, m := range sim.fleet.members {
		if !skip[m.ID] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// randomDelay returns a random time below d.
func (sim *spreadSim) randomDelay(d time.Duration) time.Duration {
	return time.Duration(sim.net.Rand.Int64N(int64(d)))
}
