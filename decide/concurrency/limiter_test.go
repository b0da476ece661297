package concurrency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const slots = 7

// Guards against a limit of 0, at which a backend server would never get a request
// again, and against more running requests than it has slots.
func TestLimitStaysBetweenOneAndTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "slots")
		now, l := start, New(start, n)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "acquire") || l.InFlight() == 0 {
				before := l.InFlight()
				if got := l.Acquire(now); got != (before < l.Limit()) {
					t.Fatalf("acquire = %v with %d running and limit %d", got, before, l.Limit())
				}
			} else {
				l.Release(now, Sample{
					Class:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
					Latency: time.Duration(rapid.IntRange(0, 4000).Draw(t, "latency")) * time.Millisecond,
					Outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
				})
			}
			if l.Limit() < 1 || l.Limit() > n || l.InFlight() > n {
				t.Fatalf("limit %d, running %d, slots %d", l.Limit(), l.InFlight(), n)
			}
		}
	})
}

// runAtLimit keeps all slots of the limiter in use for the given time, against a
// server whose latency depends on the number of running requests. It returns the
// mean number of running requests in the second half.
func runAtLimit(l *Limiter, now *time.Time, span time.Duration, latency func(running int) (time.Duration, Outcome)) float64 {
	sum, rounds := 0, 0
	end := now.Add(span)
	half := now.Add(span / 2)
	for now.Before(end) {
		for l.Acquire(*now) {
		}
		running := l.InFlight()
		took, outcome := latency(running)
		*now = now.Add(took)
		if now.After(half) {
			sum += running
			rounds++
		}
		for range running {
			l.Release(*now, Sample{Class: "c", Latency: took, Outcome: outcome})
		}
	}
	return float64(sum) / float64(rounds)
}

func uncontended(int) (time.Duration, Outcome) { return 25 * time.Millisecond, Completed }

// withExternalLoad models a server that also runs requests from outside the fleet
// and queues those that exceed its slots.
func withExternalLoad(others int) func(int) (time.Duration, Outcome) {
	return func(running int) (time.Duration, Outcome) {
		share := max(float64(running+others)/slots, 1)
		return time.Duration(share * float64(25*time.Millisecond)), Completed
	}
}

// Guards against a limiter that ignores load from outside the fleet, or keeps a low
// limit after that load has ended.
func TestLimitFollowsExternalLoad(t *testing.T) {
	now, l := start, New(start, slots)
	if got := runAtLimit(l, &now, 5*time.Second, uncontended); got != slots {
		t.Fatalf("limit without external load: %.1f, want %d", got, slots)
	}
	if got := runAtLimit(l, &now, 20*time.Second, withExternalLoad(6)); got > 6 {
		t.Errorf("limit while external load uses 6 slots: %.1f, want at most 6", got)
	}
	runAtLimit(l, &now, 10*time.Second, uncontended)
	if l.Limit() != slots {
		t.Errorf("limit 10 s after external load ended: %d, want %d", l.Limit(), slots)
	}
}

// Guards against sending as many requests as before to a backend server that
// sheds them.
func TestShedAnswersLowerTheLimit(t *testing.T) {
	now, l := start, New(start, slots)
	shedAbove := func(n int) func(int) (time.Duration, Outcome) {
		return func(running int) (time.Duration, Outcome) {
			if running > n {
				return 25 * time.Millisecond, Shed
			}
			return 25 * time.Millisecond, Completed
		}
	}
	if got := runAtLimit(l, &now, 10*time.Second, shedAbove(3)); got > 4 {
		t.Errorf("limit %.1f while requests beyond 3 are shed, want at most 4", got)
	}
	runAtLimit(l, &now, 10*time.Second, uncontended)
	if l.Limit() != slots {
		t.Errorf("limit 10 s after shedding ended: %d, want %d", l.Limit(), slots)
	}
}

// Guards against a limit that stays low after latency rose for a reason other than
// the number of requests. Two rounds at 3 times the latency take less than 3 s.
func TestLimitIsRestoredIfCutsDoNotLowerLatency(t *testing.T) {
	now, l := start, New(start, slots)
	runAtLimit(l, &now, 5*time.Second, uncontended)
	slow := func(int) (time.Duration, Outcome) { return 75 * time.Millisecond, Completed }
	runAtLimit(l, &now, 3*time.Second, slow)
	if l.Limit() != slots {
		t.Errorf("limit %d on a server that is three times slower at any load, want %d", l.Limit(), slots)
	}
}

// Guards against a limit that stays at 1 while load from outside the fleet
// overloads the backend server. Fewer requests would only leave more slots to that
// load.
func TestLimitLeavesOneUnderExternalOverload(t *testing.T) {
	now, l := start, New(start, slots)
	runAtLimit(l, &now, 5*time.Second, uncontended)
	if got := runAtLimit(l, &now, 60*time.Second, withExternalLoad(20)); got < 2 {
		t.Errorf("limit %.1f while 20 external requests are running, want at least 2", got)
	}
}

// Guards against a limit that stays low because no completed request raises it.
func TestLimitRecoversWithoutTraffic(t *testing.T) {
	now, l := start, New(start, slots)
	for range 20 {
		now = now.Add(time.Second / 2)
		l.Acquire(now)
		l.Release(now, Sample{Outcome: Shed})
	}
	if l.Limit() != 1 {
		t.Fatalf("limit %d after shedding, want 1", l.Limit())
	}
	for range slots {
		now = now.Add(idleGrowthInterval)
		if l.Acquire(now) {
			l.Release(now, Sample{Outcome: Ignored})
		}
	}
	if l.Limit() != slots {
		t.Errorf("limit %d after %d idle intervals, want %d", l.Limit(), slots, slots)
	}
}

func ExampleLimiter() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	l := New(now, 3)
	for l.Acquire(now) {
	}
	fmt.Println("running:", l.InFlight(), "limit:", l.Limit())
	l.Release(now, Sample{Outcome: Shed})
	fmt.Println("running:", l.InFlight(), "limit:", l.Limit())
	// Output:
	// running: 3 limit: 3
	// running: 2 limit: 2
}
