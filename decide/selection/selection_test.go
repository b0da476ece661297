package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// cost returns the expected cost of a request that cannot be retried.
func cost(r Request, c *Candidate) float64 {
	r.Retryable = false
	return c.expectedCost(r, 0)
}

// Guards against requests that cannot be retried being sent to a server without
// recent evidence to explore its health.
func TestOnlyRetryableRequestsExplore(t *testing.T) {
	candidates := []Candidate{
		{GrayFailureProbability: 0.2, EvidenceAge: 5 * time.Second, Slots: 7, SameZone: true},
		{GrayFailureProbability: 0.02, EvidenceAge: 100 * time.Millisecond, Slots: 7, Running: 3, SameZone: true},
	}
	r := Request{TargetLatency: 2500 * time.Millisecond}
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
	if cost(r, &good) >= cost(r, &bad) || cost(r, &good) >= cost(r, &queue) {
		t.Errorf("good %.3f, bad %.3f, queue %.3f", cost(r, &good), cost(r, &bad), cost(r, &queue))
	}
}

// Guards against sending requests to a server that fails fast, and therefore looks
// idle, while the others are busy: a late answer is better than a failure. A queue
// that is longer than the time left is no better than a failure.
func TestQueueCostsLessThanLikelyFailure(t *testing.T) {
	r := Request{TargetLatency: 600 * time.Millisecond, TimeLeft: 2 * time.Second}
	bad := Candidate{GrayFailureProbability: 0.9, Slots: 7, SameZone: true}
	queue := Candidate{GrayFailureProbability: 0.02, Slots: 7, Running: 7, QueuedAhead: 30, SameZone: true, MeanServiceTime: 250 * time.Millisecond}
	if queue.EstimatedWait() < r.TargetLatency || cost(r, &queue) >= cost(r, &bad) {
		t.Errorf("wait %v: queue %.3f, bad %.3f", queue.EstimatedWait(), cost(r, &queue), cost(r, &bad))
	}
	r.TimeLeft = time.Second
	if cost(r, &queue) < cost(r, &bad) {
		t.Errorf("no time left for the queue: queue %.3f, bad %.3f", cost(r, &queue), cost(r, &bad))
	}
}

// Guards against retryable requests that go to servers known to fail, which answer at once
// and so look idle, as soon as the healthy servers of a small service have queues: a retry
// waits in the same queues. Servers of unknown health are tried nevertheless.
func TestRetryableRequestsWaitForHealthyServers(t *testing.T) {
	r := Request{Idempotent: true, Retryable: true, TargetLatency: 400 * time.Millisecond, TimeLeft: 1200 * time.Millisecond}
	busy := Candidate{GrayFailureProbability: 0.02, EvidenceAge: 50 * time.Millisecond, Running: 5, QueuedAhead: 14, Slots: 5, MeanServiceTime: 120 * time.Millisecond, SameZone: true}
	failing := Candidate{GrayFailureProbability: 0.85, EvidenceAge: 200 * time.Millisecond, Slots: 5, SameZone: true}
	unknown := Candidate{GrayFailureProbability: 0.3, EvidenceAge: 3 * time.Second, Slots: 5, SameZone: true}
	silent := Candidate{GrayFailureProbability: 0.7, EvidenceAge: 2 * time.Second, Slots: 5, SameZone: true}
	random := newRand()
	for range 100 {
		if got := Choose(r, []Candidate{failing, busy, failing, failing}, random); got != 1 {
			t.Fatalf("chose server %d, which fails, instead of a wait of %v", got, busy.EstimatedWait())
		}
		if got := Choose(r, []Candidate{busy, silent}, random); got != 1 {
			t.Fatalf("waits %v without finding out whether a server has recovered", busy.EstimatedWait())
		}
		if got := Choose(r, []Candidate{failing, busy, unknown}, random); got != 2 {
			t.Fatalf("chose server %d instead of the idle one of unknown health", got)
		}
	}
}

// Guards against entry proxies that all send to the server of a large service that last
// looked idle, and against ignoring health and load for it.
func TestRequestsSpreadOverALargeService(t *testing.T) {
	const servers, requests = 33, 200
	candidates := make([]Candidate, servers)
	for i := range candidates {
		candidates[i] = Candidate{GrayFailureProbability: 0.02, Running: 2, Slots: 5, SameZone: true}
		if i%3 == 0 {
			candidates[i].GrayFailureProbability = 0.9
		}
	}
	candidates[1].Running = 0
	r := Request{TargetLatency: time.Second, TimeLeft: 4 * time.Second}
	random, counts, failing := newRand(), make([]int, servers), 0
	for range requests {
		got := Choose(r, candidates, random)
		counts[got]++
		if got%3 == 0 {
			failing++
		}
	}
	if share := float64(counts[1]) / requests; share > 0.3 || share < 1.5/servers {
		t.Errorf("the idle server gets %.2f of the requests", share)
	}
	if failing > requests/50 {
		t.Errorf("%d of %d requests go to failing servers", failing, requests)
	}
}

