package control

import (
	"maps"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/path"
)

// PathObserved is an observation of the path to a peer by a request or a probe.
type PathObserved struct {
	Observation path.Observation
}

// ControlEvent marks PathObserved as an event.
func (PathObserved) ControlEvent() {}

// ProbePath asks an outbound worker to probe a peer over a new connection to its
// traffic address. The result arrives as PathObserved.
type ProbePath struct {
	Peer string
	Addr string
}

// ControlCommand marks ProbePath as a command.
func (ProbePath) ControlCommand() {}

// pathsStage tracks the state of the paths from this process to its peers.
type pathsStage struct {
	state       *State
	table       *path.Table
	knownHosts  map[string]Host // hosts that the table may contain
	hostVersion uint64          // version of knownHosts
}

// Name returns "paths".
func (s *pathsStage) Name() string { return "paths" }

// Deadline returns the time of the next probe.
func (s *pathsStage) Deadline() time.Time {
	next, _ := s.table.NextTick()
	return next
}

// Handle processes observations and sends due probes.
func (s *pathsStage) Handle(now time.Time, ev Event, out *Output) {
	s.removeDepartedPeers()
	switch e := ev.(type) {
	case PathObserved:
		s.executeAll(s.table.Observe(now, e.Observation), out)
	case statusRequest:
		s.reportStatus(e.status)
	case Tick:
		s.executeAll(s.table.Tick(now), out)
	}
}

// removeDepartedPeers removes peers that the host list no longer contains.
func (s *pathsStage) removeDepartedPeers() {
	if s.hostVersion == s.state.HostVersion {
		return
	}
	s.hostVersion = s.state.HostVersion
	for id := range s.knownHosts {
		if _, ok := s.state.Hosts[id]; !ok {
			s.table.Remove(id)
		}
	}
	s.knownHosts = s.state.Hosts
}

func (s *pathsStage) reportStatus(status *Status) {
	for _, id := range slices.Sorted(maps.Keys(s.state.Hosts)) {
		if st := s.table.State(id); st != path.Good {
			status.Peers = append(status.Peers, PeerStatus{ID: id, Path: st.String()})
		}
	}
}

// executeAll executes actions. Retire needs no action here: the HTTP/2 ping of the
// transport closes unresponsive connections.
func (s *pathsStage) executeAll(actions []path.Action, out *Output) {
	for _, a := range actions {
		switch a.Kind {
		case path.SendProbe:
			s.sendProbe(a.Peer, out)
		case path.StateChanged:
			s.setPathState(a.Peer, a.State)
		}
	}
}

func (s *pathsStage) sendProbe(peer string, out *Output) {
	host, ok := s.state.Hosts[peer]
	if !ok {
		s.table.Remove(peer)
		return
	}
	out.Emit(ProbePath{Peer: peer, Addr: host.TrafficAddr})
}

// setPathState sets the path state of the targets on a peer. It is atomic, so no new
// snapshot is needed.
func (s *pathsStage) setPathState(peer string, state path.State) {
	for _, b := range s.state.Hosts[peer].Backends {
		if target, ok := s.state.Targets[b.ID]; ok {
			target.SetPath(state)
		}
	}
}
