package ejection

import (
	"math"
	"time"
)

// Outcome is the result of a call to a backend server, as seen by its exit proxy.
type Outcome uint8

// The outcomes.
const (
	// Success is a complete response.
	Success Outcome = iota
	// Failure is an error response, a truncated response, a timeout or a
	// refused connection.
	Failure
	// Abandoned is a call that the caller canceled. The elapsed time is only a
	// lower bound of its latency.
	Abandoned
	// Ignored is a call that says nothing about the server's health: the server
	// shed load, or it crashed and the crash is attributed to a request.
	Ignored
)

const (
	// maxReportedClasses limits the classes in the reports of one server. The
	// last slot, overflowClass, aggregates all further classes.
	maxReportedClasses = 16
	overflowClass      = "*"
	// notableLatencyFactor is the ratio of a call's latency to the server's
	// baseline at which the call is notable. It is half of SlowFactor, so that
	// the leader learns of a change well before the server counts as slow.
	notableLatencyFactor = 2
	// baselineTimeConstant is the time over which a server's baseline follows
	// its median latency. It is long compared with the time to detection.
	baselineTimeConstant = 30 * time.Second
	// minBaselineCalls is the number of timed calls needed for the first
	// baseline.
	minBaselineCalls = 8
)

// histogram counts calls by latency bucket. It tracks the range of non-empty
// buckets, since most buckets are empty.
type histogram struct {
	buckets     [NumBuckets]uint32
	total       uint32
	first, last int // valid if total > 0
}

func (h *histogram) add(bucket int, n uint32) {
	if h.total == 0 {
		h.first, h.last = bucket, bucket
	}
	h.first, h.last = min(h.first, bucket), max(h.last, bucket)
	h.buckets[bucket] += n
	h.total += n
}

func (h *histogram) clear() {
	if h.total > 0 {
		clear(h.buckets[h.first : h.last+1])
		h.total = 0
	}
}

func (h *histogram) moveTo(to *histogram) {
	if h.total == 0 {
		return
	}
	for i := h.first; i <= h.last; i++ {
		if h.buckets[i] > 0 {
			to.add(i, h.buckets[i])
		}
	}
	h.clear()
}

// sketch returns the histogram as a Sketch, or nil if it has no samples.
func (h *histogram) sketch() Sketch {
	if h.total == 0 {
		return nil
	}
	s := make(Sketch, 0, h.last-h.first+2)
	s = append(s, uint32(h.first))
	return append(s, h.buckets[h.first:h.last+1]...)
}

func (h *histogram) median() time.Duration {
	below := h.total / 2
	for i, n := range h.buckets {
		if below < n {
			return lowerBound(i)
		}
		below -= n
	}
	return lowerBound(NumBuckets - 1)
}

// callWindow aggregates the calls of one class between two reports.
type callWindow struct {
	count         uint32
	failures      uint32
	aboveBaseline uint32 // calls that took at least notableLatencyFactor times the baseline
	latency       histogram
	overdue       histogram // ages of calls in progress, see countOverdueCalls
}

func (w *callWindow) addLatency(latency, baseline time.Duration) {
	w.latency.add(bucketOf(latency), 1)
	if baseline > 0 && latency >= notableLatencyFactor*baseline {
		w.aboveBaseline++
	}
}

// isNotable reports whether the leader should learn of these calls at once: a
// call failed, several calls are overdue, or several calls and more than a third
// of them were slow compared with the baseline.
func (w *callWindow) isNotable() bool {
	return w.failures > 0 || w.overdue.total > 1 || (w.aboveBaseline > 1 && w.aboveBaseline*3 > w.latency.total)
}

func (w *callWindow) isEmpty() bool {
	return w.count == 0 && w.latency.total == 0 && w.overdue.total == 0
}

// moveTo adds the finished calls to another window and clears this one. Calls
// in progress are dropped, since they are counted when they finish.
func (w *callWindow) moveTo(to *callWindow) {
	to.count += w.count
	to.failures += w.failures
	w.latency.moveTo(&to.latency)
	w.clear()
}

func (w *callWindow) clear() {
	w.count, w.failures, w.aboveBaseline = 0, 0, 0
	w.latency.clear()
	w.overdue.clear()
}

func (w *callWindow) report(class string) ClassReport {
	return ClassReport{
		Class: class, Count: w.count, Failures: w.failures,
		Latency: w.latency.sketch(), Overdue: w.overdue.sketch(),
	}
}

// classWindows holds the calls of one class: those of earlier intervals that
// were not reported, and those of the current interval.
type classWindows struct {
	class      string
	unreported callWindow
	current    callWindow
	baseline   time.Duration // the server's usual median latency, 0 if unknown
}

// LocalState is what the exit proxy knows about a backend server apart from its calls.
type LocalState struct {
	Started         time.Time      // last observed start of the server; zero if none was observed
	Suspect         bool           // the health check or the load report is bad
	Leaving         bool           // the host has announced its shutdown
	Ejected         bool           // an ejection lease is in force
	ReportRequested bool           // the leader requested a report
	LeaderEpoch     uint64         // epoch of the current leader; a new leader gets a report at once
	InFlight        []InFlightCall // calls in progress
}

// InFlightCall is a call in progress and the time it was sent to the server.
type InFlightCall struct {
	Class string
	Since time.Time
}

// Collector aggregates the calls of one local backend server into reports. It
// is owned by the control loop and not safe for concurrent use.
type Collector struct {
	settings       Settings
	service        string
	server         string
	classes        []*classWindows
	lastReportTime time.Time
	lastFlags      Report // incarnation and boolean fields of the last report
	leaderEpoch    uint64
	serverStarted  time.Time // LocalState.Started of the last call of Report
	incarnation    uint32    // number of server starts
}

