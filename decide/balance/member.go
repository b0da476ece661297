// Package balance chooses the backend server, and with it the exit, that a
// request is sent to: the better of two random members of a small subset
// (Mitzenmacher, "The Power of Two Choices", 2001), compared by load and
// peak-sensitive latency (peak EWMA, as published with Finagle) and by the load
// that exits report with their answers (as Prequal does, Wydrowski et al., 2024).
package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/path"
)

const (
	// LatencyHalfLife is how fast an old latency is forgotten while no new one
	// arrives. A member that was 10x slower is tried again after about 3.3 half
	// lives, 10 s, which costs one slow request for each entry.
	LatencyHalfLife = 3 * time.Second
	// smoothing is the time constant with which lower latencies are taken in.
	smoothing = time.Second
	// latencyFloor stands for an unknown or forgotten latency, so that the
	// number of requests in flight still counts.
	latencyFloor = time.Millisecond
	// failurePenalty is the least latency recorded for a failed attempt, so that
	// a member that fails fast does not attract traffic.
	failurePenalty = 250 * time.Millisecond
	// ReportLife is how long a reported queue and wait count. A queue of
	// 4 x 7 requests of 25 ms drains within 100 ms, so an older report says
	// nothing.
	ReportLife = 500 * time.Millisecond
)

// Member is one backend server as seen by this process. All subsets that contain
// it share it, and it lives as long as the backend server is known. The fields
// before stats never change; traffic goroutines and the control loop update the
// rest without a lock.
type Member struct {
	ID   string // backend server
	Host string // its exit
	Zone string

	epoch time.Time // origin of the stored times, keeps the monotonic clock

	inFlight atomic.Int64
	latency  atomic.Uint64 // milliseconds since epoch << 32 | float32 bits of nanoseconds
	report   atomic.Uint64 // milliseconds since epoch << 32 | wait in 100 us << 12 | queue
	ejected  atomic.Int64  // nanoseconds since epoch until which it is ejected
	leaving  atomic.Bool
	path     atomic.Uint32 // path.State
}

// NewMember returns a member without statistics.
func NewMember(now time.Time, id, host, zone string) *Member {
	return &Member{ID: id, Host: host, Zone: zone, epoch: now}
}

// Begin counts an attempt that is being sent. Exactly one of Done, Failed and
// Abandoned ends it.
func (m *Member) Begin() {
	m.inFlight.Add(1)
}

// Done ends an attempt that was answered.
func (m *Member) Done(now time.Time, latency time.Duration) {
	m.inFlight.Add(-1)
	m.observe(now, latency)
}

// Failed ends an attempt that failed in the backend server or timed out.
func (m *Member) Failed(now time.Time, latency time.Duration) {
	m.inFlight.Add(-1)
	m.observe(now, max(latency, failurePenalty))
}

// Abandoned ends an attempt that says nothing about latency: canceled, refused
// before running, or lost on the path.
func (m *Member) Abandoned() {
	m.inFlight.Add(-1)
}

// Report takes in the queue length and the expected wait that the exit sent with
// an answer, a refusal or a load report.
func (m *Member) Report(now time.Time, queue int, wait time.Duration) {
	m.report.Store(uint64(m.millis(now))<<32 | packLoad(queue, wait))
}

// SetEjected records that the exit refuses new work until the given time. A time
// in the past ends an ejection.
func (m *Member) SetEjected(until time.Time) {
	m.ejected.Store(int64(until.Sub(m.epoch)))
}

// SetLeaving records whether the member takes no new work because it is leaving.
func (m *Member) SetLeaving(leaving bool) {
	m.leaving.Store(leaving)
}

// Leaving tells whether the backend server takes no new work.
func (m *Member) Leaving() bool {
	return m.leaving.Load()
}

// SetPath records the state of the path to the member's exit.
func (m *Member) SetPath(s path.State) {
	m.path.Store(uint32(s))
}

// InFlight returns the attempts of this process that are running.
func (m *Member) InFlight() int {
	return int(m.inFlight.Load())
}

// Latency returns the peak-sensitive average, halved for each LatencyHalfLife
// since the last sample, and at least 1 ms.
func (m *Member) Latency(now time.Time) time.Duration {
	return time.Duration(m.latencyNanos(m.millis(now)))
}

// Load returns the last reported queue and wait, or zeros when the report is
// older than ReportLife.
func (m *Member) Load(now time.Time) (queue int, wait time.Duration) {
	return m.load(m.millis(now))
}

func (m *Member) millis(now time.Time) uint32 {
	return uint32(now.Sub(m.epoch) / time.Millisecond)
}

func (m *Member) observe(now time.Time, latency time.Duration) {
	at := m.millis(now)
	for {
		old := m.latency.Load()
		next := uint64(at)<<32 | uint64(math.Float32bits(blend(old, at, latency)))
		if m.latency.CompareAndSwap(old, next) {
			return
		}
	}
}

// blend takes a higher latency at once and a lower one gradually.
func blend(old uint64, at uint32, latency time.Duration) float32 {
	sample := float64(latency)
	if old == 0 {
		return float32(sample)
	}
	age := elapsed(at, uint32(old>>32))
	previous := float64(math.Float32frombits(uint32(old)))
	if sample >= previous*decay(age) {
		return float32(sample)
	}
	// A sample that follows at once still moves the average by 5%.
	weight := min(math.Exp(-float64(age)/float64(smoothing)), 0.95)
	return float32(previous*weight + sample*(1-weight))
}

func (m *Member) latencyNanos(at uint32) float64 {
	packed := m.latency.Load()
	value := float64(math.Float32frombits(uint32(packed)))
	return max(value*decay(elapsed(at, uint32(packed>>32))), float64(latencyFloor))
}

// decay halves for each LatencyHalfLife.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(LatencyHalfLife))
}

// elapsed returns the time between two stamps, which wrap after 49 days. A stamp
// that another goroutine took slightly later counts as age 0.
func elapsed(now, then uint32) time.Duration {
	diff := int32(now - then)
	return time.Duration(max(diff, 0)) * time.Millisecond
}

const (
	queueBits = 12
	maxQueue  = 1<<queueBits - 1
	maxWait   = 1<<20 - 1
	waitUnit  = 100 * time.Microsecond
)

func packLoad(queue int, wait time.Duration) uint64 {
	q := uint64(min(max(queue, 0), maxQueue))
	w := uint64(min(max(wait/waitUnit, 0), maxWait))
	return w<<queueBits | q
}

func (m *Member) load(at uint32) (int, time.Duration) {
	packed := m.report.Load()
	if packed == 0 || elapsed(at, uint32(packed>>32)) > ReportLife {
		return 0, 0
	}
	queue := int(packed & maxQueue)
	wait := time.Duration(packed>>queueBits&maxWait) * waitUnit
	return queue, wait
}

func (m *Member) isEjected(now time.Time) bool {
	return int64(now.Sub(m.epoch)) < m.ejected.Load()
}

func (m *Member) pathState() path.State {
	return path.State(m.path.Load())
}
