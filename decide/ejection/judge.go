package ejection

import (
	"math"
	"slices"
	"sort"
	"time"
)

// classesJudged bounds the classes that a judge distinguishes in one service.
// Classes beyond are not judged.
const classesJudged = 64

// Judge decides on the ejections of one service. The keeper of the service
// owns it and calls Decide only while it holds its lease.
//
// The floor is kept because a server counts as healthy only when it has
// reported lately to this keeper that it takes its full share, which rules out
// later verdicts of earlier keepers (see Guard.Stamp), and counts as not
// healthy from the verdict on until its exit confirms its return or every
// lease that the exit can have has ended.
type Judge struct {
	epoch   uint64
	floor   Floor
	servers []*server // sorted by identifier
	byID    map[string]*server
	classes map[string]int
	refs    []reference // by class
	dirty   bool        // reports came since refs were made
	hold    time.Time   // no ejections until then
	heard   time.Time   // evidence from before has no siblings to compare with
	scratch []*track
	sorted  []float64
	since   []time.Time
}

// NewJudge returns a judge for a keeper that took over in the given epoch. It
// knows nothing of its predecessor but what the reports tell.
func NewJudge(epoch uint64) *Judge {
	return &Judge{
		epoch:   epoch,
		byID:    make(map[string]*server),
		classes: make(map[string]int),
	}
}

// SetFleet sets the servers of the service and the floor. What is known of
// servers that stay is kept.
func (j *Judge) SetFleet(_ time.Time, servers []ServerState, floor Floor) {
	j.floor = floor
	byID := make(map[string]*server, len(servers))
	j.servers = j.servers[:0]
	for _, state := range servers {
		if byID[state.ID] != nil {
			continue
		}
		s := j.byID[state.ID]
		if s == nil {
			s = &server{settings: Today()} // until its first report tells
		}
		s.state = state
		byID[state.ID] = s
		j.servers = append(j.servers, s)
	}
	j.byID = byID
	sort.Slice(j.servers, func(a, b int) bool { return j.servers[a].state.ID < j.servers[b].state.ID })
	j.dirty = true
}

// Observe takes in a report. It ignores reports to other keepers, of unknown
// servers, and such that were overtaken.
func (j *Judge) Observe(now time.Time, r Report) {
	s := j.byID[r.Server]
	if s == nil || r.Epoch != j.epoch || r.Seq <= s.seq {
		return
	}
	s.lapse(now)
	if r.Seq != s.seq+1 {
		s.since = now
	}
	s.seen, s.seq = now, r.Seq
	s.suspect, s.leaving, s.settings = r.Suspect, r.Leaving, settingsOf(r)
	s.learn(now, r)
	s.start(r.Life)
	j.observeInterval(now, s, r.Earlier)
	j.observeInterval(now, s, r.Classes)
	s.cold = s.cold && !s.metSiblings(j.refs)
	j.dirty = true
}

// observeInterval takes in the classes of one interval. Their sum is tested as
// well: each class alone may have too few calls.
func (j *Judge) observeInterval(now time.Time, s *server, classes []ClassReport) {
	if len(classes) == 0 {
		return
	}
	all := interval{at: now}
	for _, c := range classes {
		class, ok := j.class(c.Class)
		if !ok {
			continue
		}
		in := s.makeTrack(now, class).add(now, c, j.refs[class].limits(s.cold))
		all.ended.add(in.ended)
		all.running.add(in.running)
	}
	s.all.push(all)
}

func (j *Judge) class(name string) (int, bool) {
	class, ok := j.classes[name]
	if !ok && len(j.refs) < classesJudged {
		class, ok = len(j.refs), true
		j.classes[name] = class
		j.refs = append(j.refs, reference{})
	}
	return class, ok
}

// Decide returns the verdicts to send. Call it within 10 ms of a report. There
// is at most one verdict for each report, beside requests for reports, and at
// most one new ejection, so that the next is decided without the server just
// taken out.
func (j *Judge) Decide(now time.Time) []Verdict {
	for _, s := range j.servers {
		s.lapse(now)
	}
	j.refreshReferences(now)
	j.restoreCapacity(now)
	j.heard = j.heardSince()
	result := j.survey(now)
	verdicts := append(j.renew(now, result), j.ask()...)
	if v, ok := j.eject(now, result); ok {
		verdicts = append(verdicts, v)
	}
	return verdicts
}

