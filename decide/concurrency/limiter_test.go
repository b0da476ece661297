package concurrency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const slots = 7

// Guards against a limit of 0, which would stop a backend server for good, and
// against more requests than it has slots.
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

// load keeps the limiter in full use for the given time against a server whose
// latency depends on the requests running there, and returns the mean limit of
// the last half.
func load(l *Limiter, now *time.Time, span time.Duration, latency func(running int) (time.Duration, Outcome)) float64 {
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

func quiet(int) (time.Duration, Outcome) { return 25 * time.Millisecond, Completed }

// sister adds the requests of the sister firm; the server queues what exceeds its
// slots.
func sister(others int) func(int) (time.Duration, Outcome) {
	return func(running int) (time.Duration, Outcome) {
		share := max(float64(running+others)/slots, 1)
		return time.Duration(share * float64(25*time.Millisecond)), Completed
	}
}

// Guards against a limiter that ignores the unseen load of the sister firm, or
// keeps its low limit after that load has left.
func TestLimitFollowsTheSisterFirm(t *testing.T) {
	now, l := start, New(start, slots)
	if got := load(l, &now, 5*time.Second, quiet); got != slots {
		t.Fatalf("limit without other load: %.1f, want %d", got, slots)
	}
	if got := load(l, &now, 20*time.Second, sister(6)); got > 6 {
		t.Errorf("limit while the sister firm uses 6 slots: %.1f, want at most 6", got)
	}
	load(l, &now, 10*time.Second, quiet)
	if l.Limit() != slots {
		t.Errorf("limit 10 s after the sister firm left: %d, want %d", l.Limit(), slots)
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
	if got := load(l, &now, 10*time.Second, shedAbove(3)); got > 4 {
		t.Errorf("limit %.1f while more than 3 are shed", got)
	}
	load(l, &now, 10*time.Second, quiet)
	if l.Limit() != slots {
		t.Errorf("limit 10 s after shedding ended: %d, want %d", l.Limit(), slots)
	}
}

// Guards against a loss of slots when latency rises for a reason that fewer
// requests do not cure: two rounds at 3 times the latency take under 3 s.
func TestSlownessThatCutsDoNotCureIsAccepted(t *testing.T) {
	now, l := start, New(start, slots)
	load(l, &now, 5*time.Second, quiet)
	slow := func(int) (time.Duration, Outcome) { return 75 * time.Millisecond, Completed }
	load(l, &now, 3*time.Second, slow)
	if l.Limit() != slots {
		t.Errorf("limit %d on a server that is three times slower at any load, want %d", l.Limit(), slots)
	}
}

// Guards against a limit of 1 for as long as the sister firm overloads the
// backend server: fewer requests would only give it more room.
func TestLimitOfOneDoesNotLast(t *testing.T) {
	now, l := start, New(start, slots)
	load(l, &now, 5*time.Second, quiet)
	if got := load(l, &now, 60*time.Second, sister(20)); got < 2 {
		t.Errorf("limit %.1f while the sister firm has 20 requests running, want at least 2", got)
	}
}

// Guards against a limit that stays low because no request arrives to raise it.
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
		now = now.Add(idleGrowth)
		if l.Acquire(now) {
			l.Release(now, Sample{Outcome: Ignored})
		}
	}
	if l.Limit() != slots {
		t.Errorf("limit %d after %d quiet steps, want %d", l.Limit(), slots, slots)
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
