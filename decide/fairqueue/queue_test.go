package fairqueue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// serviceTime is the typical service time that random steps report.
const serviceTime = 25 * time.Millisecond

// itemTracker tracks each pushed item until it leaves the queue.
type itemTracker struct {
	waiting map[uint64]Item
	next    uint64
}

func (a *itemTracker) markLeft(t *rapid.T, item Item, how string) {
	if _, ok := a.waiting[item.ID]; !ok {
		t.Fatalf("item %d left twice, now as %s", item.ID, how)
	}
	delete(a.waiting, item.ID)
}

// Guards against items that are lost or returned twice, expired items that are
// popped, and a queue that grows beyond its maximum length.
func TestEachItemLeavesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q, now := New(slots), start
		a := itemTracker{waiting: make(map[uint64]Item)}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			a.step(t, q, now)
			if q.Len() > LengthPerSlot*slots || q.Len() != len(a.waiting) {
				t.Fatalf("length %d, %d items waiting, bound %d", q.Len(), len(a.waiting), LengthPerSlot*slots)
			}
		}
		for _, item := range q.Expire(now.Add(time.Hour)) {
			a.markLeft(t, item, "expired")
		}
		if len(a.waiting) > 0 || q.Len() > 0 {
			t.Fatalf("%d items were lost, length %d", len(a.waiting), q.Len())
		}
	})
}

func (a *itemTracker) step(t *rapid.T, q *Queue, now time.Time) {
	switch rapid.IntRange(0, 9).Draw(t, "op") {
	case 0:
		for _, item := range q.Expire(now) {
			if item.Deadline.After(now.Add(serviceTime / 2)) {
				t.Fatalf("item %d expired early", item.ID)
			}
			a.markLeft(t, item, "expired")
		}
	case 1, 2, 3:
		if item, ok := q.Pop(now); ok {
			if !item.Deadline.After(now) {
				t.Fatalf("expired item %d was popped", item.ID)
			}
			a.markLeft(t, item, "popped")
		}
	case 4:
		id := uint64(rapid.IntRange(0, int(a.next)).Draw(t, "id"))
		_, waits := a.waiting[id]
		if item, ok := q.Remove(id); ok != waits {
			t.Fatalf("remove = %v, waiting = %v", ok, waits)
		} else if ok {
			a.markLeft(t, item, "removed")
		}
	case 5:
		ms := rapid.IntRange(0, 20).Draw(t, "pop interval ms")
		q.SetServiceTimes(ServiceTimes{PopInterval: time.Duration(ms) * time.Millisecond, ServiceTime: serviceTime})
	default:
		a.push(t, q, now)
	}
}

func (a *itemTracker) push(t *rapid.T, q *Queue, now time.Time) {
	item := Item{
		ID:       a.next,
		Team:     fmt.Sprint("team-", rapid.IntRange(0, 4).Draw(t, "team")),
		Weight:   rapid.SampledFrom([]float64{0, 0.001, 0.5, 1, 3, 1e6}).Draw(t, "weight"),
		Deadline: now.Add(time.Duration(rapid.IntRange(-5, 300).Draw(t, "deadline")) * time.Millisecond),
	}
	a.next++
	a.waiting[item.ID] = item
	if refusal := q.Push(now, item); refusal.Reason != Accepted {
		a.markLeft(t, refusal.Item, "refused")
	}
}

// Guards against a team that gets more than the share of its weight while other
// teams have items.
func TestSharesFollowWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(7)
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 5).Draw(t, "weights")
		total, id := 0, uint64(0)
		push := func(team int) {
			id++
			q.Push(start, Item{ID: id, Team: fmt.Sprint(team), Weight: float64(weights[team]), Deadline: start.Add(time.Hour)})
		}
		for team, weight := range weights {
			total += weight
			for range 5 {
				push(team)
			}
		}
		got := make([]int, len(weights))
		pops := 40*total + rapid.IntRange(0, total).Draw(t, "extra")
		for range pops {
			item, _ := q.Pop(start)
			var team int
			_, _ = fmt.Sscan(item.Team, &team)
			got[team]++
			push(team)
		}
		for team, weight := range weights {
			want := float64(pops) * float64(weight) / float64(total)
			// The shares of deficit round robin are exact to one turn of each team.
			if math.Abs(float64(got[team])-want) > 2*float64(weight)+1 {
				t.Fatalf("team %d of weight %d of %v got %d of %d, want %.0f", team, weight, weights, got[team], pops, want)
			}
		}
	})
}

