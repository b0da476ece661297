package mesh

import (
	"math"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Observed is the outcome of a request at a backend server of this host.
type Observed struct {
	Backend string
	Outcome belief.Outcome
}

// ControlEvent marks Observed as an event.
func (Observed) ControlEvent() {}

// LoadChanged says that the load of the backend server of this host changed.
type LoadChanged struct{}

// ControlEvent marks LoadChanged as an event.
func (LoadChanged) ControlEvent() {}

// Received is a datagram of another process.
type Received struct {
	Host    string // IP number of the process that it comes from
	Direct  bool   // it was not passed on by another process
	Message notice.Message
}

// ControlEvent marks Received as an event.
func (Received) ControlEvent() {}

// Pace of the statuses that a process sends to the others.
const (
	// statusInterval is the longest time between two statuses: peers that were
	// not heard for peerTimeout are taken for lost.
	statusInterval = time.Second
	// peerTimeout allows for a lost status and a busy host. It stretches with the
	// interval of statuses.
	peerTimeout = 2500 * time.Millisecond
	// changeInterval is the shortest time between two statuses about a change,
	// for each changePeers peers: a larger fleet sends less often to more.
	changeInterval = 100 * time.Millisecond
	// beliefInterval is the same for a change of belief: a server that fails at
	// once attracts requests until the entries know.
	beliefInterval = 20 * time.Millisecond
	changePeers    = 40
	// restPeers is the same for statuses without a change: a process receives about
	// this many a second at most.
	restPeers = 100
	// beliefStep and loadStep are the changes that are worth a status: a step of
	// belief moves the choice of entries, two slots are about a third of a server.
	beliefStep = 0.1
	loadStep   = 2
)

// healthStage keeps what is known of each backend server, tells the others about
// the one of this host, and takes in what they tell.
type healthStage struct {
	state   *state
	load    func() pipeline.Load
	beliefs map[string]belief.Estimate // of the backend servers of this host
	seq     uint32
	sent    time.Time     // of the last status
	beaten  time.Time     // of the last beat
	last    notice.Status // that was sent
	urgent  bool          // a change waits to be sent
	doubt   bool          // a change of belief waits to be sent
}

// Name returns "health".
func (s *healthStage) Name() string { return "health" }

// Deadline returns when the next status is due.
func (s *healthStage) Deadline() time.Time {
	if s.doubt {
		return s.sent.Add(s.spaced(beliefInterval))
	}
	if s.urgent {
		return s.sent.Add(s.spaced(changeInterval))
	}
	return s.sent.Add(s.state.restInterval())
}

// spaced stretches the interval of changes in large fleets, so that the messages
// of a process do not grow with the fleet.
func (s *healthStage) spaced(interval time.Duration) time.Duration {
	return stretch(interval, len(s.state.peers), changePeers)
}

// Handle reacts to outcomes, to load and to statuses of others.
func (s *healthStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case Observed:
		s.observe(now, ev, out)
	case LoadChanged:
		load := s.load()
		change := load.Running + load.Waiting - int(s.last.Running) - int(s.last.Waiting)
		s.urgent = s.urgent || change >= loadStep || change <= -loadStep
	case Received:
		s.hear(now, ev)
		if ev.Message.Status != nil {
			s.receive(now, ev.Host, ev.Message.Status, out)
		}
	case Stop, Close:
		s.doubt = true // what the others must know at once
	}
	if !now.Before(s.Deadline()) {
		s.send(now, out)
	}
}

func (s *healthStage) observe(now time.Time, ev Observed, out *control.Output) {
	server := s.state.servers[ev.Backend]
	if server == nil {
		return
	}
	old, ok := s.beliefs[ev.Backend]
	if !ok {
		old = belief.New(now)
	}
	next := old.Observe(now, ev.Outcome)
	s.beliefs[ev.Backend] = next
	health := server.live.Health()
	before := old.BadProbability(now)
	health.Bad, health.Evidence = next.BadProbability(now), now
	server.live.health.Store(&health)
	if ev.Outcome != belief.Succeeded {
		log(out, "backend server doubted", map[string]any{"backend": ev.Backend, "bad": round(health.Bad), "before": round(before)})
	}
	step := math.Abs(next.BadProbability(now) - belief.DecayToPrior(float64(s.last.Bad), now.Sub(s.sent)))
	s.doubt = s.doubt || step >= beliefStep
	for id := range s.beliefs {
		if s.state.servers[id] == nil {
			delete(s.beliefs, id)
		}
	}
}

