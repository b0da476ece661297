package fleetsim

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// FaultKind selects the fault that is injected.
type FaultKind int

// The kinds of faults.
const (
	Crash           FaultKind = iota // the process crashes and restarts after Duration
	Stop                             // planned stop, restart after Duration
	Pause                            // the process is paused for Duration
	CutOutgoing                      // messages from the host are lost for Duration
	CutIncoming                      // messages to the host are lost for Duration
	CutZoneOutgoing                  // messages from the host's zone to other zones are lost for Duration
	ReplaceHost                      // a new host replaces the host in the list
	FalseSuspicion                   // every process suspects all others for Duration
	RestartOthers                    // all processes except the host's crash and restart after Duration
	faultKindCount
)

// FaultKindCount is the number of fault kinds.
const FaultKindCount = int(faultKindCount)

// minReplaceInterval is the least time between two host replacements. It exceeds
// the sum of the longest MaxListDelay (2 s), pause (4 s) and lease.PromiseTerm (2 s), so
// that host lists in use at the same time satisfy the assumption of package lease.
const minReplaceInterval = 9 * time.Second

// Fault is one fault to inject. If AtLeader is set and Shard has a leader at that
// time, the fault hits the leader's process; otherwise it hits the host with index
// Host in the current host list, modulo its length.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Host     int
	AtLeader bool
	Shard    uint32
	Duration time.Duration
}

// ScheduleFaults schedules the injection of faults. Replacements that would violate the
// assumption of package lease on host lists are skipped.
func (f *Fleet) ScheduleFaults(faults []Fault) {
	for _, fault := range faults {
		f.At(fault.At, func() { f.inject(fault) })
	}
}

func (f *Fleet) inject(fault Fault) {
	m := f.targetOf(fault)
	switch fault.Kind {
	case Crash:
		f.Crash(m.ID)
		f.At(f.now+fault.Duration, func() { f.Start(m.ID) })
	case Stop:
		f.Stop(m.ID, 3*time.Second)
		f.At(f.now+3*time.Second+fault.Duration, func() { f.Start(m.ID) })
	case Pause:
		f.Pause(m.ID, fault.Duration)
	case CutOutgoing:
		f.cutLinksFor(fault.Duration, func(from, _ rendezvous.Member) bool { return from.ID == m.ID })
	case CutIncoming:
		f.cutLinksFor(fault.Duration, func(_, to rendezvous.Member) bool { return to.ID == m.ID })
	case CutZoneOutgoing:
		f.cutLinksFor(fault.Duration, func(from, to rendezvous.Member) bool {
			return from.Zone == m.Zone && to.Zone != m.Zone
		})
	case ReplaceHost:
		f.replaceIfSafe(m)
	case FalseSuspicion:
		f.suspectAllOthers(fault.Duration)
	case RestartOthers:
		f.restartOthers(m.ID, fault.Duration)
	}
}

func (f *Fleet) targetOf(fault Fault) rendezvous.Member {
	if fault.AtLeader {
		if m, ok := f.member(f.Leader(fault.Shard)); ok {
			return m
		}
	}
	return f.members[fault.Host%len(f.members)]
}

// restartOthers crashes and restarts all other processes, so that only the given
// host still remembers the promises that were made.
func (f *Fleet) restartOthers(host string, d time.Duration) {
	for _, m := range f.members {
		if m.ID != host {
			f.Crash(m.ID)
			f.At(f.now+d, func() { f.Start(m.ID) })
		}
	}
}

func (f *Fleet) cutLinksFor(d time.Duration, cut func(from, to rendezvous.Member) bool) {
	before := f.cut
	f.cut = func(from, to rendezvous.Member) bool {
		return cut(from, to) || before != nil && before(from, to)
	}
	f.At(f.now+d, func() { f.cut = nil })
}

// suspectAllOthers makes every process suspect all others, so that all candidates
// compete for the same shards at once.
func (f *Fleet) suspectAllOthers(d time.Duration) {
	for _, p := range f.allProcesses {
		others := make(map[string]bool)
		for _, m := range f.members {
			others[m.ID] = m.ID != p.member.ID
		}
		p.candidate.SetSuspected(others)
	}
	f.At(f.now+d, f.updateSuspicions)
}

func (f *Fleet) replaceIfSafe(old rendezvous.Member) {
	if f.lastReplacement > 0 && f.now-f.lastReplacement < minReplaceInterval {
		return
	}
	next := rendezvous.Member{ID: fmt.Sprintf("new-%d", f.lastIncarnation), Zone: old.Zone}
	changed := []rendezvous.Member{next}
	for _, m := range f.members {
		if m.ID != old.ID {
			changed = append(changed, m)
		}
	}
	if !quorumsIntersect(f.members, changed) {
		return
	}
	f.lastReplacement = f.now
	f.Replace(old.ID, next)
}

// quorumsIntersect reports whether every quorum under list a intersects every
// quorum under list b for each shard: the sizes of the two quorums together exceed
// the number of distinct voters.
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
