// Package selection chooses the backend server for an attempt. Health, load,
// cold start and distance add up to one expected cost, in parts of the worth of
// the request.
package selection

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server as an entry knows it at the moment of choice.
type Candidate struct {
	Bad      float64       // probability that it is in a gray failure
	Evidence time.Duration // age of the last outcome
	Running  int           // requests that hold a slot
	Waiting  int           // requests in the queue of its exit that go first
	Slots    int
	Service  time.Duration // mean time that a request holds a slot; 0 when unknown
	Cold     time.Duration // how much longer it is slow after its start
	SameZone bool
	Stopping bool // its process stops soon: a long request would be cut
	Suspect  bool // its exit did not answer the last time or was not heard for a while
	Barred   bool // was tried by this request, is leaving or known to be full
}

// Request is what the choice depends on.
type Request struct {
	Idempotent bool
	Target     time.Duration
	Retryable  bool          // a failure can still be repaired by another attempt
	Bytes      int           // of the request and its expected answer
	Left       time.Duration // until the deadline
}

// Weights of the cost, in parts of the worth of a request.
const (
	// costFailOnce is lost when a request that may run only once fails.
	costFailOnce = 1.0
	// costFailRetry is lost when a request is repeated: it is late or meets
	// another failure. It stays well below costFailOnce, so that repeatable
	// requests find out whether a server is well again.
	costFailRetry = 0.6
	// indistinct is the probability below which servers fail equally often, 5 to
	// 7% of their requests on both deployments; load and distance decide there.
	indistinct = 0.08
	// explore is gained when a repeatable request brings fresh evidence about a
	// server that nobody has heard of for exploreAge.
	explore    = 0.2
	exploreAge = 3 * time.Second
	// costWait is lost for each target latency that a request waits in a queue, at
	// most costLate: a late answer is worth more than the likely failure of a
	// server that looks idle because it fails at once.
	costWait = 0.8
	costLate = 0.6
	// costBusy spreads requests over servers that have free slots: servers near
	// their limit are slower.
	costBusy = 0.12
	// costCold is lost on a server that is still warming up, on which requests
	// take about twice as long.
	costCold = 0.1
	// costStopping is lost on a server whose process stops: one request in twenty
	// takes longer than the process still runs.
	costStopping = 0.05
	// costPerKilobyte is the price of bytes between zones relative to the worth
	// of an average request of 2: 22,000 per GB on both deployments.
	costPerKilobyte = 0.011
	// costSuspect is lost on a path that failed just now: connecting may have to
	// time out first.
	costSuspect = 0.5
	// jitter keeps entries with equal knowledge from choosing the same server.
	jitter = 0.04
)

// defaultService stands for the time that a slot is held while none was reported.
const defaultService = 500 * time.Millisecond

// Choose returns the index of the candidate with the lowest cost, -1 when all
// are barred.
func Choose(r Request, candidates []Candidate, random *rand.Rand) int {
	best, lowest := -1, 0.0
	for i := range candidates {
		if candidates[i].Barred {
			continue
		}
		cost := Cost(r, &candidates[i]) + jitter*random.Float64()
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Cost returns the expected loss of a request on a candidate.
func Cost(r Request, c *Candidate) float64 {
	cost := c.failureCost(r) + c.loadCost(r)
	if c.Cold > 0 {
		cost += costCold
	}
	if c.Stopping {
		cost += costStopping
	}
	if c.Suspect {
		cost += costSuspect
	}
	if !c.SameZone {
		cost += costPerKilobyte * float64(r.Bytes) / 1000
	}
	return cost
}

func (c *Candidate) failureCost(r Request) float64 {
	bad := max(c.Bad, indistinct)
	if !r.Idempotent || !r.Retryable {
		return costFailOnce * bad
	}
	age := min(c.Evidence, exploreAge)
	return costFailRetry*bad - explore*float64(age)/float64(exploreAge)
}

// loadCost grows with the share of busy slots and, beyond them, with the time
// until a slot is free. A request that would start too late is lost.
func (c *Candidate) loadCost(r Request) float64 {
	slots := max(c.Slots, 1)
	cost := costBusy * float64(min(c.Running, slots)) / float64(slots)
	wait := c.Wait()
	switch {
	case wait <= 0:
	case wait+c.Service/2 > r.Left:
		cost += costFailOnce
	default:
		cost += min(costWait*float64(wait)/float64(max(r.Target, time.Millisecond)), costLate)
	}
	return cost
}

// Wait estimates how long a further request would wait for a slot.
func (c *Candidate) Wait() time.Duration {
	slots := max(c.Slots, 1)
	ahead := c.Running + c.Waiting + 1 - slots
	if ahead <= 0 {
		return 0
	}
	service := c.Service
	if service <= 0 {
		service = defaultService
	}
	return service * time.Duration(ahead) / time.Duration(slots)
}
