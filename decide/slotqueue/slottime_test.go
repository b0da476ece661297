package slotqueue

import (
	"testing"
	"time"
)

// Guards against long requests that count as short, and hold up short ones, since only those that failed at once have ended yet.
func TestRequestsThatStillRunCountForTheirKind(t *testing.T) {
	q := New(2, MaxWaiting)
	for range 10 {
		learn(t, q, start, "long", time.Millisecond)
	}
	learn(t, q, start, "short", time.Millisecond)
	for id := range uint64(10) {
		q.Push(start, Item{ID: id, Route: "long", Deadline: start.Add(time.Hour)}, time.Hour)
	}
	now := start.Add(5 * time.Second)
	if wait := q.Outlook(now, Item{Route: "long"}).Wait; wait < 2*time.Second {
		t.Errorf("a wait of %v behind eight requests like those that have held all slots for 5s", wait)
	}
	q.Push(now, Item{ID: 100, Route: "short", Deadline: now.Add(time.Hour)}, time.Hour)
	q.Release(now, Item{Route: "long"}, 0)
	if item, _ := q.Pop(now); item.ID != 100 {
		t.Errorf("request %d goes before the short one", item.ID)
	}
}
