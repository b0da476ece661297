// Package path tracks the state of the network path from this process to each
// peer, independently of the health of the backend servers behind that peer. Path
// failures never count against a backend server. A suspect path is probed on a new
// connection before it is marked broken.
package path

import (
	"sort"
	"time"
)

const (
	// ProgressTimeout is how long an open connection with a pending request may
	// receive no data before it is reported as stalled. It leaves the 1 s that is
	// allowed for rerouting traffic.
	ProgressTimeout = time.Second
	// MaxConnectionAge limits how long a degraded connection can stay in use
	// without being detected.
	MaxConnectionAge = 5 * time.Minute
	// TCPUserTimeout is how long sent data may remain unacknowledged.
	TCPUserTimeout = 2 * time.Second
	// ProbeInterval is the time between probes of a broken path.
	ProbeInterval = time.Second
	// ProbeTimeout is the time after which a probe has failed. Opening a
	// connection takes about 1 ms within a region. A lost SYN is retransmitted
	// after 1 s, and a probe does not wait for that.
	ProbeTimeout = 500 * time.Millisecond
	// minProbeGap is the minimum time between two probes of a path that is not
	// broken. It limits the probes that slow requests cause on a good path.
	minProbeGap = 200 * time.Millisecond
	// flapWindow is the time after a recovery within which another failure counts
	// as flapping.
	flapWindow = 30 * time.Second
	// maxRecoveryProbes limits the consecutive successful probes that a flapping
	// path needs, so that it returns within seconds of becoming stable.
	maxRecoveryProbes = 8
)

// State is the state of one path. The zero value is Good.
type State uint8

// The states of a path.
const (
	Good    State = iota
	Suspect       // being probed on a new connection; other peers are preferred
	Broken        // gets no new requests unless every path of the service is broken
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	switch s {
	case Good:
		return "good"
	case Suspect:
		return "suspect"
	default:
		return "broken"
	}
}

// Event is an observed event on a path.
type Event uint8

// The events that traffic, probes and membership report.
const (
	ConnectFailed    Event = iota // a new connection was refused or timed out
	ConnStalled                   // an open connection received no data for ProgressTimeout
	ConnReset                     // an open connection was reset
	OutboundLost                  // the peer reports through others that it receives nothing from this process
	ResponseReceived              // a response arrived on a connection
	ProbeSucceeded                // a probe on a new connection was answered
	ProbeFailed                   // a probe on a new connection failed
)

// Observation is one event on the path to a peer.
type Observation struct {
	Peer  string
	Event Event
	Conn  uint64 // the affected connection, 0 if there is none
}

// ActionKind is what the caller of the table has to do.
type ActionKind uint8

// The kinds of actions.
const (
	SendProbe    ActionKind = iota // probe the peer on a new connection and report ProbeSucceeded or ProbeFailed
	RetireConn                     // send no new requests on connection Conn; pending ones may finish
	StateChanged                   // the path has the new state State
)

// Action is one instruction to outbound workers or a state change to publish in
// the snapshot.
type Action struct {
	Kind  ActionKind
	Peer  string
	Conn  uint64 // for RetireConn
	State State  // for StateChanged
}

// Table holds the state of the paths to all peers. It is not safe for concurrent
// use.
type Table struct {
	peers map[string]*peer
}

// peer is the state of the path to one peer.
type peer struct {
	state             State
	probing           bool
	probeSentAt       time.Time
	nextProbeAt       time.Time // next probe of a broken path
	recoveredAt       time.Time // last time the path left Broken
	everBroken        bool
	requiredProbes    int // consecutive successful probes needed to leave Broken
	consecutiveProbes int // consecutive successful probes of a broken path
	stalledConns      []uint64
}

// NewTable returns a table in which every path is good.
func NewTable() *Table {
	return &Table{peers: make(map[string]*peer)}
}

// State returns the state of the path to a peer. It is Good for unknown peers.
func (t *Table) State(id string) State {
	if p := t.peers[id]; p != nil {
		return p.state
	}
	return Good
}

// Remove deletes the state of a peer that has left the fleet.
func (t *Table) Remove(id string) {
	delete(t.peers, id)
}

// Observe processes one event and returns the resulting actions.
func (t *Table) Observe(now time.Time, o Observation) []Action {
	p := t.ensurePeer(o.Peer)
	switch o.Event {
	case ResponseReceived:
		return nil
	case ProbeSucceeded:
		return p.handleProbeSuccess(now, o.Peer)
	case ProbeFailed:
		return p.handleProbeFailure(now, o.Peer)
	case ConnStalled:
		p.addStalledConn(o.Conn)
	}
	return p.startCheck(now, o.Peer)
}

// Tick fails overdue probes and starts due probes of broken paths. Actions are
// ordered by peer identifier.
func (t *Table) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range t.sortedIDs() {
		actions = append(actions, t.peers[id].tick(now, id)...)
	}
	return actions
}

// NextTick returns the time at which Tick must run next, or false if no timer is
// needed.
func (t *Table) NextTick() (time.Time, bool) {
	var next time.Time
	found := false
	for _, p := range t.peers {
		due, ok := p.nextTimer()
		if ok && (!found || due.Before(next)) {
			next, found = due, true
		}
	}
	return next, found
}

func (t *Table) ensurePeer(id string) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

func (t *Table) sortedIDs() []string {
	ids := make([]string, 0, len(t.peers))
	for id := range t.peers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
