package mesh

import (
	"math"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// OutcomeObserved reports the outcome of a request at a backend server of this host.
type OutcomeObserved struct {
	Backend string
	Outcome belief.Outcome
}

// ControlEvent marks OutcomeObserved as an event.
func (OutcomeObserved) ControlEvent() {}

// LoadChanged reports that the load of the backend server of this host changed.
type LoadChanged struct{}

// ControlEvent marks LoadChanged as an event.
func (LoadChanged) ControlEvent() {}

// ServerLeaving reports that the backend server of this host said in an answer that it is
// leaving.
type ServerLeaving struct{}

// ControlEvent marks ServerLeaving as an event.
func (ServerLeaving) ControlEvent() {}

// MessageReceived is a datagram from another process.
type MessageReceived struct {
	Host    string // IP address of the host that the message originates from
	Direct  bool   // received from Host itself and not through a relay
	Message notice.Message
}

// ControlEvent marks MessageReceived as an event.
func (MessageReceived) ControlEvent() {}

// Timing of the statuses that a process sends to its peers.
const (
	// statusInterval is the maximum time between two statuses. It has to be
	// shorter than peerTimeout, after which a silent peer counts as lost.
	statusInterval = time.Second
	// peerTimeout is the silence after which a peer counts as lost. It allows for
	// one lost status and a busy host, and is scaled like statusInterval.
	peerTimeout = 2500 * time.Millisecond
	// loadChangeInterval is the minimum time between two statuses when the load
	// changed. It is scaled up in fleets with more than changeScalePeers peers.
	loadChangeInterval = 100 * time.Millisecond
	// urgentChangeInterval is the same for changes of the failure probability and
	// for shutdown phases. A server that fails fast looks idle and attracts
	// requests until the entry proxies learn of the failures.
	urgentChangeInterval = 20 * time.Millisecond
	changeScalePeers     = 40
	// statusScalePeers is the number of peers above which statusInterval and
	// peerTimeout are scaled up: a process receives at most about this many
	// statuses without a change per second.
	statusScalePeers = 100
	// minProbabilityChange and minLoadChange are the smallest changes that trigger a
	// status. A change of the failure probability by 0.1 affects which server an
	// entry proxy selects; two slots are about a third of a server.
	minProbabilityChange = 0.1
	minLoadChange        = 2
	// minStartWaitChange is the smallest change of the time until another request may
	// start within the rate limit of a server that triggers a status.
	minStartWaitChange = 200 * time.Millisecond
)

// healthStage maintains the health of all backend servers: it estimates that of this
// host's server, sends it to the peers in statuses, and applies their statuses.
type healthStage struct {
	state               *state
	load                func() pipeline.Load
	estimates           map[string]belief.Estimate // of the backend servers of this host
	seq                 uint32
	lastStatusAt        time.Time
	lastHeartbeatAt     time.Time
	lastStatus          notice.Status // last one sent
	lastLoad            pipeline.Load // broadcast with lastStatus
	limitNamed          bool          // the backend server of this host has named a rate limit
	loadChangePending   bool          // a load change or an unheard peer has not been sent yet
	urgentChangePending bool          // a probability change or shutdown phase has not been sent yet
	peersKnown          bool          // a status was requested when the first peers became known
}

// Name returns "health".
func (s *healthStage) Name() string { return "health" }

// Deadline returns when the next status is due.
func (s *healthStage) Deadline() time.Time {
	if s.urgentChangePending {
		return s.lastStatusAt.Add(s.scaledChangeInterval(urgentChangeInterval))
	}
	if s.loadChangePending {
		return s.lastStatusAt.Add(s.scaledChangeInterval(loadChangeInterval))
	}
	return s.lastStatusAt.Add(s.state.scaledStatusInterval())
}

// scaledChangeInterval lengthens an interval in large fleets, so that the number of
// messages that a process sends does not grow with the fleet.
func (s *healthStage) scaledChangeInterval(interval time.Duration) time.Duration {
	return scaleInterval(interval, len(s.state.peers), changeScalePeers)
}

// Handle processes outcomes, load changes, messages and shutdown phases, and sends a
// status when one is due.
func (s *healthStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case OutcomeObserved:
		s.observe(now, ev, out)
	case LoadChanged:
		load := s.load()
		change := load.Running + load.Waiting - int(s.lastStatus.Running) - int(s.lastStatus.Waiting)
		s.loadChangePending = s.loadChangePending || change >= minLoadChange || change <= -minLoadChange || s.limitChanged(now, &load)
	case MessageReceived:
		s.recordHeardDirectly(now, ev)
		if ev.Message.Status != nil {
			s.receiveStatus(now, ev.Host, &ev.Message, out)
		}
	case Stop, RefuseAttempts, ServerLeaving:
		s.urgentChangePending = true // peers have to learn of a shutdown at once
	case ServerListRead:
		if !s.peersKnown && len(s.state.peers) > 0 {
			s.peersKnown, s.urgentChangePending = true, true
		}
	case control.Tick:
		// Peers stop considering a host that nobody hears, for instance as an owner of tokens.
		s.loadChangePending = s.loadChangePending || len(s.unheardPeers(now)) > len(s.lastStatus.Unheard)
	}
	if !now.Before(s.Deadline()) {
		s.sendStatus(now, out)
	}
}

