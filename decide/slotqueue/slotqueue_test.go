package slotqueue

import (
	"slices"
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
				item := Item{ID: id, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), IsCall: rapid.Bool().Draw(t, "call"), Deadline: now.Add(time.Second)}
				result, displaced := q.Push(now, item, time.Hour)
				switch result {
				case Granted:
					running++
				case Queued:
					waiting[id] = true
				}
				for _, item := range displaced {
					if !waiting[item.ID] {
						t.Fatalf("request %d was displaced although it does not wait", item.ID)
					}
					delete(waiting, item.ID)
				}
			case 1:
				if running > 0 {
					running--
					q.Release(now, Item{}, 100*time.Millisecond)
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
		q.Release(start, Item{}, 0)
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
	q.Release(start, Item{}, 2*time.Second)
	q.Push(start, Item{ID: 2, Deadline: start.Add(time.Minute)}, time.Hour)
	if v, _ := q.Push(start, Item{ID: 3, Deadline: start.Add(time.Second)}, time.Hour); v != MissesDeadline {
		t.Errorf("result %d for a request that cannot start in time", v)
	}
	if v, _ := q.Push(start, Item{ID: 4, Deadline: start.Add(time.Minute)}, 0); v != WaitTooLong {
		t.Errorf("result %d for a request with a maximum wait of 0", v)
	}
}

// Guards against queueing a request for longer than its maximum wait, after which
// another server would be faster.
func TestWaitIsBounded(t *testing.T) {
	q := New(1, 10)
	deadline := start.Add(time.Minute)
	q.Push(start, Item{ID: 1, Deadline: deadline}, time.Hour)
	q.Release(start, Item{}, 100*time.Millisecond)
	q.Push(start, Item{ID: 2, Deadline: deadline}, time.Hour)
	if v, _ := q.Push(start, Item{ID: 3, Deadline: deadline}, 150*time.Millisecond); v != Queued {
		t.Errorf("result %d for an expected wait of one service time", v)
	}
	if v, _ := q.Push(start, Item{ID: 4, Deadline: deadline}, 150*time.Millisecond); v != WaitTooLong {
		t.Errorf("result %d for an expected wait of two service times", v)
	}
}

// Guards against calls that are refused because less urgent requests fill the queue: the
// request that makes the call holds a slot elsewhere and fails with it.
func TestFullQueueYieldsToCalls(t *testing.T) {
	q := New(1, 2)
	deadline := start.Add(time.Minute)
	for id := range uint64(3) {
		q.Push(start, Item{ID: id, Deadline: deadline}, time.Hour)
	}
	result, displaced := q.Push(start.Add(time.Minute/2), Item{ID: 3, Rank: 9, IsCall: true, Deadline: deadline}, time.Hour)
	if result != Queued || len(displaced) != 1 || displaced[0].ID != 2 {
		t.Fatalf("result %d, displaced %v, want the last request displaced", result, displaced)
	}
	if result, _ := q.Push(start.Add(time.Minute/2), Item{ID: 4, Deadline: deadline}, time.Hour); result != QueueFull {
		t.Errorf("result %d for a request at the end of a full queue", result)
	}
	q.Release(start, Item{}, 0)
	if item, _ := q.Pop(start.Add(time.Minute / 2)); item.ID != 3 {
		t.Errorf("request %d goes before the call", item.ID)
	}
}

// Guards against a service that serves nothing but calls when they overload it, and against
// calls that lose their precedence to requests that hold a slot for longer.
func TestCallsDoNotStarveOtherRequests(t *testing.T) {
	q := New(1, 20)
	now, id := start, uint64(0)
	held := map[bool]time.Duration{}
	for range 3000 {
		for i := range 4 { // three calls and one other request
			id++
			q.Push(now, Item{ID: id, Rank: i, IsCall: i > 0, Deadline: now.Add(3 * time.Second)}, 3*time.Second)
		}
		item, ok := q.Pop(now)
		if !ok {
			item = Item{ID: 1}
		}
		took := 300 * time.Millisecond
		if item.IsCall {
			took = 100 * time.Millisecond
		}
		held[item.IsCall] += took
		now = now.Add(took)
		q.Release(now, item, took)
		q.RemoveExpired(now)
	}
	share := float64(held[false]) / float64(held[false]+held[true])
	if share < 0.15 || share > 0.25 {
		t.Errorf("other requests than calls get %.2f of the slot time, want a fifth", share)
	}
}

