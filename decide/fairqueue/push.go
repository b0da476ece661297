package fairqueue

import (
	"maps"
	"math"
	"time"
)

// Push adds an item. The result names the item that was refused, if any: the pushed
// item if its deadline cannot be met or, if the queue is full, an expired item or
// else the newest item of the team with the highest usage. Usage includes recently
// served items, so that bursts of a team that stays within its fair share are not
// refused.
func (q *Queue) Push(now time.Time, item Item) Refusal {
	if expired(item, now) {
		return Refusal{Item: item, Reason: DeadlinePassed}
	}
	length := q.itemLength(now, item)
	entry := queuedItem{Item: item, seq: q.seq, length: length, cost: itemCost(item, length)}
	q.seq++
	if q.missesDeadline(now, entry) {
		return Refusal{Item: item, Reason: DeadlineTooShort}
	}
	q.insert(entry)
	q.dropIdleTeams()
	if q.length <= q.capacity {
		return Refusal{}
	}
	return q.evict(now)
}

func expired(item Item, now time.Time) bool {
	return !now.Before(item.Deadline)
}

// isLate reports whether the deadline of an item has passed or is less than half of its
// service time away, since hardly any answer arrives faster. The service time of items
// without a class is used only if the last pop is recent; without pops it is not measured
// again and may be outdated.
func (q *Queue) isLate(now time.Time, item Item) bool {
	if item.Class == "" && now.Sub(q.lastPop) > q.serviceTimes.ServiceTime {
		return expired(item, now)
	}
	return expired(item, now.Add(q.serviceTime(now, item)/2))
}

// serviceTime returns the expected service time of an item, or 0 if it is not known.
func (q *Queue) serviceTime(now time.Time, item Item) time.Duration {
	if item.Class == "" {
		return q.serviceTimes.ServiceTime
	}
	return q.byClass.Expected(now, item.Class)
}

// itemLength returns the expected service time of an item relative to the mean of all, or 1 if it is
// not known.
func (q *Queue) itemLength(now time.Time, item Item) float64 {
	expected := q.serviceTime(now, item)
	if expected <= 0 || q.serviceTimes.ServiceTime <= 0 {
		return 1
	}
	return min(max(float64(expected)/float64(q.serviceTimes.ServiceTime), minLength), maxLength)
}

// itemCost returns the cost of an item, its length divided by its weight.
func itemCost(item Item, length float64) float64 {
	if item.Weight == 0 {
		return length
	}
	return length / min(max(item.Weight, minWeight), maxWeight)
}

// missesDeadline reports whether the entry's deadline is earlier than its estimated
// completion. It reports false if no item is ahead: otherwise outdated service times
// could cause every item to be refused and would never be measured again.
func (q *Queue) missesDeadline(now time.Time, entry queuedItem) bool {
	ahead := q.lengthAhead(now, entry)
	if ahead == 0 {
		return false
	}
	wait := time.Duration((ahead + 1) * float64(q.serviceTimes.PopInterval))
	return now.Add(wait + q.serviceTime(now, entry.Item)).After(entry.Deadline)
}

// lengthAhead estimates the sum of the lengths of the items that will be popped before the entry.
func (q *Queue) lengthAhead(now time.Time, entry queuedItem) float64 {
	own := q.teams[entry.Team]
	need, ahead := entry.cost, 0.0
	if own != nil {
		for _, other := range own.items {
			if !expired(other.Item, now) && !entry.Deadline.Before(other.Deadline) {
				need += other.cost
				ahead += other.length
			}
		}
		need -= own.deficit
	}
	quantum := min(q.quantum(), entry.length)
	spend := math.Ceil(need/quantum) * quantum
	for _, t := range q.activeTeams {
		if t != own {
			ahead += t.affordableLength(now, spend)
		}
	}
	return ahead
}

// affordableLength returns the sum of the lengths of the unexpired items that the team can pop with its
// deficit and the given quanta.
func (t *teamQueue) affordableLength(now time.Time, quanta float64) float64 {
	left, sum := t.deficit+quanta, 0.0
	for _, entry := range t.items {
		if expired(entry.Item, now) {
			continue
		}
		left -= entry.cost
		if left < 0 {
			break
		}
		sum += entry.length
	}
	return sum
}

// insert adds the entry to its team's items in order of the deadlines.
func (q *Queue) insert(entry queuedItem) {
	t := q.teamQueueFor(entry.Team)
	if len(t.items) == 0 {
		q.activeTeams = append(q.activeTeams, t)
	}
	at := len(t.items)
	for at > 0 && entry.Deadline.Before(t.items[at-1].Deadline) {
		at--
	}
	t.items = append(t.items, queuedItem{})
	copy(t.items[at+1:], t.items[at:])
	t.items[at] = entry
	q.length++
	q.work += entry.length
}

func (q *Queue) teamQueueFor(name string) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{}
		q.teams[name] = t
	}
	return t
}

// dropIdleTeams drops teams without items when there are more than maxIdleTeams:
// first those with negligible usage, then all of them if that is not enough.
func (q *Queue) dropIdleTeams() {
	for _, limit := range []float64{negligibleUsage, math.Inf(1)} {
		if len(q.teams)-len(q.activeTeams) <= maxIdleTeams {
			return
		}
		maps.DeleteFunc(q.teams, func(_ string, t *teamQueue) bool {
			return len(t.items) == 0 && q.usage(t) < limit
		})
	}
}

// evict removes one item from a queue that exceeds its maximum length by one.
func (q *Queue) evict(now time.Time) Refusal {
	for _, t := range q.activeTeams {
		for i := range t.items {
			if q.isLate(now, t.items[i].Item) {
				return Refusal{Item: q.remove(t, i), Reason: DeadlinePassed}
			}
		}
	}
	victim := q.activeTeams[0]
	for _, t := range q.activeTeams[1:] {
		if q.hasHigherUsage(t, victim) {
			victim = t
		}
	}
	return Refusal{Item: q.remove(victim, victim.newestIndex()), Reason: QueueFull}
}

// hasHigherUsage reports whether t has a higher usage than other or, if they are
// equal, a newer newest item, so that the pushing team loses ties. The cost of each
// newest item is left out; otherwise a team of low weight would lose its only item.
func (q *Queue) hasHigherUsage(t, other *teamQueue) bool {
	newest, otherNewest := t.items[t.newestIndex()], other.items[other.newestIndex()]
	ownUsage, otherUsage := q.usage(t)-newest.cost, q.usage(other)-otherNewest.cost
	if ownUsage != otherUsage {
		return ownUsage > otherUsage
	}
	return newest.seq > otherNewest.seq
}

// usage returns the total cost of the team's queued and recently served items.
func (q *Queue) usage(t *teamQueue) float64 {
	sum := q.recentUsage(t)
	for i := range t.items {
		sum += t.items[i].cost
	}
	return sum
}

// recentUsage returns the cost of the team's served items, decayed by what was popped
// since then.
func (q *Queue) recentUsage(t *teamQueue) float64 {
	return t.servedCost * math.Exp2(-(q.popped-t.servedCostAtPop)/q.usageHalfLifePops)
}

// newestIndex returns the index of the item that was pushed last.
func (t *teamQueue) newestIndex() int {
	newest := 0
	for i := range t.items {
		if t.items[i].seq > t.items[newest].seq {
			newest = i
		}
	}
	return newest
}
