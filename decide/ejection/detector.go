package ejection

import (
	"math"
	"slices"
	"sort"
	"time"
)

// maxServiceClasses limits the classes that a Detector tracks for one service.
// Calls of further classes are ignored.
const maxServiceClasses = 64

// Detector decides on the ejections of one service. The leader of the service
// owns it and calls Decide only while it holds the leader's lease.
//
// Two rules enforce the floor. A server counts as healthy only if it has recently
// reported to this leader that it gets its full share; from that report on its
// exit proxy refuses verdicts of earlier leaders (see LeaseHolder.PrepareReport). After
// an ejection a server counts as unhealthy until its exit proxy confirms the return or
// every lease that the exit proxy can hold has expired.
type Detector struct {
	epoch           uint64
	floor           Floor
	servers         []*server // sorted by identifier
	byID            map[string]*server
	classes         map[string]int
	references      []reference // by class
	referencesStale bool        // reports have arrived since references were computed
	holdUntil       time.Time   // no ejections before this time
	evidenceStart   time.Time   // earlier evidence cannot be compared with siblings
	statsScratch    []*classStats
	valuesScratch   []float64
	timesScratch    []time.Time
}

// NewDetector returns a Detector for a leader that took over in the given epoch.
// It learns its predecessor's decisions from the reports.
func NewDetector(epoch uint64) *Detector {
	return &Detector{
		epoch:   epoch,
		byID:    make(map[string]*server),
		classes: make(map[string]int),
	}
}

// SetServers sets the servers of the service and the floor. It keeps the state of
// servers that remain.
func (d *Detector) SetServers(_ time.Time, servers []ServerState, floor Floor) {
	d.floor = floor
	byID := make(map[string]*server, len(servers))
	d.servers = d.servers[:0]
	for _, state := range servers {
		if byID[state.ID] != nil {
			continue
		}
		s := d.byID[state.ID]
		if s == nil {
			s = &server{settings: SmallFleetSettings()} // until its first report
		}
		s.state = state
		byID[state.ID] = s
		d.servers = append(d.servers, s)
	}
	d.byID = byID
	sort.Slice(d.servers, func(a, b int) bool { return d.servers[a].state.ID < d.servers[b].state.ID })
	d.referencesStale = true
}

// Observe processes a report. It ignores reports to other leaders, reports of
// unknown servers, and reports that arrive after a later one.
func (d *Detector) Observe(now time.Time, r Report) {
	s := d.byID[r.Server]
	if s == nil || r.Epoch != d.epoch || r.Seq <= s.lastSeq {
		return
	}
	s.expireLease(now)
	if r.Seq != s.lastSeq+1 {
		s.contiguousSince = now
	}
	s.lastReportTime, s.lastSeq = now, r.Seq
	s.suspect, s.leaving, s.settings = r.Suspect, r.Leaving, settingsOf(r)
	s.reconcile(now, r)
	s.noteIncarnation(r.Incarnation)
	d.observeInterval(now, s, r.EarlierClasses)
	d.observeInterval(now, s, r.Classes)
	s.cold = s.cold && !s.matchesSiblings(d.references)
	d.referencesStale = true
}

// observeInterval records the calls of one interval by class and in total. The
// total is tested as well, since each class alone may have too few calls.
func (d *Detector) observeInterval(now time.Time, s *server, classes []ClassReport) {
	if len(classes) == 0 {
		return
	}
	all := interval{received: now}
	for _, c := range classes {
		class, ok := d.classIndex(c.Class)
		if !ok {
			continue
		}
		in := s.ensureClassStats(now, class).add(now, c, d.references[class].thresholds(s.cold))
		all.ended.add(in.ended)
		all.inFlight.add(in.inFlight)
	}
	s.allClasses.push(all)
}

func (d *Detector) classIndex(name string) (int, bool) {
	class, ok := d.classes[name]
	if !ok && len(d.references) < maxServiceClasses {
		class, ok = len(d.references), true
		d.classes[name] = class
		d.references = append(d.references, reference{})
	}
	return class, ok
}

// Decide returns the verdicts to send. Call it within 10 ms of a report. Apart
// from requests for reports, there is at most one verdict per report. There is at
// most one new ejection per call, so that the next decision already excludes the
// ejected server.
func (d *Detector) Decide(now time.Time) []Verdict {
	for _, s := range d.servers {
		s.expireLease(now)
	}
	d.refreshReferences(now)
	d.restoreCapacity(now)
	d.evidenceStart = d.findEvidenceStart()
	sv := d.surveyServers(now)
	verdicts := append(d.answerReports(now, sv), d.requestReports()...)
	if v, ok := d.ejectWorst(now, sv); ok {
		verdicts = append(verdicts, v)
	}
	return verdicts
}

