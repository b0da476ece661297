package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/decide/teamrate"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Options configure the control loop.
type Options struct {
	Self Self
	// KeyTrust is how long a key is trusted after the platform confirmed it.
	KeyTrust time.Duration
	// Drain is how long a server that leaves may still get requests.
	Drain time.Duration
	// Tolerance is how far teams may exceed their rates.
	Tolerance teamrate.Tolerance
	// Retries are shared by the fleet for each service.
	Retries Retries
	// Boot reads the clock that also counts suspended time.
	Boot func() time.Duration
	// Load returns the load of the backend server of this host. It must not block.
	Load func() pipeline.Load
}

// Stop begins a planned stop: the process gives up its duties for others. Close
// says that it takes no attempts of peers any more.
type (
	Stop  struct{}
	Close struct{}
)

// ControlEvent marks Stop as an event.
func (Stop) ControlEvent() {}

// ControlEvent marks Close as an event.
func (Close) ControlEvent() {}

// New returns the control loop with all its stages in order.
func New(o Options, outbound control.Outbound) *control.Loop[Snapshot] {
	st := &state{
		self:    o.Self,
		servers: make(map[string]*listed),
		peers:   make(map[string]*Peer),
		trust:   NewTrust(0),
	}
	config := &configStage{state: st, trust: o.KeyTrust}
	stages := []control.Stage{
		&stopStage{state: st},
		&relayStage{state: st},
		config,
		&serversStage{state: st, drain: o.Drain},
		&storeStage{
			state: st, config: config, boot: o.Boot,
			asked: make(map[uint32]storeAsk), misses: make(map[string]int), away: make(map[string]time.Time),
		},
		&healthStage{state: st, load: o.Load, beliefs: make(map[string]belief.Estimate)},
		&teamsStage{
			state:   st,
			retries: newRetryPools(o.Retries),
			buckets: make(map[string]*teamrate.Bucket),
			alone:   make(map[string]*teamrate.Bucket),
			asks:    make(map[uint32]*ask),
			relays:  make(map[uint32]relay),
			detours: make(map[string]time.Time),

			tolerance: o.Tolerance,
			settled:   o.Self.Started,
		},
		&crashesStage{state: st, counter: crashcount.New()},
	}
	return control.NewLoop(stages, st.snapshot, outbound)
}

// stopStage marks the process as stopping.
type stopStage struct{ state *state }

// Name returns "stop".
func (s *stopStage) Name() string { return "stop" }

// Deadline returns the zero time.
func (s *stopStage) Deadline() time.Time { return time.Time{} }

// Handle reacts to Stop and Close.
func (s *stopStage) Handle(_ time.Time, ev control.Event, out *control.Output) {
	switch ev.(type) {
	case Stop:
		s.state.stopping = true
		out.Publish()
	case Close:
		s.state.closed = true
	}
}

// snapshot returns the state for traffic.
func (s *state) snapshot(time.Time) *Snapshot {
	snap := &Snapshot{
		Table:    s.table,
		Trust:    s.trust,
		Services: make(map[string][]*Target),
		Local:    make(map[string]*Target),
		Left:     s.left,
		Blocked:  s.blocked,
		Hosts:    len(s.peers) + 1,
		Reading:  s.reading,
		Stopping: s.stopping,
		Silence:  s.timeout(),
	}
	newest := s.newest()
	for id, server := range s.servers {
		if server.Created < newest[server.Addr] {
			continue
		}
		target := &Target{
			Server:    server.Server,
			Local:     server.Host == s.self.Host,
			SameZone:  server.Zone == s.self.Zone,
			ColdUntil: server.coldUntil,
			Live:      server.live,
		}
		snap.Services[server.Service] = append(snap.Services[server.Service], target)
		if target.Local {
			snap.Local[id] = target
		}
	}
	return snap
}