func round(p float64) float64 { return math.Round(p*1000) / 1000 }

// send tells all peers how the backend server of this host is.
func (s *healthStage) send(now time.Time, out *control.Output) {
	copies := usualCopies
	if s.doubt || s.state.stopping {
		copies = urgentCopies
	}
	s.sent, s.urgent, s.doubt = now, false, false
	s.seq++
	status := notice.Status{Boot: s.state.self.Boot, Seq: s.seq, Stopping: s.state.stopping, Closed: s.state.closed}
	load := s.load()
	status.Running, status.Waiting, status.Urgent = clamp(load.Running), clamp(load.Waiting), clamp(load.Urgent)
	status.HeldMS = uint32(load.MeanServiceTime.Milliseconds())
	newest := s.state.newest()
	for id, server := range s.state.servers {
		if server.Host != s.state.self.Host || server.Created < newest[server.Addr] || (status.Backend != "" && server.Draining) {
			continue
		}
		health := server.live.Health()
		server.live.SetLoad(&load)
		health.Held = load.MeanServiceTime
		health.Stopping, health.Closed = s.state.stopping, s.state.closed
		server.live.health.Store(&health)
		status.Backend = id
		status.Bad = float32(belief.DecayToPrior(health.Bad, now.Sub(health.Evidence)))
		status.AgeMS = uint32(now.Sub(health.Evidence).Milliseconds())
	}
	status.Unheard, status.Blind = s.unheard(now), s.state.blind
	s.last = status
	s.state.tell(now, notice.Message{Status: &status}, copies, out)
	s.beat(now, out)
}

// beat lets the processes of other availability zones know that they are reached
// directly; statuses come to them through relays.
func (s *healthStage) beat(now time.Time, out *control.Output) {
	if now.Sub(s.beaten) < s.state.restInterval() {
		return
	}
	s.beaten = now
	var hosts []string
	for zone, inZone := range s.state.zones {
		if zone != s.state.self.Zone {
			hosts = append(hosts, inZone...)
		}
	}
	emit(out, hosts, notice.Message{Heartbeat: &notice.Heartbeat{}})
}

// hear notes a datagram that came from a peer itself.
func (s *healthStage) hear(now time.Time, ev Received) {
	peer := s.state.peers[ev.Host]
	if peer == nil || !ev.Direct {
		return
	}
	peer.Direct = now
	for _, live := range s.state.lives[ev.Host] {
		live.hear(now)
	}
}

// maxUnheard bounds the hosts in a status, so that it fits a datagram.
const maxUnheard = 32

// unheard lists the peers that were not heard for a while. A process that has
// just started cannot tell.
func (s *healthStage) unheard(now time.Time) []string {
	timeout := s.state.timeout()
	if now.Sub(s.state.self.Started) < timeout {
		return nil
	}
	var hosts []string
	for host, peer := range s.state.peers {
		if now.Sub(peer.Direct) >= timeout && len(hosts) < maxUnheard {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func clamp(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// receive takes in a status unless a newer one came before it.
func (s *healthStage) receive(now time.Time, host string, status *notice.Status, out *control.Output) {
	peer := s.state.peers[host]
	if peer == nil || (peer.Boot == status.Boot && status.Seq <= peer.Seq) {
		return
	}
	if !peer.Heard.IsZero() && now.Sub(peer.Heard) > s.state.timeout() {
		log(out, "peer regained", map[string]any{"host": host, "silent_ms": now.Sub(peer.Heard).Milliseconds()})
	}
	peer.Heard, peer.Boot, peer.Seq = now, status.Boot, status.Seq
	peer.Stopping, peer.Blind, peer.Unheard = status.Stopping, status.Blind, nil
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
	server.live.SetLoad(&pipeline.Load{Running: int(status.Running), Waiting: int(status.Waiting), Urgent: int(status.Urgent)})
	server.live.health.Store(&Health{
		Bad:      float64(status.Bad),
		Evidence: now.Add(-time.Duration(status.AgeMS) * time.Millisecond),
		Held:     time.Duration(status.HeldMS) * time.Millisecond,
		Stopping: status.Stopping,
		Closed:   status.Closed,
	})
}
