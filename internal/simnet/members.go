package simnet

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// MemberFleet simulates the membership table of each process.
type MemberFleet struct {
	Net    *Net
	Tables map[string]*membership.Table
	// HostList returns the host list that a process reads.
	HostList func(id string) membership.HostList
	// OnAction is called for each action of a membership table.
	OnAction func(id string, a membership.Action)
}

// NewMemberFleet returns a fleet without running processes.
func NewMemberFleet(n *Net, list membership.HostList) *MemberFleet {
	return &MemberFleet{
		Net:      n,
		Tables:   make(map[string]*membership.Table),
		HostList: func(string) membership.HostList { return list },
		OnAction: func(string, membership.Action) {},
	}
}

// HostListOf returns a host list in which no member is leaving.
func HostListOf(version uint64, members []rendezvous.Member) membership.HostList {
	l := membership.HostList{Version: version}
	for _, m := range members {
		l.Hosts = append(l.Hosts, membership.Host{ID: m.ID, Zone: m.Zone})
	}
	return l
}

// Start starts a process, or a new incarnation of it.
func (f *MemberFleet) Start(id string) {
	f.Net.Restart(id)
	t := membership.New(membership.Options{
		Self:        id,
		Incarnation: uint64(f.Net.Now().UnixMilli()),
		Rand:        rand.New(rand.NewPCG(f.Net.Rand.Uint64(), 3)),
	})
	f.Tables[id] = t
	f.ReadHostList(id)
	f.Net.RunOn(id, time.Duration(f.Net.Rand.Int64N(int64(membership.PingInterval))), func() { f.tick(id, t) })
}

// Stop ends the current incarnation of a process.
func (f *MemberFleet) Stop(id string) {
	f.Net.Stop(id)
	delete(f.Tables, id)
}

// ReadHostList makes a process read its host list.
func (f *MemberFleet) ReadHostList(id string) {
	f.Perform(id, f.Tables[id].OnHostList(f.Net.Now(), f.HostList(id)))
}

func (f *MemberFleet) tick(id string, t *membership.Table) {
	f.Perform(id, t.Tick(f.Net.Now()))
	wait := max(t.Next().Sub(f.Net.Now()), time.Millisecond)
	f.Net.RunOn(id, wait, func() { f.tick(id, t) })
}

// Perform performs the actions of the membership table of a process.
func (f *MemberFleet) Perform(id string, actions []membership.Action) {
	for _, action := range actions {
		f.OnAction(id, action)
		switch a := action.(type) {
		case membership.SendPing:
			f.Net.Send(id, a.To, func() { f.onPing(id, a) })
		case membership.SendPingVia:
			for _, via := range a.Via {
				f.Net.Send(id, via, func() { f.Perform(via, f.Tables[via].OnPingVia(f.Net.Now(), a.PingVia)) })
			}
		case membership.ForwardAck:
			f.Net.Send(id, a.To, func() { f.Perform(a.To, f.Tables[a.To].OnAck(f.Net.Now(), a.Ack)) })
		case membership.SendLeaving:
			for _, to := range a.To {
				f.Net.Send(id, to, func() { f.Perform(to, f.Tables[to].OnLeaving(f.Net.Now(), a.Leaving)) })
			}
		}
	}
}

func (f *MemberFleet) onPing(from string, a membership.SendPing) {
	ack, ok, actions := f.Tables[a.To].OnPing(f.Net.Now(), a.Ping)
	f.Perform(a.To, actions)
	if ok {
		f.Net.Send(a.To, from, func() { f.Perform(from, f.Tables[from].OnAck(f.Net.Now(), ack)) })
	}
}