// observe updates the estimate of a backend server of this host.
func (s *healthStage) observe(now time.Time, ev OutcomeObserved, out *control.Output) {
	server := s.state.servers[ev.Backend]
	if server == nil {
		return
	}
	old, ok := s.estimates[ev.Backend]
	if !ok {
		old = belief.New(now)
	}
	next := old.Observe(now, ev.Outcome)
	s.estimates[ev.Backend] = next
	health := server.live.Health()
	before := old.BadProbability(now)
	health.BadProbability, health.LastOutcomeAt = next.BadProbability(now), now
	server.live.health.Store(&health)
	if ev.Outcome != belief.Succeeded {
		emitLog(out, "request to backend server failed or was slow", map[string]any{"backend": ev.Backend, "bad": roundProbability(health.BadProbability), "before": roundProbability(before)})
	}
	step := math.Abs(next.BadProbability(now) - belief.DecayToPrior(float64(s.lastStatus.BadProbability), now.Sub(s.lastStatusAt)))
	s.urgentChangePending = s.urgentChangePending || step >= minProbabilityChange
	for id := range s.estimates {
		if s.state.servers[id] == nil {
			delete(s.estimates, id)
		}
	}
}

func roundProbability(p float64) float64 { return math.Round(p*1000) / 1000 }

// sendStatus broadcasts the health and load of this host's backend server.
func (s *healthStage) sendStatus(now time.Time, out *control.Output) {
	relayCount := relaysPerZone
	if s.urgentChangePending || s.state.stopping {
		relayCount = urgentRelaysPerZone
	}
	s.lastStatusAt, s.loadChangePending, s.urgentChangePending = now, false, false
	load := s.load()
	message := s.newStatus(now, &load)
	s.lastStatus, s.lastLoad = *message.Status, load
	s.state.broadcast(now, message, relayCount, out)
	s.sendHeartbeats(now, out)
}

// replyToNewPeer sends a status to a peer that has started: without it the peer would
// take up to the status interval to hear half of the fleet, and until then it does not
// own tokens.
func (s *healthStage) replyToNewPeer(now time.Time, host string, out *control.Output) {
	load := s.load()
	sendTo(out, []string{host}, withEvacuations(s.newStatus(now, &load), s.state.evacuations))
}

// newStatus returns the health and load of this host's backend server, and records them
// for the requests of this process.
func (s *healthStage) newStatus(now time.Time, load *pipeline.Load) notice.Message {
	s.seq++
	status := notice.Status{BootID: s.state.identity.BootID, Seq: s.seq, Stopping: s.state.stopping, RefusesAttempts: s.state.refusesAttempts}
	status.Running, status.Waiting, status.Urgent = clampUint16(load.Running), clampUint16(load.Waiting), clampUint16(load.Urgent)
	status.MeanServiceTimeMS = uint32(load.MeanServiceTime.Milliseconds())
	newest := s.state.newestAtAddress()
	for id, server := range s.state.servers {
		if server.Host != s.state.identity.Host || compareAge(server.Server, newest[server.Addr]) < 0 || (status.Backend != "" && server.Draining) {
			continue
		}
		health := server.live.Health()
		server.live.SetLoad(now, load)
		server.live.SetLimit(now, load)
		health.MeanServiceTime = load.MeanServiceTime
		status.RefusesAttempts = s.state.refusesAttempts || server.live.Leaving()
		health.Stopping, health.RefusesAttempts = s.state.stopping, status.RefusesAttempts
		server.live.health.Store(&health)
		status.Backend = id
		status.BadProbability = float32(belief.DecayToPrior(health.BadProbability, now.Sub(health.LastOutcomeAt)))
		status.AgeMS = uint32(now.Sub(health.LastOutcomeAt).Milliseconds())
	}
	status.Unheard, status.StoreUnreachable = s.unheardPeers(now), s.state.storeUnreachable
	return notice.Message{Status: &status, BackendLimit: s.newBackendLimit(load)}
}

// newBackendLimit returns the rate limit of this host's backend server, or nil if it has
// not named any.
func (s *healthStage) newBackendLimit(load *pipeline.Load) *notice.BackendLimit {
	s.limitNamed = s.limitNamed || (load.Limit.Known && load.Limit.Limited)
	if !s.limitNamed {
		return nil
	}
	return &notice.BackendLimit{
		Limited: load.Limit.Limited, PerSecond: float32(load.Limit.PerSecond), WaitMS: uint32(load.StartWait.Milliseconds()),
	}
}

