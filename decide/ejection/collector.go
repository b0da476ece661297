package ejection

import (
	"math"
	"time"
)

// Outcome is how a call to a backend server ended, as seen by its exit.
type Outcome uint8

// The outcomes.
const (
	// Success is a whole answer.
	Success Outcome = iota
	// Failure is an error answer, a cut answer, a timeout or a refused
	// connection.
	Failure
	// Abandoned is a call that the caller gave up. It says only that the
	// latency is higher than what passed.
	Abandoned
	// Excused is a call that says nothing about the server: it shed load, or
	// a crash that is counted against a request cut the call.
	Excused
)

const (
	// classesKept bounds the classes that one server reports on; further ones
	// share one summary under otherClass.
	classesKept = 16
	otherClass  = "*"
	// ownFactor is the ratio to the server's own earlier median from which a
	// call is notable. It is half of SlowFactor, so that a keeper hears of a
	// change well before it matters.
	ownFactor = 2
	// ownMemory is the time over which a server's own median adapts. It is
	// long beside the time that a detection takes.
	ownMemory = 30 * time.Second
	// ownSamples is the number of timed calls that make a first own median.
	ownSamples = 8
)

// counts is a histogram that knows the range of its buckets in use, since most
// of them are empty.
type counts struct {
	n           [Buckets]uint32
	total       uint32
	first, last int // valid if total is above 0
}

func (c *counts) add(bucket int, n uint32) {
	if c.total == 0 {
		c.first, c.last = bucket, bucket
	}
	c.first, c.last = min(c.first, bucket), max(c.last, bucket)
	c.n[bucket] += n
	c.total += n
}

func (c *counts) clear() {
	if c.total > 0 {
		clear(c.n[c.first : c.last+1])
		c.total = 0
	}
}

func (c *counts) moveTo(to *counts) {
	if c.total == 0 {
		return
	}
	for i := c.first; i <= c.last; i++ {
		if c.n[i] > 0 {
			to.add(i, c.n[i])
		}
	}
	c.clear()
}

// sketch returns nil without samples.
func (c *counts) sketch() Sketch {
	if c.total == 0 {
		return nil
	}
	s := make(Sketch, 0, c.last-c.first+2)
	s = append(s, uint32(c.first))
	return append(s, c.n[c.first:c.last+1]...)
}

func (c *counts) median() time.Duration {
	below := c.total / 2
	for i, n := range c.n {
		if below < n {
			return lowerBound(i)
		}
		below -= n
	}
	return lowerBound(Buckets - 1)
}

// Window holds the calls of one class between two reports.
type Window struct {
	count    uint32
	failures uint32
	notable  uint32 // calls in latency of ownFactor times the own median or more
	latency  counts
	running  counts // calls in progress that are overdue
}

func (w *Window) addLatency(latency, own time.Duration) {
	w.latency.add(bucketOf(latency), 1)
	if own > 0 && latency >= ownFactor*own {
		w.notable++
	}
}

// isNotable tells whether the keeper should hear of these calls at once: one
// failed, or over a third (and not a single one) were slow for this server.
func (w *Window) isNotable() bool {
	return w.failures > 0 || w.running.total > 1 || (w.notable > 1 && w.notable*3 > w.latency.total)
}

func (w *Window) isEmpty() bool {
	return w.count == 0 && w.latency.total == 0 && w.running.total == 0
}

// moveTo adds the ended calls to another window and empties this one. Calls in
// progress are dropped: they will be seen when they end.
func (w *Window) moveTo(to *Window) {
	to.count += w.count
	to.failures += w.failures
	w.latency.moveTo(&to.latency)
	w.clear()
}

func (w *Window) clear() {
	w.count, w.failures, w.notable = 0, 0, 0
	w.latency.clear()
	w.running.clear()
}

func (w *Window) report(class string) ClassReport {
	return ClassReport{
		Class: class, Count: w.count, Failures: w.failures,
		Latency: w.latency.sketch(), Running: w.running.sketch(),
	}
}

// classWindows are the calls of one class: those of quiet intervals that are
// not reported yet, and those of the present interval.
type classWindows struct {
	class   string
	quiet   Window
	present Window
	own     time.Duration // the server's own median, 0 if not known
}

// State is what the exit knows of a backend server beside its calls.
type State struct {
	Started time.Time // when the server was last seen to start; zero if it was never seen
	Suspect bool      // the health check or the load report is bad
	Leaving bool      // the host has announced that it stops
	Ejected bool      // a lease is in force
	Asked   bool      // the keeper asked for a report
	Keeper  uint64    // epoch of the keeper; a new keeper gets a report at once
	Running []Running // calls in progress
}

// Running is a call in progress.
type Running struct {
	Class string
	Since time.Time
}

// Collector turns the calls of one local backend server into reports. The
// control loop owns it.
type Collector struct {
	settings Settings
	service  string
	server   string
	classes  []*classWindows
	last     time.Time // of the last report
	flags    Report    // the flags of the last report
	keeper   uint64
	started  time.Time // of the server, as of the last call of Report
	life     uint32    // number of its starts
}

