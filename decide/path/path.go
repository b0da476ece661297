// Package path judges the network path from this process to each peer, apart
// from the health of the backend servers behind that peer. Evidence about a path
// never counts against a backend server. A suspect path is checked on a fresh
// connection before it is called broken.
package path

import (
	"sort"
	"time"
)

const (
	// ProgressTimeout is how long an open connection with a request on it may
	// stay without a byte before it is reported as silent. It leaves the 1 s in
	// which traffic is to be rerouted.
	ProgressTimeout = time.Second
	// ConnectionMaxAge bounds the harm of a connection that degrades unseen.
	ConnectionMaxAge = 5 * time.Minute
	// TCPUserTimeout is how long sent bytes may stay unacknowledged.
	TCPUserTimeout = 2 * time.Second
	// ProbeInterval is the time between probes of a broken path.
	ProbeInterval = time.Second
	// ProbeTimeout is when a probe counts as failed. A connection opens in about
	// 1 ms within a region; one lost SYN costs 1 s, so a probe does not wait for
	// the retransmission.
	ProbeTimeout = 500 * time.Millisecond
	// probeGap bounds the probes that slow requests on a good path cause.
	probeGap = 200 * time.Millisecond
	// flapWindow is how soon after a recovery a new break counts as flapping.
	flapWindow = 30 * time.Second
	// maxRecoverProbes bounds the successful probes that a flapping path needs
	// in a row, so that it returns within seconds of becoming stable.
	maxRecoverProbes = 8
)

// State is the judgement of one path. The zero value is Good.
type State uint8

// The states of a path.
const (
	Good    State = iota
	Suspect       // being checked on a fresh connection; other peers are preferred
	Broken        // not used for new work unless every path of the service is broken
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

// Event is what was seen on a path.
type Event uint8

// The events that traffic, probes and membership report.
const (
	ConnectFailed Event = iota // a new connection was refused or timed out
	Silent                     // no progress on an open connection for ProgressTimeout
	Reset                      // an open connection was reset
	Unheard                    // the peer says through others that it does not hear this process
	Progress                   // an answer arrived on a connection
	ProbeOK                    // a probe on a fresh connection was answered
	ProbeFailed                // a probe on a fresh connection failed
)

// Observation is one event on the path to a peer.
type Observation struct {
	Peer  string
	Event Event
	Conn  uint64 // the connection concerned; 0 when there is none
}

// ActionKind tells what the caller of the table has to do.
type ActionKind uint8

// The kinds of actions.
const (
	Probe   ActionKind = iota // open a fresh connection, ask the peer for a sign of life, report ProbeOK or ProbeFailed
	Retire                    // give connection Conn no new request; requests on it may end
	Changed                   // the state of the path is now State
)

// Action is one instruction to outbound workers or to the snapshot.
type Action struct {
	Kind  ActionKind
	Peer  string
	Conn  uint64 // for Retire
	State State  // for Changed
}

// Table holds the state of the paths to all peers. One goroutine owns it.
type Table struct {
	peers map[string]*peer
}

type peer struct {
	state       State
	probing     bool
	probeSent   time.Time
	nextProbe   time.Time // when a broken path is probed again
	recovered   time.Time // when the path last left Broken
	everBroken  bool
	needProbes  int // successful probes in a row needed to leave Broken
	gotProbes   int
	silentConns []uint64
}

// NewTable returns a table in which every path is good.
func NewTable() *Table {
	return &Table{peers: make(map[string]*peer)}
}

// State returns the state of the path to a peer; unknown peers are Good.
func (t *Table) State(id string) State {
	if p := t.peers[id]; p != nil {
		return p.state
	}
	return Good
}

// Forget drops what is known of a peer that has left the fleet.
func (t *Table) Forget(id string) {
	delete(t.peers, id)
}

// Observe takes in one event and returns what to do.
func (t *Table) Observe(now time.Time, o Observation) []Action {
	p := t.peer(o.Peer)
	switch o.Event {
	case Progress:
		return nil
	case ProbeOK:
		return p.probeOK(now, o.Peer)
	case ProbeFailed:
		return p.probeFailed(now, o.Peer)
	case Silent:
		p.addSilent(o.Conn)
	}
	return p.suspect(now, o.Peer)
}

// Tick fails overdue probes and probes broken paths again. Actions are in the
// order of the peers' identifiers.
func (t *Table) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range t.sortedIDs() {
		actions = append(actions, t.peers[id].tick(now, id)...)
	}
	return actions
}

// Next returns when Tick has to run next; false means that no timer is needed.
func (t *Table) Next() (time.Time, bool) {
	var next time.Time
	found := false
	for _, p := range t.peers {
		due, ok := p.due()
		if ok && (!found || due.Before(next)) {
			next, found = due, true
		}
	}
	return next, found
}

func (t *Table) peer(id string) *peer {
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
