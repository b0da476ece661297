package control

import (
	"maps"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/path"
)

// PathObserved is what traffic or a probe saw of the path to a peer.
type PathObserved struct {
	Observation path.Observation
}

// ControlEvent marks PathObserved as an event.
func (PathObserved) ControlEvent() {}

// ProbePath asks an outbound worker for a sign of life of a peer over a fresh
// connection to its traffic address. The result comes back as PathObserved.
type ProbePath struct {
	Peer string
	Addr string
}

// ControlCommand marks ProbePath as a command.
func (ProbePath) ControlCommand() {}

// pathsStage judges the paths from this process to its peers.
type pathsStage struct {
	state *State
	table *path.Table
	hosts map[string]Host // that the table may know
	seen  uint64          // version of that list
}

// Name returns "paths".
func (s *pathsStage) Name() string { return "paths" }

// Deadline returns the time of the next probe.
func (s *pathsStage) Deadline() time.Time {
	next, _ := s.table.NextTick()
	return next
}

// Handle takes observations.
func (s *pathsStage) Handle(now time.Time, ev Event, out *Output) {
	s.forgetGone()
	switch e := ev.(type) {
	case PathObserved:
		s.apply(s.table.Observe(now, e.Observation), out)
	case statusAsked:
		s.report(e.status)
	case Tick:
		s.apply(s.table.Tick(now), out)
	}
}

// forgetGone drops peers that the host list no longer names.
func (s *pathsStage) forgetGone() {
	if s.seen == s.state.HostVersion {
		return
	}
	s.seen = s.state.HostVersion
	for id := range s.hosts {
		if _, ok := s.state.Hosts[id]; !ok {
			s.table.Remove(id)
		}
	}
	s.hosts = s.state.Hosts
}

func (s *pathsStage) report(status *Status) {
	for _, id := range slices.Sorted(maps.Keys(s.state.Hosts)) {
		if st := s.table.State(id); st != path.Good {
			status.Peers = append(status.Peers, PeerStatus{ID: id, Path: st.String()})
		}
	}
}

// apply carries out actions. Retire needs nothing here: the HTTP/2 ping of the
// transport closes connections that have gone silent.
func (s *pathsStage) apply(actions []path.Action, out *Output) {
	for _, a := range actions {
		switch a.Kind {
		case path.SendProbe:
			s.probe(a.Peer, out)
		case path.StateChanged:
			s.setPath(a.Peer, a.State)
		}
	}
}

func (s *pathsStage) probe(peer string, out *Output) {
	host, ok := s.state.Hosts[peer]
	if !ok {
		s.table.Remove(peer)
		return
	}
	out.Emit(ProbePath{Peer: peer, Addr: host.TrafficAddr})
}

// setPath marks the targets behind a peer. They are atomics, so that no new
// snapshot is needed.
func (s *pathsStage) setPath(peer string, state path.State) {
	for _, b := range s.state.Hosts[peer].Backends {
		if target, ok := s.state.Targets[b.ID]; ok {
			target.SetPath(state)
		}
	}
}
