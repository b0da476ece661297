package ejection

import "time"

// phase is the ejection state of a server. Only servers in phase serving count
// toward the floor.
type phase uint8

const (
	serving   phase = iota
	ejected         // no traffic until the ejection time is over
	returning       // a partial share of its traffic
	restoring       // full share granted, not yet confirmed by the exit proxy
)

const (
	// clockRateMargin allows for clock rates that differ by up to 2%.
	clockRateMargin = LeaseDuration / 50
	// levelDecayTime is the time after which the ejection level drops by one. It
	// is twice MaxEjectionTime, so that the level does not decay within the
	// length of the longest ejection.
	levelDecayTime = 10 * time.Minute
	// minStepTime and minStepCalls are the minimum length of a return step.
	minStepTime  = 2 * time.Second
	minStepCalls = 8
	// idleStepTime is the time after which a step ends even with fewer calls, so
	// that a service without traffic gets its servers back.
	idleStepTime = 30 * time.Second
	// siblingMatchBuckets is the distance to the siblings' latency quantiles up
	// to which a cold server counts as warm: a factor of 1.5, in buckets.
	siblingMatchBuckets = 2
)

// returnShares are the shares of traffic in the steps of a return.
var returnShares = [...]float64{0.10, 0.25, 0.50, 1}

// server is the Detector's state of one backend server.
type server struct {
	state           ServerState
	lastReportTime  time.Time // receipt time of the last report, zero before the first
	lastSeq         uint64    // Seq of the last report
	contiguousSince time.Time // receipt time of the first report after the last gap in Seq
	answeredSeq     uint64    // Seq of the report that the last verdict answered
	cold            bool      // has higher latency thresholds and does not count as healthy
	incarnation     uint32    // of the last report, see Report.Incarnation
	suspect         bool
	leaving         bool            // as reported by its exit proxy
	settings        Settings        // of its exit proxy
	byClass         []*classStats   // by class index, nil without calls
	allClasses      intervalHistory // all classes together

	phase       phase
	reason      Reason
	leaseEnd    time.Time // the exit proxy's lease has expired by then
	ejectionEnd time.Time // end of the ejection time
	returnStep  int       // index in returnShares while returning
	stepStart   time.Time // start of the return step
	// restoreSeq is the Seq of the report that the first verdict with the full
	// share answered, 0 before. An exit proxy that has accepted a verdict with this or
	// a higher Seq refuses all verdicts on earlier reports.
	restoreSeq uint64

	badSince     time.Time // start of the current bad period, zero if there is none
	lastBad      time.Time // last time it looked bad
	requestedSeq uint64    // Seq of the last report when another was requested

	level           int
	levelDecayStart time.Time // time from which the level decays
}

func (s *server) isLeaving() bool {
	return s.leaving || s.state.Leaving
}

func (s *server) reportedRecently(now time.Time) bool {
	return !s.lastReportTime.IsZero() && now.Sub(s.lastReportTime) <= s.settings.StaleAfter
}

// healthy reports whether the server counts toward the floor.
func (s *server) healthy(now time.Time) bool {
	return s.phase == serving && !s.cold && !s.isLeaving() && s.reportedRecently(now)
}

// hasUnansweredReport reports whether no verdict has answered the last report.
func (s *server) hasUnansweredReport() bool {
	return s.lastSeq > s.answeredSeq
}

// share returns the share of its traffic that is granted to the server.
func (s *server) share() float64 {
	switch s.phase {
	case ejected:
		return 0
	case returning:
		return returnShares[s.returnStep]
	default:
		return 1
	}
}

func (s *server) statsForClass(class int) *classStats {
	if class < len(s.byClass) {
		return s.byClass[class]
	}
	return nil
}

func (s *server) ensureClassStats(now time.Time, class int) *classStats {
	for len(s.byClass) <= class {
		s.byClass = append(s.byClass, nil)
	}
	if s.byClass[class] == nil {
		s.byClass[class] = &classStats{decayedAt: now}
	}
	return s.byClass[class]
}

// noteIncarnation processes Report.Incarnation, which is 0 for a server that is
// not warming up. A restart resets the server's call history.
func (s *server) noteIncarnation(incarnation uint32) {
	started := incarnation != 0 && incarnation != s.incarnation
	s.cold = started || (s.cold && incarnation != 0)
	s.incarnation = incarnation
	if started {
		s.byClass = nil
		s.allClasses.reset()
	}
}

// matchesSiblings reports whether the median and the upper quartile of all classes
// are close to the siblings'.
func (s *server) matchesSiblings(refs []reference) bool {
	matched := false
	for class, t := range s.byClass {
		if t == nil || !refs[class].known {
			continue
		}
		if t.timed < minReferenceCalls {
			return false
		}
		for rank := range 2 {
			if t.quantileBuckets[rank] > refs[class].quantiles[rank]+siblingMatchBuckets {
				return false
			}
		}
		matched = true
	}
	return matched
}

