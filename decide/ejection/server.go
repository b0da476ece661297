package ejection

import "time"

// phase is what the judge has decided for a server. All but serving count
// against the floor.
type phase uint8

const (
	serving   phase = iota
	ejected         // no traffic until the ejection time is over
	returning       // a share of its traffic
	restoring       // full share granted, not yet confirmed by the exit
)

const (
	// leaseMargin covers clocks whose rates differ by up to 2%.
	leaseMargin = EjectionTerm / 50
	// levelDecay is the time after which one relapse is forgotten. It is twice
	// MaxEjection, so that the longest ejection does not forget itself.
	levelDecay = 10 * time.Minute
	// stepTime and stepCalls are what a step of the return lasts at least.
	stepTime  = 2 * time.Second
	stepCalls = 8
	// stepIdle is the time after which a step without calls is passed, so that
	// a service without traffic gets its servers back.
	stepIdle = 30 * time.Second
	// metSteps is the ratio to the siblings' median, in buckets, at which a
	// cold server has met them: 1.5.
	metSteps = 2
)

// shares are the steps of the return.
var shares = [...]float64{0.10, 0.25, 0.50, 1}

// server is what the judge knows of one backend server.
type server struct {
	state    ServerState
	seen     time.Time // receipt of the last report, zero before the first
	seq      uint64    // of the last report
	since    time.Time // receipt of the first report after the last lost one
	answered uint64    // report that the last verdict answered
	cold     bool      // compared leniently, and no part of the healthy capacity
	life     uint32    // of the last report, see Report.Life
	suspect  bool
	leaving  bool     // as told by its exit
	settings Settings // that its exit uses
	tracks   []*track // by class, nil if unknown
	all      history  // all classes together

	phase   phase
	reason  Reason
	until   time.Time // the exit's lease has ended by then
	end     time.Time // of the ejection time
	step    int       // index in shares while returning
	stepped time.Time // start of the step
	// restored is the report that the first verdict of the full share
	// answered, 0 before. The exit accepts no earlier verdict once it has
	// accepted one from here on.
	restored uint64

	badSince time.Time // first looked bad, zero while it does not
	badLast  time.Time // last looked bad
	asked    uint64    // report after which it was asked for another

	level   int
	leveled time.Time // start of the present level's decay
}

func (s *server) isLeaving() bool {
	return s.leaving || s.state.Leaving
}

func (s *server) reportedLately(now time.Time) bool {
	return !s.seen.IsZero() && now.Sub(s.seen) <= s.settings.Lately
}

// healthy tells whether the server counts for the floor.
func (s *server) healthy(now time.Time) bool {
	return s.phase == serving && !s.cold && !s.isLeaving() && s.reportedLately(now)
}

// fresh tells whether there is a report that no verdict has answered.
func (s *server) fresh() bool {
	return s.seq > s.answered
}

// share returns the share of its traffic that the judge has granted.
func (s *server) share() float64 {
	switch s.phase {
	case ejected:
		return 0
	case returning:
		return shares[s.step]
	default:
		return 1
	}
}

func (s *server) trackOf(class int) *track {
	if class < len(s.tracks) {
		return s.tracks[class]
	}
	return nil
}

func (s *server) makeTrack(now time.Time, class int) *track {
	for len(s.tracks) <= class {
		s.tracks = append(s.tracks, nil)
	}
	if s.tracks[class] == nil {
		s.tracks[class] = &track{decayed: now}
	}
	return s.tracks[class]
}

// start notes which life of the server the exit reports as cold, 0 for none. A
// server that just started loses what was known of its earlier life.
func (s *server) start(life uint32) {
	started := life != 0 && life != s.life
	s.cold = started || (s.cold && life != 0)
	s.life = life
	if started {
		s.tracks = nil
		s.all.forget()
	}
}

// metSiblings tells whether median and upper quartile of all classes are near
// the siblings'.
func (s *server) metSiblings(refs []reference) bool {
	met := false
	for class, t := range s.tracks {
		if t == nil || !refs[class].known {
			continue
		}
		if t.timed < referenceCalls {
			return false
		}
		for rank := range 2 {
			if t.levels[rank] > refs[class].levels[rank]+metSteps {
				return false
			}
		}
		met = true
	}
	return met
}

