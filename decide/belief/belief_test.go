package belief

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against detection that waits for several failures: one failure of a
// server with good evidence must already make it a worse choice than one
// without evidence.
func TestOneFailureOutweighsGoodEvidence(t *testing.T) {
	s := New(start)
	now := start
	for range 5 {
		now = now.Add(300 * time.Millisecond)
		s = s.Observe(now, Succeeded)
	}
	if s.Bad(now) > Prior/2 {
		t.Fatalf("five successes leave %.3f", s.Bad(now))
	}
	s = s.Observe(now.Add(300*time.Millisecond), Failed)
	if got := s.Bad(now.Add(300 * time.Millisecond)); got <= Prior {
		t.Fatalf("a failure gives %.3f, want above the prior %.3f", got, Prior)
	}
}

// Guards against servers that are avoided for good after they have recovered.
func TestEvidenceIsForgotten(t *testing.T) {
	s := New(start).Observe(start, Failed)
	if got := s.Bad(start.Add(4 * BadTime)); got > Prior*1.2 {
		t.Fatalf("after 12 s the probability is %.3f, want about %.3f", got, Prior)
	}
}

// Guards against estimates outside of the bounds, which later evidence could not
// turn.
func TestEstimateStaysTurnable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(start), start
		for _, o := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "ms")) * time.Millisecond)
			s = s.Observe(now, Outcome(o))
			if p := s.Bad(now); p < least || p > most {
				t.Fatalf("probability %v", p)
			}
		}
		worse := s.Observe(now, Failed)
		better := s.Observe(now, Succeeded)
		if worse.Bad(now) < s.Bad(now) || better.Bad(now) > s.Bad(now) {
			t.Fatalf("an outcome moved the estimate the wrong way")
		}
	})
}
