package shutdown

import (
	"testing"
	"time"
)

// Guards against lost capacity if a process refuses attempts as soon as it begins to
// stop, and against work that is accepted too late to be finished before the deadline.
func TestNewWorkIsRefusedInTime(t *testing.T) {
	began := time.Now()
	for timeout, want := range map[time.Duration]struct{ callers, attempts time.Duration }{
		6 * time.Second:  {callerAcceptTime, callerDrainTime},
		10 * time.Second: {callerAcceptTime, callerDrainTime},
		3 * time.Second:  {200 * time.Millisecond, 200 * time.Millisecond},
		time.Second:      {0, 0},
	} {
		s := NewSchedule(began, timeout)
		for after := time.Millisecond; after < timeout; after += time.Millisecond {
			now := began.Add(after)
			if refused := s.RefusesCallers(now); refused != (after >= want.callers) && after != want.callers {
				t.Fatalf("timeout %v: callers refused after %v: %v", timeout, after, refused)
			}
			if refused := s.RefusesAttempts(now); refused != (after > want.attempts) && after != want.attempts {
				t.Fatalf("timeout %v: attempts refused after %v: %v", timeout, after, refused)
			}
		}
		if left := s.Deadline.Sub(s.LastStart()); left < 2*time.Second || !s.Deadline.Before(began.Add(timeout)) {
			t.Errorf("timeout %v: %v for an attempt to run, closes connections after %v", timeout, left, s.Deadline.Sub(began))
		}
	}
}

// Guards against calls of backend servers that are refused during a stop although they end
// before it, and against requests without a deadline that are taken for such.
func TestShortRequestsEndInTime(t *testing.T) {
	s := NewSchedule(time.Now(), 6*time.Second)
	for after, want := range map[time.Duration]bool{-time.Second: true, 0: true, time.Millisecond: false} {
		if got := s.EndsInTime(s.Deadline.Add(after)); got != want {
			t.Errorf("deadline %v after the end: %v", after, got)
		}
	}
	if s.EndsInTime(time.Time{}) {
		t.Error("a request without a deadline ends in time")
	}
}

// Guards against callers that come back while the process still stops.
func TestRetryAfterCoversTheRestart(t *testing.T) {
	began := time.Now()
	s := NewSchedule(began, 6*time.Second)
	for after := time.Duration(0); after < 6*time.Second; after += 100 * time.Millisecond {
		now := began.Add(after)
		if back := now.Add(s.RetryAfter(now)); !back.After(s.Deadline) || s.RetryAfter(now) > 7*time.Second {
			t.Errorf("%v after the stop began: Retry-After %v", after, s.RetryAfter(now))
		}
	}
}
