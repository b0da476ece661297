// Package fairqueue holds the requests that wait for a slot of one backend
// server: fair between teams by deficit round robin (Shreedhar and Varghese,
// 1995) weighted by the worth of the class, bounded, and earliest deadline first
// within a team. One goroutine owns a queue.
package fairqueue

import "time"

const (
	// LengthPerSlot bounds the queue to 4 requests for each slot, so that an
	// accepted request waits for about 4 service times.
	LengthPerSlot = 4
	// The worth of a class counts within these bounds, so that one class cannot
	// shut out another and a pop takes a bounded number of steps.
	minWorth = 0.01
	maxWorth = 100
	// memoryPerSlot is the number of pops, for each slot, after which half of past
	// service is forgotten. It spans the bursts of a team that sends at its fair
	// share. Counting pops instead of time suits fast and slow services alike.
	memoryPerSlot = 24
	// maxIdleTeams bounds the teams without items that are remembered for what
	// they were served lately.
	maxIdleTeams = 64
	// forgottenUse is the use below which an idle team is forgotten first.
	forgottenUse = 0.1
	// quantum is what a team may spend in one round; an item costs 1/worth.
	quantum = 1.0
)

// Item is one request that waits.
type Item struct {
	ID       uint64 // chosen by the caller, unique in the queue
	Team     string
	Worth    float64 // worth of the class; 0 counts as 1
	Deadline time.Time
	Payload  any
}

// Reason tells why an item was refused.
type Reason uint8

// The reasons.
const (
	Accepted         Reason = iota
	Full                    // the queue is full and the team uses most of it
	DeadlineTooShort        // the deadline cannot be met at the present pace
	DeadlinePassed          // the deadline has passed
)

// Refusal names the item that a Push refused, which may be another than the
// pushed one.
type Refusal struct {
	Item   Item
	Reason Reason // Accepted when nothing was refused
}

// Pace is the speed at which the backend server takes items, as the dispatcher
// measured it. The zero value means unknown: no item is refused on the estimate.
type Pace struct {
	Interval time.Duration // mean time between two pops while items wait
	Service  time.Duration // typical time from pop to answer
}

// Queue is a fair bounded queue.
type Queue struct {
	bound  int
	memory float64 // pops after which half of past service is forgotten
	length int
	pace   Pace
	teams  map[string]*teamQueue // with items, or remembered
	active []*teamQueue          // teams with items in the order of the round; the first has its turn
	seq    uint64
	pops   uint64
	popped time.Time // when an item was last popped
}

type teamQueue struct {
	deficit  float64
	visited  bool     // the team got its quantum in the running turn
	items    []queued // earliest deadline first
	served   float64  // cost of the items popped, decayed until servedAt
	servedAt uint64   // count of pops in the queue
}

type queued struct {
	Item
	seq  uint64
	cost float64
}

// New returns a queue for a backend server with the given slots.
func New(slots int) *Queue {
	slots = max(slots, 1)
	return &Queue{
		bound:  LengthPerSlot * slots,
		memory: float64(memoryPerSlot * slots),
		teams:  make(map[string]*teamQueue),
	}
}

// SetPace replaces the estimate that Push judges deadlines with.
func (q *Queue) SetPace(p Pace) {
	q.pace = p
}

// Len returns the number of items in the queue, expired ones included.
func (q *Queue) Len() int {
	return q.length
}

// Wait estimates how long an item of a team without items would wait now.
func (q *Queue) Wait() time.Duration {
	return time.Duration(q.length) * q.pace.Interval
}
