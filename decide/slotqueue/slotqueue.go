// Package slotqueue implements a priority queue for the execution slots of one
// backend server, with an optional limit of the rate at which requests start. It refuses
// a request immediately if it would not start in time. A queue is not safe for concurrent
// use.
package slotqueue

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/servicetime"
)

// minServiceFraction is the fraction of the mean service time of its kind that must be left
// before the deadline when a request starts. With less time, it is unlikely to be
// answered before the deadline.
const minServiceFraction = 0.5

// Item is a request that needs a slot.
type Item struct {
	ID       uint64
	Route    string // its requests take about the same time
	Rank     int    // 0 is the most urgent
	Deadline time.Time
	// IsCall means that a backend server makes the request while another request holds a
	// slot there. Calls go before all other requests, so that slots are not held in vain.
	IsCall  bool
	Payload any

	sortTime time.Time     // arrival plus DelayPerRank for each rank; the earliest goes first
	slotTime time.Duration // for which it is expected to hold a slot
	passed   time.Duration // how much later it starts because of shorter requests that passed it
	passes   bool          // it passed one itself
}

// kind identifies requests that take about the same time.
type kind struct {
	route  string
	isCall bool
}

func (i Item) kind() kind { return kind{i.Route, i.IsCall} }

// Queue grants a limited number of slots.
type Queue struct {
	slots           int
	maxWaiting      int           // number of places
	runs            []run         // of the requests that hold a slot
	items           []Item        // calls, then others, each in the order in which they are served
	calls           int           // number of calls in items
	callsInARow     int           // calls that started while other requests waited
	meanServiceTime time.Duration // of all requests
	// meanCallTime and meanRequestTime are the same for calls and for all others. Calls are
	// often ten times as short.
	meanCallTime, meanRequestTime time.Duration
	serviceTimes                  *servicetime.Estimates[kind]

	startRate startRate // that the server accepts
	coldRate  startRate // while the server is cold
}

// New returns a queue for a server that runs slots requests at once, with maxWaiting places for
// requests that wait.
func New(slots, maxWaiting int) *Queue {
	return &Queue{slots: max(slots, 1), maxWaiting: maxWaiting, serviceTimes: servicetime.New[kind]()}
}

// ServiceTime returns the mean service time of requests of the item's kind, or 0 while it is
// unknown.
func (q *Queue) ServiceTime(now time.Time, item Item) time.Duration {
	return q.serviceTimes.Expected(now, item.kind())
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int) { q.slots = max(slots, 1) }

// LimitStarts limits how many requests start per second, until AllowAllStarts.
func (q *Queue) LimitStarts(now time.Time, perSecond float64) { q.startRate.set(now, perSecond) }

// AllowAllStarts removes the limit of LimitStarts.
func (q *Queue) AllowAllStarts() { q.startRate.clear() }

// SpaceStarts limits how many requests start per second, without a burst, until
// StopSpacingStarts. It holds beside the limit of LimitStarts.
func (q *Queue) SpaceStarts(now time.Time, perSecond float64) { q.coldRate.setSpaced(now, perSecond) }

// StopSpacingStarts removes the limit of SpaceStarts.
func (q *Queue) StopSpacingStarts() { q.coldRate.clear() }

// waitToStart returns the time until the n-th of the next requests may start within the
// limits of the rate.
func (q *Queue) waitToStart(now time.Time, n int) time.Duration {
	return max(q.startRate.wait(now, n), q.coldRate.wait(now, n))
}

// takeStart reports whether a request may start within the limits of the rate, and counts
// it if so.
func (q *Queue) takeStart(now time.Time) bool {
	if q.waitToStart(now, 1) > 0 {
		return false
	}
	q.startRate.take(now)
	q.coldRate.take(now)
	return true
}

// PushResult is the result of Push.
type PushResult uint8

// The results of Push.
const (
	Granted        PushResult = iota // the request holds a slot
	Queued                           // the request waits for a slot
	QueueFull                        // no slot is free, and the request would go behind all those that may wait
	WaitTooLong                      // the expected wait exceeds its maximum
	MissesDeadline                   // the request would start too late to be answered before its deadline
)

// Outlook is what a request that arrives now may expect if it has to wait.
type Outlook struct {
	Ahead int           // waiting requests that would start before it
	Wait  time.Duration // until it starts
}

// Outlook returns what an item may expect if it waits. It changes nothing.
func (q *Queue) Outlook(now time.Time, item Item) Outlook {
	q.updateSlotTimes(now)
	item = q.arriving(now, item)
	position, _ := q.position(now, item)
	return q.outlookAt(now, item, position)
}

func (q *Queue) outlookAt(now time.Time, item Item, position int) Outlook {
	calls, others := q.startBefore(item, position)
	return Outlook{Ahead: len(calls) + len(others), Wait: q.estimatedWait(now, calls, others)}
}

// Push grants a slot to a request, queues it or refuses it. It refuses a request
// that is expected to wait for longer than maxWait. If the queue is full, a request that
// goes before the last one displaces it.
func (q *Queue) Push(now time.Time, item Item, maxWait time.Duration) (result PushResult, displaced []Item) {
	q.updateSlotTimes(now)
	item = q.arriving(now, item)
	if len(q.runs) < q.slots && len(q.items) == 0 && q.takeStart(now) {
		q.start(now, item)
		return Granted, nil
	}
	position, passes := q.position(now, item)
	item.passes = passes
	victim, hasPlace := q.makeRoom(item, position)
	if !hasPlace {
		return QueueFull, nil
	}
	wait := q.outlookAt(now, item, position).Wait
	if maxWait <= 0 || wait > maxWait {
		return WaitTooLong, nil
	}
	if q.cannotFinish(now, now.Add(wait), item) {
		return MissesDeadline, nil
	}
	if victim >= 0 {
		displaced = append(displaced, q.removeAt(victim))
		if victim < position {
			position--
		}
	}
	q.countPassing(item, position)
	q.items = slices.Insert(q.items, position, item)
	if item.IsCall {
		q.calls++
	}
	return Queued, displaced
}

