// Package membership decides who is in the fleet. It merges the platform's host
// list, which lags, with direct evidence in the manner of SWIM (Das, Gupta and
// Motivala, 2002): pings to random peers, indirect pings before suspicion, and
// refutation by a higher incarnation.
//
// The member set for rendezvous comes from the host list alone. Suspicion changes
// only the order in which members are tried, so that a false alarm moves no keeper.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Intervals and bounds.
const (
	// PingInterval is the time between pings to random peers.
	PingInterval = 250 * time.Millisecond
	// AckTimeout is how long an Ack may take before other peers are asked to ping.
	// It is above the round trip between regions.
	AckTimeout = 300 * time.Millisecond
	// IndirectTimeout is how long an Ack through another peer may take after that.
	IndirectTimeout = 2 * AckTimeout
	// LateAfter is the lateness of Tick from which the process takes itself for
	// paused and blames nobody for missing Acks.
	LateAfter = 100 * time.Millisecond
	// IndirectPeers is the number of peers asked for an indirect ping.
	IndirectPeers = 3
	// MaxRumours bounds the rumours in one message, about 300 bytes.
	MaxRumours = 6
	// RumourFactor times the logarithm of the fleet's size is how often a rumour is
	// sent; with 3 it misses a member once in n^2 fleets of n.
	RumourFactor = 3
	// maxRelays bounds the indirect pings that wait for an Ack.
	maxRelays = 64
)

// Options configure a Table.
type Options struct {
	Self        string
	Incarnation uint64     // larger than in earlier lives of the process, such as its start in Unix ms
	Rand        *rand.Rand // source of random choices; required
}

// View is what other decisions use.
type View struct {
	Version uint64              // of the host list
	Members []rendezvous.Member // host list without the hosts that it says are leaving, sorted by ID
	Suspect map[string]bool     // members to try last
	Leaving map[string]bool     // members that get no new work, by the host list or by their own word
}

// Table holds what one process knows of the others.
type Table struct {
	opt     Options
	self    Rumour
	version uint64
	members []rendezvous.Member
	peers   map[string]*peer
	order   []string // peers in the order in which they are pinged
	turn    int

	seq      uint64
	nextPing time.Time
	probes   map[uint64]*probe
	relays   map[uint64]relay
	rumours  map[string]*outgoing
}

type peer struct {
	Rumour
	listLeaving bool
}

// probe is a ping that waits for its Ack.
type probe struct {
	target   string
	deadline time.Time
	indirect bool
}

// relay is a ping on behalf of another process.
type relay struct {
	origin string
	seq    uint64
	sent   time.Time
}

// outgoing is a rumour that is still passed on.
type outgoing struct {
	rumour Rumour
	sends  int // messages that are to carry it yet
}

// New returns a Table that knows nobody.
func New(o Options) *Table {
	return &Table{
		opt:  o,
		self: Rumour{ID: o.Self, Incarnation: o.Incarnation},
		// A random start keeps Acks for an earlier life of the process from
		// matching pings of this one.
		seq:     uint64(o.Rand.Uint32()) << 16,
		peers:   make(map[string]*peer),
		probes:  make(map[uint64]*probe),
		relays:  make(map[uint64]relay),
		rumours: make(map[string]*outgoing),
	}
}

