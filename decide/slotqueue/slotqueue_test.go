package slotqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a server that gets more requests at once than it has slots,
// and against requests that are lost or granted twice.
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
				for _, item := range q.Expire(now) {
					if !waiting[item.ID] {
						t.Fatalf("request %d expired although it does not wait", item.ID)
					}
					delete(waiting, item.ID)
				}
			}
			for item, ok := q.Next(now); ok; item, ok = q.Next(now) {
				if !waiting[item.ID] {
					t.Fatalf("request %d was granted although it does not wait", item.ID)
				}
				delete(waiting, item.ID)
				running++
			}
			if running > slots || q.Running() != running || q.Waiting() != len(waiting) {
				t.Fatalf("running %d of %d slots, queue says %d running %d waiting", running, slots, q.Running(), q.Waiting())
			}
		}
	})
}

// Guards against urgent requests that wait behind less urgent ones, and against
// less urgent ones that wait for ever.
func TestUrgentRequestsGoFirstButNobodyStarves(t *testing.T) {
	q := New(1, 10)
	deadline := start.Add(time.Minute)
	q.Push(start, Item{ID: 1, Deadline: deadline}, time.Hour)
	q.Push(start, Item{ID: 2, Rank: 2, Deadline: deadline}, time.Hour)
	q.Push(start.Add(time.Millisecond), Item{ID: 3, Deadline: deadline}, time.Hour)
	q.Push(start.Add(3*RankDelay), Item{ID: 4, Deadline: deadline}, time.Hour)
	for _, want := range []uint64{3, 2, 4} {
		q.Release(0)
		if item, _ := q.Next(start.Add(3 * RankDelay)); item.ID != want {
			t.Fatalf("got %d, want %d", item.ID, want)
		}
	}
}

// Guards against requests that are kept although they cannot be served in time:
// a late refusal leaves the caller no time to go elsewhere.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	q := New(1, 10)
	q.Push(start, Item{ID: 1, Deadline: start.Add(time.Minute)}, time.Hour)
	q.Release(2 * time.Second)
	q.Push(start, Item{ID: 2, Deadline: start.Add(time.Minute)}, time.Hour)
	if v := q.Push(start, Item{ID: 3, Deadline: start.Add(time.Second)}, time.Hour); v != TooLate {
		t.Errorf("verdict %d for a request that cannot start in time", v)
	}
	if v := q.Push(start, Item{ID: 4, Deadline: start.Add(time.Minute)}, 0); v != Full {
		t.Errorf("verdict %d for a request that does not wait", v)
	}
}

// Guards against a request that waits for a slot for longer than it would take
// to go to another server.
func TestWaitIsBounded(t *testing.T) {
	q := New(1, 10)
	deadline := start.Add(time.Minute)
	q.Push(start, Item{ID: 1, Deadline: deadline}, time.Hour)
	q.Release(100 * time.Millisecond)
	q.Push(start, Item{ID: 2, Deadline: deadline}, time.Hour)
	if v := q.Push(start, Item{ID: 3, Deadline: deadline}, 150*time.Millisecond); v != Queued {
		t.Errorf("verdict %d for a wait of one service time", v)
	}
	if v := q.Push(start, Item{ID: 4, Deadline: deadline}, 150*time.Millisecond); v != Full {
		t.Errorf("verdict %d for a wait of two service times", v)
	}
}