// callsPerOther returns how many calls start before another request does while both wait.
func (q *Queue) callsPerOther() int {
	if q.meanCallTime <= 0 || q.meanRequestTime <= 0 {
		return callTimeShare
	}
	return max(int(callTimeShare*q.meanRequestTime/q.meanCallTime), 1)
}

// removeAt removes and returns the request at a position.
func (q *Queue) removeAt(position int) Item {
	item := q.items[position]
	q.items = slices.Delete(q.items, position, position+1)
	if item.IsCall {
		q.calls--
	}
	return item
}

// cannotFinish reports whether a request that starts at the given time is unlikely
// to be answered before its deadline.
func (q *Queue) cannotFinish(now, start time.Time, item Item) bool {
	return start.After(q.lastStart(now, item))
}

// IsTooLate reports whether a request is unlikely to be answered before its deadline even if
// it starts now.
func (q *Queue) IsTooLate(now time.Time, item Item) bool { return q.cannotFinish(now, now, item) }

// lastStart returns the latest start after which the item is unlikely to be answered
// before its deadline.
func (q *Queue) lastStart(now time.Time, item Item) time.Time {
	return item.Deadline.Add(-time.Duration(minServiceFraction * float64(q.ServiceTime(now, item))))
}

// Pop removes the first waiting request and gives it a slot. It reports false if no
// request waits, no slot is free or none may start yet.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	if len(q.runs) >= q.slots || len(q.items) == 0 || !q.takeStart(now) {
		return Item{}, false
	}
	item := q.removeAt(q.nextPosition())
	q.start(now, item)
	return item, true
}

// nextPosition returns the position of the request that starts next.
func (q *Queue) nextPosition() int {
	others := len(q.items) > q.calls
	switch {
	case q.calls > 0 && others && q.callsInARow >= q.callsPerOther():
		q.callsInARow = 0
		return q.calls
	case q.calls > 0 && others:
		q.callsInARow++
	default:
		q.callsInARow = 0
	}
	return 0
}

// run is a request that holds a slot.
type run struct {
	id       uint64
	kind     kind
	started  time.Time
	slotTime time.Duration // expected
}

// start gives a slot to an item.
func (q *Queue) start(now time.Time, item Item) {
	q.runs = append(q.runs, run{id: item.ID, kind: item.kind(), started: now, slotTime: item.slotTime})
}

// end takes the slot from an item, or from the oldest run if the item is not known.
func (q *Queue) end(item Item) {
	at := max(slices.IndexFunc(q.runs, func(r run) bool { return r.id == item.ID }), 0)
	q.runs = slices.Delete(q.runs, at, at+1)
}

// Release frees the slot of an item. held is how long it held the slot, or 0 if that is
// not representative of the service time.
func (q *Queue) Release(now time.Time, item Item, held time.Duration) {
	q.end(item)
	if held <= 0 {
		return
	}
	q.serviceTimes.Observe(now, item.kind(), held)
	q.meanServiceTime = servicetime.Smooth(q.meanServiceTime, held)
	if item.IsCall {
		q.meanCallTime = servicetime.Smooth(q.meanCallTime, held)
	} else {
		q.meanRequestTime = servicetime.Smooth(q.meanRequestTime, held)
	}
}

// RemoveExpired removes and returns the requests that are unlikely to be answered
// before their deadline even if they start now.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	q.items = slices.DeleteFunc(q.items, func(item Item) bool {
		if !q.IsTooLate(now, item) {
			return false
		}
		expired = append(expired, item)
		if item.IsCall {
			q.calls--
		}
		return true
	})
	return expired
}

// NextEvent returns the earliest time at which RemoveExpired will remove a request, or
// at which Pop will return one because the rate of starts permits it. It reports false if
// none waits.
func (q *Queue) NextEvent(now time.Time) (time.Time, bool) {
	var next time.Time
	for i := range q.items {
		expiry := q.lastStart(now, q.items[i])
		if i == 0 || expiry.Before(next) {
			next = expiry
		}
	}
	if start := now.Add(q.waitToStart(now, 1)); len(q.runs) < q.slots && start.Before(next) {
		next = start
	}
	return next, len(q.items) > 0
}

// Remove removes and returns a waiting request. It reports false if the request does
// not wait.
func (q *Queue) Remove(id uint64) (Item, bool) {
	position := slices.IndexFunc(q.items, func(item Item) bool { return item.ID == id })
	if position < 0 {
		return Item{}, false
	}
	return q.removeAt(position), true
}

// Clear removes and returns all waiting requests.
func (q *Queue) Clear() []Item {
	items := q.items
	q.items, q.calls = nil, 0
	return items
}

// HasFreeSlot reports whether a slot is free.
func (q *Queue) HasFreeSlot() bool { return len(q.runs) < q.slots }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return len(q.runs) }

// Waiting returns the number of waiting requests, with those that take no place.
func (q *Queue) Waiting() int { return len(q.items) }

// MeanServiceTime returns the moving average of the time that a request holds a
// slot, or 0 while it is unknown.
func (q *Queue) MeanServiceTime() time.Duration { return q.meanServiceTime }

// StartWait returns how long a request that arrives now would wait because of the rate of
// starts.
func (q *Queue) StartWait(now time.Time) time.Duration { return q.waitToStart(now, len(q.items)+1) }
