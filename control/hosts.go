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

// hostsStage keeps the host list and the evidence about members.
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

// Handle takes host lists, pings and announcements of leaving members.
func (s *hostsStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case HostsRead:
		s.takeList(now, e, out)
	case PeerAsked:
		s.answer(now, e, out)
	case PeerReplied:
		s.takeReply(now, e, out)
	case Stop:
		s.apply(s.table.Leave(now), out)
	case statusAsked:
		s.report(e.status)
	case Tick:
		s.apply(s.table.Tick(now), out)
	}
}

func (s *hostsStage) report(status *Status) {
	for _, id := range slices.Sorted(maps.Keys(s.state.Hosts)) {
		suspect, leaving := s.state.View.Suspect[id], s.state.View.Leaving[id]
		if suspect || leaving {
			status.Peers = append(status.Peers, PeerStatus{ID: id, Suspect: suspect, Leaving: leaving})
		}
	}
}

// takeList ignores lists older than the one in force: the platform's list lags
// and may be served by a replica that lags more.
func (s *hostsStage) takeList(now time.Time, e HostsRead, out *Output) {
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
	s.apply(s.table.OnHostList(now, list), out)
	leaving := s.state.View.Leaving
	s.state.View = s.table.View()
	s.state.Members = s.state.View.Members
	s.updateTargets(now, before)
	if !maps.Equal(leaving, s.state.View.Leaving) {
		s.markLeaving()
	}
	out.Publish()
}

func (s *hostsStage) answer(now time.Time, e PeerAsked, out *Output) {
	switch m := e.Message.(type) {
	case membership.Ping:
		ack, ok, actions := s.table.OnPing(now, m)
		s.apply(actions, out)
		if ok {
			e.Answer(ack)
		}
	case membership.PingVia:
		s.apply(s.table.OnPingVia(now, m), out)
		e.Answer(Ack{})
	case membership.Ack:
		s.apply(s.table.OnAck(now, m), out)
		e.Answer(Ack{})
	case membership.Leaving:
		s.apply(s.table.OnLeaving(now, m), out)
		e.Answer(Ack{})
	}
}

func (s *hostsStage) takeReply(now time.Time, e PeerReplied, out *Output) {
	if e.Err != nil {
		return
	}
	if ack, ok := e.Reply.(membership.Ack); ok {
		s.apply(s.table.OnAck(now, ack), out)
		return
	}
	s.apply(s.table.OnContact(now, e.Peer), out)
}

// Ack is the reply to messages that need no other.
type Ack struct{}

func (s *hostsStage) apply(actions []membership.Action, out *Output) {
	for _, action := range actions {
		s.carryOut(action, out)
	}
}

func (s *hostsStage) carryOut(action membership.Action, out *Output) {
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
		s.markLeaving()
		out.Publish()
	}
}