// NewCollector returns a collector for one backend server.
func NewCollector(s Settings, service, server string) *Collector {
	return &Collector{settings: s, service: service, server: server}
}

// SetSettings changes the settings, for example when the fleet grows. The next
// report carries the change.
func (c *Collector) SetSettings(s Settings) {
	c.settings = s
}

// Observe records one call. The latency starts when the exit proxy passes the request
// to the server and excludes the time in the exit proxy's queue.
func (c *Collector) Observe(class string, outcome Outcome, latency time.Duration) {
	if outcome == Ignored {
		return
	}
	w := c.windowsFor(class)
	switch {
	case outcome == Success:
		w.current.count++
		w.current.addLatency(latency, w.baseline)
	case outcome == Failure:
		w.current.count++
		w.current.failures++
	case outcome == Abandoned && w.baseline > 0 && latency > w.baseline:
		// Callers cancel slow calls first. Without these samples, a slow
		// server's latency would seem to be that of its fastest responses.
		w.current.addLatency(latency, w.baseline)
	}
}

func (c *Collector) windowsFor(class string) *classWindows {
	for _, w := range c.classes {
		if w.class == class {
			return w
		}
	}
	if len(c.classes) == maxReportedClasses-1 {
		class = overflowClass
	}
	if len(c.classes) >= maxReportedClasses {
		return c.classes[maxReportedClasses-1]
	}
	w := &classWindows{class: class}
	c.classes = append(c.classes, w)
	return w
}

// Report returns the report that is due now, without the fields that
// LeaseHolder.PrepareReport sets, or false if none is due. Call it once per
// ReportInterval.
func (c *Collector) Report(now time.Time, s LocalState) (Report, bool) {
	r := Report{
		Service: c.service, Server: c.server, Suspect: s.Suspect, Leaving: s.Leaving, LargeFleet: c.settings.LargeFleet,
	}
	c.resetOnRestart(s.Started)
	if !s.Started.IsZero() && now.Sub(s.Started) < WarmUpTime {
		r.Incarnation = c.incarnation
	}
	c.countOverdueCalls(now, s.InFlight)
	notable := c.hasNotableClass()
	due := notable || s.Ejected || s.ReportRequested || s.LeaderEpoch != c.leaderEpoch || c.lastReportTime.IsZero() ||
		r.Incarnation != c.lastFlags.Incarnation || r.Suspect != c.lastFlags.Suspect || r.Leaving != c.lastFlags.Leaving || r.LargeFleet != c.lastFlags.LargeFleet ||
		now.Sub(c.lastReportTime) >= c.settings.MaxReportGap
	if !due {
		c.accumulateUnreported()
		return Report{}, false
	}
	c.lastFlags = r
	r.EarlierClasses, r.Classes = c.takeClassReports(now, notable)
	c.lastReportTime, c.leaderEpoch = now, s.LeaderEpoch
	return r, true
}

// resetOnRestart drops the calls from before a restart of the server, which
// would make a cold server look warm.
func (c *Collector) resetOnRestart(started time.Time) {
	if started.Equal(c.serverStarted) {
		return
	}
	c.serverStarted = started
	c.incarnation++
	for _, w := range c.classes {
		*w = classWindows{class: w.class}
	}
}

func (c *Collector) hasNotableClass() bool {
	for _, w := range c.classes {
		if w.current.isNotable() {
			return true
		}
	}
	return false
}

// countOverdueCalls counts the calls in progress that are at least SlowFactor
// times as old as the baseline.
func (c *Collector) countOverdueCalls(now time.Time, calls []InFlightCall) {
	for _, call := range calls {
		w := c.windowsFor(call.Class)
		age := now.Sub(call.Since)
		if w.baseline > 0 && age >= SlowFactor*w.baseline {
			w.current.overdue.add(bucketOf(age), 1)
		}
	}
}

// accumulateUnreported keeps the calls of the current interval for a later
// report.
func (c *Collector) accumulateUnreported() {
	for _, w := range c.classes {
		if !w.current.isEmpty() {
			w.current.moveTo(&w.unreported)
		}
	}
}

// takeClassReports returns the class reports and clears the windows. Earlier
// intervals are reported separately only if the current one is notable.
func (c *Collector) takeClassReports(now time.Time, notable bool) (earlier, current []ClassReport) {
	for _, w := range c.classes {
		if !notable {
			w.unreported.moveTo(&w.current)
		}
		if !w.unreported.isEmpty() {
			earlier = append(earlier, w.unreported.report(w.class))
		}
		if !w.current.isEmpty() {
			current = append(current, w.current.report(w.class))
		}
		w.current.moveTo(&w.unreported)
		w.updateBaseline(now.Sub(c.lastReportTime))
		w.unreported.clear()
	}
	return earlier, current
}

// updateBaseline moves the baseline toward the median of the calls in
// unreported. The weight grows with the time since the last report.
func (w *classWindows) updateBaseline(since time.Duration) {
	if w.unreported.latency.total == 0 || (w.baseline == 0 && w.unreported.latency.total < minBaselineCalls) {
		return
	}
	median := w.unreported.latency.median()
	if w.baseline == 0 {
		w.baseline = median
		return
	}
	weight := min(1, since.Seconds()/baselineTimeConstant.Seconds())
	ratio := float64(median) / float64(w.baseline)
	w.baseline = time.Duration(float64(w.baseline) * math.Pow(ratio, weight))
}
