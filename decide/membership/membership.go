// Package membership tracks the members of the fleet. It combines the platform's host
// list, which lags, with failure detection in the manner of SWIM (Das, Gupta and
// Motivala, 2002): pings to random peers, indirect pings before suspicion, and
// refutation by a higher incarnation.
//
// The members for rendezvous hashing come from the host list alone. Suspicion changes
// only the order in which members are tried, so that a false suspicion does not
// reassign the shards of a member.
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
	// AckTimeout is how long a direct Ack may take before indirect pings are
	// requested. It is longer than the round trip between regions.
	AckTimeout = 300 * time.Millisecond
	// IndirectTimeout is how long an Ack may take after that, before the target is
	// suspected.
	IndirectTimeout = 2 * AckTimeout
	// PauseThreshold is how late Tick may be called. If it is later, the process
	// assumes that it was paused and suspects nobody for missing Acks.
	PauseThreshold = 100 * time.Millisecond
	// IndirectPeers is the number of peers that are asked for an indirect ping.
	IndirectPeers = 3
	// MaxUpdatesPerMessage limits the updates in one message, to about 300 bytes.
	MaxUpdatesPerMessage = 6
	// RetransmitFactor times the logarithm of the fleet's size is how often a process
	// sends an update. With 3, an update misses a member in one of n^2 fleets of size
	// n.
	RetransmitFactor = 3
	// maxPendingRelays limits the pings on behalf of other processes that await an Ack.
	maxPendingRelays = 64
)

// Options configure a Table.
type Options struct {
	Self        string
	Incarnation uint64     // must increase with each restart, such as the start time in Unix ms
	Rand        *rand.Rand // source of random choices; required
}

// View is a copy of the members and their states, for use outside the package.
type View struct {
	Version uint64              // of the host list
	Members []rendezvous.Member // hosts of the host list that it does not mark as leaving, sorted by ID
	Suspect map[string]bool     // members to try last, by ID
	Leaving map[string]bool     // members that get no new work, by the host list or their own announcement
}

// Table holds what one process knows about the other members.
type Table struct {
	opt         Options
	self        MemberUpdate
	version     uint64
	members     []rendezvous.Member
	peers       map[string]*peer
	pingOrder   []string // peers in the order in which they are pinged
	nextInOrder int

	seq            uint64
	nextPing       time.Time
	probes         map[uint64]*probe
	relays         map[uint64]relay
	pendingUpdates map[string]*pendingUpdate
}

type peer struct {
	MemberUpdate
	leavingInHostList bool
}

// probe is a ping of this process that awaits its Ack.
type probe struct {
	target   string
	deadline time.Time
	indirect bool
}

// relay is a ping on behalf of another process that awaits its Ack.
type relay struct {
	origin string
	seq    uint64
	sent   time.Time
}

// pendingUpdate is an update that is still gossiped.
type pendingUpdate struct {
	update         MemberUpdate
	remainingSends int // number of messages that have yet to carry it
}

// New returns a Table without members.
func New(o Options) *Table {
	return &Table{
		opt:  o,
		self: MemberUpdate{ID: o.Self, Incarnation: o.Incarnation},
		// The random start keeps Acks to pings from before a restart from matching
		// new pings.
		seq:            uint64(o.Rand.Uint32()) << 16,
		peers:          make(map[string]*peer),
		probes:         make(map[uint64]*probe),
		relays:         make(map[uint64]relay),
		pendingUpdates: make(map[string]*pendingUpdate),
	}
}

// OnHostList applies a host list of the platform and drops peers that are not on it.
// Lists that are not newer than the last one are ignored.
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
			t.peers[h.ID] = updatePeer(known[h.ID], h)
		}
	}
	t.dropRemovedPeers()
	t.shufflePingOrder()
	slices.SortFunc(members, func(a, b rendezvous.Member) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(members, t.members) {
		return nil
	}
	t.members = members
	return []Action{MembersChanged{Version: l.Version}}
}

// updatePeer returns the peer of a host on the list, which it creates if p is nil.
func updatePeer(p *peer, h Host) *peer {
	if p == nil {
		p = &peer{MemberUpdate: MemberUpdate{ID: h.ID}}
	}
	p.leavingInHostList = h.Leaving
	return p
}

