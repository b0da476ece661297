package servicetime

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against an estimate that stays in force because all requests of its kind are refused.
func TestEstimateExpiresWithoutRuns(t *testing.T) {
	e := New[string]()
	e.Observe(start, "a", 2*time.Second)
	if got := e.Expected(start.Add(MaxAge), "a"); got != 2*time.Second {
		t.Errorf("expected %v after %v", got, MaxAge)
	}
	later := start.Add(MaxAge + 2*time.Second + time.Millisecond)
	if got := e.Expected(later, "a"); got != 0 {
		t.Errorf("expected %v %v after the last run", got, later.Sub(start))
	}
	e.Observe(later, "a", 10*time.Millisecond)
	if got := e.Expected(later, "a"); got != 10*time.Millisecond {
		t.Errorf("expected %v after a run of 10ms, which is the only recent one", got)
	}
}

// Guards against memory that grows with the number of routes.
func TestNumberOfKindsIsBounded(t *testing.T) {
	e := New[int]()
	for kind := range 10 * maxKinds {
		e.Observe(start.Add(time.Duration(kind)*time.Microsecond), kind, time.Second)
	}
	if len(e.byKind) != maxKinds || e.Expected(start, 10*maxKinds-1) == 0 || e.Expected(start, 0) != 0 {
		t.Errorf("%d kinds; the last one has %v, the first one %v", len(e.byKind), e.Expected(start, 10*maxKinds-1), e.Expected(start, 0))
	}
}
