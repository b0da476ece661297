package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func chooser() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against requests that run once being used to find out about servers.
func TestRequestsThatRunOnceGoToFreshGoodEvidence(t *testing.T) {
	candidates := []Candidate{
		{Bad: 0.2, Evidence: 5 * time.Second, Slots: 7, SameZone: true},
		{Bad: 0.02, Evidence: 100 * time.Millisecond, Slots: 7, Running: 3, SameZone: true},
	}
	r := Request{Target: 2500 * time.Millisecond, Bytes: 5000}
	if got := Choose(r, candidates, chooser()); got != 1 {
		t.Errorf("a request that runs once went to the server without evidence")
	}
	r.Idempotent, r.Retryable = true, true
	if got := Choose(r, candidates, chooser()); got != 0 {
		t.Errorf("a repeatable request did not go to the idle server without evidence")
	}
}

// Guards against a known bad server being chosen while a good one has room, and
// against a long queue being preferred to a server without one.
func TestCostOrdersByHealthAndLoad(t *testing.T) {
	r := Request{Target: 2500 * time.Millisecond}
	good := Candidate{Bad: 0.05, Slots: 7, Running: 5, SameZone: true}
	bad := Candidate{Bad: 0.8, Slots: 7, SameZone: true}
	queue := Candidate{Bad: 0.05, Slots: 7, Running: 7, Waiting: 20, SameZone: true, Service: time.Second}
	if Cost(r, &good) >= Cost(r, &bad) || Cost(r, &good) >= Cost(r, &queue) {
		t.Errorf("good %.3f, bad %.3f, queue %.3f", Cost(r, &good), Cost(r, &bad), Cost(r, &queue))
	}
}

// Guards against requests that go to a server which fails at once, and so looks
// idle, while the others are busy: late is better than failed. A queue that is
// longer than the time left is no better.
func TestLateIsBetterThanFailed(t *testing.T) {
	r := Request{Target: 600 * time.Millisecond, Left: 2 * time.Second}
	bad := Candidate{Bad: 0.9, Slots: 7, SameZone: true}
	queue := Candidate{Bad: 0.02, Slots: 7, Running: 7, Waiting: 30, SameZone: true, Service: 250 * time.Millisecond}
	if queue.Wait() < r.Target || Cost(r, &queue) >= Cost(r, &bad) {
		t.Errorf("wait %v: queue %.3f, bad %.3f", queue.Wait(), Cost(r, &queue), Cost(r, &bad))
	}
	r.Left = time.Second
	if Cost(r, &queue) < Cost(r, &bad) {
		t.Errorf("no time left for the queue: queue %.3f, bad %.3f", Cost(r, &queue), Cost(r, &bad))
	}
}

// Guards against a barred server being chosen.
func TestBarredServersAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		barred := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "barred")
		candidates := make([]Candidate, len(barred))
		open := false
		for i := range candidates {
			candidates[i] = Candidate{Bad: rapid.Float64Range(0, 1).Draw(t, "bad"), Slots: 7, Barred: barred[i]}
			open = open || !barred[i]
		}
		got := Choose(Request{Target: time.Second}, candidates, chooser())
		if (got >= 0) != open || (got >= 0 && barred[got]) {
			t.Fatalf("chose %d of %v", got, barred)
		}
	})
}
