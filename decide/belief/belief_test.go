package belief

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against detection that needs several failures: after a series of
// successes, a single failure must rank a server below one without outcomes.
func TestOneFailureOutweighsSuccesses(t *testing.T) {
	s := New(start)
	now := start
	for range 5 {
		now = now.Add(300 * time.Millisecond)
		s = s.Observe(now, Succeeded)
	}
	if s.BadProbability(now) > PriorBadProbability/2 {
		t.Fatalf("probability %.3f after five successes, want at most half of the prior", s.BadProbability(now))
	}
	s = s.Observe(now.Add(300*time.Millisecond), Failed)
	if got := s.BadProbability(now.Add(300 * time.Millisecond)); got <= PriorBadProbability {
		t.Fatalf("probability %.3f after a failure, want above the prior %.3f", got, PriorBadProbability)
	}
}

// Guards against servers that are avoided permanently after they have recovered.
func TestEstimateDecaysToPrior(t *testing.T) {
	s := New(start).Observe(start, Failed)
	if got := s.BadProbability(start.Add(4 * MeanBadDuration)); got > PriorBadProbability*1.2 {
		t.Fatalf("after 24 s the probability is %.3f, want about %.3f", got, PriorBadProbability)
	}
}

// Guards against estimates outside of the bounds, which later outcomes could not
// reverse, and against outcomes that move the estimate in the wrong direction.
func TestEstimateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(start), start
		for _, o := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "ms")) * time.Millisecond)
			s = s.Observe(now, Outcome(o))
			if p := s.BadProbability(now); p < minProbability || p > maxProbability {
				t.Fatalf("probability %v out of bounds", p)
			}
		}
		worse := s.Observe(now, Failed)
		better := s.Observe(now, Succeeded)
		if worse.BadProbability(now) < s.BadProbability(now) || better.BadProbability(now) > s.BadProbability(now) {
			t.Fatalf("an outcome moved the estimate in the wrong direction")
		}
	})
}
