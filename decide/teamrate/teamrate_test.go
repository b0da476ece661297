package teamrate

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// tolerance is the tolerance of both deployments.
var tolerance = Tolerance{Window: 5 * time.Second, ExcessRatio: 0.25, SlackTokens: 20}

// Guards against a bucket that grants more than MaxGranted within any window.
func TestBucketGrantsAtMostMaxGranted(t *testing.T) {
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
				if bound := l.MaxGranted(g.at.Sub(grants[i].at)); float64(sum) > bound+1e-6 {
					t.Fatalf("%d tokens in %v, bound %.2f", sum, g.at.Sub(grants[i].at), bound)
				}
			}
		}
	})
}

// Guards against refusing a team that stays within its rate while its owner does not
// change.
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

// Guards against exceeding the rate while no process can reach an owner and each
// uses its fallback bucket.
func TestFallbackBucketsTogetherStayWithinTheRate(t *testing.T) {
	l := Limit{Rate: 27, Burst: 27, Tolerance: tolerance}
	const processes = 27
	sum := 0
	for position := range processes {
		b := NewFallbackBucket(start, l, position, processes)
		for i := range 500 {
			sum += b.TakeFallback(start.Add(time.Duration(i)*10*time.Millisecond), l, processes, 1)
		}
	}
	if limit := 5*fallbackShare*l.Rate + fallbackBurstShare*l.Burst; float64(sum) > limit {
		t.Errorf("%d tokens in 5 s, limit %.0f", sum, limit)
	}
}

// Guards against exceeding the tolerance when the owner changes within a window and
// both owners grant tokens.
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
		if float64(sum) > l.MaxPermitted() {
			t.Fatalf("%d tokens, permitted %.1f", sum, l.MaxPermitted())
		}
	})
}

// Guards against an owner whose bucket holds less than the burst although the team
// sent no requests for a while.
func TestIdleOwnerHoldsTheWholeBurst(t *testing.T) {
	l := Limit{Rate: 10, Burst: 20, Tolerance: tolerance}
	if got := NewBucket(start.Add(-10*time.Second), l).Take(start, l, 100); float64(got) < l.Burst {
		t.Errorf("%d tokens after 10 s without use, want the burst", got)
	}
}

// Guards against a token for each of many processes that decide on their own, whatever
// the limit of the team.
func TestManyFallbackBucketsDoNotStartWithATokenEach(t *testing.T) {
	l := Limit{Rate: 2, Burst: 2, Tolerance: tolerance}
	const processes = 300
	sum := 0
	for position := range processes {
		sum += NewFallbackBucket(start, l, position, processes).TakeFallback(start, l, processes, 1)
	}
	if float64(sum) > l.Burst {
		t.Errorf("%d tokens at once, burst %.0f", sum, l.Burst)
	}
}
