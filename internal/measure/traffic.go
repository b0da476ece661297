package measure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// trafficStart is the start of virtual time.
var trafficStart = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// trafficService is one service of a deployment. Latencies, deadlines and load
// distributions are assumptions; the numbers of backend servers and slots are those of
// the deployments.
type trafficService struct {
	name            string
	backends        int
	idempotent      bool
	meanServiceTime time.Duration // mean time in a slot
	deadline        time.Duration
}

type trafficDeployment struct {
	name           string
	zones          int
	interZoneDelay time.Duration // one way between zones
	services       []trafficService
}

const slotsPerBackend = 7

var trafficDeployments = []trafficDeployment{
	{"kowhai", 4, 500 * time.Microsecond, []trafficService{
		{"roster", 8, true, 25 * time.Millisecond, 500 * time.Millisecond},
		{"bookings", 10, false, 40 * time.Millisecond, time.Second},
		{"invoicing", 8, false, 60 * time.Millisecond, 2 * time.Second},
	}},
	{"capsulas", 3, time.Millisecond, []trafficService{
		{"lookup", 10, true, 20 * time.Millisecond, 300 * time.Millisecond},
		{"sealing", 12, false, 80 * time.Millisecond, 2 * time.Second},
		{"scheduling", 6, false, 40 * time.Millisecond, time.Second},
	}},
}

// teamDemandShares are the shares of the demand of the 8 teams; a few are large.
var teamDemandShares = []float64{0.30, 0.22, 0.14, 0.10, 0.08, 0.07, 0.05, 0.04}

// capacity returns the requests per second that the service can answer.
func (s trafficService) capacity() float64 {
	return float64(s.backends*slotsPerBackend) / s.meanServiceTime.Seconds()
}

// virtualClock runs events ordered by time, then by creation.
type virtualClock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

type virtualEvent struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []virtualEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(virtualEvent)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = virtualEvent{}
	*h = (*h)[:last]
	return e
}

func (c *virtualClock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, virtualEvent{at: c.now.Add(max(d, 0)), seq: c.seq, run: run})
}

func (c *virtualClock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(virtualEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// exponential draws the time to the next arrival of a Poisson process.
func exponential(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

// serviceSigma is the standard deviation of the logarithm of service times: the 99th
// percentile is 3.2 times the median.
const serviceSigma = 0.5

// lognormal draws a service time with the given mean.
func lognormal(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(serviceSigma*r.NormFloat64()-serviceSigma*serviceSigma/2))
}

// percentileMillis returns the p-quantile of the values in milliseconds, 0 if there are
// none.
func percentileMillis(values []time.Duration, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := min(int(p*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at]) / float64(time.Millisecond)
}

// maxMinShares divides the capacity by max-min fairness: no team gets more than it
// demands, and the rest is divided equally.
func maxMinShares(demands []float64, capacity float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return demands[order[i]] < demands[order[j]] })
	shares := make([]float64, len(demands))
	for n, i := range order {
		shares[i] = min(demands[i], capacity/float64(len(order)-n))
		capacity -= shares[i]
	}
	return shares
}
