// Package fleetsim simulates the lease and quota decisions of a whole fleet in
// virtual time, with one control loop per process. It models clocks that run at
// different rates, delayed, reordered and lost messages, one-way network cuts,
// pauses, crashes and replaced hosts. Property tests and the measurement cases use
// it. Runs are deterministic: the same configuration and calls give the same run.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Config configures a simulated fleet.
type Config struct {
	Seed  uint64
	Hosts []rendezvous.Member

	SameZoneLatency  time.Duration // one-way latency within a zone
	CrossZoneLatency time.Duration // one-way latency between zones
	Jitter           time.Duration // upper bound of the uniform random delay added to each message, which reorders messages
	LossRate         float64       // fraction of messages lost

	// MaxClockSlowdown is the largest fraction by which the clock of a process runs
	// slower than virtual time. No clock runs faster, so a span that a process measures
	// is never longer than the same span in virtual time.
	MaxClockSlowdown float64
	// MaxListDelay and MaxLimitDelay bound the time until a process learns of a changed
	// host list or limit.
	MaxListDelay  time.Duration
	MaxLimitDelay time.Duration
}

// suspicionDelay is the time from the start or end of a process until the others
// update their suspicions.
const suspicionDelay = time.Second

// Admission records one admitted request, which spent one token.
type Admission struct {
	At   time.Duration
	Team string
}

// TenureStart records that a host became leader of a shard.
type TenureStart struct {
	At          time.Duration
	Shard       uint32
	Host        string
	OtherLeader string // host of another process that led the shard at the same time, "" if none
}

// Fleet is a simulated fleet.
type Fleet struct {
	Admissions []Admission
	Tenures    []TenureStart

	cfg             Config
	rng             *rand.Rand
	now             time.Duration
	events          eventHeap
	eventSeq        int
	members         []rendezvous.Member
	processes       map[string]*process
	allProcesses    []*process // running or ended, in start order
	limits          map[string]quota.Limit
	cut             func(from, to rendezvous.Member) bool
	lastIncarnation uint64
	lastReplacement time.Duration // time of the latest replacement, 0 if none
}

// New starts all processes of a fleet at virtual time 0.
func New(cfg Config, limits map[string]quota.Limit) *Fleet {
	f := &Fleet{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		members:   append([]rendezvous.Member(nil), cfg.Hosts...),
		processes: make(map[string]*process),
		limits:    limits,
	}
	for _, m := range cfg.Hosts {
		f.start(m)
	}
	return f
}

// Members returns the current host list.
func (f *Fleet) Members() []rendezvous.Member { return f.members }

// At schedules fn at a virtual time, or now if that time has passed.
func (f *Fleet) At(at time.Duration, fn func()) {
	f.eventSeq++
	heap.Push(&f.events, event{at: max(at, f.now), seq: f.eventSeq, fn: fn})
}

// Run executes all events up to the given virtual time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.fn()
	}
	f.now = until
}

// Request sends a request of a team to a host and passes the quota decision to
// onDecision. If the host is down or crashes before the decision, onDecision is not
// called.
func (f *Fleet) Request(host, team string, onDecision func(quota.Decision)) {
	if p := f.processes[host]; p != nil {
		f.exec(p, func() { p.request(team, onDecision) })
	}
}

// Leader returns the host that leads a shard, "" if none does.
func (f *Fleet) Leader(shard uint32) string {
	for _, m := range f.members {
		if p := f.processes[m.ID]; p != nil && p.candidate.Holds(p.clock(), shard) {
			return m.ID
		}
	}
	return ""
}

// Crash ends a process without notice.
func (f *Fleet) Crash(host string) {
	if p := f.processes[host]; p != nil {
		p.dead = true
		delete(f.processes, host)
		f.updateSuspicions()
	}
}

// updateSuspicions tells all processes after suspicionDelay which hosts are down, as
// membership does when pings stay unanswered.
func (f *Fleet) updateSuspicions() {
	down := make(map[string]bool)
	for _, m := range f.members {
		if f.processes[m.ID] == nil {
			down[m.ID] = true
		}
	}
	for _, p := range f.allProcesses {
		f.After(suspicionDelay, p, func() { p.candidate.SetSuspected(down) })
	}
}

// Start starts a process on a listed host that runs none.
func (f *Fleet) Start(host string) {
	for _, m := range f.members {
		if m.ID == host && f.processes[host] == nil {
			f.start(m)
			f.updateSuspicions()
		}
	}
}

// Stop makes a process hand over its shards and ends it once it holds none, or
// after the given time at the latest.
func (f *Fleet) Stop(host string, within time.Duration) {
	if p := f.processes[host]; p != nil {
		p.stop(f.now + within)
	}
}