// limitChanged reports whether the rate limit, or the time until another request may start
// within it, differs from what the peers expect after the last status.
func (s *healthStage) limitChanged(now time.Time, load *pipeline.Load) bool {
	if !load.Limit.Limited && !s.lastLoad.Limit.Limited {
		return false
	}
	expected := max(s.lastLoad.StartWait-now.Sub(s.lastStatusAt), 0)
	return load.Limit != s.lastLoad.Limit || (load.StartWait-expected).Abs() >= minStartWaitChange
}

// sendHeartbeats sends a heartbeat directly to each peer in other availability zones, so
// that the peer can tell whether the direct path works: statuses reach it through
// relays.
func (s *healthStage) sendHeartbeats(now time.Time, out *control.Output) {
	if now.Sub(s.lastHeartbeatAt) < s.state.scaledStatusInterval() {
		return
	}
	s.lastHeartbeatAt = now
	var hosts []string
	for zone, inZone := range s.state.hostsByZone {
		if zone != s.state.identity.Zone {
			hosts = append(hosts, inZone...)
		}
	}
	sendTo(out, hosts, notice.Message{Heartbeat: &notice.Heartbeat{}})
}

// recordHeardDirectly records when a peer was last heard without a relay.
func (s *healthStage) recordHeardDirectly(now time.Time, ev MessageReceived) {
	peer := s.state.peers[ev.Host]
	if peer == nil || !ev.Direct {
		return
	}
	peer.HeardDirectlyAt = now
	for _, live := range s.state.liveStatesByHost[ev.Host] {
		live.recordHeardDirectly(now)
	}
}

// maxUnheardHosts limits the hosts listed in a status, so that it fits into a
// datagram.
const maxUnheardHosts = 32

// unheardPeers returns peers that were not heard directly within the peer timeout.
// It returns none until the process has run for that long.
func (s *healthStage) unheardPeers(now time.Time) []string {
	timeout := s.state.scaledPeerTimeout()
	if now.Sub(s.state.identity.StartedAt) < timeout {
		return nil
	}
	var hosts []string
	for host, peer := range s.state.peers {
		if now.Sub(peer.HeardDirectlyAt) >= timeout && len(hosts) < maxUnheardHosts {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// receiveStatus applies the status of a peer unless a newer one was received
// before it.
func (s *healthStage) receiveStatus(now time.Time, host string, message *notice.Message, out *control.Output) {
	status := message.Status
	peer := s.state.peers[host]
	if peer == nil || (peer.BootID == status.BootID && status.Seq <= peer.Seq) {
		return
	}
	if !peer.HeardAt.IsZero() && now.Sub(peer.HeardAt) > s.state.scaledPeerTimeout() {
		emitLog(out, "peer heard again", map[string]any{"host": host, "silent_ms": now.Sub(peer.HeardAt).Milliseconds()})
	}
	if peer.BootID != status.BootID {
		s.replyToNewPeer(now, host, out)
	}
	peer.HeardAt, peer.BootID, peer.Seq = now, status.BootID, status.Seq
	peer.Stopping, peer.StoreUnreachable, peer.Unheard = status.Stopping, status.StoreUnreachable, nil
	if len(status.Unheard) > 0 {
		peer.Unheard = make(map[string]bool, len(status.Unheard))
		for _, unheard := range status.Unheard {
			peer.Unheard[unheard] = true
		}
	}
	server := s.state.servers[status.Backend]
	if server == nil || server.Host != host {
		return
	}
	if !(status.BadProbability >= 0 && status.BadProbability <= 1) { // NaN would win every comparison of costs
		emitLog(out, "peer reported no probability", map[string]any{"host": host, "backend": status.Backend})
		return
	}
	load := pipeline.Load{Running: int(status.Running), Waiting: int(status.Waiting), Urgent: int(status.Urgent)}
	if message.BackendLimit != nil {
		s.receiveLimit(host, message.BackendLimit, &load, out)
	}
	server.live.SetLoad(now, &load)
	server.live.SetLimit(now, &load)
	server.live.health.Store(&Health{
		BadProbability:  float64(status.BadProbability),
		LastOutcomeAt:   now.Add(-time.Duration(status.AgeMS) * time.Millisecond),
		MeanServiceTime: time.Duration(status.MeanServiceTimeMS) * time.Millisecond,
		Stopping:        status.Stopping,
		RefusesAttempts: status.RefusesAttempts,
	})
}

// receiveLimit adds the rate limit that a peer reported to a load.
func (s *healthStage) receiveLimit(host string, reported *notice.BackendLimit, load *pipeline.Load, out *control.Output) {
	if !reported.Limited {
		load.Limit.Known = true
		return
	}
	limit, err := pipeline.NewRateLimit(float64(reported.PerSecond))
	if err != nil {
		emitLog(out, "peer reported an unusable rate limit", map[string]any{"host": host, "error": err.Error()})
		return
	}
	load.Limit, load.StartWait = limit, time.Duration(reported.WaitMS)*time.Millisecond
}
