package simnet

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// MemberFleet runs one membership table for each process.
type MemberFleet struct {
	Net    *Net
	Tables map[string]*membership.Table
	// List returns the host list that a process reads.
	List func(id string) membership.HostList
	// OnAction sees each action that tells of a change.
	OnAction func(id string, a membership.Action)
}

// NewMemberFleet returns a fleet of which no process runs yet.
func NewMemberFleet(n *Net, list membership.HostList) *MemberFleet {
	return &MemberFleet{
		Net:      n,
		Tables:   make(map[string]*membership.Table),
		List:     func(string) membership.HostList { return list },
		OnAction: func(string, membership.Action) {},
	}
}

// HostListOf returns a host list of members that all stay.
func HostListOf(version uint64, members []rendezvous.Member) membership.HostList {
	l := membership.HostList{Version: version}
	for _, m := range members {
		l.Hosts = append(l.Hosts, membership.Host{ID: m.ID, Zone: m.Zone})
	}
	return l
}

// Start begins a life of a process.
func (f *MemberFleet) Start(id string) {
	f.Net.Restart(id)
	t := membership.New(membership.Options{
		Self:        id,
		Incarnation: uint64(f.Net.Now().UnixMilli()),
		Rand:        rand.New(rand.NewPCG(f.Net.Rand.Uint64(), 3)),
	})
	f.Tables[id] = t
	f.ReadList(id)
	f.Net.On(id, time.Duration(f.Net.Rand.Int64N(int64(membership.PingInterval))), func() { f.tick(id, t) })
}

// Stop ends the life of a process.
func (f *MemberFleet) Stop(id string) {
	f.Net.Stop(id)
	delete(f.Tables, id)
}

// ReadList lets a process read the host list.
func (f *MemberFleet) ReadList(id string) {
	f.Do(id, f.Tables[id].OnHostList(f.Net.Now(), f.List(id)))
}

func (f *MemberFleet) tick(id string, t *membership.Table) {
	f.Do(id, t.Tick(f.Net.Now()))
	wait := max(t.Next().Sub(f.Net.Now()), time.Millisecond)
	f.Net.On(id, wait, func() { f.tick(id, t) })
}

// Do carries out the actions of a process.
func (f *MemberFleet) Do(id string, actions []membership.Action) {
	for _, action := range actions {
		f.OnAction(id, action)
		switch a := action.(type) {
		case membership.SendPing:
			f.Net.Send(id, a.To, func() { f.onPing(id, a) })
		case membership.SendPingVia:
			for _, via := range a.Via {
				f.Net.Send(id, via, func() { f.Do(via, f.Tables[via].OnPingVia(f.Net.Now(), a.PingVia)) })
			}
		case membership.ForwardAck:
			f.Net.Send(id, a.To, func() { f.Do(a.To, f.Tables[a.To].OnAck(f.Net.Now(), a.Ack)) })
		case membership.SendLeaving:
			for _, to := range a.To {
				f.Net.Send(id, to, func() { f.Do(to, f.Tables[to].OnLeaving(f.Net.Now(), a.Leaving)) })
			}
		}
	}
}

func (f *MemberFleet) onPing(from string, a membership.SendPing) {
	ack, ok, actions := f.Tables[a.To].OnPing(f.Net.Now(), a.Ping)
	f.Do(a.To, actions)
	if ok {
		f.Net.Send(a.To, from, func() { f.Do(from, f.Tables[from].OnAck(f.Net.Now(), ack)) })
	}
}