// dropRemovedPeers drops the updates and pings of peers that are not on the host list.
func (t *Table) dropRemovedPeers() {
	for id := range t.pendingUpdates {
		if t.peers[id] == nil {
			delete(t.pendingUpdates, id)
		}
	}
	for seq, p := range t.probes {
		if t.peers[p.target] == nil {
			delete(t.probes, seq)
		}
	}
}

// shufflePingOrder starts a new round of pings over all peers in random order.
func (t *Table) shufflePingOrder() {
	t.pingOrder = make([]string, 0, len(t.peers))
	for id := range t.peers {
		t.pingOrder = append(t.pingOrder, id)
	}
	slices.Sort(t.pingOrder)
	t.opt.Rand.Shuffle(len(t.pingOrder), func(i, j int) { t.pingOrder[i], t.pingOrder[j] = t.pingOrder[j], t.pingOrder[i] })
	t.nextInOrder = 0
}

// Tick handles overdue Acks, pings the next peer if it is time to and returns the
// resulting actions.
func (t *Table) Tick(now time.Time) []Action {
	if due := t.Next(); !due.IsZero() && now.Sub(due) > PauseThreshold {
		t.dropPendingPings()
	}
	actions := t.handleOverduePings(now)
	if now.Before(t.nextPing) {
		return actions
	}
	t.nextPing = now.Add(PingInterval)
	if target, ok := t.nextTarget(); ok {
		actions = append(actions, t.ping(now, target))
	}
	return actions
}

// dropPendingPings forgets the pings that await an Ack. The Acks may have arrived
// while this process was paused.
func (t *Table) dropPendingPings() {
	clear(t.probes)
	clear(t.relays)
}

// Next returns when to call Tick next.
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
	if t.nextInOrder >= len(t.pingOrder) {
		t.shufflePingOrder()
	}
	if len(t.pingOrder) == 0 {
		return "", false
	}
	t.nextInOrder++
	return t.pingOrder[t.nextInOrder-1], true
}

func (t *Table) ping(now time.Time, target string) Action {
	t.seq++
	t.probes[t.seq] = &probe{target: target, deadline: now.Add(AckTimeout)}
	return SendPing{To: target, Ping: t.newPing(t.seq, target)}
}

// newPing returns a ping to target. If the target is suspect, the ping tells it so,
// so that it can refute the suspicion.
func (t *Table) newPing(seq uint64, target string) Ping {
	p := Ping{Seq: seq, From: t.self, Target: target, Updates: t.takeUpdates()}
	if about := t.peers[target]; about != nil && about.State == Suspect {
		p.Updates = append(p.Updates, about.MemberUpdate)
	}
	return p
}

// handleOverduePings escalates the pings whose Ack is overdue, in the order of sending.
func (t *Table) handleOverduePings(now time.Time) []Action {
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

// escalate requests indirect pings after AckTimeout and marks the target as suspect
// if they bring no Ack either.
func (t *Table) escalate(now time.Time, seq uint64, p *probe) []Action {
	if !p.indirect {
		p.indirect = true
		p.deadline = now.Add(IndirectTimeout)
		if via := t.pickIndirectPeers(p.target); len(via) > 0 {
			return []Action{SendPingVia{Via: via, PingVia: PingVia{Seq: seq, From: t.opt.Self, Target: p.target}}}
		}
		return nil
	}
	delete(t.probes, seq)
	suspect := t.peers[p.target].MemberUpdate
	suspect.State = Suspect
	return t.applyUpdate(suspect)
}

// pickIndirectPeers returns random peers other than the target that are not suspect.
func (t *Table) pickIndirectPeers(target string) []string {
	var candidates []string
	for _, id := range t.pingOrder {
		if id != target && t.peers[id].State == Alive {
			candidates = append(candidates, id)
		}
	}
	t.opt.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(IndirectPeers, len(candidates))]
}

// Leave announces to all peers that this process is leaving.
func (t *Table) Leave(_ time.Time) []Action {
	t.self.Leaving = true
	to := slices.Clone(t.pingOrder)
	slices.Sort(to)
	return []Action{SendLeaving{To: to, Leaving: Leaving{From: t.self}}}
}

// View returns a copy of the current state.
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
		if p.Leaving || p.leavingInHostList {
			v.Leaving[id] = true
		}
	}
	if t.self.Leaving {
		v.Leaving[t.opt.Self] = true
	}
	return v
}
