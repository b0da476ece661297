package measure

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

// spreadProcesses are the processes of a fleet that follow the configuration.
type spreadProcesses interface {
	start(id string)
	stop(id string)
	version(id string) uint64 // in force, 0 for none
	serves(id string) bool    // requests that need a key are accepted
	reads() int               // reads that reached the configuration service
}

// spreadPolicy is a way to bring the configuration to every process.
type spreadPolicy struct {
	name     string
	make     func(*spreadWorld) spreadProcesses
	versions int // published under each fault
}

var spreadPolicies = []spreadPolicy{
	{ownPolicy, newSpreadDecisions, spreadVersions},
	{"every process polls once a second", newPollers, baselineVersions},
}

// spreadDecisions are processes that run decide/spread.
type spreadDecisions struct {
	fleet *simnet.SpreadFleet
}

func newSpreadDecisions(w *spreadWorld) spreadProcesses {
	f := simnet.NewSpreadFleet(w.net, w.fleet.members)
	f.Serve = func(string) *simnet.Config { return w.served }
	return spreadDecisions{f}
}

func (s spreadDecisions) start(id string) { s.fleet.Start(id) }
func (s spreadDecisions) stop(id string)  { s.fleet.Stop(id) }
func (s spreadDecisions) reads() int      { return s.fleet.ServiceReads }

func (s spreadDecisions) version(id string) uint64 {
	return s.fleet.Spreaders[id].Document().Stamp.Version
}

func (s spreadDecisions) serves(id string) bool {
	now := s.fleet.Net.Now()
	return s.fleet.Spreaders[id].Ready(now) && s.fleet.Spreaders[id].Current(now)
}

// pollers are the baseline: processes that read the service once a second and go
// on with the last copy that it gave.
type pollers struct {
	world *spreadWorld
	have  map[string]uint64
	count int
}

func newPollers(w *spreadWorld) spreadProcesses {
	return &pollers{world: w, have: make(map[string]uint64)}
}

const pollInterval = time.Second

func (p *pollers) start(id string) {
	n := p.world.net
	n.Restart(id)
	n.RunOn(id, time.Duration(n.Rand.Int64N(int64(pollInterval))), func() { p.poll(id) })
}

func (p *pollers) stop(id string) {
	p.world.net.Stop(id)
	delete(p.have, id)
}

func (p *pollers) poll(id string) {
	n := p.world.net
	n.Send(id, simnet.ConfigServiceName, func() {
		p.count++
		if c := p.world.served; c != nil {
			n.Send(simnet.ConfigServiceName, id, func() { p.have[id] = c.Stamp.Version })
		}
	})
	n.RunOn(id, pollInterval, func() { p.poll(id) })
}

func (p *pollers) version(id string) uint64 { return p.have[id] }
func (p *pollers) serves(id string) bool    { return p.have[id] > 0 }
func (p *pollers) reads() int               { return p.count }

// spreadWorld is a fleet beside a configuration service, sampled while it runs.
type spreadWorld struct {
	fleet     coordinationFleet
	net       *simnet.Net
	processes spreadProcesses
	every     time.Duration // between samples

	latest    simnet.Config
	served    *simnet.Config // the copy that the service gives; nil while it is away
	published time.Time

	inForce  map[string]time.Time // when each process first had the latest version
	oldUse   time.Time            // last sample that accepted keys of an older version
	best     map[string]uint64    // highest version that each process served, in all its lives
	reverted int                  // times that a process went back from it
	samples  int
	refusing int // samples of processes that accept no keys
}

// spreadSample is the time between samples where none is stated.
const spreadSample = 20 * time.Millisecond

// newSpreadWorld returns a fleet that runs with version 1.
func newSpreadWorld(f coordinationFleet, p spreadPolicy, seed uint64) *spreadWorld {
	w := &spreadWorld{fleet: f, net: f.network(seed), every: spreadSample, best: make(map[string]uint64)}
	w.processes = p.make(w)
	w.publish()
	for _, m := range f.members {
		w.processes.start(m.ID)
	}
	w.net.Run(5 * time.Second)
	w.sample()
	w.samples, w.refusing = 0, 0
	return w
}

// publish makes the service hold a new version, in which a key is withdrawn.
func (w *spreadWorld) publish() {
	version := w.latest.Stamp.Version + 1
	w.latest = simnet.NewConfig(version, map[string][]byte{
		"fleet":  []byte("services"),
		"team-0": []byte(fmt.Sprintf("keys of version %d", version)),
	})
	next := w.latest
	w.served = &next
	w.published = w.net.Now()
	w.inForce = make(map[string]time.Time)
	w.oldUse = w.published
}

// sample notes what each running process does, now and every so often.
func (w *spreadWorld) sample() {
	for _, m := range w.fleet.members {
		if !w.net.Down(m.ID) && !w.net.Paused(m.ID) {
			w.observe(m.ID)
		}
	}
	w.net.RunAfter(w.every, w.sample)
}

func (w *spreadWorld) observe(id string) {
	now, version, latest := w.net.Now(), w.processes.version(id), w.latest.Stamp.Version
	if _, ok := w.inForce[id]; !ok && version == latest {
		w.inForce[id] = now
	}
	w.samples++
	if !w.processes.serves(id) {
		w.refusing++
		return
	}
	if version < latest {
		w.oldUse = now
	}
	if version < w.best[id] {
		w.reverted++
	}
	w.best[id] = version
}

// ids returns all processes but some.
func (w *spreadWorld) ids(without ...string) []string {
	skip := make(map[string]bool)
	for _, id := range without {
		skip[id] = true
	}
	var ids []string
	for _, m := range w.fleet.members {
		if !skip[m.ID] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// wait returns a random time below d.
func (w *spreadWorld) wait(d time.Duration) time.Duration {
	return time.Duration(w.net.Rand.Int64N(int64(d)))
}