// NewCollector returns a collector for one backend server.
func NewCollector(s Settings, service, server string) *Collector {
	return &Collector{settings: s, service: service, server: server}
}

// Use changes the settings, as when the fleet grows. The next report says so.
func (c *Collector) Use(s Settings) {
	c.settings = s
}

// Observe takes in one call. The latency runs from the moment the exit passed
// the request to the server, without the time in the exit's queue.
func (c *Collector) Observe(class string, outcome Outcome, latency time.Duration) {
	if outcome == Excused {
		return
	}
	w := c.window(class)
	switch {
	case outcome == Success:
		w.present.count++
		w.present.addLatency(latency, w.own)
	case outcome == Failure:
		w.present.count++
		w.present.failures++
	case outcome == Abandoned && w.own > 0 && latency > w.own:
		// Callers give up slow calls first. Without these, a slow server
		// would look like its fastest answers.
		w.present.addLatency(latency, w.own)
	}
}

func (c *Collector) window(class string) *classWindows {
	for _, w := range c.classes {
		if w.class == class {
			return w
		}
	}
	if len(c.classes) == classesKept-1 {
		class = otherClass
	}
	if len(c.classes) >= classesKept {
		return c.classes[classesKept-1]
	}
	w := &classWindows{class: class}
	c.classes = append(c.classes, w)
	return w
}

// Report returns the report that is due now, without the fields that
// Guard.Stamp sets. It returns false when there is nothing that the keeper
// needs now. Call it once in every ReportInterval.
func (c *Collector) Report(now time.Time, s State) (Report, bool) {
	r := Report{
		Service: c.service, Server: c.server, Suspect: s.Suspect, Leaving: s.Leaving, Seldom: c.settings.Seldom,
	}
	c.noteStart(s.Started)
	if !s.Started.IsZero() && now.Sub(s.Started) < WarmUp {
		r.Life = c.life
	}
	c.observeRunning(now, s.Running)
	notable := c.anyNotable()
	due := notable || s.Ejected || s.Asked || s.Keeper != c.keeper || c.last.IsZero() ||
		r.Life != c.flags.Life || r.Suspect != c.flags.Suspect || r.Leaving != c.flags.Leaving || r.Seldom != c.flags.Seldom ||
		now.Sub(c.last) >= c.settings.MaxQuiet
	if !due {
		c.keepQuiet()
		return Report{}, false
	}
	c.flags = r
	r.Earlier, r.Classes = c.flush(now, notable)
	c.last, c.keeper = now, s.Keeper
	return r, true
}

// noteStart drops the calls to an earlier life of the server, which would make
// a cold server look warm.
func (c *Collector) noteStart(started time.Time) {
	if started.Equal(c.started) {
		return
	}
	c.started = started
	c.life++
	for _, w := range c.classes {
		*w = classWindows{class: w.class}
	}
}

func (c *Collector) anyNotable() bool {
	for _, w := range c.classes {
		if w.present.isNotable() {
			return true
		}
	}
	return false
}

// observeRunning counts the calls in progress that already took SlowFactor
// times the own median.
func (c *Collector) observeRunning(now time.Time, running []Running) {
	for _, call := range running {
		w := c.window(call.Class)
		age := now.Sub(call.Since)
		if w.own > 0 && age >= SlowFactor*w.own {
			w.present.running.add(bucketOf(age), 1)
		}
	}
}

// keepQuiet holds the present interval back for a later report.
func (c *Collector) keepQuiet() {
	for _, w := range c.classes {
		if !w.present.isEmpty() {
			w.present.moveTo(&w.quiet)
		}
	}
}

// flush empties the windows.
func (c *Collector) flush(now time.Time, notable bool) (earlier, present []ClassReport) {
	for _, w := range c.classes {
		if !notable {
			w.quiet.moveTo(&w.present)
		}
		if !w.quiet.isEmpty() {
			earlier = append(earlier, w.quiet.report(w.class))
		}
		if !w.present.isEmpty() {
			present = append(present, w.present.report(w.class))
		}
		w.present.moveTo(&w.quiet)
		w.adapt(now.Sub(c.last))
		w.quiet.clear()
	}
	return earlier, present
}

// adapt moves the own median toward the median of the calls in quiet, in steps
// that grow with the time since the last report.
func (w *classWindows) adapt(since time.Duration) {
	if w.quiet.latency.total == 0 || (w.own == 0 && w.quiet.latency.total < ownSamples) {
		return
	}
	median := w.quiet.latency.median()
	if w.own == 0 {
		w.own = median
		return
	}
	weight := min(1, since.Seconds()/ownMemory.Seconds())
	ratio := float64(median) / float64(w.own)
	w.own = time.Duration(float64(w.own) * math.Pow(ratio, weight))
}