// noteEvidence keeps since when the server looks bad. Single good intervals
// within currentSpan do not end that: at 9 calls/s many intervals have few calls.
func (s *server) noteEvidence(now time.Time, bad bool) {
	if bad {
		if s.badSince.IsZero() {
			s.badSince = now
		}
		s.badLast = now
	}
	if now.Sub(s.badLast) > currentSpan {
		s.badSince = time.Time{}
	}
}

// lapse ends a decision whose lease has ended without renewal.
func (s *server) lapse(now time.Time) {
	if s.phase != serving && !now.Before(s.until) {
		s.serve()
	}
}

func (s *server) serve() {
	s.phase = serving
	s.forget()
}

func (s *server) forget() {
	s.all.forget()
	for _, t := range s.tracks {
		if t != nil {
			t.forget()
		}
	}
}

// learn brings the judge's picture in line with the lease that the exit has.
func (s *server) learn(now time.Time, r Report) {
	confirmed := s.restored > 0 && r.Ack >= s.restored
	switch {
	case r.Ejected == nil && s.phase == restoring && confirmed:
		s.serve()
	case r.Ejected != nil && s.phase == serving:
		s.adopt(now, *r.Ejected)
	}
}

// adopt takes over what an earlier keeper decided.
func (s *server) adopt(now time.Time, e Ejected) {
	s.until = now.Add(EjectionTerm + leaseMargin)
	s.level, s.leveled = max(e.Level, 1), now
	s.reason = e.Reason
	s.phase, s.end = ejected, now.Add(min(max(e.Left, 0), MaxEjection))
	if e.Share > 0 {
		s.phase, s.step, s.stepped = returning, stepOf(e.Share), now
	}
	s.forget()
}

// stepOf returns the step whose share is at most the given one.
func stepOf(share float64) int {
	step := 0
	for step+1 < len(shares)-1 && shares[step+1] <= share {
		step++
	}
	return step
}

// currentLevel returns the level after decay.
func (s *server) currentLevel(now time.Time) int {
	if s.phase != serving {
		return s.level
	}
	return max(0, s.level-int(now.Sub(s.leveled)/levelDecay))
}

// eject starts an ejection, doubled for each relapse.
func (s *server) eject(now time.Time, reason Reason) {
	s.level = s.currentLevel(now) + 1
	s.phase, s.reason = ejected, reason
	s.end = now.Add(ejectionTime(s.level))
	s.forget()
}

func ejectionTime(level int) time.Duration {
	d := MinEjection
	for i := 1; i < level && d < MaxEjection; i++ {
		d *= 2
	}
	return min(d, MaxEjection)
}

// advance goes to the next step of the return.
func (s *server) advance(now time.Time) {
	if s.phase == ejected {
		s.phase, s.step = returning, 0
	} else {
		s.step++
	}
	s.stepped, s.leveled = now, now
	s.reason = Recovered
	if shares[s.step] == 1 {
		s.restore(now, Recovered)
	}
	s.forget()
}

// restore gives back the full share at once.
func (s *server) restore(now time.Time, reason Reason) {
	s.phase, s.restored = restoring, 0
	s.reason, s.leveled = reason, now
}

// clean tells whether the present step of the return may end.
func (s *server) clean(now time.Time) bool {
	elapsed := now.Sub(s.stepped)
	if elapsed < stepTime {
		return false
	}
	for _, t := range s.tracks {
		if t != nil && !t.total().clean() {
			return false
		}
	}
	return s.all.total().count >= stepCalls || elapsed >= stepIdle
}

// clean tells whether neither failures nor slowness stand out.
func (t tally) clean() bool {
	failing := t.failures > 0 && float64(t.failures) >= failureRatio*float64(t.count)
	slow := t.slow > 0 && float64(t.slow) >= slowShare*float64(t.timed)
	return !failing && !slow
}

// verdict answers the last report with what is decided.
func (s *server) verdict(now time.Time, epoch uint64, renewal bool) Verdict {
	v := Verdict{Server: s.state.ID, Kind: Return, Epoch: epoch, Seq: s.seq, Renewal: renewal}
	v.Share, v.Level, v.Reason = s.share(), s.level, s.reason
	if s.phase == ejected {
		v.Kind, v.Left = Eject, max(0, s.end.Sub(now))
	}
	if s.phase == restoring && s.restored == 0 {
		s.restored = s.seq
	}
	s.answered = s.seq
	// The exit counts from the sending of its report, so its lease has ended
	// before this.
	s.until = s.seen.Add(EjectionTerm + leaseMargin)
	return v
}
