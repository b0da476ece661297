package slotqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against running more requests on a server than it has slots, and against
// requests that are lost or granted a slot twice.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		q := New(slots, 10)
		now, id := start, uint64(0)
		waiting := map[uint64]bool{}
		running := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				id++
				item := Item{ID: id, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Deadline: now.Add(time.Second)}
				switch q.Push(now, item, time.Hour) {
				case Granted:
					running++
				case Queued:
					waiting[id] = true
				}
			case 1:
				if running > 0 {
					running--
					q.Release(100 * time.Millisecond)
				}
			case 2:
				for _, item := range q.RemoveExpired(now) {
					if !waiting[item.ID] {
						t.Fatalf("request %d expired although it does not wait", item.ID)
					}
					delete(waiting, item.ID)
				}
			}
			for item, ok := q.Pop(now); ok; item, ok = q.Pop(now) {
				if !waiting[item.ID] {
					t.Fatalf("request %d was granted although it does not wait", item.ID)
				}
				delete(waiting, item.ID)
				running++
			}
			if running > slots || q.Running() != running || q.Waiting() != len(waiting) {
				t.Fatalf("running %d of %d slots, queue reports %d running, %d waiting", running, slots, q.Running(), q.Waiting())
			}
		}
	})
}

// Guards against urgent requests that wait behind less urgent ones, and against
// starvation of less urgent ones.
func TestUrgentRequestsGoFirstWithoutStarvation(t *testing.T) {
	q := New(1, 10)
	deadline := start.Add(time.Minute)
	q.Push(start, Item{ID: 1, Deadline: deadline}, time.Hour)
	q.Push(start, Item{ID: 2, Rank: 2, Deadline: deadline}, time.Hour)
	q.Push(start.Add(time.Millisecond), Item{ID: 3, Deadline: deadline}, time.Hour)
	q.Push(start.Add(3*DelayPerRank), Item{ID: 4, Deadline: deadline}, time.Hour)
	for _, want := range []uint64{3, 2, 4} {
		q.Release(0)
		if item, _ := q.Pop(start.Add(3 * DelayPerRank)); item.ID != want {
			t.Fatalf("got %d, want %d", item.ID, want)
		}
	}
}

// Guards against queueing requests that cannot be answered before their deadline: a
// late refusal leaves the caller no time to try another server.
func TestRequestsThatMissTheirDeadlineAreRefused(t *testing.T) {
	q := New(1, 10)
	q.Push(start, Item{ID: 1, Deadline: start.Add(time.Minute)}, time.Hour)
	q.Release(2 * time.Second)
	q.Push(start, Item{ID: 2, Deadline: start.Add(time.Minute)}, time.Hour)
	if v := q.Push(start, Item{ID: 3, Deadline: start.Add(time.Second)}, time.Hour); v != MissesDeadline {
		t.Errorf("result %d for a request that cannot start in time", v)
	}
	if v := q.Push(start, Item{ID: 4, Deadline: start.Add(time.Minute)}, 0); v != Refused {
		t.Errorf("result %d for a request with a maximum wait of 0", v)
	}
}

// Guards against queueing a request for longer than its maximum wait, after which
// another server would be faster.
func TestWaitIsBounded(t *testing.T) {
	q := New(1, 10)
	deadline := start.Add(time.Minute)
	q.Push(start, Item{ID: 1, Deadline: deadline}, time.Hour)
	q.Release(100 * time.Millisecond)
	q.Push(start, Item{ID: 2, Deadline: deadline}, time.Hour)
	if v := q.Push(start, Item{ID: 3, Deadline: deadline}, 150*time.Millisecond); v != Queued {
		t.Errorf("result %d for an expected wait of one service time", v)
	}
	if v := q.Push(start, Item{ID: 4, Deadline: deadline}, 150*time.Millisecond); v != Refused {
		t.Errorf("result %d for an expected wait of two service times", v)
	}
}
