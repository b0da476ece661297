package fairqueue

import (
	"slices"
	"time"
)

// Pop returns the item to run next; false when no item with time left waits.
// Expired items and those that can hardly be answered in time stay for Expire.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	horizon := q.horizon(now)
	if !q.hasLive(horizon) {
		return Item{}, false
	}
	for {
		t := q.active[0]
		if item, ok := q.popTurn(horizon, t); ok {
			q.popped = now
			return item, true
		}
		q.endTurn(t)
	}
}

func (q *Queue) hasLive(horizon time.Time) bool {
	for _, t := range q.active {
		if t.live(horizon) < len(t.items) {
			return true
		}
	}
	return false
}

// live returns the index of the first item whose deadline is after the horizon.
func (t *teamQueue) live(horizon time.Time) int {
	for i := range t.items {
		if !expired(t.items[i].Item, horizon) {
			return i
		}
	}
	return len(t.items)
}

func (q *Queue) popTurn(horizon time.Time, t *teamQueue) (Item, bool) {
	at := t.live(horizon)
	if at == len(t.items) {
		t.deficit = 0
		return Item{}, false
	}
	if !t.visited {
		t.visited = true
		t.deficit += quantum
	}
	if t.deficit < t.items[at].cost {
		return Item{}, false
	}
	cost := t.items[at].cost
	t.deficit -= cost
	t.served = q.recent(t) + cost
	q.pops++
	t.servedAt = q.pops
	return q.remove(t, at), true
}

// endTurn moves the team to the end of the round.
func (q *Queue) endTurn(t *teamQueue) {
	t.visited = false
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = t
}

// Expire removes and returns the items whose deadline has passed or is so close
// that they can hardly be answered in time. They were not run.
func (q *Queue) Expire(now time.Time) []Item {
	var items []Item
	horizon := q.horizon(now)
	for i := len(q.active) - 1; i >= 0; i-- {
		t := q.active[i]
		for len(t.items) > 0 && expired(t.items[0].Item, horizon) {
			items = append(items, q.remove(t, 0))
		}
	}
	return items
}

// NextExpiry returns the earliest deadline in the queue, for the owner's timer;
// false when the queue is empty.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var next time.Time
	for i, t := range q.active {
		if i == 0 || t.items[0].Deadline.Before(next) {
			next = t.items[0].Deadline
		}
	}
	return next, len(q.active) > 0
}

// Remove takes an item out whose caller went away; false when it is not queued.
func (q *Queue) Remove(id uint64) (Item, bool) {
	for _, t := range q.active {
		for i := range t.items {
			if t.items[i].ID == id {
				return q.remove(t, i), true
			}
		}
	}
	return Item{}, false
}

func (q *Queue) remove(t *teamQueue, at int) Item {
	item := t.items[at].Item
	t.items = slices.Delete(t.items, at, at+1)
	q.length--
	if len(t.items) == 0 {
		q.deactivate(t)
	}
	return item
}

func (q *Queue) deactivate(t *teamQueue) {
	at := slices.Index(q.active, t)
	q.active = slices.Delete(q.active, at, at+1)
	t.deficit = 0
	t.visited = false
}