// Guards against starvation of a team that sends little while others flood the
// queue.
func TestNoTeamStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, id := New(7), uint64(1)
		noisy := rapid.IntRange(1, 6).Draw(t, "noisy teams")
		weight := rapid.Float64Range(minWeight, 8).Draw(t, "weight of the noisy teams")
		quiet := rapid.Float64Range(0.1, 1).Draw(t, "weight of the quiet team")
		flood := func() {
			for team := range noisy {
				for range 8 {
					id++
					q.Push(start, Item{ID: id, Team: fmt.Sprint(team), Weight: weight, Deadline: start.Add(time.Hour)})
				}
			}
		}
		flood()
		q.Push(start, Item{ID: 1, Team: "quiet", Weight: quiet, Deadline: start.Add(time.Hour)})
		rounds := math.Ceil(1/quiet) + 1
		limit := int(rounds*math.Ceil(weight)) * noisy
		for pops := 0; ; pops++ {
			item, _ := q.Pop(start)
			if item.ID == 1 {
				return
			}
			if pops > limit {
				t.Fatalf("not served within %d pops", limit)
			}
			flood()
		}
	})
}

func pushAll(q *Queue, items ...Item) []Refusal {
	var refused []Refusal
	for _, item := range items {
		if r := q.Push(start, item); r.Reason != Accepted {
			refused = append(refused, r)
		}
	}
	return refused
}

func startPlusMS(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against popping a request with a late deadline before one of the same team
// that is about to miss its deadline.
func TestEarliestDeadlineFirstWithinATeam(t *testing.T) {
	q := New(2)
	pushAll(
		q,
		Item{ID: 1, Team: "a", Deadline: startPlusMS(300)},
		Item{ID: 2, Team: "a", Deadline: startPlusMS(100)},
		Item{ID: 3, Team: "a", Deadline: startPlusMS(200)},
	)
	for _, want := range []uint64{2, 3, 1} {
		if item, _ := q.Pop(start); item.ID != want {
			t.Fatalf("popped %d, want %d", item.ID, want)
		}
	}
}

// Guards against a full queue that refuses items of teams that send little.
func TestFullQueueRefusesTheTeamWithMostItems(t *testing.T) {
	q := New(1)
	refused := pushAll(
		q,
		Item{ID: 1, Team: "noisy", Deadline: startPlusMS(900)},
		Item{ID: 2, Team: "noisy", Deadline: startPlusMS(100)},
		Item{ID: 3, Team: "noisy", Deadline: startPlusMS(800)},
		Item{ID: 4, Team: "small", Deadline: startPlusMS(900)},
		Item{ID: 5, Team: "other", Deadline: startPlusMS(900)},
	)
	if len(refused) != 1 || refused[0].Item.ID != 3 || refused[0].Reason != QueueFull {
		t.Fatalf("refused %+v, want item 3, the newest of the noisy team", refused)
	}
	if r := q.Push(startPlusMS(150), Item{ID: 6, Team: "small", Deadline: startPlusMS(900)}); r.Item.ID != 2 || r.Reason != DeadlinePassed {
		t.Fatalf("refused %+v, want the expired item 2", r)
	}
}

// Guards against refusing the burst of a team that was served less than the others
// recently, because it has the most items in the queue at the moment.
func TestFullQueueRefusesTheTeamServedMostRecently(t *testing.T) {
	q := New(1)
	for id := range uint64(6) {
		pushAll(q, Item{ID: id, Team: "large", Deadline: startPlusMS(900)})
		q.Pop(start)
	}
	pushAll(
		q,
		Item{ID: 10, Team: "small", Deadline: startPlusMS(900)},
		Item{ID: 11, Team: "small", Deadline: startPlusMS(900)},
		Item{ID: 12, Team: "small", Deadline: startPlusMS(900)},
		Item{ID: 13, Team: "large", Deadline: startPlusMS(900)},
	)
	if r := q.Push(start, Item{ID: 14, Team: "small", Deadline: startPlusMS(900)}); r.Item.ID != 13 {
		t.Errorf("refused %+v, want item 13 of the large team", r)
	}
	for id := range uint64(4 * usageHalfLifePopsPerSlot) {
		pushAll(q, Item{ID: 100 + id, Team: "small", Deadline: startPlusMS(900)})
		q.Pop(start)
	}
	pushAll(q, Item{ID: 20, Team: "large", Deadline: startPlusMS(900)})
	if r := q.Push(start, Item{ID: 21, Team: "large", Deadline: startPlusMS(900)}); r.Item.Team != "small" {
		t.Errorf("refused %+v, want one of the small team: the large team was not served recently", r)
	}
}

// Guards against memory use that grows with the number of teams ever seen.
func TestIdleTeamsAreDropped(t *testing.T) {
	q := New(1)
	for id := range uint64(1000) {
		pushAll(q, Item{ID: id, Team: fmt.Sprint(id), Deadline: startPlusMS(900)})
		q.Pop(start)
	}
	if len(q.teams) > maxIdleTeams+1 {
		t.Errorf("the queue keeps %d teams, want at most %d", len(q.teams), maxIdleTeams+1)
	}
}

// Guards against running requests whose answers would be too late, and against
// outdated service times that cause every item to be refused.
func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	q := New(7)
	q.SetServiceTimes(ServiceTimes{PopInterval: 100 * time.Millisecond, ServiceTime: time.Second})
	short, long := startPlusMS(1150), startPlusMS(1250)
	refused := pushAll(
		q,
		Item{ID: 1, Team: "a", Deadline: startPlusMS(1000)}, // accepted: no item is ahead
		Item{ID: 2, Team: "b", Deadline: short},
		Item{ID: 3, Team: "b", Deadline: long},
		Item{ID: 4, Team: "b", Deadline: long},
	)
	if len(refused) != 2 || refused[0].Item.ID != 2 || refused[1].Item.ID != 4 || refused[0].Reason != DeadlineTooShort {
		t.Fatalf("refused %+v, want items 2 and 4", refused)
	}
	if r := q.Push(start, Item{ID: 5, Team: "a", Deadline: start}); r.Reason != DeadlinePassed {
		t.Fatalf("reason %d for a deadline that has passed", r.Reason)
	}
}

