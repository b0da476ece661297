// Package fleetsim runs the lease and quota decisions of a whole fleet in
// virtual time, with one control loop for each process, unlike clocks, delayed,
// reordered and lost messages, one-way cuts, pauses, crashes and replaced hosts.
// Property tests and the measurement cases use it. The same configuration and
// calls give the same run.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Config describes a fleet.
type Config struct {
	Seed  uint64
	Hosts []rendezvous.Member

	SameZone  time.Duration // one-way latency within a zone
	OtherZone time.Duration // one-way latency between zones
	Jitter    time.Duration // added to each message, uniform; reorders messages
	Loss      float64       // share of messages lost

	// ClockSpread makes the clocks of processes run slower than virtual time by
	// up to this share. No clock runs faster, so windows measured in virtual
	// time are the longest.
	ClockSpread float64
	// ListDelay and LimitDelay bound the time until a process learns of a changed
	// host list or limit.
	ListDelay  time.Duration
	LimitDelay time.Duration
}

// suspectAfter is the time from the end of a process to its suspicion.
const suspectAfter = time.Second

// Admission is one token spent.
type Admission struct {
	At   time.Duration
	Team string
}

// TenureStart is the start of a tenure of a shard.
type TenureStart struct {
	At    time.Duration
	Shard uint32
	Host  string
	Rival string // another process that held the shard at this moment, "" if none
}

// Fleet is a simulated fleet.
type Fleet struct {
	Admissions []Admission
	Tenures    []TenureStart

	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	eventSeq  int
	members   []rendezvous.Member
	processes map[string]*process
	all       []*process // in the order of their start, live or not
	limits    map[string]quota.Limit
	cut       func(from, to rendezvous.Member) bool
	runs      uint64
	replaced  time.Duration // time of the latest replacement, 0 if none
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

// Members returns the present host list.
func (f *Fleet) Members() []rendezvous.Member { return f.members }

// At schedules a call.
func (f *Fleet) At(at time.Duration, fn func()) {
	f.eventSeq++
	heap.Push(&f.events, event{at: max(at, f.now), seq: f.eventSeq, fn: fn})
}

// Run executes all events up to a moment.
func (f *Fleet) Run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.fn()
	}
	f.now = until
}

// Ask sends a request for a token to a host and passes on the decision. A request
// to a host that is down or crashes meanwhile gets none.
func (f *Fleet) Ask(host, team string, settled func(quota.Decision)) {
	if p := f.processes[host]; p != nil {
		f.exec(p, func() { p.request(team, settled) })
	}
}

// Keeper returns the host that keeps a shard, "" if none does.
func (f *Fleet) Keeper(shard uint32) string {
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
		f.suspect()
	}
}

// suspect tells all processes which hosts are down, as membership does after its
// pings were not answered.
func (f *Fleet) suspect() {
	down := make(map[string]bool)
	for _, m := range f.members {
		if f.processes[m.ID] == nil {
			down[m.ID] = true
		}
	}
	for _, p := range f.all {
		f.After(suspectAfter, p, func() { p.candidate.SetSuspected(down) })
	}
}

// Start starts a process on a host of the list that has none.
func (f *Fleet) Start(host string) {
	for _, m := range f.members {
		if m.ID == host && f.processes[host] == nil {
			f.start(m)
			f.suspect()
		}
	}
}

// Stop ends a process after it has handed over what it keeps, or after the given
// time.
func (f *Fleet) Stop(host string, within time.Duration) {
	if p := f.processes[host]; p != nil {
		p.stop(f.now + within)
	}
}

// Pause stops a process for a time. For each team one traffic goroutine has
// just read the clock and goes on with that reading afterwards.
func (f *Fleet) Pause(host string, d time.Duration) {
	p := f.processes[host]
	if p == nil {
		return
	}
	p.pausedUntil = max(p.pausedUntil, f.now+d)
	f.exec(p, p.refreshLimits)
	stale := p.clock()
	for _, team := range p.teams {
		share := p.holders.Get(team).TokenCache()
		f.exec(p, func() { p.takeLate(team, share, stale) })
	}
}

// Replace takes a host out of the list, crashes its process and starts the new
// host with another process. Other processes learn of it within ListDelay.
func (f *Fleet) Replace(old string, member rendezvous.Member) {
	f.Crash(old)
	members := []rendezvous.Member{}
	for _, m := range f.members {
		if m.ID != old {
			members = append(members, m)
		}
	}
	f.members = append(members, member)
	for _, p := range f.all {
		f.tellMembers(p, f.members)
	}
	f.start(member)
}

// SetLimit accepts a limit; processes apply it within LimitDelay.
func (f *Fleet) SetLimit(team string, l quota.Limit) {
	f.limits[team] = l
	for _, p := range f.all {
		if !p.dead {
			f.After(f.delay(f.cfg.LimitDelay), p, func() { p.setLimit(team, l) })
		}
	}
}

// Cut drops messages for which the function is true; nil ends the cut.
func (f *Fleet) Cut(cut func(from, to rendezvous.Member) bool) { f.cut = cut }

// After schedules a call in a process. It waits while the process is paused and
// is dropped when the process has ended.
func (f *Fleet) After(d time.Duration, p *process, fn func()) {
	f.At(f.now+d, func() { f.exec(p, fn) })
}

func (f *Fleet) exec(p *process, fn func()) {
	switch {
	case p.dead:
	case f.now < p.pausedUntil:
		f.At(p.pausedUntil, func() { f.exec(p, fn) })
	default:
		fn()
	}
}

func (f *Fleet) tellMembers(p *process, members []rendezvous.Member) {
	if !p.dead {
		f.After(f.delay(f.cfg.ListDelay), p, func() { p.setMembers(members) })
	}
}

func (f *Fleet) delay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(limit)))
}

// send delivers a message to the process that then runs on the host. A message
// on a cut path goes through another host, as fleet.relay does.
func (f *Fleet) send(from *process, host string, deliver func(*process)) {
	to, ok := f.member(host)
	if !ok || f.rng.Float64() < f.cfg.Loss {
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
		return f.cfg.SameZone + f.delay(f.cfg.Jitter)
	}
	return f.cfg.OtherZone + f.delay(f.cfg.Jitter)
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
