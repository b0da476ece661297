// Package balance implements load balancing over the backend servers of a service.
// It chooses the backend server for a request, and with it the exit proxy, the proxy
// in front of that server. The process that chooses is the entry proxy of the
// request.
//
// The choice is the better of two members of a small subset (Mitzenmacher, "The Power
// of Two Choices", 2001): the next one in round-robin order and a random one. They
// are compared by requests in flight, by peak-sensitive latency (peak EWMA, as
// published with Finagle) and by the load that exit proxies report with their answers
// (as in Prequal, Wydrowski et al., 2024).
package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/path"
)

const (
	// LatencyHalfLife is the half-life with which a latency average decays while no
	// new sample arrives. A member that was 10x slower is tried again after about
	// 3.3 half-lives, 10 s, at the cost of one slow request for each entry proxy.
	LatencyHalfLife = 3 * time.Second
	// latencySmoothing is the time constant of the moving average for samples below
	// the average.
	latencySmoothing = time.Second
	// minLatency is used for an unknown or fully decayed latency, so that the number
	// of requests in flight still affects the cost.
	minLatency = time.Millisecond
	// minFailureLatency is the minimum latency recorded for a failed attempt, so that
	// a member that fails fast does not attract traffic.
	minFailureLatency = 250 * time.Millisecond
	// LoadReportTTL is how long a load report is used. A full queue of 4 requests for
	// each of 7 slots, 25 ms each, drains within 100 ms, so an older report does not
	// describe the current load.
	LoadReportTTL = 500 * time.Millisecond
)

// Member holds what this process knows about one backend server. All subsets that
// contain the backend server share its Member, which exists as long as the backend
// server is known. The fields up to epoch never change; request goroutines and the
// control loop update the others without a lock.
type Member struct {
	ID   string // ID of the backend server
	Host string // host of its exit proxy
	Zone string

	epoch time.Time // reference for the stored times; has a monotonic clock reading

	inFlight     atomic.Int64
	latency      atomic.Uint64 // milliseconds since epoch << 32 | float32 bits of nanoseconds
	loadReport   atomic.Uint64 // milliseconds since epoch << 32 | wait in 100 us << 12 | queue
	ejectedUntil atomic.Int64  // end of the ejection, nanoseconds since epoch
	leaving      atomic.Bool
	path         atomic.Uint32 // path.State
}

// NewMember returns a member without latency samples and load reports.
func NewMember(now time.Time, id, host, zone string) *Member {
	return &Member{ID: id, Host: host, Zone: zone, epoch: now}
}

// Begin records that an attempt is being sent. It must be followed by exactly one
// call of Done, Failed or Abandoned.
func (m *Member) Begin() {
	m.inFlight.Add(1)
}

// Done records the end of an attempt that was answered.
func (m *Member) Done(now time.Time, latency time.Duration) {
	m.inFlight.Add(-1)
	m.recordLatency(now, latency)
}

// Failed records the end of an attempt that failed in the backend server or timed
// out.
func (m *Member) Failed(now time.Time, latency time.Duration) {
	m.inFlight.Add(-1)
	m.recordLatency(now, max(latency, minFailureLatency))
}

// Abandoned records the end of an attempt that yields no latency sample: it was
// canceled, refused before it ran, or lost on the path.
func (m *Member) Abandoned() {
	m.inFlight.Add(-1)
}

// Report records the queue length and the expected wait that the exit proxy sent with
// an answer, a refusal or a load report.
func (m *Member) Report(now time.Time, queue int, wait time.Duration) {
	m.loadReport.Store(uint64(m.millisSinceEpoch(now))<<32 | packLoad(queue, wait))
}

// SetEjected records that the exit proxy refuses new work for this member until the
// given time. A time in the past ends the ejection.
func (m *Member) SetEjected(until time.Time) {
	m.ejectedUntil.Store(int64(until.Sub(m.epoch)))
}

// SetLeaving records whether the backend server is leaving and accepts no new work.
func (m *Member) SetLeaving(leaving bool) {
	m.leaving.Store(leaving)
}