// updateBadSince updates the start of the bad period. The period ends only after
// recentAge without bad intervals, since at 9 calls/s many intervals have few
// calls.
func (s *server) updateBadSince(now time.Time, bad bool) {
	if bad {
		if s.badSince.IsZero() {
			s.badSince = now
		}
		s.lastBad = now
	}
	if now.Sub(s.lastBad) > recentAge {
		s.badSince = time.Time{}
	}
}

// expireLease returns the server to serving if its lease expired without renewal.
func (s *server) expireLease(now time.Time) {
	if s.phase != serving && !now.Before(s.leaseEnd) {
		s.resumeServing()
	}
}

func (s *server) resumeServing() {
	s.phase = serving
	s.resetHistory()
}

func (s *server) resetHistory() {
	s.allClasses.reset()
	for _, t := range s.byClass {
		if t != nil {
			t.reset()
		}
	}
}

// reconcile updates the phase from the lease state in a report.
func (s *server) reconcile(now time.Time, r Report) {
	confirmed := s.restoreSeq > 0 && r.Ack >= s.restoreSeq
	switch {
	case r.Ejected == nil && s.phase == restoring && confirmed:
		s.resumeServing()
	case r.Ejected != nil && s.phase == serving:
		s.adoptEjection(now, *r.Ejected)
	}
}

// adoptEjection takes over the decision of an earlier leader.
func (s *server) adoptEjection(now time.Time, e Ejected) {
	s.leaseEnd = now.Add(LeaseDuration + clockRateMargin)
	s.level, s.levelDecayStart = max(e.Level, 1), now
	s.reason = e.Reason
	s.phase, s.ejectionEnd = ejected, now.Add(min(max(e.Left, 0), MaxEjectionTime))
	if e.Share > 0 {
		s.phase, s.returnStep, s.stepStart = returning, returnStepFor(e.Share), now
	}
	s.resetHistory()
}

// returnStepFor returns the last partial step whose share is at most the given
// one, or the first step.
func returnStepFor(share float64) int {
	step := 0
	for step+1 < len(returnShares)-1 && returnShares[step+1] <= share {
		step++
	}
	return step
}

// currentLevel returns the ejection level after decay.
func (s *server) currentLevel(now time.Time) int {
	if s.phase != serving {
		return s.level
	}
	return max(0, s.level-int(now.Sub(s.levelDecayStart)/levelDecayTime))
}

// eject starts an ejection, whose duration depends on the level.
func (s *server) eject(now time.Time, reason Reason) {
	s.level = s.currentLevel(now) + 1
	s.phase, s.reason = ejected, reason
	s.ejectionEnd = now.Add(ejectionTime(s.level))
	s.resetHistory()
}

func ejectionTime(level int) time.Duration {
	d := MinEjectionTime
	for i := 1; i < level && d < MaxEjectionTime; i++ {
		d *= 2
	}
	return min(d, MaxEjectionTime)
}

// advanceReturn starts the next step of the return.
func (s *server) advanceReturn(now time.Time) {
	if s.phase == ejected {
		s.phase, s.returnStep = returning, 0
	} else {
		s.returnStep++
	}
	s.stepStart, s.levelDecayStart = now, now
	s.reason = Recovered
	if returnShares[s.returnStep] == 1 {
		s.restoreFullShare(now, Recovered)
	}
	s.resetHistory()
}

// restoreFullShare grants the full share immediately.
func (s *server) restoreFullShare(now time.Time, reason Reason) {
	s.phase, s.restoreSeq = restoring, 0
	s.reason, s.levelDecayStart = reason, now
}

// isStepClean reports whether the current return step may end: it lasted long
// enough and showed no problems.
func (s *server) isStepClean(now time.Time) bool {
	elapsed := now.Sub(s.stepStart)
	if elapsed < minStepTime {
		return false
	}
	for _, t := range s.byClass {
		if t != nil && !t.total().isClean() {
			return false
		}
	}
	return s.allClasses.total().count >= minStepCalls || elapsed >= idleStepTime
}

// isClean reports whether the shares of failed and slow calls are below the limits
// for an ejection.
func (t callCounts) isClean() bool {
	failing := t.failures > 0 && float64(t.failures) >= minFailureRatio*float64(t.count)
	slow := t.slow > 0 && float64(t.slow) >= minSlowShare*float64(t.timed)
	return !failing && !slow
}

// verdict returns the answer to the last report.
func (s *server) verdict(now time.Time, epoch uint64, renewal bool) Verdict {
	v := Verdict{Server: s.state.ID, Kind: Return, Epoch: epoch, Seq: s.lastSeq, Renewal: renewal}
	v.Share, v.Level, v.Reason = s.share(), s.level, s.reason
	if s.phase == ejected {
		v.Kind, v.Left = Eject, max(0, s.ejectionEnd.Sub(now))
	}
	if s.phase == restoring && s.restoreSeq == 0 {
		s.restoreSeq = s.lastSeq
	}
	s.answeredSeq = s.lastSeq
	// The exit proxy counts the lease from when it sent the report, which is before
	// lastReportTime.
	s.leaseEnd = s.lastReportTime.Add(LeaseDuration + clockRateMargin)
	return v
}