// Pause suspends a process for d. For each team it also simulates a traffic
// goroutine that read the clock just before the pause and uses that stale reading
// afterwards.
func (f *Fleet) Pause(host string, d time.Duration) {
	p := f.processes[host]
	if p == nil {
		return
	}
	p.pausedUntil = max(p.pausedUntil, f.now+d)
	f.exec(p, p.refreshLimits)
	stale := p.clock()
	for _, team := range p.teams {
		cache := p.holders.Get(team).TokenCache()
		f.exec(p, func() { p.takeWithStaleClock(team, cache, stale) })
	}
}

// Replace crashes the process of a host, replaces the host in the list by member
// and starts a process there. Other processes learn of it within MaxListDelay.
func (f *Fleet) Replace(old string, member rendezvous.Member) {
	f.Crash(old)
	members := []rendezvous.Member{}
	for _, m := range f.members {
		if m.ID != old {
			members = append(members, m)
		}
	}
	f.members = append(members, member)
	for _, p := range f.allProcesses {
		f.sendMembers(p, f.members)
	}
	f.start(member)
}

// SetLimit changes the limit of a team; processes apply it within MaxLimitDelay.
func (f *Fleet) SetLimit(team string, l quota.Limit) {
	f.limits[team] = l
	for _, p := range f.allProcesses {
		if !p.dead {
			f.After(f.delay(f.cfg.MaxLimitDelay), p, func() { p.setLimit(team, l) })
		}
	}
}

// CutLinks cuts the links for which cut returns true; nil restores all links.
func (f *Fleet) CutLinks(cut func(from, to rendezvous.Member) bool) { f.cut = cut }

// After schedules fn in a process after d. The call waits while the process is
// paused and is dropped if the process has ended.
func (f *Fleet) After(d time.Duration, p *process, fn func()) {
	f.At(f.now+d, func() { f.exec(p, fn) })
}

// exec runs fn in a process now, or when it resumes if it is paused.
func (f *Fleet) exec(p *process, fn func()) {
	switch {
	case p.dead:
	case f.now < p.pausedUntil:
		f.At(p.pausedUntil, func() { f.exec(p, fn) })
	default:
		fn()
	}
}

func (f *Fleet) sendMembers(p *process, members []rendezvous.Member) {
	if !p.dead {
		f.After(f.delay(f.cfg.MaxListDelay), p, func() { p.setMembers(members) })
	}
}

func (f *Fleet) delay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(limit)))
}

// send delivers a message to the process that runs on the host when it arrives. If
// the direct link is cut, the message is relayed by another host, as fleet.relay
// does.
func (f *Fleet) send(from *process, host string, deliver func(*process)) {
	to, ok := f.member(host)
	if !ok || f.rng.Float64() < f.cfg.LossRate {
		return
	}
	latency, ok := f.route(from.member, to)
	if !ok {
		return
	}
	f.At(f.now+latency, func() {
		if p := f.processes[host]; p != nil {
			f.exec(p, func() { deliver(p) })
		}
	})
}

// route returns the latency of the direct link or of the first usable relay out of
// three random hosts, and false if none is usable.
func (f *Fleet) route(from, to rendezvous.Member) (time.Duration, bool) {
	if !f.isCut(from, to) {
		return f.latency(from, to), true
	}
	for range 3 {
		relay := f.members[f.rng.IntN(len(f.members))]
		if f.processes[relay.ID] != nil && !f.isCut(from, relay) && !f.isCut(relay, to) {
			return f.latency(from, relay) + f.latency(relay, to), true
		}
	}
	return 0, false
}

func (f *Fleet) isCut(from, to rendezvous.Member) bool {
	return f.cut != nil && from.ID != to.ID && f.cut(from, to)
}

func (f *Fleet) latency(from, to rendezvous.Member) time.Duration {
	switch {
	case from.ID == to.ID:
		return 0
	case from.Zone == to.Zone:
		return f.cfg.SameZoneLatency + f.delay(f.cfg.Jitter)
	}
	return f.cfg.CrossZoneLatency + f.delay(f.cfg.Jitter)
}

func (f *Fleet) member(host string) (rendezvous.Member, bool) {
	for _, m := range f.members {
		if m.ID == host {
			return m, true
		}
	}
	return rendezvous.Member{}, false
}

// Hosts returns n members spread over the zones in turn.
func Hosts(n int, zones ...string) []rendezvous.Member {
	hosts := make([]rendezvous.Member, n)
	for i := range hosts {
		hosts[i] = rendezvous.Member{ID: fmt.Sprintf("host-%02d", i), Zone: zones[i%len(zones)]}
	}
	return hosts
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventHeap orders events by time, then by the order of scheduling.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
