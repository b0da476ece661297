// Package fairqueue implements a bounded queue for requests that wait for a slot of
// one backend server. Teams share the time of the slots by weighted deficit round robin (Shreedhar and
// Varghese, 1995); within a team, the earliest deadline is served first. A queue is
// not safe for concurrent use.
package fairqueue

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/servicetime"
)

const (
	// LengthPerSlot is the maximum queue length for each slot. An accepted request
	// then waits for at most about 4 service times.
	LengthPerSlot = 4
	// Weights are clamped to these bounds, so that no class can starve another and
	// a pop takes a bounded number of steps.
	minWeight = 0.01
	maxWeight = 100
	// usageHalfLifePopsPerSlot is the half-life of a team's served cost in pops of
	// items of mean length, for each slot. It is long enough to cover the bursts of a team that
	// sends at its fair share. It counts pops instead of time, so that it suits fast and slow
	// services alike.
	usageHalfLifePopsPerSlot = 24
	// maxIdleTeams is the maximum number of teams without items for which the queue
	// keeps the recent usage.
	maxIdleTeams = 64
	// negligibleUsage is the usage below which an idle team is dropped first.
	negligibleUsage = 0.1
	// maxQuantum is the largest cost that a team may spend in one round; an item of mean length
	// costs 1/weight.
	maxQuantum = 1.0
	// Lengths of items, relative to the mean, are clamped to these bounds.
	minLength = 0.01
	maxLength = 100
)

// Item is one waiting request.
type Item struct {
	ID       uint64 // chosen by the caller, unique in the queue
	Team     string
	Class    string  // requests of one class take about the same time
	Weight   float64 // weight of the request's class; 0 counts as 1
	Deadline time.Time
	Payload  any
}

// Reason is the reason why an item was refused.
type Reason uint8

// Reasons for a refusal. Accepted means that no item was refused.
const (
	Accepted         Reason = iota
	QueueFull               // the queue is full and the item's team has the highest usage
	DeadlineTooShort        // the deadline cannot be met at the current service times
	DeadlinePassed          // the deadline has passed
)

// Refusal describes the item that a Push refused, which may be a different one than
// the pushed item.
type Refusal struct {
	Item   Item
	Reason Reason // Accepted when nothing was refused
}

// ServiceTimes holds the times that the dispatcher measured for the backend server.
// The zero value means unknown: Push then refuses no item because of an estimate.
type ServiceTimes struct {
	PopInterval time.Duration // mean time between two pops while items wait
	ServiceTime time.Duration // typical time from pop to answer, used for items without a class
}

// Queue is a bounded queue that is fair between teams.
type Queue struct {
	capacity          int
	usageHalfLifePops float64 // half-life of served cost
	length            int     // number of items
	work              float64 // sum of their lengths
	serviceTimes      ServiceTimes
	byClass           *servicetime.Estimates[string]
	teams             map[string]*teamQueue // teams with items or with recent usage
	activeTeams       []*teamQueue          // teams with items in round-robin order; the first has its turn
	seq               uint64
	popped            float64 // sum of the lengths of the items popped
	lastPop           time.Time
}

type teamQueue struct {
	deficit         float64
	hasQuantum      bool         // the team got its quantum in its current turn
	items           []queuedItem // earliest deadline first
	servedCost      float64      // cost of the items popped, decayed up to servedCostAtPop
	servedCostAtPop float64      // popped at the team's last pop
}

type queuedItem struct {
	Item
	seq    uint64
	length float64 // expected service time relative to the mean of all items
	cost   float64
}

// New returns a queue for a backend server with the given number of slots.
func New(slots int) *Queue {
	slots = max(slots, 1)
	return &Queue{
		capacity:          LengthPerSlot * slots,
		usageHalfLifePops: float64(usageHalfLifePopsPerSlot * slots),
		byClass:           servicetime.New[string](),
		teams:             make(map[string]*teamQueue),
	}
}

// ObserveServiceTime records how long an item of a class took from its pop to its answer.
func (q *Queue) ObserveServiceTime(now time.Time, class string, took time.Duration) {
	q.byClass.Observe(now, class, took)
}

// SetServiceTimes sets the service times used to estimate whether a deadline can be
// met.
func (q *Queue) SetServiceTimes(times ServiceTimes) {
	q.serviceTimes = times
}

// Len returns the number of items in the queue, including expired ones.
func (q *Queue) Len() int {
	return q.length
}

// EstimatedWait returns an estimate of the time that an item pushed now by a team
// without items would wait.
func (q *Queue) EstimatedWait() time.Duration {
	return time.Duration(q.work * float64(q.serviceTimes.PopInterval))
}