// Guards against choosing an excluded server.
func TestExcludedServersAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		excluded := rapid.SliceOfN(rapid.Bool(), 1, 40).Draw(t, "barred")
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
	r := Request{TargetLatency: 2 * time.Second, TimeLeft: 8 * time.Second}
	free := Candidate{Running: 3, Slots: 7, MeanServiceTime: time.Second}
	busy := Candidate{Running: 7, QueuedAhead: 14, Slots: 7, MeanServiceTime: time.Second}
	limited := Candidate{Slots: 7, MeanServiceTime: time.Second, RateLimited: true, StartWait: 500 * time.Millisecond}
	if cost(r, &limited) <= cost(r, &free) {
		t.Error("a server at its rate limit costs less than one with free slots")
	}
	if cost(r, &limited) >= cost(r, &busy) {
		t.Error("a server at its rate limit costs more than one with a wait of two seconds")
	}
	if wait := limited.EstimatedWait(); wait != limited.StartWait {
		t.Errorf("estimated wait %v, want %v", wait, limited.StartWait)
	}
}

// Guards against an explanation that differs from the choice: the chosen candidate costs at
// most maxJitter more than the best one, and excluded ones are never the best.
func TestExplanationAgreesWithTheChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(0, minSampled).Draw(t, "candidates"))
		for i := range candidates {
			candidates[i] = Candidate{
				GrayFailureProbability: rapid.Float64Range(0, 1).Draw(t, "gray"),
				EvidenceAge:            time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
				Running:                rapid.IntRange(0, 9).Draw(t, "running"),
				QueuedAhead:            rapid.IntRange(0, 9).Draw(t, "queued"),
				Slots:                  rapid.IntRange(1, 7).Draw(t, "slots"),
				SameZone:               rapid.Bool().Draw(t, "same zone"),
				LeaveCost:              rapid.Float64Range(0, 0.3).Draw(t, "leave"),
				PathSuspect:            rapid.Bool().Draw(t, "path"),
				Excluded:               rapid.Bool().Draw(t, "excluded"),
			}
		}
		r := Request{Idempotent: rapid.Bool().Draw(t, "idempotent"), Retryable: rapid.Bool().Draw(t, "retryable"), TargetLatency: time.Second, TimeLeft: 2 * time.Second}
		e, chosen := Explain(r, candidates), Choose(r, candidates, newRand())
		if e.Sampled || (e.Best < 0) != (chosen < 0) {
			t.Fatalf("best %d, chosen %d, sampled %t", e.Best, chosen, e.Sampled)
		}
		if chosen >= 0 && (candidates[e.Best].Excluded || e.Costs[chosen].Total() > e.Costs[e.Best].Total()+maxJitter) {
			t.Fatalf("best %d costs %v, chosen %d costs %v", e.Best, e.Costs[e.Best], chosen, e.Costs[chosen])
		}
	})
}

// Guards against a sample that is too small for a healthy server if the own zone has few or none.
func TestSampleIsFilledFromOtherZones(t *testing.T) {
	for local, want := range map[int]int{0: maxCompared, 1: maxCompared, 3: 3 + maxComparedElsewhere, 10: maxCompared + maxComparedElsewhere} {
		candidates := make([]Candidate, local+2*minSampled)
		for i := range local {
			candidates[i].SameZone = true
		}
		if got := len(sample(candidates, newRand())); got != want {
			t.Errorf("%d servers in the zone: compares %d, want %d", local, got, want)
		}
	}
}

// Guards against choosing a server regardless of its queue because its other requests take longer than this one has left.
func TestShortDeadlinePrefersTheShorterQueue(t *testing.T) {
	long, random := 2*time.Second, newRand()
	r := Request{TargetLatency: time.Second, TimeLeft: 900 * time.Millisecond}
	for _, queued := range []struct{ shorter, longer int }{{0, 2}, {2, 12}, {8, 16}} {
		short := Candidate{Running: 7, QueuedAhead: queued.shorter, Slots: 7, MeanServiceTime: long, GrayFailureProbability: 0.12}
		full := Candidate{Running: 7, QueuedAhead: queued.longer, Slots: 7, MeanServiceTime: long}
		for range 20 {
			if Choose(r, []Candidate{full, short}, random) != 1 {
				t.Fatalf("chose a queue of %d instead of one of %d", queued.longer, queued.shorter)
			}
		}
	}
}
