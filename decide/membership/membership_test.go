package membership_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
	"pgregory.net/rapid"
)

// settleTime is the time within which all processes know of a change: one round of
// pings over 26 processes, and gossip.
const settleTime = 8 * time.Second

func newFleet(t *rapid.T) (*simnet.MemberFleet, []rendezvous.Member) {
	members := simnet.Members(rapid.IntRange(5, 26).Draw(t, "hosts"), 4)
	f := simnet.NewMemberFleet(simnet.New(rapid.Uint64().Draw(t, "seed")), simnet.HostListOf(1, members))
	for _, m := range members {
		f.Start(m.ID)
	}
	f.Net.Run(time.Second)
	return f, members
}

func requireSuspects(t *rapid.T, f *simnet.MemberFleet, want ...string) {
	t.Helper()
	for id, table := range f.Tables {
		v := table.View()
		var got []string
		for suspect := range v.Suspect {
			got = append(got, suspect)
		}
		if slices.Sort(got); !slices.Equal(got, want) {
			t.Fatalf("%s suspects %v, want %v", id, got, want)
		}
	}
}

// Guards against dead members that are not suspected, live members that stay suspect
// after the faults end, and suspicion that changes the member set.
func TestOnlyDeadMembersStaySuspect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, members := newFleet(t)
		dead := members[0].ID
		f.Stop(dead)
		loss := rapid.IntRange(0, 10).Draw(t, "loss in 100")
		f.Net.Lose = func(_, _ string) bool { return f.Net.Rand.IntN(100) < loss }
		for range rapid.IntRange(0, 2*len(members)).Draw(t, "cut links") {
			f.Net.SetLinkCut(rapid.SampledFrom(members).Draw(t, "from").ID, rapid.SampledFrom(members).Draw(t, "to").ID, true)
		}
		f.Net.Pause(members[1].ID, time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause ms"))*time.Millisecond)
		f.Net.Run(settleTime)
		f.Net.Lose = func(_, _ string) bool { return false }
		f.Net.RestoreLinks()
		f.Net.Run(settleTime)
		requireSuspects(t, f, dead)
		f.HostList = func(string) membership.HostList { return simnet.HostListOf(2, members) }
		for id := range f.Tables {
			f.ReadHostList(id)
		}
		f.Start(dead)
		f.Net.Run(settleTime)
		requireSuspects(t, f)
		for id, table := range f.Tables {
			if got := table.View().Members; !slices.Equal(got, members) {
				t.Fatalf("%s has members %v, want those of the host list", id, got)
			}
		}
	})
}

// Guards against false suspicion: because one link is cut while indirect pings would
// work, or because a process was paused and missed the Acks.
func TestCutLinkOrPauseSuspectsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, members := newFleet(t)
		f.Net.SetLinkCut(members[0].ID, members[1].ID, rapid.Bool().Draw(t, "cut there"))
		f.Net.SetLinkCut(members[1].ID, members[0].ID, rapid.Bool().Draw(t, "cut back"))
		f.Net.Delay = func(_, _ string) time.Duration { return time.Duration(20+f.Net.Rand.IntN(20)) * time.Millisecond }
		paused := rapid.SampledFrom(members[:3]).Draw(t, "paused").ID
		f.OnAction = func(id string, a membership.Action) {
			if s, ok := a.(membership.MemberSuspected); ok && s.ID != paused {
				t.Fatalf("%s suspects %s", id, s.ID)
			}
		}
		for range 20 {
			f.Net.Pause(paused, time.Duration(f.Net.Rand.IntN(2000))*time.Millisecond)
			f.Net.Run(2500 * time.Millisecond)
		}
	})
}

// Guards against a leaving process that still gets new work, and a restarted one that
// is still regarded as leaving.
func TestLeavingIsKnownUntilRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, members := newFleet(t)
		leaver := members[0].ID
		f.Net.SetLinkCut(leaver, members[1].ID, true) // members[1] learns it from other processes
		f.Perform(leaver, f.Tables[leaver].Leave(f.Net.Now()))
		f.Net.Run(2 * time.Second)
		requireLeaving(t, f, leaver, true)
		f.Stop(leaver)
		f.Net.Run(time.Duration(rapid.IntRange(1, 5000).Draw(t, "down ms")) * time.Millisecond)
		f.Start(leaver)
		f.Net.RestoreLinks()
		f.Net.Run(settleTime)
		requireLeaving(t, f, leaver, false)
	})
}

func requireLeaving(t *rapid.T, f *simnet.MemberFleet, leaver string, want bool) {
	t.Helper()
	for id, table := range f.Tables {
		if got := table.View().Leaving[leaver]; got != want {
			t.Fatalf("%s: leaving is %v for %s, want %v", id, got, leaver, want)
		}
	}
}

// Guards against an outdated host list that arrives late and replaces a newer one.
func TestOutdatedHostListIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, members := newFleet(t)
		table := f.Tables[members[0].ID]
		newest := uint64(1)
		want := members
		for range rapid.IntRange(1, 10).Draw(t, "lists") {
			version := rapid.Uint64Range(1, 12).Draw(t, "version")
			list := simnet.HostListOf(version, members[:rapid.IntRange(1, len(members)).Draw(t, "hosts")])
			list.Hosts[0].Leaving = true
			table.OnHostList(f.Net.Now(), list)
			if version > newest {
				newest, want = version, members[1:len(list.Hosts)]
			}
			if v := table.View(); v.Version != newest || !slices.Equal(v.Members, want) {
				t.Fatalf("host list version %d with members %v, want %d with %v", v.Version, v.Members, newest, want)
			}
		}
	})
}

// Guards against a member that stays suspect although it just sent a message, a
// suspect that cannot refute the suspicion because nobody tells it, and an Ack to a
// ping for another process.
func TestDirectContactAndRefutation(t *testing.T) {
	now := time.Unix(1000, 0)
	var tables [2]*membership.Table
	members := simnet.Members(2, 1)
	for i := range tables {
		tables[i] = membership.New(membership.Options{Self: members[i].ID, Incarnation: 7, Rand: rand.New(rand.NewPCG(1, 1))})
		tables[i].OnHostList(now, simnet.HostListOf(1, members))
	}
	a, b := tables[0], tables[1]
	ping := membership.Ping{From: membership.MemberUpdate{ID: members[1].ID, Incarnation: 7}, Target: members[0].ID}
	a.OnPing(now, ping)
	for !a.View().Suspect[members[1].ID] {
		a.Tick(now)
		now = now.Add(50 * time.Millisecond)
	}
	ack, ok, _ := a.OnPing(now, ping)
	if !ok || a.View().Suspect[members[1].ID] {
		t.Fatalf("the sender of a ping is still suspect or got no Ack (answered: %v)", ok)
	}
	if r := ack.From; r.ID != members[0].ID || r.Incarnation != 7 {
		t.Fatalf("Ack is from %+v, want the pinged member with incarnation 7", r)
	}
	var last membership.Ping // sent when the update is no longer gossiped
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, action := range a.Tick(now) {
			if sent, isPing := action.(membership.SendPing); isPing {
				last = sent.Ping
			}
		}
	}
	if ack, _, _ := b.OnPing(now, last); ack.From.Incarnation <= 7 {
		t.Fatalf("the suspect did not refute: %+v", ack.From)
	}
	if _, ok, _ := b.OnPing(now, ping); ok {
		t.Fatal("answered a ping for another process")
	}
}
