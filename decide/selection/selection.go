// Package selection chooses the backend server for an attempt: the one with the
// lowest expected cost. The cost adds up health, load, warm-up and cross-zone
// traffic, as fractions of the value of the request.
package selection

import (
	"math/rand/v2"
	"time"
)

// Candidate describes a backend server as the entry proxy currently knows it.
type Candidate struct {
	GrayFailureProbability float64
	EvidenceAge            time.Duration // time since the last known request outcome
	Running                int           // requests that hold a slot
	QueuedAhead            int           // requests in the queue of its exit proxy that would be served first
	Slots                  int
	MeanServiceTime        time.Duration // mean time that the requests there are expected to hold a slot; 0 when unknown
	RateLimited            bool          // the server limits the rate of requests that it accepts
	StartWait              time.Duration // time until it accepts another request within its rate limit
	WarmUpLeft             time.Duration // remaining time after its start in which it is slow
	SameZone               bool
	LeaveCost              float64 // cost of leaving the zone for this server; 0 in the same zone
	Stopping               bool    // its process stops soon, which would cut a long request
	PathSuspect            bool    // its exit proxy did not answer the last request or was not heard from recently
	Excluded               bool    // already tried by this request, leaving or known to be full
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	Idempotent    bool
	TargetLatency time.Duration
	Retryable     bool          // another attempt is possible after a failure
	TimeLeft      time.Duration // until the deadline
}

// Costs, as fractions of the value of a request.
const (
	// costFailure applies to the failure of a request that cannot be retried.
	costFailure = 1.0
	// costRetry applies to a failure that can be retried, in addition to the cost of the
	// best server for the retry: the answer is late, and a retry is taken from the budget.
	// While servers have free slots, both are well below costFailure, so that retryable
	// requests discover whether a server has recovered. While the healthy servers have
	// queues, a retry would wait there too: a server that fails fast saves no wait.
	costRetry = 0.45
	// costRetryTaken is the part of costRetry for the retry that other requests may need.
	costRetryTaken = 0.1
	// minFailureProbability is the lower bound of the gray-failure probability.
	// Servers below it fail equally often, for 5 to 7% of their requests on both
	// deployments, so that load and distance decide.
	minFailureProbability = 0.08
	// explorationBonus is subtracted if a retryable request would bring new evidence
	// about a server whose last outcome is at least explorationAge old. The bonus is
	// proportional to the age below that. It is higher while the healthy servers have
	// queues: finding that another one has recovered saves these.
	explorationBonus = 0.2
	explorationAge   = 3 * time.Second
	// costWaitPerTarget applies per target latency that a request waits in a queue,
	// up to costMaxWait: a late answer is worth more than the likely failure of a
	// server that looks idle because it fails fast.
	costWaitPerTarget = 0.8
	costMaxWait       = 0.6
	// costBusySlots applies in proportion to the busy slots. It spreads requests over
	// servers with free slots, since servers near their limit are slower.
	costBusySlots = 0.12
	// costWarmUp applies to a server that is still warming up, where requests take
	// about twice as long.
	costWarmUp = 0.1
	// costStopping applies to a server whose process is stopping: one request in
	// twenty takes longer than the process still runs.
	costStopping = 0.05
	// costSuspectPath applies to a network path that failed recently: the connection
	// attempt may have to time out first.
	costSuspectPath = 0.5
	// maxJitter bounds the random cost that keeps entry proxies with the same
	// information from all choosing the same server.
	maxJitter = 0.04
)

// Entry proxies know the load of a server from statuses, which in large fleets are some
// hundred milliseconds old. If all of them compared all servers of a large service, they
// would all send to the one that last looked idle, and find it full.
const (
	// minSampled is the number of servers above which a random sample is compared.
	minSampled = 12
	// maxCompared is the size of the sample in the zone, and the minimum size of the whole
	// sample. With three in ten servers in a gray failure, one sample in a thousand holds no
	// healthy one.
	maxCompared          = 6
	maxComparedElsewhere = 4
)

// defaultServiceTime is used while the mean service time is unknown.
const defaultServiceTime = 500 * time.Millisecond

