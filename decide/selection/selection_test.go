package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against requests that cannot be retried being sent to a server without
// recent evidence to explore its health.
func TestOnlyRetryableRequestsExplore(t *testing.T) {
	candidates := []Candidate{
		{GrayFailureProbability: 0.2, EvidenceAge: 5 * time.Second, Slots: 7, SameZone: true},
		{GrayFailureProbability: 0.02, EvidenceAge: 100 * time.Millisecond, Slots: 7, Running: 3, SameZone: true},
	}
	r := Request{TargetLatency: 2500 * time.Millisecond, Bytes: 5000}
	if got := Choose(r, candidates, newRand()); got != 1 {
		t.Errorf("a non-retryable request went to the server without recent evidence")
	}
	r.Idempotent, r.Retryable = true, true
	if got := Choose(r, candidates, newRand()); got != 0 {
		t.Errorf("a retryable request did not go to the idle server without recent evidence")
	}
}

// Guards against choosing a server that is probably in a gray failure while a
// healthy one has free slots, and against preferring a long queue to a free slot.
func TestCostPrefersHealthyServerWithFreeSlots(t *testing.T) {
	r := Request{TargetLatency: 2500 * time.Millisecond}
	good := Candidate{GrayFailureProbability: 0.05, Slots: 7, Running: 5, SameZone: true}
	bad := Candidate{GrayFailureProbability: 0.8, Slots: 7, SameZone: true}
	queue := Candidate{GrayFailureProbability: 0.05, Slots: 7, Running: 7, QueuedAhead: 20, SameZone: true, MeanServiceTime: time.Second}
	if ExpectedCost(r, &good) >= ExpectedCost(r, &bad) || ExpectedCost(r, &good) >= ExpectedCost(r, &queue) {
		t.Errorf("good %.3f, bad %.3f, queue %.3f", ExpectedCost(r, &good), ExpectedCost(r, &bad), ExpectedCost(r, &queue))
	}
}

// Guards against sending requests to a server that fails fast, and therefore looks
// idle, while the others are busy: a late answer is better than a failure. A queue
// that is longer than the time left is no better than a failure.
func TestQueueCostsLessThanLikelyFailure(t *testing.T) {
	r := Request{TargetLatency: 600 * time.Millisecond, TimeLeft: 2 * time.Second}
	bad := Candidate{GrayFailureProbability: 0.9, Slots: 7, SameZone: true}
	queue := Candidate{GrayFailureProbability: 0.02, Slots: 7, Running: 7, QueuedAhead: 30, SameZone: true, MeanServiceTime: 250 * time.Millisecond}
	if queue.EstimatedWait() < r.TargetLatency || ExpectedCost(r, &queue) >= ExpectedCost(r, &bad) {
		t.Errorf("wait %v: queue %.3f, bad %.3f", queue.EstimatedWait(), ExpectedCost(r, &queue), ExpectedCost(r, &bad))
	}
	r.TimeLeft = time.Second
	if ExpectedCost(r, &queue) < ExpectedCost(r, &bad) {
		t.Errorf("no time left for the queue: queue %.3f, bad %.3f", ExpectedCost(r, &queue), ExpectedCost(r, &bad))
	}
}

// Guards against choosing an excluded server.
func TestExcludedServersAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		excluded := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "barred")
		candidates := make([]Candidate, len(excluded))
		available := false
		for i := range candidates {
			candidates[i] = Candidate{GrayFailureProbability: rapid.Float64Range(0, 1).Draw(t, "bad"), Slots: 7, Excluded: excluded[i]}
			available = available || !excluded[i]
		}
		got := Choose(Request{TargetLatency: time.Second}, candidates, newRand())
		if (got >= 0) != available || (got >= 0 && excluded[got]) {
			t.Fatalf("chose %d of %v", got, excluded)
		}
	})
}

// Guards against requests that go to a server at its rate limit while others have free
// slots, and that avoid it although all others are busy for longer.
func TestServerAtItsRateLimitIsUsedLast(t *testing.T) {
	r := Request{TargetLatency: 2 * time.Second, TimeLeft: 8 * time.Second, Bytes: 2000}
	free := Candidate{Running: 3, Slots: 7, MeanServiceTime: time.Second}
	busy := Candidate{Running: 7, QueuedAhead: 14, Slots: 7, MeanServiceTime: time.Second}
	limited := Candidate{Slots: 7, MeanServiceTime: time.Second, RateLimited: true, StartWait: 500 * time.Millisecond}
	if ExpectedCost(r, &limited) <= ExpectedCost(r, &free) {
		t.Error("a server at its rate limit costs less than one with free slots")
	}
	if ExpectedCost(r, &limited) >= ExpectedCost(r, &busy) {
		t.Error("a server at its rate limit costs more than one with a wait of two seconds")
	}
	if wait := limited.EstimatedWait(); wait != limited.StartWait {
		t.Errorf("estimated wait %v, want %v", wait, limited.StartWait)
	}
}