func (d *Detector) refreshReferences(now time.Time) {
	if !d.referencesStale {
		return
	}
	d.referencesStale = false
	for class := range d.references {
		d.statsScratch = d.statsScratch[:0]
		for _, s := range d.servers {
			if t := s.statsForClass(class); t != nil && d.isReference(now, s, t) {
				d.statsScratch = append(d.statsScratch, t)
			}
		}
		d.references[class] = newReference(d.statsScratch, &d.valuesScratch)
	}
}

func (d *Detector) isReference(now time.Time, s *server, t *classStats) bool {
	return !s.cold && s.phase != ejected && t.timed >= minReferenceCalls &&
		s.reportedRecently(now)
}

// minHealthy returns the number of healthy servers that must remain.
func (d *Detector) minHealthy() int {
	staying := 0
	for _, s := range d.servers {
		if !s.isLeaving() {
			staying++
		}
	}
	return max(d.floor.Servers, int(math.Ceil(d.floor.Share*float64(staying))))
}

func (d *Detector) countHealthy(now time.Time) int {
	n := 0
	for _, s := range d.servers {
		if s.healthy(now) {
			n++
		}
	}
	return n
}

// restoreCapacity returns servers to full traffic if healthy capacity is below the
// floor because other servers left or failed after the ejection. The servers that
// are furthest in their return come first.
func (d *Detector) restoreCapacity(now time.Time) {
	missing := d.minHealthy() - d.countHealthy(now)
	var candidates []*server
	for _, s := range d.servers {
		switch {
		case s.isLeaving() || !s.reportedRecently(now):
		case s.phase == restoring:
			missing--
		case s.phase != serving:
			candidates = append(candidates, s)
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].isFurtherRestored(candidates[b]) })
	for i := 0; i < missing && i < len(candidates); i++ {
		candidates[i].restoreFullShare(now, Capacity)
	}
}

// isFurtherRestored reports whether s is closer to full traffic than o.
func (s *server) isFurtherRestored(o *server) bool {
	if s.phase != o.phase {
		return s.phase > o.phase
	}
	if s.phase == returning {
		return s.returnStep > o.returnStep
	}
	return s.ejectionEnd.Before(o.ejectionEnd)
}

// answerReports returns verdicts for the reports of servers that do not get their
// full share.
func (d *Detector) answerReports(now time.Time, sv survey) []Verdict {
	var verdicts []Verdict
	for _, s := range d.servers {
		if s.phase == serving || !s.hasUnansweredReport() {
			continue
		}
		changed := d.advanceEjection(now, s, sv)
		verdicts = append(verdicts, s.verdict(now, d.epoch, !changed))
	}
	return verdicts
}

// advanceEjection moves a server to the next state of its ejection if it is due,
// and reports whether something changed. A server that fails again during its
// return is not ejected if that would violate the floor, for example because
// other hosts have left in the meantime.
func (d *Detector) advanceEjection(now time.Time, s *server, sv survey) bool {
	switch s.phase {
	case restoring:
		return s.restoreSeq == 0
	case ejected:
		if now.Before(s.ejectionEnd) {
			return false
		}
		s.advanceReturn(now)
		return true
	}
	found := d.examine(now, s)
	if found.sufficient && !sv.isMassFailure(found.reason) && d.floorAllowsEjection(now, s) {
		s.eject(now, found.reason)
		return true
	}
	if s.isStepClean(now) {
		s.advanceReturn(now)
		return true
	}
	return false
}

// examine returns the strongest finding over all classes and their total. A
// server that fails only one class is a gray failure as well.
func (d *Detector) examine(now time.Time, s *server) finding {
	probation := s.phase == returning
	opts := examineOptions{notBefore: d.evidenceStart, burstSpan: burstSpanFor(s.settings.ReportInterval)}
	var found finding
	var maxBaseRatio float64
	for class, t := range s.byClass {
		if t == nil || !d.references[class].known {
			continue
		}
		baseRatio := d.references[class].baseFailureRatio()
		found = stronger(found, t.examine(now, opts, baseRatio, s.suspect, probation))
		maxBaseRatio = max(maxBaseRatio, baseRatio)
	}
	if maxBaseRatio == 0 {
		return finding{} // no siblings to compare with
	}
	return stronger(found, s.allClasses.examine(now, opts, maxBaseRatio, s.suspect, probation))
}

// candidate is a server that may be ejected, with the evidence against it.
type candidate struct {
	*server
	finding
}

func (c candidate) ejectionReason() Reason { return c.finding.reason }

// survey summarizes the findings on all servers at one point in time.
type survey struct {
	worst          candidate // strongest sufficient evidence; server is nil if there is none
	massLimit      float64   // number of weak or ejected servers above which it is a mass failure
	failingServers int       // servers with weak evidence of failures, or ejected
	slowServers    int       // servers with weak evidence of slowness, or ejected
	holding        bool      // a recent mass failure still blocks ejections
}

// isMassFailure reports whether so many servers look bad for the same reason, or
// have recently looked bad, that the cause is assumed to lie outside the servers.
func (sv *survey) isMassFailure(reason Reason) bool {
	weak := sv.failingServers
	if reason == Slow {
		weak = sv.slowServers
	}
	return sv.holding || float64(weak) > sv.massLimit
}

