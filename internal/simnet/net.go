// Package simnet runs the decision packages of many processes in virtual time over
// a simulated network, for property tests and measurements. Runs are deterministic:
// the same seed gives the same run.
package simnet

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Net is a network of named processes with one virtual clock.
type Net struct {
	Rand *rand.Rand
	// Delay is the one-way delay of a message; 0.5 ms to 1.5 ms by default.
	Delay func(from, to string) time.Duration
	// Lose reports whether a message is lost; by default none is.
	Lose func(from, to string) bool

	now          time.Time
	queue        eventQueue
	lastSeq      uint64
	cut          map[link]bool
	incarnations map[string]int
	down         map[string]bool
	paused       map[string]time.Time
}

type link struct{ from, to string }

// New returns a network whose random choices are derived from seed.
func New(seed uint64) *Net {
	n := &Net{
		Rand:         rand.New(rand.NewPCG(seed, 1)),
		now:          time.Unix(1_000_000, 0),
		cut:          make(map[link]bool),
		incarnations: make(map[string]int),
		down:         make(map[string]bool),
		paused:       make(map[string]time.Time),
	}
	n.Delay = func(_, _ string) time.Duration {
		return 500*time.Microsecond + time.Duration(n.Rand.Int64N(int64(time.Millisecond)))
	}
	n.Lose = func(_, _ string) bool { return false }
	return n
}

// Now returns the virtual time.
func (n *Net) Now() time.Time { return n.now }

// SetLinkCut cuts or restores the link from one process to another, in this
// direction only.
func (n *Net) SetLinkCut(from, to string, broken bool) { n.cut[link{from, to}] = broken }

// RestoreLinks restores all links.
func (n *Net) RestoreLinks() { clear(n.cut) }

// Stop ends the current incarnation of a process: its timers no longer fire, and
// messages to it are lost until Restart.
func (n *Net) Stop(id string) {
	n.incarnations[id]++
	n.down[id] = true
	delete(n.paused, id)
}

// Restart starts a new incarnation of a stopped process.
func (n *Net) Restart(id string) { n.down[id] = false }

// Down reports whether a process is stopped.
func (n *Net) Down(id string) bool { return n.down[id] }

// Pause suspends a process for d. Messages and timers that come due during the
// pause are handled when the process resumes.
func (n *Net) Pause(id string, d time.Duration) { n.paused[id] = n.now.Add(d) }

// Paused reports whether a process is paused.
func (n *Net) Paused(id string) bool { return n.paused[id].After(n.now) }

// RunAfter runs f after d, independently of any process.
func (n *Net) RunAfter(d time.Duration, f func()) { n.push(n.now.Add(d), f) }

// RunOn runs f at a process after d, if its current incarnation is still running then.
func (n *Net) RunOn(id string, d time.Duration, f func()) {
	incarnation := n.incarnations[id]
	n.RunAfter(d, func() {
		n.runAtProcess(id, 0, func() {
			if n.incarnations[id] == incarnation {
				f()
			}
		})
	})
}

// Send delivers a message: f runs at the receiver. If the receiver restarts before
// the message arrives, its new incarnation receives it.
func (n *Net) Send(from, to string, f func()) {
	if n.cut[link{from, to}] || n.Lose(from, to) {
		return
	}
	n.RunAfter(n.Delay(from, to), func() { n.runAtProcess(to, maxBacklogDelay, f) })
}

// maxBacklogDelay bounds how long a resumed process takes to read the messages that
// arrived during its pause. Its timers fire first, so that it acts on its knowledge
// from before the pause.
const maxBacklogDelay = 5 * time.Millisecond

// runAtProcess runs f now, or after the process resumes with a random extra delay
// below maxDelay. It drops f if the process is down.
func (n *Net) runAtProcess(id string, maxDelay time.Duration, f func()) {
	switch {
	case n.down[id]:
	case n.Paused(id):
		at := n.paused[id]
		if maxDelay > 0 {
			at = at.Add(time.Duration(n.Rand.Int64N(int64(maxDelay))))
		}
		n.push(at, func() { n.runAtProcess(id, maxDelay, f) })
	default:
		f()
	}
}

// Run advances virtual time by d and runs all events due by then.
func (n *Net) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *Net) push(at time.Time, f func()) {
	n.lastSeq++
	heap.Push(&n.queue, event{at: at, seq: n.lastSeq, run: f})
}

type event struct {
	at  time.Time
	seq uint64 // events at the same time run in the order of scheduling
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
