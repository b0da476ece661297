package path

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// network runs a Table in steps of 10 ms against a simulated path to one peer.
type network struct {
	table    *Table
	now      time.Time
	works    func(now time.Time) bool
	probes   int
	retired  []uint64
	brokenAt time.Time
}

func newNetwork(works func(now time.Time) bool) *network {
	return &network{table: NewTable(), now: start, works: works}
}

func (n *network) apply(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch {
		case a.Kind == SendProbe && n.works(n.now):
			n.probes++
			actions = append(actions, n.table.Observe(n.now, Observation{Peer: a.Peer, Event: ProbeSucceeded})...)
		case a.Kind == SendProbe:
			n.probes++ // no answer: Tick has to detect the timeout
		case a.Kind == RetireConn:
			n.retired = append(n.retired, a.Conn)
		case a.State == Broken:
			n.brokenAt = n.now
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
		n.apply(n.table.Tick(n.now))
	}
}

func (n *network) observe(e Event, conn uint64) {
	n.apply(n.table.Observe(n.now, Observation{Peer: "p", Event: e, Conn: conn}))
}

func always(time.Time) bool { return true }

func never(time.Time) bool { return false }

// Guards against a path that is marked bad because of one slow request, and against
// new requests on a connection that has stalled permanently.
func TestStalledConnectionOnGoodPathIsRetired(t *testing.T) {
	n := newNetwork(always)
	n.observe(ConnStalled, 7)
	if n.table.State("p") != Good || n.probes != 1 {
		t.Errorf("state %v after %d probes, want good after 1", n.table.State("p"), n.probes)
	}
	if len(n.retired) != 1 || n.retired[0] != 7 {
		t.Errorf("retired %v, want connection 7", n.retired)
	}
}

// Guards against traffic that remains on a dead path. A stall is reported after the
// progress timeout of 1 s; from the report on, the path must be suspect, and
// broken once the probe fails.
func TestDeadPathIsSuspectAtOnceThenBroken(t *testing.T) {
	for _, e := range []Event{ConnectFailed, ConnStalled, ConnReset, OutboundLost} {
		n := newNetwork(never)
		n.observe(e, 1)
		if n.table.State("p") != Suspect {
			t.Errorf("event %d: %v, want suspect at once", e, n.table.State("p"))
		}
		n.run(ProbeTimeout + 20*time.Millisecond)
		if n.table.State("p") != Broken {
			t.Errorf("event %d: %v after the probe timeout, want broken", e, n.table.State("p"))
		}
	}
}

// Guards against a path that becomes broken without a failed probe on a new
// connection, for any order of events.
func TestOnlyFailedProbeBreaksPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, outstanding := NewTable(), start, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			before, failed := table.State("p"), false
			var actions []Action
			if rapid.Bool().Draw(t, "tick") {
				failed = outstanding
				actions = table.Tick(now)
			} else {
				e := Event(rapid.IntRange(0, int(ProbeFailed)).Draw(t, "event"))
				failed = e == ProbeFailed && outstanding
				actions = table.Observe(now, Observation{Peer: "p", Event: e})
			}
			for _, a := range actions {
				outstanding = outstanding || a.Kind == SendProbe
			}
			if before != Broken && table.State("p") == Broken && !failed {
				t.Fatal("broken without a failed probe")
			}
			if _, timer := table.NextTick(); table.State("p") != Good && !timer {
				t.Fatal("a path that is not good needs a timer")
			}
		}
	})
}

// Guards against a broken path that never gets traffic again, and against more than
// one probe per second.
func TestBrokenPathIsProbedEachSecondAndReturns(t *testing.T) {
	n := newNetwork(func(now time.Time) bool { return !now.Before(at(10_000)) })
	n.observe(ConnectFailed, 0)
	n.run(9900 * time.Millisecond)
	if n.probes > 10 || n.probes < 9 {
		t.Errorf("%d probes in 9.9 s, want one each second", n.probes)
	}
	n.run(1200 * time.Millisecond)
	if n.table.State("p") != Good {
		t.Errorf("state %v 1.1 s after the path recovered, want good", n.table.State("p"))
	}
}

// Guards against a flapping path that gets traffic, and loses requests, after each
// short recovery.
func TestFlappingPathReturnsLater(t *testing.T) {
	n := newNetwork(never)
	var waits []time.Duration
	for range 3 {
		n.works = never
		n.observe(ConnectFailed, 0)
		n.run(2 * time.Second)
		n.works = always
		began := n.now
		for n.table.State("p") != Good && n.now.Before(at(60_000)) {
			n.run(10 * time.Millisecond)
		}
		waits = append(waits, n.now.Sub(began))
		n.run(300 * time.Millisecond)
	}
	if waits[2] <= waits[0]+time.Second {
		t.Errorf("returns after %v, want the third to take over a second longer", waits)
	}
}

// Guards against too many probes when many requests are slow on a good path.
func TestSlowRequestsCauseFewProbes(t *testing.T) {
	n := newNetwork(always)
	for conn := range uint64(1000) {
		n.observe(ConnStalled, conn+1)
		n.now = n.now.Add(time.Millisecond)
	}
	if n.probes > 6 || len(n.retired) != 1000 {
		t.Errorf("%d probes and %d retired connections in 1 s, want at most 6 and 1000", n.probes, len(n.retired))
	}
}

func ExampleTable() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	table := NewTable()
	show := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == SendProbe {
				fmt.Println("probe", a.Peer)
			} else {
				fmt.Println(a.Peer, "is", a.State)
			}
		}
	}
	show(table.Observe(now, Observation{Peer: "10.0.1.1", Event: ConnectFailed}))
	show(table.Observe(now, Observation{Peer: "10.0.1.1", Event: ProbeFailed}))
	show(table.Tick(now.Add(ProbeInterval)))
	show(table.Observe(now.Add(ProbeInterval), Observation{Peer: "10.0.1.1", Event: ProbeSucceeded}))
	// Output:
	// 10.0.1.1 is suspect
	// probe 10.0.1.1
	// 10.0.1.1 is broken
	// probe 10.0.1.1
	// 10.0.1.1 is good
}
