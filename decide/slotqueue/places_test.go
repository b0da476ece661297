package slotqueue

import (
	"testing"
	"time"
)

// Guards against short requests that push long ones out of the queue, and against a queue that grows without bounds.
func TestShortRequestsDisplaceNoLongOnes(t *testing.T) {
	q := New(2, MaxWaiting)
	learn(t, q, start, "long", time.Second)
	learn(t, q, start, "short", time.Millisecond)
	push := func(id uint64, route string) PushResult {
		result, displaced := q.Push(start, Item{ID: id, Route: route, Deadline: start.Add(time.Hour)}, time.Hour)
		if len(displaced) > 0 {
			t.Errorf("request %d of route %s displaces %d of route %s", id, route, displaced[0].ID, displaced[0].Route)
		}
		return result
	}
	for id := range uint64(2 + MaxWaiting) {
		push(id, "long")
	}
	if result := push(100, "long"); result != QueueFull {
		t.Errorf("result %d for a long request when long ones take all places", result)
	}
	for id := range uint64(maxRequestsPerPlace*MaxWaiting - MaxWaiting) {
		if result := push(200+id, "short"); result != Queued {
			t.Fatalf("short request %d: result %d", id, result)
		}
	}
	if result := push(300, "short"); result != QueueFull {
		t.Errorf("result %d for a short request when %d requests wait", result, q.Waiting())
	}
	q.Release(start, Item{}, 0)
	q.Pop(start)
	if result := push(301, "long"); result != QueueFull {
		t.Errorf("result %d for a long request after a short one has left", result)
	}
}