// Choose returns the index of the candidate with the lowest cost, or -1 if all are
// excluded. It compares only a sample of the candidates of a large service.
func Choose(r Request, candidates []Candidate, random *rand.Rand) int {
	compared := sample(candidates, random)
	known := costWithoutRetry(r, candidates, compared)
	best, lowest := -1, 0.0
	for _, i := range compared {
		cost := candidates[i].expectedCost(r, known) + maxJitter*random.Float64()
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// eligible returns the indexes of the candidates that are not excluded, in this zone and in
// others.
func eligible(candidates []Candidate) (local, remote []int) {
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Excluded:
		case c.SameZone:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	return local, remote
}

// sample returns the indexes of the candidates to compare.
func sample(candidates []Candidate, random *rand.Rand) []int {
	local, remote := eligible(candidates)
	if len(local)+len(remote) <= minSampled {
		return append(local, remote...)
	}
	elsewhere := max(maxComparedElsewhere, maxCompared-len(local))
	return append(draw(local, maxCompared, random), draw(remote, elsewhere, random)...)
}

// draw returns at most n elements, chosen at random. It changes the order of indexes.
func draw(indexes []int, n int, random *rand.Rand) []int {
	n = min(n, len(indexes))
	for i := range n {
		j := i + random.IntN(len(indexes)-i)
		indexes[i], indexes[j] = indexes[j], indexes[i]
	}
	return indexes[:n]
}

// costWithoutRetry returns the cost of the best server for a request that cannot be
// retried.
func costWithoutRetry(r Request, candidates []Candidate, compared []int) float64 {
	r.Retryable = false
	lowest := costFailure
	for _, i := range compared {
		lowest = min(lowest, candidates[i].expectedCost(r, 0))
	}
	return lowest
}

// Cost holds the parts of the expected cost of sending a request to a candidate.
type Cost struct {
	Failure     float64
	Exploration float64 // a bonus, so not positive
	Load        float64
	Wait        float64
	WarmUp      float64
	Stopping    float64
	Path        float64
	Leave       float64
}

// Total returns the sum of the parts.
func (c Cost) Total() float64 {
	return c.Failure + c.Exploration + c.Load + c.Wait + c.WarmUp + c.Stopping + c.Path + c.Leave
}

// Explanation is the basis of a choice.
type Explanation struct {
	Costs   []Cost // by candidate, without the random part; zero for excluded ones
	Best    int    // the candidate with the lowest cost, or -1
	Sampled bool   // Choose compares a random sample only
}

// Explain returns the costs on which Choose decides. If Choose compares a sample, the costs
// are those that result if all candidates are compared.
func Explain(r Request, candidates []Candidate) Explanation {
	e := Explanation{Costs: make([]Cost, len(candidates)), Best: -1}
	local, remote := eligible(candidates)
	compared := append(local, remote...)
	e.Sampled = len(compared) > minSampled
	known := costWithoutRetry(r, candidates, compared)
	for _, i := range compared {
		e.Costs[i] = candidates[i].cost(r, known)
		if e.Best < 0 || e.Costs[i].Total() < e.Costs[e.Best].Total() {
			e.Best = i
		}
	}
	return e
}

// expectedCost returns the sum of the parts of the cost.
func (c *Candidate) expectedCost(r Request, known float64) float64 { return c.cost(r, known).Total() }

// cost returns the parts of the expected cost of sending a request to a candidate. known is
// the result of costWithoutRetry.
func (c *Candidate) cost(r Request, known float64) Cost {
	cost := Cost{Leave: c.LeaveCost}
	cost.Failure, cost.Exploration = c.failureCost(r, known)
	cost.Load, cost.Wait = c.loadCost(r)
	if c.WarmUpLeft > 0 {
		cost.WarmUp = costWarmUp
	}
	if c.Stopping {
		cost.Stopping = costStopping
	}
	if c.PathSuspect {
		cost.Path = costSuspectPath
	}
	return cost
}

func (c *Candidate) failureCost(r Request, known float64) (failure, exploration float64) {
	probability := max(c.GrayFailureProbability, minFailureProbability)
	if !r.Idempotent || !r.Retryable {
		return costFailure * probability, 0
	}
	age := min(c.EvidenceAge, explorationAge)
	exploration = max(explorationBonus, known) * float64(age) / float64(explorationAge)
	return min(costRetry+known, costFailure+costRetryTaken) * probability, 0 - exploration // not -0, which would be printed
}

// loadCost grows with the fraction of busy slots and, if none is free, with the estimated wait
// for one. A request that would start after its deadline counts as failed; among such servers,
// a shorter wait costs less. How long the request itself runs is not known here, since the mean
// service time is that of all routes; the exit proxy judges that.
func (c *Candidate) loadCost(r Request) (load, wait float64) {
	slots := max(c.Slots, 1)
	busy := min(c.Running, slots)
	if c.RateLimited {
		busy = slots // it is near its limit, whatever the number of its slots
	}
	load = costBusySlots * float64(busy) / float64(slots)
	expected := c.EstimatedWait()
	switch {
	case expected <= 0:
	case expected > r.TimeLeft:
		wait = costFailure + costMaxWait*(1-float64(max(r.TimeLeft, 0))/float64(expected))
	default:
		wait = min(costWaitPerTarget*float64(expected)/float64(max(r.TargetLatency, time.Millisecond)), costMaxWait)
	}
	return load, wait
}

// EstimatedWait estimates how long a further request would wait for a slot and for the
// rate limit.
func (c *Candidate) EstimatedWait() time.Duration {
	slots := max(c.Slots, 1)
	ahead := c.Running + c.QueuedAhead + 1 - slots
	if ahead <= 0 {
		return c.StartWait
	}
	serviceTime := c.MeanServiceTime
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	return max(serviceTime*time.Duration(ahead)/time.Duration(slots), c.StartWait)
}
