package slotqueue

import (
	"testing"
	"time"
)

// Guards against refusing a request behind short ones, and against queueing one that expires behind long ones,
// because the wait is taken from the mean of all requests.
func TestWaitIsThatOfTheRequestsAhead(t *testing.T) {
	for name, c := range map[string]struct {
		usual, ahead string // routes
		left         time.Duration
		want         PushResult
	}{
		"short ones ahead of it, long ones as a rule": {usual: "long", ahead: "short", left: 300 * time.Millisecond, want: Queued},
		"long ones ahead of it, short ones as a rule": {usual: "short", ahead: "long", left: 2 * time.Second, want: WaitTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1, MaxWaiting)
			learn(t, q, start, "long", time.Second)
			learn(t, q, start, "short", 10*time.Millisecond)
			learn(t, q, start, "other", 800*time.Millisecond)
			for range 100 {
				learn(t, q, start, c.usual, q.ServiceTime(start, Item{Route: c.usual}))
			}
			for id := range uint64(6) {
				q.Push(start, Item{ID: id, Route: c.ahead, Deadline: start.Add(time.Hour)}, time.Hour)
			}
			item := Item{ID: 10, Route: "other", Deadline: start.Add(time.Hour)}
			if result, _ := q.Push(start, item, c.left); result != c.want {
				t.Errorf("result %d with %v left and an expected wait of %v", result, c.left, q.Outlook(start, item).Wait)
			}
		})
	}
}

// Guards against entry proxies that expect hardly any wait behind long requests, and name that as Retry-After, because short ones ran before.
func TestExpectedServiceTimeIsThatOfTheRequestsThere(t *testing.T) {
	q := New(2, MaxWaiting)
	learn(t, q, start, "long", time.Second)
	for range 100 {
		learn(t, q, start, "short", time.Millisecond)
	}
	for id := range uint64(10) {
		q.Push(start, Item{ID: id, Route: "long", Deadline: start.Add(time.Hour)}, time.Hour)
	}
	q.Push(start, Item{ID: 100, Route: "short", Deadline: start.Add(time.Hour)}, time.Hour)
	if got := q.ExpectedServiceTime(start); got != time.Second {
		t.Errorf("%v while requests of a second run and wait", got)
	}
}
