package fairqueue

import (
	"math"
	"slices"
	"time"
)

// Pop removes and returns the item to run next. It reports false if no item is left
// that can still be answered in time; Expire removes the others.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	if !q.hasLiveItem(now) {
		return Item{}, false
	}
	quantum := q.quantum()
	q.skipRounds(now, quantum)
	for {
		t := q.activeTeams[0]
		if item, ok := q.popFrom(now, t, quantum); ok {
			q.lastPop = now
			return item, true
		}
		q.endTurn(t)
	}
}

func (q *Queue) hasLiveItem(now time.Time) bool {
	for _, t := range q.activeTeams {
		if q.firstLive(now, t) < len(t.items) {
			return true
		}
	}
	return false
}

// quantum returns the cost that a team may spend in one round: at most the length of the shortest item, so
// that this one does not wait until each other team has had a longer one served.
func (q *Queue) quantum() float64 {
	shortest := maxQuantum
	for _, t := range q.activeTeams {
		for i := range t.items {
			shortest = min(shortest, t.items[i].length)
		}
	}
	return shortest
}

// skipRounds adds the quanta of the rounds in which no team can afford an item, so that a pop
// takes few steps at any cost.
func (q *Queue) skipRounds(now time.Time, quantum float64) {
	fewest := math.Inf(1)
	for _, t := range q.activeTeams {
		if at := q.firstLive(now, t); at < len(t.items) {
			fewest = min(fewest, math.Ceil((t.items[at].cost-t.deficit)/quantum))
		}
	}
	if fewest <= 1 {
		return
	}
	for _, t := range q.activeTeams {
		t.deficit += (fewest - 1) * quantum
	}
}

// firstLive returns the index of the team's first item that is not late.
func (q *Queue) firstLive(now time.Time, t *teamQueue) int {
	for i := range t.items {
		if !q.isLate(now, t.items[i].Item) {
			return i
		}
	}
	return len(t.items)
}

// popFrom pops the item of the team with the earliest useful deadline. It reports
// false if there is none or if the team's deficit does not cover the cost.
func (q *Queue) popFrom(now time.Time, t *teamQueue, quantum float64) (Item, bool) {
	at := q.firstLive(now, t)
	if at == len(t.items) {
		t.deficit = 0
		return Item{}, false
	}
	if !t.hasQuantum {
		t.hasQuantum = true
		t.deficit += quantum
	}
	if t.deficit < t.items[at].cost {
		return Item{}, false
	}
	entry := t.items[at]
	t.deficit -= entry.cost
	t.servedCost = q.recentUsage(t) + entry.cost
	q.popped += entry.length
	t.servedCostAtPop = q.popped
	return q.remove(t, at), true
}

// endTurn moves the team, which is the first one, to the end of the round.
func (q *Queue) endTurn(t *teamQueue) {
	t.hasQuantum = false
	copy(q.activeTeams, q.activeTeams[1:])
	q.activeTeams[len(q.activeTeams)-1] = t
}

// Expire removes and returns the items whose deadline has passed or is too close
// for an answer. These items have not run.
func (q *Queue) Expire(now time.Time) []Item {
	var items []Item
	for i := len(q.activeTeams) - 1; i >= 0; i-- {
		t := q.activeTeams[i]
		for at := 0; at < len(t.items); {
			if !q.isLate(now, t.items[at].Item) {
				at++
				continue
			}
			items = append(items, q.remove(t, at))
		}
	}
	return items
}

// NextExpiry returns the earliest deadline in the queue, for which the caller sets a
// timer. It reports false if the queue is empty.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var next time.Time
	for i, t := range q.activeTeams {
		if i == 0 || t.items[0].Deadline.Before(next) {
			next = t.items[0].Deadline
		}
	}
	return next, len(q.activeTeams) > 0
}

// Remove removes an item whose caller has canceled. It reports false if the item is
// not in the queue.
func (q *Queue) Remove(id uint64) (Item, bool) {
	for _, t := range q.activeTeams {
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
	q.length--
	q.work -= t.items[at].length
	if q.length == 0 {
		q.work = 0 // without the rounding errors
	}
	t.items = slices.Delete(t.items, at, at+1)
	if len(t.items) == 0 {
		q.deactivate(t)
	}
	return item
}

func (q *Queue) deactivate(t *teamQueue) {
	at := slices.Index(q.activeTeams, t)
	q.activeTeams = slices.Delete(q.activeTeams, at, at+1)
	t.deficit = 0
	t.hasQuantum = false
}