// surveyServers examines all servers. A mass failure blocks all ejections until
// the references have adapted. Otherwise a server that is only slightly slower
// than the others could be ejected.
func (d *Detector) surveyServers(now time.Time) survey {
	var sv survey
	bad, reporting := 0, 0
	for _, s := range d.servers {
		if !s.reportedRecently(now) {
			continue
		}
		reporting++
		if s.phase == ejected {
			sv.failingServers++
			sv.slowServers++
			continue
		}
		found := d.examine(now, s)
		s.updateBadSince(now, found.nats >= massFailureNats || found.mostlySlow)
		sv.failingServers += boolToInt(found.symptoms.failing)
		sv.slowServers += boolToInt(found.symptoms.slow)
		bad += boolToInt(!s.badSince.IsZero())
		if s.phase == serving && found.sufficient && s.hasUnansweredReport() && found.nats > sv.worst.nats {
			sv.worst = candidate{s, found}
		}
	}
	sv.massLimit = MassFailureShare * float64(reporting)
	if float64(bad) > sv.massLimit {
		d.holdUntil = now.Add(referenceTimeConstant)
	}
	sv.holding = now.Before(d.holdUntil)
	return sv
}

// findEvidenceStart returns the time since which enough servers have reported
// without a lost report. While most reports are lost, a failure of all servers
// looks like a failure of only those whose reports arrive.
func (d *Detector) findEvidenceStart() time.Time {
	since := d.timesScratch[:0]
	for _, s := range d.servers {
		if !s.isLeaving() && !s.lastReportTime.IsZero() {
			since = append(since, s.contiguousSince)
		}
	}
	d.timesScratch = since
	if len(since) == 0 {
		return time.Time{}
	}
	slices.SortFunc(since, time.Time.Compare)
	missing := int(MassFailureShare * float64(len(since)))
	return since[len(since)-1-missing]
}

// requestReports requests reports from the siblings of bad servers that have not
// reported since. Servers without notable calls report rarely, and a partition may
// hide that they are bad as well.
func (d *Detector) requestReports() []Verdict {
	var since time.Time
	for _, s := range d.servers {
		if s.badSince.After(since) {
			since = s.badSince
		}
	}
	if since.IsZero() {
		return nil
	}
	var requests []Verdict
	for _, s := range d.servers {
		if s.lastReportTime.IsZero() || !s.lastReportTime.Before(since) || s.requestedSeq == s.lastSeq {
			continue
		}
		s.requestedSeq = s.lastSeq
		requests = append(requests, Verdict{
			Server: s.state.ID, Kind: RequestReport, Epoch: d.epoch, Seq: s.lastSeq,
			Ejected: Ejected{Reason: CompareSiblings},
		})
	}
	return requests
}

// enoughSiblingsReported reports whether enough servers have reported since the
// given time to distinguish a single bad server from a mass failure.
func (d *Detector) enoughSiblingsReported(since time.Time) bool {
	staying, reported := 0, 0
	for _, s := range d.servers {
		if s.isLeaving() {
			continue
		}
		staying++
		reported += boolToInt(!s.lastReportTime.Before(since))
	}
	return float64(staying-reported) <= MassFailureShare*float64(staying)
}

// ejectWorst ejects the server with the strongest evidence, unless there is a mass
// failure, too few siblings have reported or the floor forbids it.
func (d *Detector) ejectWorst(now time.Time, sv survey) (Verdict, bool) {
	worst := sv.worst
	if worst.server == nil || sv.isMassFailure(worst.ejectionReason()) || !d.enoughSiblingsReported(worst.badSince) || !d.floorAllowsEjection(now, worst.server) {
		return Verdict{}, false
	}
	worst.server.eject(now, worst.ejectionReason())
	return worst.verdict(now, d.epoch, false), true
}

func (d *Detector) floorAllowsEjection(now time.Time, s *server) bool {
	left := d.countHealthy(now) - boolToInt(s.healthy(now))
	return left >= d.minHealthy()
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Status is the Detector's view of one server, for operators.
type Status struct {
	Server  string
	Healthy bool    // counts toward the floor
	Share   float64 // share of its traffic that is granted
	Level   int     // recent ejections, see Ejected.Level
	Reason  Reason  // for the current ejection or return, empty if serving
	// Evidence is the strongest evidence against the server, in nats.
	Evidence float64
}

// Status returns the status of all servers, sorted by identifier.
func (d *Detector) Status(now time.Time) []Status {
	all := make([]Status, len(d.servers))
	for i, s := range d.servers {
		all[i] = Status{
			Server:   s.state.ID,
			Healthy:  s.healthy(now),
			Share:    s.share(),
			Level:    s.currentLevel(now),
			Evidence: d.examine(now, s).nats,
		}
		if s.phase != serving {
			all[i].Reason = s.reason
		}
	}
	return all
}