func (j *Judge) refreshReferences(now time.Time) {
	if !j.dirty {
		return
	}
	j.dirty = false
	for class := range j.refs {
		j.scratch = j.scratch[:0]
		for _, s := range j.servers {
			if t := s.trackOf(class); t != nil && j.isReference(now, s, t) {
				j.scratch = append(j.scratch, t)
			}
		}
		j.refs[class] = makeReference(j.scratch, &j.sorted)
	}
}

func (j *Judge) isReference(now time.Time, s *server, t *track) bool {
	return !s.cold && s.phase != ejected && t.timed >= referenceCalls &&
		s.reportedLately(now)
}

// minimum returns the number of healthy servers that ejections must leave.
func (j *Judge) minimum() int {
	staying := 0
	for _, s := range j.servers {
		if !s.isLeaving() {
			staying++
		}
	}
	return max(j.floor.Servers, int(math.Ceil(j.floor.Share*float64(staying))))
}

func (j *Judge) countHealthy(now time.Time) int {
	n := 0
	for _, s := range j.servers {
		if s.healthy(now) {
			n++
		}
	}
	return n
}

// restoreCapacity gives servers back when others have left or failed since
// they were ejected, those that are furthest in their return first.
func (j *Judge) restoreCapacity(now time.Time) {
	missing := j.minimum() - j.countHealthy(now)
	var candidates []*server
	for _, s := range j.servers {
		switch {
		case s.isLeaving() || !s.reportedLately(now):
		case s.phase == restoring:
			missing--
		case s.phase != serving:
			candidates = append(candidates, s)
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].closerThan(candidates[b]) })
	for i := 0; i < missing && i < len(candidates); i++ {
		candidates[i].restore(now, Capacity)
	}
}

// closerThan orders by how far the return has come.
func (s *server) closerThan(o *server) bool {
	if s.phase != o.phase {
		return s.phase > o.phase
	}
	if s.phase == returning {
		return s.step > o.step
	}
	return s.end.Before(o.end)
}

// renew answers the reports of servers that do not take their full share.
func (j *Judge) renew(now time.Time, result survey) []Verdict {
	var verdicts []Verdict
	for _, s := range j.servers {
		if s.phase == serving || !s.fresh() {
			continue
		}
		changed := j.progress(now, s, result)
		verdicts = append(verdicts, s.verdict(now, j.epoch, !changed))
	}
	return verdicts
}

// progress moves an ejection on. It returns whether something changed. A server
// that fails again on its return keeps its share while capacity is below the
// floor, as when other hosts left in the meantime.
func (j *Judge) progress(now time.Time, s *server, result survey) bool {
	switch s.phase {
	case restoring:
		return s.restored == 0
	case ejected:
		if now.Before(s.end) {
			return false
		}
		s.advance(now)
		return true
	}
	found := j.examine(now, s)
	if found.ejects && !result.mass(found.reason) && j.floorAllows(now, s) {
		s.eject(now, found.reason)
		return true
	}
	if s.clean(now) {
		s.advance(now)
		return true
	}
	return false
}

// examine returns the strongest finding over all classes: a server that fails
// one class only is gray as well.
func (j *Judge) examine(now time.Time, s *server) finding {
	probation := s.phase == returning
	sc := scope{from: j.heard, burstSpan: burstSpanOf(s.settings.ReportInterval)}
	var found finding
	var base float64
	for class, t := range s.tracks {
		if t == nil || !j.refs[class].known {
			continue
		}
		classBase := j.refs[class].failureBaseOf()
		found = stronger(found, t.examine(now, sc, classBase, s.suspect, probation))
		base = max(base, classBase)
	}
	if base == 0 {
		return finding{} // no siblings to compare with
	}
	return stronger(found, s.all.examine(now, sc, base, s.suspect, probation))
}

// suspect is a server that may be ejected.
type suspect struct {
	*server
	finding
}

func (s suspect) cause() Reason { return s.finding.reason }

// survey is the view over all servers at one moment.
type survey struct {
	worst   suspect // strongest evidence that suffices, without server if none
	limit   float64 // number of servers
	failing int     // servers that look weak for a reason, or are ejected
	slow    int
	hold    bool
}

// mass tells whether so many servers look bad for the same reason, or looked bad
// lately, that the cause lies elsewhere.
func (v *survey) mass(reason Reason) bool {
	weak := v.failing
	if reason == Slow {
		weak = v.slow
	}
	return v.hold || float64(weak) > v.limit
}

