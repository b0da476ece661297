package slotqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// learn lets the queue know how long requests of a route take.
func learn(t interface{ Fatalf(string, ...any) }, q *Queue, now time.Time, route string, took time.Duration) {
	item := Item{Route: route, Deadline: now.Add(time.Hour)}
	if result, _ := q.Push(now, item, 0); result != Granted {
		t.Fatalf("result %d for the first request of %s", result, route)
	}
	q.Release(now, item, took)
}

// Guards against a short request that is refused, or expires, since it would wait for long ones that can wait for it.
func TestShortRequestIsNotRefusedForTheLongOnesAhead(t *testing.T) {
	for _, slots := range []int{1, 2, 7, 13} {
		for _, long := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second} {
			for rank := range 4 {
				t.Run(fmt.Sprintf("%d slots, %v, rank %d", slots, long, rank), func(t *testing.T) {
					q := New(slots, MaxWaiting)
					learn(t, q, start, "long", long)
					learn(t, q, start, "short", time.Millisecond)
					learn(t, q, start, "long", long)
					now := start.Add(10 * time.Second)
					for id := range slots + MaxWaiting - 1 {
						arrival := now.Add(-2 * time.Second)
						if id < slots { // they end one after the other
							arrival = now.Add(-long * time.Duration(id) / time.Duration(slots))
						}
						q.Push(arrival, Item{ID: uint64(id), Route: "long", Rank: rank, Deadline: start.Add(time.Hour)}, time.Hour)
					}
					left := 2 * long / time.Duration(slots)
					if result, _ := q.Push(now, Item{ID: 1000, Route: "short", Rank: 1, Deadline: now.Add(left)}, left); result != Queued {
						t.Fatalf("result %d for a request of 1 ms with %v left", result, left)
					}
					q.Release(now, Item{Route: "long"}, 0)
					if item, _ := q.Pop(now); item.ID != 1000 {
						t.Errorf("request %d goes before the short one", item.ID)
					}
				})
			}
		}
	}
}

// load is a queue whose requests run for exactly the time of their route.
type load struct {
	*Queue
	times   map[string]time.Duration
	running []Item
	ends    []time.Time // of running
	started func(Item)
}

func (l *load) start(now time.Time, item Item) {
	l.running, l.ends = append(l.running, item), append(l.ends, now.Add(l.times[item.Route]))
}

// advance lets requests end and others start until now.
func (l *load) advance(now time.Time) {
	for len(l.running) > 0 {
		first := 0
		for i, end := range l.ends {
			if end.Before(l.ends[first]) {
				first = i
			}
		}
		item, end := l.running[first], l.ends[first]
		if end.After(now) {
			return
		}
		l.running, l.ends = slices.Delete(l.running, first, first+1), slices.Delete(l.ends, first, first+1)
		l.Release(end, item, l.times[item.Route])
		for next, ok := l.Pop(end); ok; next, ok = l.Pop(end) {
			l.start(end, next)
			l.started(next)
		}
	}
}

// Guards against long requests that starve beside a flood of short ones, and against more urgent ones that wait for less urgent ones.
func TestShortRequestsDelayALongOneByAtMostItsOwnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type waiting struct {
			Item
			arrived time.Time
			delay   [6]time.Duration // by later requests that are at least so many ranks less urgent
		}
		var queued []*waiting
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		l := &load{Queue: New(slots, 100), times: map[string]time.Duration{"a": time.Millisecond, "b": 20 * time.Millisecond, "c": 300 * time.Millisecond, "d": 2 * time.Second}}
		for _, route := range []string{"a", "b", "c", "d"} {
			learn(t, l.Queue, start, route, l.times[route])
		}
		l.started = func(item Item) {
			at := slices.IndexFunc(queued, func(w *waiting) bool { return w.ID == item.ID })
			started := queued[at]
			queued = slices.Delete(queued, at, at+1)
			for _, w := range queued {
				byRankAndAge := started.arrived.Add(time.Duration(started.Rank) * DelayPerRank).Before(w.arrived.Add(time.Duration(w.Rank) * DelayPerRank))
				if started.ID < w.ID || byRankAndAge {
					continue
				}
				for lessUrgent := range max(started.Rank-w.Rank, 0) + 1 {
					w.delay[lessUrgent] += l.times[item.Route] / time.Duration(slots)
					if limit := l.times[w.Route] / time.Duration(1+lessUrgent); w.delay[lessUrgent] > limit {
						t.Fatalf("request of %v is delayed by %v by later ones that are at least %d ranks less urgent, at most %v", l.times[w.Route], w.delay[lessUrgent], lessUrgent, limit)
					}
				}
			}
		}
		now := start
		for id := range uint64(rapid.IntRange(10, 200).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			l.advance(now)
			item := Item{ID: id, Route: rapid.SampledFrom([]string{"a", "a", "b", "c", "d"}).Draw(t, "route"), Rank: rapid.IntRange(0, 5).Draw(t, "rank"), Deadline: now.Add(time.Hour)}
			switch result, _ := l.Push(now, item, time.Hour); result {
			case Granted:
				l.start(now, item)
			case Queued:
				queued = append(queued, &waiting{Item: item, arrived: now})
			}
		}
	})
}

// Guards against long requests of a new route that all pass the others until the first of them has ended.
func TestRequestsOfAnUnknownRoutePassOneAtATime(t *testing.T) {
	q := New(1, 10)
	learn(t, q, start, "known", time.Second)
	deadline := start.Add(time.Hour)
	for id := range uint64(3) {
		q.Push(start, Item{ID: id, Route: "known", Deadline: deadline}, time.Hour)
	}
	for id := range uint64(2) {
		q.Push(start, Item{ID: 10 + id, Route: "new", Deadline: deadline}, time.Hour)
	}
	var order []uint64
	for range 4 {
		q.Release(start, Item{}, 0)
		item, _ := q.Pop(start)
		order = append(order, item.ID)
	}
	if want := "[10 1 2 11]"; fmt.Sprint(order) != want {
		t.Errorf("order %v, want %s", order, want)
	}
}

// Guards against long requests that wait for the first ones of many routes, each of which may take as long.
func TestUnknownRoutesDelayALongRequestByAtMostItsOwnTime(t *testing.T) {
	q := New(2, MaxWaiting)
	learn(t, q, start, "long", time.Second)
	for range 100 {
		learn(t, q, start, "short", time.Millisecond)
	}
	push := func(id uint64, route string) {
		q.Push(start, Item{ID: id, Route: route, Deadline: start.Add(time.Hour)}, time.Hour)
	}
	for id := range uint64(3) {
		push(id, "long")
	}
	for id := range uint64(8) {
		push(10+id, fmt.Sprint("new ", id))
	}
	for starts := range 3 {
		q.Release(start, Item{}, 0)
		if item, _ := q.Pop(start); item.ID == 2 {
			return
		} else if starts == q.slots {
			t.Errorf("the long request waits for %d others of routes that have never run", starts+1)
		}
	}
}
