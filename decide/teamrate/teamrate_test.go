package teamrate

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// tolerance is that of both deployments.
var tolerance = Tolerance{Window: 5 * time.Second, Excess: 0.25, Slack: 20}

// Guards against a bucket that grants more than its bound over any window, or
// refuses a team that stays within its rate.
func TestBucketKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(0.5, 60).Draw(t, "rate"), Burst: rapid.Float64Range(0, 60).Draw(t, "burst"), Tolerance: tolerance}
		b := NewBucket(start, l)
		type grant struct {
			at time.Time
			n  int
		}
		var grants []grant
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			grants = append(grants, grant{now, b.Take(now, l, rapid.IntRange(1, 8).Draw(t, "want"))})
		}
		for i := range grants {
			sum := 0
			for _, g := range grants[i:] {
				sum += g.n
				if bound := l.Bound(g.at.Sub(grants[i].at)); float64(sum) > bound+1e-6 {
					t.Fatalf("%d tokens in %v, bound %.2f", sum, g.at.Sub(grants[i].at), bound)
				}
			}
		}
	})
}

// Guards against refusals within the rate without faults.
func TestTeamWithinItsRateIsNeverRefused(t *testing.T) {
	l := Limit{Rate: 10, Burst: 10, Tolerance: tolerance}
	b := NewBucket(start, l)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if b.Take(now, l, 1) != 1 {
			t.Fatalf("refused at %v", now.Sub(start))
		}
	}
}

// Guards against a fleet without owners that exceeds the rate.
func TestProcessesAloneStayWithinTheRateTogether(t *testing.T) {
	l := Limit{Rate: 27, Burst: 27, Tolerance: tolerance}
	const processes = 27
	sum := 0
	for range processes {
		b := NewAloneBucket(start)
		for i := range 500 {
			sum += b.TakeAlone(start.Add(time.Duration(i)*10*time.Millisecond), l, processes, 1)
		}
	}
	if limit := 5*l.Rate + l.Burst; float64(sum) > limit {
		t.Errorf("%d tokens in 5 s, limit %.0f", sum, limit)
	}
}

// Guards against an owner that is replaced within a window and a successor that
// together exceed what the deployment permits.
func TestTwoOwnersInTurnStayWithinTheTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(0.5, 80).Draw(t, "rate"), Burst: rapid.Float64Range(1, 80).Draw(t, "burst"), Tolerance: tolerance}
		change := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "change_ms")) * time.Millisecond)
		first := NewBucket(start.Add(-time.Minute), l)
		second := NewBucket(change, l)
		sum := 0
		for at := start; at.Before(start.Add(tolerance.Window)); at = at.Add(10 * time.Millisecond) {
			owner := first
			if at.After(change) {
				owner = second
			}
			sum += owner.Take(at, l, 100)
		}
		if float64(sum) > l.Permitted() {
			t.Fatalf("%d tokens, permitted %.1f", sum, l.Permitted())
		}
	})
}

// Guards against an owner that refuses a team although nobody has used its burst.
func TestOwnerThatWaitedHoldsTheWholeBurst(t *testing.T) {
	l := Limit{Rate: 10, Burst: 20, Tolerance: tolerance}
	if got := NewBucket(start.Add(-10*time.Second), l).Take(start, l, 100); float64(got) < l.Burst {
		t.Errorf("%d tokens after 10 s without use, want the burst", got)
	}
}