// Guards against requests that find no place in a queue full of calls, although a quarter of the places is theirs.
func TestOtherRequestsGetTheirPlacesInAQueueFullOfCalls(t *testing.T) {
	q := New(1, 16)
	deadline := start.Add(time.Hour)
	for id := range uint64(17) {
		q.Push(start, Item{ID: id, IsCall: true, Deadline: deadline}, time.Hour)
	}
	for id := range uint64(5) {
		result, displaced := q.Push(start, Item{ID: 100 + id, Deadline: deadline}, time.Hour)
		switch {
		case id < 4 && (result != Queued || len(displaced) != 1 || displaced[0].ID != 16-id):
			t.Errorf("request %d: result %d, displaced %v", id, result, displaced)
		case id == 4 && result != QueueFull:
			t.Errorf("request %d: result %d beyond its share", id, result)
		}
	}
	if result, _ := q.Push(start, Item{ID: 200, IsCall: true, Deadline: deadline}, time.Hour); result != QueueFull || q.Waiting() != 16 {
		t.Errorf("result %d for a call at the end of the calls, %d wait", result, q.Waiting())
	}
	var order []uint64
	for range 16 {
		q.Release(start, Item{}, 0)
		item, _ := q.Pop(start)
		order = append(order, item.ID)
	}
	if want := []uint64{1, 2, 3, 4, 100, 5, 6, 7, 8, 101, 9, 10, 11, 12, 102, 103}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

// Guards against short calls that are refused, since they would miss their deadline with the
// service time of long requests in the same slots.
func TestDeadlineOfCallsIsJudgedByTheServiceTimeOfCalls(t *testing.T) {
	q := New(1, 10)
	long, call := Item{ID: 1, Deadline: start.Add(time.Minute)}, Item{ID: 2, IsCall: true, Deadline: start.Add(300 * time.Millisecond)}
	q.Push(start, long, time.Hour)
	q.Release(start, long, time.Second)
	q.Push(start, call, time.Hour)
	q.Release(start, call, 100*time.Millisecond)
	if result, _ := q.Push(start, call, time.Hour); result != Granted {
		t.Fatalf("result %d", result)
	}
	q.Release(start, call, 0)
	q.Push(start, long, time.Hour)
	if result, _ := q.Push(start.Add(-time.Second), Item{ID: 3, IsCall: true, Deadline: start.Add(200 * time.Millisecond)}, time.Hour); result != Queued {
		t.Errorf("result %d for a call of 100 ms with 1.2 s left", result)
	}
	if expired := q.RemoveExpired(start.Add(100 * time.Millisecond)); len(expired) != 0 {
		t.Errorf("a call with 100 ms left was removed")
	}
}

// limitWindow is the window in which the starts of a limited server are counted.
const limitWindow = 4 * time.Second

// Guards against more requests at a server than the rate that it accepts permits, also
// when the rate changes and requests wait.
func TestStartsStayWithinTheRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		q := New(50, 50)
		q.LimitStarts(start, rate)
		now, id := start, uint64(0)
		var starts []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			q.LimitStarts(now, rate)
			id++
			if result, _ := q.Push(now, Item{ID: id, Deadline: now.Add(time.Minute)}, time.Minute); result == Granted {
				starts = append(starts, now)
			}
			for _, ok := q.Pop(now); ok; _, ok = q.Pop(now) {
				starts = append(starts, now)
			}
			for q.Running() > 40 {
				q.Release(now, Item{}, 0)
			}
		}
		for i := range starts {
			n := 0
			for n < len(starts)-i && starts[i+n].Sub(starts[i]) < limitWindow {
				n++
			}
			if permitted := 1.5*rate*limitWindow.Seconds() + 5; float64(n) > permitted {
				t.Fatalf("%d starts within %v at %.2f per second, permitted %.1f", n, limitWindow, rate, permitted)
			}
		}
	})
}

