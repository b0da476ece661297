// Package slotqueue orders the requests that wait for a slot of one backend
// server by urgency, and refuses at once those that would not start in time. One
// goroutine owns a queue.
package slotqueue

import (
	"slices"
	"time"
)

// RankDelay is how much longer a request may have waited than one that is a
// rank more urgent before it goes first. It keeps lower ranks from starving; with
// less, queues of more than a second in an overload would hardly know ranks.
const RankDelay = 600 * time.Millisecond

// serviceSmoothing is the weight of one request in the mean time that a slot is
// held: about the last 16 count.
const serviceSmoothing = 16

// startShare is the part of its service time that a request must have left when
// it starts; with less, it would hardly be answered in time.
const startShare = 0.5

// Item is one request.
type Item struct {
	ID       uint64
	Rank     int // 0 is the most urgent
	Deadline time.Time
	Payload  any

	due time.Time // order in the queue
}

// Queue grants a fixed number of slots.
type Queue struct {
	slots   int
	bound   int // requests that may wait
	running int
	items   []Item // in order of due
	service time.Duration
}

// New returns a queue for a server that runs slots requests at once; at most
// bound requests wait.
func New(slots, bound int) *Queue {
	return &Queue{slots: max(slots, 1), bound: bound}
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int) { q.slots = max(slots, 1) }

// Verdict is the answer to Push.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota // a slot is held
	Queued
	Full    // no slot is free and the request does not want to wait, or too many wait
	TooLate // it would not start in time
)

// Push asks for a slot. A request is refused at once when it would wait for
// longer than maxWait.
func (q *Queue) Push(now time.Time, item Item, maxWait time.Duration) Verdict {
	if q.running < q.slots && len(q.items) == 0 {
		q.running++
		return Granted
	}
	if maxWait <= 0 || len(q.items) >= q.bound {
		return Full
	}
	item.due = now.Add(time.Duration(item.Rank) * RankDelay)
	at, _ := slices.BinarySearchFunc(q.items, item.due, func(other Item, due time.Time) int {
		if other.due.After(due) {
			return 1
		}
		return -1
	})
	if q.waitAt(at) > maxWait {
		return Full
	}
	if q.late(now.Add(q.waitAt(at)), item) {
		return TooLate
	}
	q.items = slices.Insert(q.items, at, item)
	return Queued
}

// late tells whether a request that starts at a moment can hardly be answered in
// time.
func (q *Queue) late(start time.Time, item Item) bool {
	return start.Add(time.Duration(startShare * float64(q.service))).After(item.Deadline)
}

// waitAt estimates when the request at a position starts.
func (q *Queue) waitAt(at int) time.Duration {
	if q.running < q.slots {
		return 0
	}
	return q.service * time.Duration(at+1) / time.Duration(q.slots)
}

// Next takes the next request that has a slot; false when there is none.
func (q *Queue) Next(now time.Time) (Item, bool) {
	if q.running >= q.slots || len(q.items) == 0 {
		return Item{}, false
	}
	item := q.items[0]
	q.items = slices.Delete(q.items, 0, 1)
	q.running++
	return item, true
}

// Release gives a slot back. held is how long a request that was served held it,
// 0 when it says nothing about the service time.
func (q *Queue) Release(held time.Duration) {
	q.running--
	if held <= 0 {
		return
	}
	if q.service == 0 {
		q.service = held
	}
	q.service += (held - q.service) / serviceSmoothing
}

// Expire removes and returns the requests that can hardly be answered in time.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []Item
	q.items = slices.DeleteFunc(q.items, func(item Item) bool {
		if !q.late(now, item) {
			return false
		}
		expired = append(expired, item)
		return true
	})
	return expired
}

// NextExpiry returns when Expire next removes a request; false when none waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var next time.Time
	for i := range q.items {
		at := q.items[i].Deadline.Add(-time.Duration(startShare * float64(q.service)))
		if i == 0 || at.Before(next) {
			next = at
		}
	}
	return next, len(q.items) > 0
}

// Remove takes a request out that no longer wants a slot; false when it does not
// wait.
func (q *Queue) Remove(id uint64) (Item, bool) {
	at := slices.IndexFunc(q.items, func(item Item) bool { return item.ID == id })
	if at < 0 {
		return Item{}, false
	}
	item := q.items[at]
	q.items = slices.Delete(q.items, at, at+1)
	return item, true
}

// Clear removes and returns all requests that wait.
func (q *Queue) Clear() []Item {
	items := q.items
	q.items = nil
	return items
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.items) }

// WaitingUpTo returns the number of requests that wait with a rank up to a bound.
func (q *Queue) WaitingUpTo(rank int) int {
	n := 0
	for i := range q.items {
		if q.items[i].Rank <= rank {
			n++
		}
	}
	return n
}

// Service returns the mean time that a slot is held; 0 when unknown.
func (q *Queue) Service() time.Duration { return q.service }

// Wait estimates how long a request that came now would wait.
func (q *Queue) Wait() time.Duration {
	if q.running < q.slots && len(q.items) == 0 {
		return 0
	}
	return q.waitAt(len(q.items))
}