// OnHostList takes a host list of the platform. Peers that it lacks are forgotten.
func (t *Table) OnHostList(_ time.Time, l HostList) []Action {
	if l.Version <= t.version {
		return nil
	}
	t.version = l.Version
	known := t.peers
	t.peers = make(map[string]*peer, len(l.Hosts))
	var members []rendezvous.Member
	for _, h := range l.Hosts {
		if !h.Leaving {
			members = append(members, rendezvous.Member{ID: h.ID, Zone: h.Zone})
		}
		if h.ID != t.opt.Self {
			t.peers[h.ID] = keep(known[h.ID], h)
		}
	}
	t.forget()
	t.reorder()
	slices.SortFunc(members, func(a, b rendezvous.Member) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(members, t.members) {
		return nil
	}
	t.members = members
	return []Action{Changed{Version: l.Version}}
}

func keep(p *peer, h Host) *peer {
	if p == nil {
		p = &peer{Rumour: Rumour{ID: h.ID}}
	}
	p.listLeaving = h.Leaving
	return p
}

func (t *Table) forget() {
	for id := range t.rumours {
		if t.peers[id] == nil {
			delete(t.rumours, id)
		}
	}
	for seq, p := range t.probes {
		if t.peers[p.target] == nil {
			delete(t.probes, seq)
		}
	}
}

func (t *Table) reorder() {
	t.order = make([]string, 0, len(t.peers))
	for id := range t.peers {
		t.order = append(t.order, id)
	}
	slices.Sort(t.order)
	t.opt.Rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	t.turn = 0
}

// Tick returns what is due.
func (t *Table) Tick(now time.Time) []Action {
	if due := t.Next(); !due.IsZero() && now.Sub(due) > LateAfter {
		t.excuse()
	}
	actions := t.judge(now)
	if now.Before(t.nextPing) {
		return actions
	}
	t.nextPing = now.Add(PingInterval)
	if target, ok := t.nextTarget(); ok {
		actions = append(actions, t.ping(now, target))
	}
	return actions
}

// excuse drops the pings that wait. The Acks may have come while this process did
// not run.
func (t *Table) excuse() {
	clear(t.probes)
	clear(t.relays)
}

// Next returns the time at which Tick is to be called next.
func (t *Table) Next() time.Time {
	next := t.nextPing
	for _, p := range t.probes {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	return next
}

func (t *Table) nextTarget() (string, bool) {
	if t.turn >= len(t.order) {
		t.reorder()
	}
	if len(t.order) == 0 {
		return "", false
	}
	t.turn++
	return t.order[t.turn-1], true
}

func (t *Table) ping(now time.Time, target string) Action {
	t.seq++
	t.probes[t.seq] = &probe{target: target, deadline: now.Add(AckTimeout)}
	return SendPing{To: target, Ping: t.newPing(t.seq, target)}
}

// newPing returns a ping that tells a suspect of the suspicion, so that it can
// refute it.
func (t *Table) newPing(seq uint64, target string) Ping {
	p := Ping{Seq: seq, From: t.self, Target: target, Rumours: t.gossip()}
	if about := t.peers[target]; about != nil && about.State == Suspect {
		p.Rumours = append(p.Rumours, about.Rumour)
	}
	return p
}

// judge handles the pings whose Ack is overdue, in the order of sending.
func (t *Table) judge(now time.Time) []Action {
	var overdue []uint64
	for seq, p := range t.probes {
		if !now.Before(p.deadline) {
			overdue = append(overdue, seq)
		}
	}
	slices.Sort(overdue)
	var actions []Action
	for _, seq := range overdue {
		actions = append(actions, t.escalate(now, seq, t.probes[seq])...)
	}
	return actions
}

// escalate asks other peers after AckTimeout and suspects the target when they get
// no Ack either.
func (t *Table) escalate(now time.Time, seq uint64, p *probe) []Action {
	if !p.indirect {
		p.indirect = true
		p.deadline = now.Add(IndirectTimeout)
		if via := t.others(p.target); len(via) > 0 {
			return []Action{SendPingVia{Via: via, PingVia: PingVia{Seq: seq, From: t.opt.Self, Target: p.target}}}
		}
		return nil
	}
	delete(t.probes, seq)
	accused := t.peers[p.target].Rumour
	accused.State = Suspect
	return t.learn(accused)
}

// others picks random peers, besides the target, that are not suspect themselves.
func (t *Table) others(target string) []string {
	var able []string
	for _, id := range t.order {
		if id != target && t.peers[id].State == Alive {
			able = append(able, id)
		}
	}
	t.opt.Rand.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	return able[:min(IndirectPeers, len(able))]
}

// Leave announces to all peers that this process leaves.
func (t *Table) Leave(_ time.Time) []Action {
	t.self.Leaving = true
	to := slices.Clone(t.order)
	slices.Sort(to)
	return []Action{SendLeaving{To: to, Leaving: Leaving{From: t.self}}}
}

// View returns a copy of what is known.
func (t *Table) View() View {
	v := View{
		Version: t.version,
		Members: slices.Clone(t.members),
		Suspect: make(map[string]bool),
		Leaving: make(map[string]bool),
	}
	for id, p := range t.peers {
		if p.State == Suspect {
			v.Suspect[id] = true
		}
		if p.Leaving || p.listLeaving {
			v.Leaving[id] = true
		}
	}
	if t.self.Leaving {
		v.Leaving[t.opt.Self] = true
	}
	return v
}