// Guards against requests that wait for the rate limit although they cannot be answered
// in time, and against a queue that does not wake up when the next request may start.
func TestWaitForTheRateLimitIsForeseen(t *testing.T) {
	q := New(7, 28)
	q.LimitStarts(start, 0.5)
	deadline := start.Add(5 * time.Second)
	results := make([]PushResult, 4)
	for i := range results {
		results[i], _ = q.Push(start, Item{ID: uint64(i), Deadline: deadline}, time.Minute)
	}
	if want := []PushResult{Granted, Queued, Queued, MissesDeadline}; !slices.Equal(results, want) {
		t.Errorf("results %v, want %v", results, want)
	}
	if next, ok := q.NextEvent(start); !ok || !next.Equal(start.Add(2*time.Second)) {
		t.Errorf("next event %v after the start, want 2 s", next.Sub(start))
	}
	if wait := q.StartWait(start); wait != 6*time.Second {
		t.Errorf("a further request waits %v, want 6 s", wait)
	}
	q.AllowAllStarts()
	if _, ok := q.Pop(start); !ok {
		t.Error("no start after the limit has ended")
	}
}

// Guards against more than one request beyond the rate of a cold server in any second, also
// beside a limit that the server names and after a pause.
func TestSpacedStartsHaveNoBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 20).Draw(t, "rate")
		q := New(50, 50)
		now, id := start, uint64(0)
		q.Push(now, Item{ID: id, Deadline: now.Add(time.Minute)}, time.Minute) // not limited yet
		var starts []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			q.SpaceStarts(now, rate)
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				q.LimitStarts(now, rapid.Float64Range(0, 30).Draw(t, "named"))
			case 1:
				q.AllowAllStarts()
			}
			id++
			if result, _ := q.Push(now, Item{ID: id, Deadline: now.Add(time.Minute)}, time.Minute); result == Granted {
				starts = append(starts, now)
			}
			for _, ok := q.Pop(now); ok; _, ok = q.Pop(now) {
				starts = append(starts, now)
			}
			for q.Running() > 0 {
				q.Release(now, Item{}, 0)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		for i := range starts {
			n := 0
			for n < len(starts)-i && starts[i+n].Sub(starts[i]) < time.Second {
				n++
			}
			if float64(n) > rate+1 {
				t.Fatalf("%d starts within a second at %.2f per second", n, rate)
			}
		}
	})
}

// Guards against the full rate at a server that has just started again and whose list entry
// does not tell yet.
func TestServerIsColdAfterItWasLost(t *testing.T) {
	var w WarmUp
	if _, cold := w.Cold(start); cold {
		t.Error("cold without a reason")
	}
	w.Lost(start)
	lostFor := start.Add(time.Minute)
	if until, cold := w.Cold(lostFor); !cold || !until.IsZero() {
		t.Errorf("lost: cold %v until %v", cold, until)
	}
	w.Reached(lostFor, start.Add(-time.Second), 3*time.Second)
	if _, cold := w.Cold(lostFor); !cold {
		t.Error("warm after an answer to a request from before the loss")
	}
	w.Reached(lostFor, start.Add(time.Second), 3*time.Second)
	w.Reached(lostFor.Add(time.Second), lostFor, 3*time.Second)
	if until, cold := w.Cold(lostFor); !cold || !until.Equal(lostFor.Add(3*time.Second)) {
		t.Errorf("reached again: cold %v until %v", cold, until)
	}
	w.SetListed(lostFor.Add(5 * time.Second))
	if _, cold := w.Cold(lostFor.Add(4 * time.Second)); !cold {
		t.Error("warm although its entry says that it is cold")
	}
	if _, cold := w.Cold(lostFor.Add(5 * time.Second)); cold {
		t.Error("cold for ever")
	}
}