// Guards against a timer that wakes the dispatcher after items have expired without
// an answer.
func TestNextExpiryIsTheEarliestDeadline(t *testing.T) {
	q := New(2)
	if _, ok := q.NextExpiry(); ok {
		t.Error("an empty queue needs no timer")
	}
	pushAll(q, Item{ID: 1, Team: "a", Deadline: startPlusMS(300)}, Item{ID: 2, Team: "b", Deadline: startPlusMS(100)})
	if next, ok := q.NextExpiry(); !ok || !next.Equal(startPlusMS(100)) {
		t.Errorf("next expiry %v, want 100 ms", next.Sub(start))
	}
}

// Guards against heap allocations for each request on the dispatcher's hot path.
func TestPushAndPopAllocateNothing(t *testing.T) {
	q := New(7)
	items := benchItems(20)
	pushAndPopAll(q, items)
	if n := testing.AllocsPerRun(100, func() { pushAndPopAll(q, items) }); n != 0 {
		t.Errorf("%.1f allocations for 20 pushes and pops, want 0", n)
	}
}

func benchItems(n int) []Item {
	items := make([]Item, n)
	for i := range items {
		items[i] = Item{ID: uint64(i), Team: fmt.Sprint(i % 8), Weight: float64(i%3 + 1), Deadline: startPlusMS(1000)}
	}
	return items
}

func pushAndPopAll(q *Queue, items []Item) {
	for _, item := range items {
		q.Push(start, item)
	}
	for range items {
		q.Pop(start)
	}
}

func BenchmarkPushPop(b *testing.B) {
	q, items := New(7), benchItems(20)
	q.SetServiceTimes(ServiceTimes{PopInterval: 4 * time.Millisecond, ServiceTime: 25 * time.Millisecond})
	b.ReportAllocs()
	for range b.N {
		pushAndPopAll(q, items)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(items)), "ns/item")
}

func ExampleQueue() {
	q := New(1) // one slot: at most 4 items wait
	deadline := start.Add(time.Second)
	for id := uint64(1); id <= 3; id++ {
		q.Push(start, Item{ID: id, Team: "large", Deadline: deadline})
	}
	q.Push(start, Item{ID: 4, Team: "small", Deadline: deadline})
	refusal := q.Push(start, Item{ID: 5, Team: "small", Deadline: deadline})
	fmt.Println("refused:", refusal.Item.ID, refusal.Item.Team)
	for item, ok := q.Pop(start); ok; item, ok = q.Pop(start) {
		fmt.Println("run:", item.ID, item.Team)
	}
	// Output:
	// refused: 3 large
	// run: 1 large
	// run: 4 small
	// run: 2 large
	// run: 5 small
}
