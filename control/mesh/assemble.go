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
	Identity Identity
	// KeyTrustDuration is how long keys are trusted after the store last
	// confirmed the configuration.
	KeyTrustDuration time.Duration
	// FirstStart means that the whole fleet starts for the first time.
	FirstStart bool
	// DrainTime is how long a server that was removed from the list may still
	// receive requests.
	DrainTime time.Duration
	// FollowEvacuations means that availability zones may be evacuated. No server is
	// offered to requests until the set of evacuated zones is known.
	FollowEvacuations bool
	// Tolerance is the amount by which teams may exceed their rates.
	Tolerance teamrate.Tolerance
	// SharedRetries limits the retries that the fleet shares for each service.
	SharedRetries SharedRetries
	// BootClock returns the time since boot, including suspended time.
	BootClock func() time.Duration
	// Load returns the load of the backend server of this host. It must not block.
	Load func() pipeline.Load
}

// Stop begins a graceful shutdown: the process stops owning tokens for the fleet.
// RefuseAttempts reports that the process no longer accepts attempts from peers.
type (
	Stop           struct{}
	RefuseAttempts struct{}
)

// ControlEvent marks Stop as an event.
func (Stop) ControlEvent() {}

// ControlEvent marks RefuseAttempts as an event.
func (RefuseAttempts) ControlEvent() {}

// New returns a control loop with all stages in the order in which they handle an
// event.
func New(o Options, outbound control.Outbound) *control.Loop[Snapshot] {
	st := &state{
		identity: o.Identity,
		servers:  make(map[string]*serverRecord),
		peers:    make(map[string]*Peer),
		keyTrust: NewKeyTrust(0),
		rooms:    newRooms(),

		evacuationsFollowed: o.FollowEvacuations,
		returnedAt:          make(map[string]time.Time),
	}
	config := &configStage{state: st, keyTrustDuration: o.KeyTrustDuration}
	servers := &serversStage{
		state: st, drainTime: o.DrainTime,
		storeReturn: storeReturn{removed: make(map[string]removedServer)},
	}
	stages := []control.Stage{
		&stopStage{state: st},
		&relayStage{state: st},
		config,
		&evacuationStage{state: st, since: make(map[string]time.Time)},
		servers,
		&storeStage{
			state: st, config: config, servers: servers, bootClock: o.BootClock, firstStart: o.FirstStart,
			pending: make(map[uint32]storeQuery), missedAnswers: make(map[string]int), excludedUntil: make(map[string]time.Time),
		},
		&healthStage{state: st, load: o.Load, estimates: make(map[string]belief.Estimate)},
		&teamsStage{
			state:           st,
			retries:         newRetryPools(o.SharedRetries),
			buckets:         make(map[string]*teamrate.Bucket),
			fallbackBuckets: make(map[string]*teamrate.Bucket),
			pending:         make(map[uint32]*pendingRequest),
			relayed:         make(map[uint32]relayedRequest),
			tokenRelayUntil: make(map[string]time.Time),

			tolerance:       o.Tolerance,
			ownersChangedAt: o.Identity.StartedAt,
		},
		&roomsStage{state: st},
		&crashesStage{state: st, counter: crashcount.New()},
	}
	return control.NewLoop(stages, st.snapshot, outbound)
}

// stopStage records the phases of a shutdown.
type stopStage struct{ state *state }

// Name returns "stop".
func (s *stopStage) Name() string { return "stop" }

// Deadline returns the zero time: the stage needs no ticks.
func (s *stopStage) Deadline() time.Time { return time.Time{} }

// Handle processes Stop and RefuseAttempts.
func (s *stopStage) Handle(_ time.Time, ev control.Event, out *control.Output) {
	switch ev.(type) {
	case Stop:
		s.state.stopping = true
		out.Publish()
	case RefuseAttempts:
		s.state.refusesAttempts = true
	}
}

// snapshot returns an immutable copy of the state. Only the newest server at each
// address is included.
func (s *state) snapshot(now time.Time) *Snapshot {
	snap := &Snapshot{
		Table:       s.table,
		Document:    s.document,
		KeyTrust:    s.keyTrust,
		Services:    make(map[string][]*Target),
		Local:       make(map[string]*Target),
		Delisted:    s.delisted,
		Blocked:     s.blocked,
		Hosts:       len(s.peers) + 1,
		StoreReader: s.storeReader,
		Rooms:       s.rooms,
		Stopping:    s.stopping,
		PeerTimeout: s.scaledPeerTimeout(),
		Evacuated:   s.evacuated,

		ListPosition: s.listPosition,
		ListComplete: !s.listIncomplete,
		HeldEntries:  s.heldEntries,
	}
	if s.storeReader && snap.ListComplete {
		snap.ListedAt, snap.Evacuations = now, s.evacuations
		for _, server := range s.servers {
			if server.missingSince.IsZero() {
				listed := server.Server
				listed.WarmUpLeft = max(s.warmUpUntil(server).Sub(now), 0)
				snap.Listed = append(snap.Listed, listed)
			}
		}
	}
	if !s.listConfirmed {
		return snap
	}
	newest := s.newestAtAddress()
	for id, server := range s.servers {
		if compareAge(server.Server, newest[server.Addr]) < 0 {
			continue
		}
		target := &Target{
			Server:      server.Server,
			Local:       server.Host == s.identity.Host,
			SameZone:    server.Zone == s.identity.Zone,
			WarmUpUntil: s.warmUpUntil(server),
			Evacuated:   s.evacuated[server.Zone],
			Live:        server.live,
		}
		if s.evacuations != nil || !s.evacuationsFollowed {
			snap.Services[server.Service] = append(snap.Services[server.Service], target)
		}
		if target.Local {
			snap.Local[id] = target
		}
	}
	return snap
}