// survey examines all servers. After a failure shared by many it holds back all
// ejections until the reference has followed: a server that is only somewhat
// slower than the others would stand out.
func (j *Judge) survey(now time.Time) survey {
	var v survey
	bad, reporting := 0, 0
	for _, s := range j.servers {
		if !s.reportedLately(now) {
			continue
		}
		reporting++
		if s.phase == ejected {
			v.failing++
			v.slow++
			continue
		}
		found := j.examine(now, s)
		s.noteEvidence(now, found.nats >= looksBad || found.mostlySlow)
		v.failing += boolToInt(found.weak.failing)
		v.slow += boolToInt(found.weak.slow)
		bad += boolToInt(!s.badSince.IsZero())
		if s.phase == serving && found.ejects && s.fresh() && found.nats > v.worst.nats {
			v.worst = suspect{s, found}
		}
	}
	v.limit = MassFailure * float64(reporting)
	if float64(bad) > v.limit {
		j.hold = now.Add(memory)
	}
	v.hold = now.Before(j.hold)
	return v
}

// heardSince returns the time from which the reports of enough servers have come
// without a loss. When most reports were lost, a failure shared by all looks like
// a failure of the servers that were heard.
func (j *Judge) heardSince() time.Time {
	since := j.since[:0]
	for _, s := range j.servers {
		if !s.isLeaving() && !s.seen.IsZero() {
			since = append(since, s.since)
		}
	}
	j.since = since
	if len(since) == 0 {
		return time.Time{}
	}
	slices.SortFunc(since, time.Time.Compare)
	missing := int(MassFailure * float64(len(since)))
	return since[len(since)-1-missing]
}

// ask asks the silent siblings of servers that look bad for a report. Quiet
// servers report rarely, and a partition may hide that they are bad as well.
func (j *Judge) ask() []Verdict {
	var since time.Time
	for _, s := range j.servers {
		if s.badSince.After(since) {
			since = s.badSince
		}
	}
	if since.IsZero() {
		return nil
	}
	var asks []Verdict
	for _, s := range j.servers {
		if s.seen.IsZero() || !s.seen.Before(since) || s.asked == s.seq {
			continue
		}
		s.asked = s.seq
		asks = append(asks, Verdict{
			Server: s.state.ID, Kind: Ask, Epoch: j.epoch, Seq: s.seq,
			Ejected: Ejected{Reason: Compare},
		})
	}
	return asks
}

// compared tells whether enough siblings have reported since a server looked
// bad, so that they would be known if they were bad as well.
func (j *Judge) compared(since time.Time) bool {
	staying, reported := 0, 0
	for _, s := range j.servers {
		if s.isLeaving() {
			continue
		}
		staying++
		reported += boolToInt(!s.seen.Before(since))
	}
	return float64(staying-reported) <= MassFailure*float64(staying)
}

// eject takes a server out if its siblings are known and the floor allows it.
func (j *Judge) eject(now time.Time, result survey) (Verdict, bool) {
	worst := result.worst
	if worst.server == nil || result.mass(worst.cause()) || !j.compared(worst.badSince) || !j.floorAllows(now, worst.server) {
		return Verdict{}, false
	}
	worst.server.eject(now, worst.cause())
	return worst.verdict(now, j.epoch, false), true
}

func (j *Judge) floorAllows(now time.Time, s *server) bool {
	left := j.countHealthy(now) - boolToInt(s.healthy(now))
	return left >= j.minimum()
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Status is the judge's view of one server, for operators.
type Status struct {
	Server  string
	Healthy bool    // counts for the floor
	Share   float64 // granted share of its traffic
	Level   int     // ejections that have not decayed
	Reason  Reason  // of the present ejection or return, "" when serving
	// Evidence is the strongest evidence against the server, in nats.
	Evidence float64
}

// Status returns the view of all servers, sorted by identifier.
func (j *Judge) Status(now time.Time) []Status {
	all := make([]Status, len(j.servers))
	for i, s := range j.servers {
		all[i] = Status{
			Server:   s.state.ID,
			Healthy:  s.healthy(now),
			Share:    s.share(),
			Level:    s.currentLevel(now),
			Evidence: j.examine(now, s).nats,
		}
		if s.phase != serving {
			all[i].Reason = s.reason
		}
	}
	return all
}