// Leaving reports whether the backend server is leaving and accepts no new work.
func (m *Member) Leaving() bool {
	return m.leaving.Load()
}

// SetPath records the state of the network path to the member's exit proxy.
func (m *Member) SetPath(s path.State) {
	m.path.Store(uint32(s))
}

// InFlight returns the number of attempts of this process in progress.
func (m *Member) InFlight() int {
	return int(m.inFlight.Load())
}

// Latency returns the peak-sensitive latency average, halved for each LatencyHalfLife
// since the last sample, but at least minLatency.
func (m *Member) Latency(now time.Time) time.Duration {
	return time.Duration(m.latencyNanos(m.millisSinceEpoch(now)))
}

// ReportedLoad returns the last reported queue length and wait, or zeros if the
// report is older than LoadReportTTL.
func (m *Member) ReportedLoad(now time.Time) (queue int, wait time.Duration) {
	return m.reportedLoad(m.millisSinceEpoch(now))
}

func (m *Member) millisSinceEpoch(now time.Time) uint32 {
	return uint32(now.Sub(m.epoch) / time.Millisecond)
}

func (m *Member) recordLatency(now time.Time, latency time.Duration) {
	at := m.millisSinceEpoch(now)
	for {
		old := m.latency.Load()
		next := uint64(at)<<32 | uint64(math.Float32bits(peakEWMA(old, at, latency)))
		if m.latency.CompareAndSwap(old, next) {
			return
		}
	}
}

// peakEWMA returns the average after a new sample. A sample above the decayed average
// replaces it; a lower one is averaged in gradually.
func peakEWMA(old uint64, at uint32, latency time.Duration) float32 {
	sample := float64(latency)
	if old == 0 {
		return float32(sample)
	}
	age := elapsed(at, uint32(old>>32))
	previous := float64(math.Float32frombits(uint32(old)))
	if sample >= previous*decayFactor(age) {
		return float32(sample)
	}
	// Even a sample that follows immediately has a weight of 5%.
	weight := min(math.Exp(-float64(age)/float64(latencySmoothing)), 0.95)
	return float32(previous*weight + sample*(1-weight))
}

func (m *Member) latencyNanos(at uint32) float64 {
	packed := m.latency.Load()
	value := float64(math.Float32frombits(uint32(packed)))
	return max(value*decayFactor(elapsed(at, uint32(packed>>32))), float64(minLatency))
}

// decayFactor returns the factor of an average of the given age: one half for each
// LatencyHalfLife.
func decayFactor(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(LatencyHalfLife))
}

// elapsed returns the time between two millisecond timestamps, which wrap around
// after 49 days. It returns 0 if then is later than now, as another goroutine may have
// recorded it slightly later.
func elapsed(now, then uint32) time.Duration {
	diff := int32(now - then)
	return time.Duration(max(diff, 0)) * time.Millisecond
}

// Encoding of a load report in the lower 32 bits of Member.loadReport.
const (
	queueBits          = 12
	maxPackedQueue     = 1<<queueBits - 1
	maxPackedWaitUnits = 1<<20 - 1
	packedWaitUnit     = 100 * time.Microsecond
)

// packLoad encodes a queue length and a wait, clamped to their ranges, in the lower
// 32 bits.
func packLoad(queue int, wait time.Duration) uint64 {
	q := uint64(min(max(queue, 0), maxPackedQueue))
	w := uint64(min(max(wait/packedWaitUnit, 0), maxPackedWaitUnits))
	return w<<queueBits | q
}

func (m *Member) reportedLoad(at uint32) (int, time.Duration) {
	packed := m.loadReport.Load()
	if packed == 0 || elapsed(at, uint32(packed>>32)) > LoadReportTTL {
		return 0, 0
	}
	queue := int(packed & maxPackedQueue)
	wait := time.Duration(packed>>queueBits&maxPackedWaitUnits) * packedWaitUnit
	return queue, wait
}

func (m *Member) isEjected(now time.Time) bool {
	return int64(now.Sub(m.epoch)) < m.ejectedUntil.Load()
}

func (m *Member) pathState() path.State {
	return path.State(m.path.Load())
}
