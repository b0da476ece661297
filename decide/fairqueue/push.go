package fairqueue

import (
	"maps"
	"math"
	"time"
)

// Push adds an item. The refusal names the item that was not accepted: the
// pushed one when its deadline cannot be met, or, when the queue is full, an
// expired item or else the newest item of the team that uses the queue most:
// queued and served lately. Looking back lets a team that sends no more than its
// share keep its bursts.
func (q *Queue) Push(now time.Time, item Item) Refusal {
	if expired(item, now) {
		return Refusal{Item: item, Reason: DeadlinePassed}
	}
	entry := queued{Item: item, seq: q.seq, cost: cost(item)}
	q.seq++
	if q.tooLate(now, entry) {
		return Refusal{Item: item, Reason: DeadlineTooShort}
	}
	q.insert(entry)
	q.forget()
	if q.length <= q.bound {
		return Refusal{}
	}
	return q.evict(now)
}

func expired(item Item, now time.Time) bool {
	return !now.Before(item.Deadline)
}

// horizon is the time before which a deadline is useless: now, or later by half of
// the typical service time, within which hardly any answer arrives. The pace
// counts only while pops are recent, since without pops it is not measured again.
func (q *Queue) horizon(now time.Time) time.Time {
	if now.Sub(q.popped) > q.pace.Service {
		return now
	}
	return now.Add(q.pace.Service / 2)
}

func cost(item Item) float64 {
	if item.Worth == 0 {
		return quantum
	}
	return quantum / min(max(item.Worth, minWorth), maxWorth)
}

// tooLate judges by the estimate only while other items wait: otherwise an
// outdated pace could refuse everything and would never be measured again.
func (q *Queue) tooLate(now time.Time, entry queued) bool {
	ahead := q.ahead(now, entry)
	if ahead == 0 {
		return false
	}
	wait := time.Duration(ahead+1) * q.pace.Interval
	return now.Add(wait + q.pace.Service).After(entry.Deadline)
}

// ahead counts the items that will be popped before the entry.
func (q *Queue) ahead(now time.Time, entry queued) int {
	own := q.teams[entry.Team]
	need, count := entry.cost, 0
	if own != nil {
		for _, other := range own.items {
			if !expired(other.Item, now) && !entry.Deadline.Before(other.Deadline) {
				need += other.cost
				count++
			}
		}
		need -= own.deficit
	}
	spend := math.Ceil(need/quantum) * quantum
	for _, t := range q.active {
		if t != own {
			count += t.affordable(now, spend)
		}
	}
	return count
}

// affordable counts the live items that the team can pop when it gets the given
// quanta.
func (t *teamQueue) affordable(now time.Time, quanta float64) int {
	left, count := t.deficit+quanta, 0
	for _, entry := range t.items {
		if expired(entry.Item, now) {
			continue
		}
		left -= entry.cost
		if left < 0 {
			break
		}
		count++
	}
	return count
}

func (q *Queue) insert(entry queued) {
	t := q.team(entry.Team)
	if len(t.items) == 0 {
		q.active = append(q.active, t)
	}
	at := len(t.items)
	for at > 0 && entry.Deadline.Before(t.items[at-1].Deadline) {
		at--
	}
	t.items = append(t.items, queued{})
	copy(t.items[at+1:], t.items[at:])
	t.items[at] = entry
	q.length++
}

func (q *Queue) team(name string) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{}
		q.teams[name] = t
	}
	return t
}

// forget drops idle teams when too many are remembered: those with hardly any
// recent use, and all of them if that is not enough.
func (q *Queue) forget() {
	for _, use := range []float64{forgottenUse, math.Inf(1)} {
		if len(q.teams)-len(q.active) <= maxIdleTeams {
			return
		}
		maps.DeleteFunc(q.teams, func(_ string, t *teamQueue) bool {
			return len(t.items) == 0 && q.use(t) < use
		})
	}
}

// evict removes one item from a queue that is one item too long.
func (q *Queue) evict(now time.Time) Refusal {
	horizon := q.horizon(now)
	for _, t := range q.active {
		if expired(t.items[0].Item, horizon) {
			return Refusal{Item: q.remove(t, 0), Reason: DeadlinePassed}
		}
	}
	victim := q.active[0]
	for _, t := range q.active[1:] {
		if q.usesMore(t, victim) {
			victim = t
		}
	}
	return Refusal{Item: q.remove(victim, victim.newest()), Reason: Full}
}

// usesMore compares by use, then by the newest item, so that among equals the
// pushing team yields. The newest item itself does not count, or a team of little
// worth would lose its only item.
func (q *Queue) usesMore(t, other *teamQueue) bool {
	mine, theirs := t.items[t.newest()], other.items[other.newest()]
	use, otherUse := q.use(t)-mine.cost, q.use(other)-theirs.cost
	if use != otherUse {
		return use > otherUse
	}
	return mine.seq > theirs.seq
}

// use is the cost of the items that the team has queued and was served lately.
func (q *Queue) use(t *teamQueue) float64 {
	sum := q.recent(t)
	for i := range t.items {
		sum += t.items[i].cost
	}
	return sum
}

// recent is the decayed cost of the items that the team was served.
func (q *Queue) recent(t *teamQueue) float64 {
	return t.served * math.Exp2(-float64(q.pops-t.servedAt)/q.memory)
}

func (t *teamQueue) newest() int {
	newest := 0
	for i := range t.items {
		if t.items[i].seq > t.items[newest].seq {
			newest = i
		}
	}
	return newest
}
