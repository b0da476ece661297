// Package simnet runs the decision packages of many processes in virtual time over
// a simulated network, for property tests and measurements. The same seed gives the
// same run.
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
	// Lose reports whether a message is lost; none is by default.
	Lose func(from, to string) bool

	now    time.Time
	queue  queue
	order  uint64
	cut    map[link]bool
	lives  map[string]int
	down   map[string]bool
	paused map[string]time.Time
}

type link struct{ from, to string }

// New returns a network whose random choices follow from the seed.
func New(seed uint64) *Net {
	n := &Net{
		Rand:   rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1_000_000, 0),
		cut:    make(map[link]bool),
		lives:  make(map[string]int),
		down:   make(map[string]bool),
		paused: make(map[string]time.Time),
	}
	n.Delay = func(_, _ string) time.Duration {
		return 500*time.Microsecond + time.Duration(n.Rand.Int64N(int64(time.Millisecond)))
	}
	n.Lose = func(_, _ string) bool { return false }
	return n
}

// Now returns the virtual time.
func (n *Net) Now() time.Time { return n.now }

// Cut breaks or mends the link in one direction.
func (n *Net) Cut(from, to string, broken bool) { n.cut[link{from, to}] = broken }

// Mend mends all links.
func (n *Net) Mend() { clear(n.cut) }

// Stop ends the current life of a process: its timers do not fire any more and
// messages to it are lost until Restart.
func (n *Net) Stop(id string) {
	n.lives[id]++
	n.down[id] = true
	delete(n.paused, id)
}

// Restart begins a new life of a stopped process.
func (n *Net) Restart(id string) { n.down[id] = false }

// Down reports whether a process is stopped.
func (n *Net) Down(id string) bool { return n.down[id] }

// Pause holds a process for d. What arrives or falls due meanwhile is handled late,
// when the process resumes.
func (n *Net) Pause(id string, d time.Duration) { n.paused[id] = n.now.Add(d) }

// Paused reports whether a process is paused.
func (n *Net) Paused(id string) bool { return n.paused[id].After(n.now) }

// After runs f after d, apart from any process.
func (n *Net) After(d time.Duration, f func()) { n.push(n.now.Add(d), f) }

// On runs f at a process after d, if its current life lasts until then.
func (n *Net) On(id string, d time.Duration, f func()) {
	life := n.lives[id]
	n.After(d, func() {
		n.atProcess(id, 0, func() {
			if n.lives[id] == life {
				f()
			}
		})
	})
}

// Send delivers a message: f runs at the receiver. A message may reach a later life
// of the receiver than the one to which it was sent.
func (n *Net) Send(from, to string, f func()) {
	if n.cut[link{from, to}] || n.Lose(from, to) {
		return
	}
	n.After(n.Delay(from, to), func() { n.atProcess(to, backlog, f) })
}

// backlog bounds how long a resumed process reads messages that waited. Its timers
// fire first, so that it acts on what it knew before the pause.
const backlog = 5 * time.Millisecond

func (n *Net) atProcess(id string, late time.Duration, f func()) {
	switch {
	case n.down[id]:
	case n.Paused(id):
		at := n.paused[id]
		if late > 0 {
			at = at.Add(time.Duration(n.Rand.Int64N(int64(late))))
		}
		n.push(at, func() { n.atProcess(id, late, f) })
	default:
		f()
	}
}

// Run runs what falls due within d.
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
	n.order++
	heap.Push(&n.queue, event{at: at, order: n.order, run: f})
}

type event struct {
	at    time.Time
	order uint64 // events at the same time run in the order of scheduling
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
