package slotqueue

import (
	"slices"
	"time"
)

// DelayPerRank is the priority aging: a request goes before a request that is one
// rank more urgent if it arrived earlier by more than this time. It prevents
// starvation. With a smaller delay, ranks would have little effect in queues of
// more than a second, which occur in an overload.
const DelayPerRank = 600 * time.Millisecond

// MinLengthRatio is how many times as long as a request another one has to be expected to run
// for the request to pass it. Estimates of kinds that take about as long differ by less.
const MinLengthRatio = 2

// arriving returns an item with what its place in the order depends on.
func (q *Queue) arriving(now time.Time, item Item) Item {
	item.sortTime = now.Add(time.Duration(item.Rank) * DelayPerRank)
	if item.slotTime = q.expectedSlotTime(now, item.kind()); item.slotTime == 0 {
		item.slotTime = q.meanSlotTime()
	}
	return item
}

// position returns the position at which an item is inserted, behind the last waiting request
// that it neither goes before nor passes, and whether it passes one.
func (q *Queue) position(now time.Time, item Item) (position int, passes bool) {
	position, first := len(q.items), q.calls
	if item.IsCall {
		position, first = q.calls, 0
	}
	short := q.passesAsShort(now, item)
	for ; position > first; position-- {
		waiting := &q.items[position-1]
		if item.goesBefore(waiting) {
			continue
		}
		if !short(waiting) {
			break
		}
		passes = true
	}
	return position, passes
}

// goesBefore reports whether the item goes before one that waits, by rank and age.
func (i *Item) goesBefore(waiting *Item) bool { return i.sortTime.Before(waiting.sortTime) }

// passesAsShort returns a function that reports whether an item goes before one that waits
// because it is much shorter. All items that pass one in this way delay it by at most as long as it runs
// itself, and by less if they are less urgent, so that neither long nor urgent requests starve.
//
// Of a kind that has not run recently, one item at a time passes others. If it has never run, it
// passes them whatever they take, as only a run tells whether it is short.
func (q *Queue) passesAsShort(now time.Time, item Item) func(waiting *Item) bool {
	isRecent := q.serviceTimes.Expected(now, item.kind()) > 0
	if q.meanServiceTime == 0 || !isRecent && q.hasKind(item.kind()) {
		return func(*Item) bool { return false }
	}
	isProbe := q.serviceTimes.Last(item.kind()) == 0
	delay := q.delayByStart(item)
	return func(waiting *Item) bool {
		if !isProbe && waiting.slotTime < MinLengthRatio*item.slotTime {
			return false
		}
		lessUrgent := max(item.Rank-waiting.Rank, 0)
		return waiting.passed+delay <= waiting.slotTime/time.Duration(1+lessUrgent)
	}
}

// delayByStart returns how much later the requests behind an item start because of it.
func (q *Queue) delayByStart(item Item) time.Duration {
	return max(item.slotTime/time.Duration(q.slots), q.startRate.interval(), q.coldRate.interval())
}

// hasKind reports whether a request of a kind waits or runs.
func (q *Queue) hasKind(k kind) bool {
	return slices.ContainsFunc(q.items, func(waiting Item) bool { return waiting.kind() == k }) ||
		slices.ContainsFunc(q.runs, func(r run) bool { return r.kind == k })
}

// countPassing counts the delay of the requests that an item passes at a position.
func (q *Queue) countPassing(item Item, position int) {
	end := len(q.items)
	if item.IsCall {
		end = q.calls
	}
	for i := position; i < end; i++ {
		if waiting := &q.items[i]; !item.goesBefore(waiting) {
			waiting.passed += q.delayByStart(item)
		}
	}
}
