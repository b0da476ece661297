package fleetsim

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Kind is a kind of fault.
type Kind int

// The kinds of faults.
const (
	Crash         Kind = iota // the process dies and starts again after For
	Stop                      // planned stop, start again after For
	Pause                     // the process stands still for For
	CutOut                    // messages from the host are lost for For
	CutIn                     // messages to the host are lost for For
	CutZoneOut                // messages from the host's zone to others are lost for For
	Replace                   // a new host takes the place of the host
	FalseAlarm                // every process suspects every other for For
	RestartOthers             // all processes but the host's die and start again after For
	kinds
)

// Kinds is the number of kinds of faults.
const Kinds = int(kinds)

// replaceGap keeps host lists in use at the same time within the assumption of
// package lease: it exceeds the sum of the longest ListDelay (2 s), pause (4 s)
// and Term (2 s).
const replaceGap = 9 * time.Second

// Fault is one fault. It hits the process that keeps Shard at the moment if
// AtKeeper is set and there is one, else the host with the index Host in the host
// list of the moment.
type Fault struct {
	Kind     Kind
	At       time.Duration
	Host     int
	AtKeeper bool
	Shard    uint32
	For      time.Duration
}

// Schedule brings about faults. A replacement that would leave the stated
// assumption on host lists is not made.
func (f *Fleet) Schedule(faults []Fault) {
	for _, fault := range faults {
		f.At(fault.At, func() { f.bringAbout(fault) })
	}
}

func (f *Fleet) bringAbout(fault Fault) {
	m := f.target(fault)
	switch fault.Kind {
	case Crash:
		f.Crash(m.ID)
		f.At(f.now+fault.For, func() { f.Start(m.ID) })
	case Stop:
		f.Stop(m.ID, 3*time.Second)
		f.At(f.now+3*time.Second+fault.For, func() { f.Start(m.ID) })
	case Pause:
		f.Pause(m.ID, fault.For)
	case CutOut:
		f.cutFor(fault.For, func(from, _ rendezvous.Member) bool { return from.ID == m.ID })
	case CutIn:
		f.cutFor(fault.For, func(_, to rendezvous.Member) bool { return to.ID == m.ID })
	case CutZoneOut:
		f.cutFor(fault.For, func(from, to rendezvous.Member) bool {
			return from.Zone == m.Zone && to.Zone != m.Zone
		})
	case Replace:
		f.replaceWithin(m)
	case FalseAlarm:
		f.falseAlarm(fault.For)
	case RestartOthers:
		f.restartOthers(m.ID, fault.For)
	}
}

func (f *Fleet) target(fault Fault) rendezvous.Member {
	if fault.AtKeeper {
		if m, ok := f.member(f.Keeper(fault.Shard)); ok {
			return m
		}
	}
	return f.members[fault.Host%len(f.members)]
}

// restartOthers leaves one process with promises that the others forget.
func (f *Fleet) restartOthers(host string, d time.Duration) {
	for _, m := range f.members {
		if m.ID != host {
			f.Crash(m.ID)
			f.At(f.now+d, func() { f.Start(m.ID) })
		}
	}
}

func (f *Fleet) cutFor(d time.Duration, cut func(from, to rendezvous.Member) bool) {
	before := f.cut
	f.cut = func(from, to rendezvous.Member) bool {
		return cut(from, to) || before != nil && before(from, to)
	}
	f.At(f.now+d, func() { f.cut = nil })
}

// falseAlarm makes all candidates compete at once, since each takes itself for
// the only one alive.
func (f *Fleet) falseAlarm(d time.Duration) {
	for _, p := range f.all {
		others := make(map[string]bool)
		for _, m := range f.members {
			others[m.ID] = m.ID != p.member.ID
		}
		p.candidate.SetSuspected(others)
	}
	f.At(f.now+d, f.suspect)
}

func (f *Fleet) replaceWithin(old rendezvous.Member) {
	if f.replaced > 0 && f.now-f.replaced < replaceGap {
		return
	}
	next := rendezvous.Member{ID: fmt.Sprintf("new-%d", f.runs), Zone: old.Zone}
	changed := []rendezvous.Member{next}
	for _, m := range f.members {
		if m.ID != old.ID {
			changed = append(changed, m)
		}
	}
	if !quorumsIntersect(f.members, changed) {
		return
	}
	f.replaced = f.now
	f.Replace(old.ID, next)
}

// quorumsIntersect tells whether the lists satisfy the assumption for each
// shard: quorums of both together exceed the witnesses of both together.
func quorumsIntersect(a, b []rendezvous.Member) bool {
	before, after := lease.NewPlacement(a), lease.NewPlacement(b)
	for shard := range uint32(rendezvous.ShardCount) {
		union := make(map[string]bool)
		for _, m := range before.Voters(shard) {
			union[m.ID] = true
		}
		for _, m := range after.Voters(shard) {
			union[m.ID] = true
		}
		quorums := lease.Quorum(len(before.Voters(shard))) + lease.Quorum(len(after.Voters(shard)))
		if quorums <= len(union) {
			return false
		}
	}
	return true
}
