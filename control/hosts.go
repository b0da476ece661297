package control

import (
	"maps"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/membership"
)

// HostsRead is a host list read from the platform.
type HostsRead struct {
	Version uint64
	Hosts   []Host
}

// ControlEvent marks HostsRead as an event.
func (HostsRead) ControlEvent() {}

// hostsStage maintains the host list and the membership table.
type hostsStage struct {
	state *State
	table *membership.Table
}

func newHostsStage(state *State, table *membership.Table) *hostsStage {
	return &hostsStage{state: state, table: table}
}

// Name returns "hosts".
func (s *hostsStage) Name() string { return "hosts" }

// Deadline returns the time of the next ping.
func (s *hostsStage) Deadline() time.Time { return s.table.Next() }

// Handle processes host lists, pings and announcements of leaving members.
func (s *hostsStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case HostsRead:
		s.updateHosts(now, e, out)
	case PeerRequest:
		s.handleRequest(now, e, out)
	case PeerResponse:
		s.handleResponse(now, e, out)
	case Stop:
		s.executeAll(s.table.Leave(now), out)
	case statusRequest:
		s.reportStatus(e.status)
	case Tick:
		s.executeAll(s.table.Tick(now), out)
	}
}

func (s *hostsStage) reportStatus(status *Status) {
	for _, id := range slices.Sorted(maps.Keys(s.state.Hosts)) {
		suspect, leaving := s.state.View.Suspect[id], s.state.View.Leaving[id]
		if suspect || leaving {
			status.Peers = append(status.Peers, PeerStatus{ID: id, Suspect: suspect, Leaving: leaving})
		}
	}
}

// updateHosts applies a host list. Lists older than the current one are ignored: the
// platform may serve a read from a replica that lags behind.
func (s *hostsStage) updateHosts(now time.Time, e HostsRead, out *Output) {
	if e.Version <= s.state.HostVersion {
		return
	}
	s.state.HostVersion = e.Version
	before := s.state.Hosts
	s.state.Hosts = make(map[string]Host, len(e.Hosts))
	list := membership.HostList{Version: e.Version}
	for _, h := range e.Hosts {
		s.state.Hosts[h.ID] = h
		list.Hosts = append(list.Hosts, membership.Host{ID: h.ID, Zone: h.Zone, Leaving: h.Leaving})
	}
	s.executeAll(s.table.OnHostList(now, list), out)
	leaving := s.state.View.Leaving
	s.state.View = s.table.View()
	s.state.Members = s.state.View.Members
	s.updateTargets(now, before)
	if !maps.Equal(leaving, s.state.View.Leaving) {
		s.updateLeaving()
	}
	out.Publish()
}

func (s *hostsStage) handleRequest(now time.Time, e PeerRequest, out *Output) {
	switch m := e.Message.(type) {
	case membership.Ping:
		ack, ok, actions := s.table.OnPing(now, m)
		s.executeAll(actions, out)
		if ok {
			e.Respond(ack)
		}
	case membership.PingVia:
		s.executeAll(s.table.OnPingVia(now, m), out)
		e.Respond(Ack{})
	case membership.Ack:
		s.executeAll(s.table.OnAck(now, m), out)
		e.Respond(Ack{})
	case membership.Leaving:
		s.executeAll(s.table.OnLeaving(now, m), out)
		e.Respond(Ack{})
	}
}

func (s *hostsStage) handleResponse(now time.Time, e PeerResponse, out *Output) {
	if e.Err != nil {
		return
	}
	if ack, ok := e.Reply.(membership.Ack); ok {
		s.executeAll(s.table.OnAck(now, ack), out)
		return
	}
	s.executeAll(s.table.OnContact(now, e.Peer), out)
}

// Ack is the reply to messages that need no specific reply.
type Ack struct{}

func (s *hostsStage) executeAll(actions []membership.Action, out *Output) {
	for _, action := range actions {
		s.execute(action, out)
	}
}

func (s *hostsStage) execute(action membership.Action, out *Output) {
	switch a := action.(type) {
	case membership.SendPing:
		s.state.call(out, a.To, a.Ping)
	case membership.SendPingVia:
		for _, peer := range a.Via {
			s.state.call(out, peer, a.PingVia)
		}
	case membership.ForwardAck:
		s.state.call(out, a.To, a.Ack)
	case membership.SendLeaving:
		for _, peer := range a.To {
			s.state.call(out, peer, a.Leaving)
		}
	case membership.MemberSuspected, membership.SuspicionCleared, membership.MemberLeaving, membership.MemberReturned:
		s.state.View = s.table.View()
		s.updateLeaving()
		out.Publish()
	}
}
