package quarantine_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

// checkBound checks the bound on crashes in the package comment. spreadDelay is the
// time within which every exit proxy learns of a decision.
func (sim *simulation) checkBound(spreadDelay time.Duration) {
	crashes := sim.crashes()
	if len(crashes) == 0 {
		return
	}
	first := crashes[0].crashed
	var blocked time.Time // the first crash alone
	bound := 2
	for _, r := range crashes[1:] {
		if r.alone && blocked.IsZero() {
			blocked = r.crashed
			continue
		}
		if r.start.Before(first.Add(spreadDelay)) || (!blocked.IsZero() && r.start.Before(blocked.Add(spreadDelay))) {
			bound++
		}
	}
	if len(crashes) > bound {
		sim.t.Fatalf("%d crashes, want at most %d", len(crashes), bound)
	}
	for _, r := range sim.runs {
		if r.f == crashing && !r.alone && !r.start.Before(first.Add(spreadDelay)) && !r.start.IsZero() {
			sim.t.Fatalf("a copy was not isolated, although it started %v after the first crash", r.start.Sub(first))
		}
	}
}

// Guards against a request that keeps crashing servers because its caller retries it
// through other processes, and against harmless requests that are still rejected
// because they were in flight with it.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		spreadDelay := maxDelay
		if rapid.Bool().Draw(t, "leader") {
			sim.leader = rapid.IntRange(0, len(sim.exitProxies)-1).Draw(t, "leader exit proxy")
			sim.retries = rapid.Bool().Draw(t, "retries")
		}
		if sim.retries {
			spreadDelay = 2 * maxDelay // records of two crashes may have to be merged first
		}
		span := rapid.SampledFrom([]time.Duration{3 * maxDelay, 40 * maxDelay}).Draw(t, "span")
		for range rapid.IntRange(1, 60).Draw(t, "sends") {
			at := sim.delay(span, "at")
			f := crashing
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				f += quarantine.Fingerprint(rapid.IntRange(1, harmlessCount).Draw(t, "innocent"))
			}
			sim.after(at, func() { sim.send(sim.randomExitProxy(), f, false) })
		}
		sim.runEvents()
		sim.checkBound(spreadDelay)
		sim.checkHarmless()
	})
}

// checkHarmless sends each harmless request once more, to a server that is up. It must
// be answered, and its fingerprint must be cleared if there is a leader.
func (sim *simulation) checkHarmless() {
	for i := range harmlessCount {
		f := crashing + 1 + quarantine.Fingerprint(i)
		sim.now = sim.now.Add(time.Second)
		x := sim.randomExitProxy()
		sim.send(x, f, false)
		last := sim.runs[len(sim.runs)-1]
		sim.runEvents()
		if !last.ended {
			sim.t.Fatalf("harmless request %d was not answered", f)
		}
		for _, y := range sim.exitProxies {
			if standing := y.tracker.Standing(sim.now, f); sim.leader >= 0 && standing != quarantine.Clear {
				sim.t.Fatalf("harmless request %d is %v after it completed alone", f, standing)
			}
		}
	}
}

// block makes a fingerprint blocked: it crashes once with another request in flight and
// once alone.
func block(tracker *quarantine.Tracker, now time.Time) {
	tracker.OnCrash(now, 10, []quarantine.Fingerprint{crashing, 2})
	tracker.OnReport(now, quarantine.Report{CrashID: 11, Fingerprint: crashing, RanAlone: true, Generation: 1})
}

// Guards against a block that ends too early or never, and against a blocked
// fingerprint that becomes clear without being suspect first.
func TestBlockEnds(t *testing.T) {
	tracker := quarantine.NewTracker()
	block(tracker, epoch)
	for _, c := range []struct {
		after time.Duration
		want  quarantine.Standing
	}{
		{0, quarantine.Blocked},
		{quarantine.BlockDuration - time.Millisecond, quarantine.Blocked},
		{quarantine.BlockDuration, quarantine.Suspect},
		{quarantine.BlockDuration + quarantine.SuspectDuration, quarantine.Clear},
	} {
		if got := tracker.Snapshot().Lookup(epoch.Add(c.after), crashing).Standing; got != c.want {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
	if left := tracker.Snapshot().Lookup(epoch.Add(time.Minute), crashing).RejectedFor; left != quarantine.BlockDuration-time.Minute {
		t.Errorf("rejected for another %v after a minute, want the rest of BlockDuration", left)
	}
	end := epoch.Add(quarantine.BlockDuration + quarantine.SuspectDuration)
	if !tracker.Expire(end) || len(tracker.Entries(end)) != 0 || tracker.Digest(end) != 0 {
		t.Error("expired records are kept")
	}
}

// Guards against a tracker that grows without bound, and one that evicts blocked
// fingerprints while it holds suspects.
func TestTrackerIsBounded(t *testing.T) {
	tracker := quarantine.NewTracker()
	block(tracker, epoch)
	for i := range 2 * quarantine.MaxEntries {
		tracker.OnCrash(epoch.Add(time.Duration(i)), uint64(100+i), []quarantine.Fingerprint{quarantine.Fingerprint(100 + i)})
	}
	if n := len(tracker.Entries(epoch)); n != quarantine.MaxEntries {
		t.Errorf("%d entries, want %d", n, quarantine.MaxEntries)
	}
	if tracker.Standing(epoch, crashing) != quarantine.Blocked {
		t.Error("the blocked fingerprint was evicted")
	}
}

// Guards against a block that is lifted by a late crash: a copy that was in
// flight when its fingerprint was blocked crashes while it does not run alone.
func TestLateCrashKeepsBlock(t *testing.T) {
	a, b := quarantine.NewTracker(), quarantine.NewTracker()
	block(a, epoch)
	b.OnCrash(epoch, 10, []quarantine.Fingerprint{crashing})
	late := b.OnCrash(epoch, 12, []quarantine.Fingerprint{crashing})
	for _, e := range a.Entries(epoch) {
		b.OnEntry(epoch, e)
	}
	for _, e := range late {
		a.OnEntry(epoch, e)
	}
	if a.Standing(epoch, crashing) != quarantine.Blocked || b.Standing(epoch, crashing) != quarantine.Blocked {
		t.Errorf("standings %v and %v", a.Entries(epoch), b.Entries(epoch))
	}
}

// Guards against standings that depend on the order of messages, against a crash that
// is counted twice, and against a suspect that is cleared by a run that started before
// its last crash.
func TestTrackersConverge(t *testing.T) {
	a, b := quarantine.NewTracker(), quarantine.NewTracker()
	first, _ := a.OnReport(epoch, quarantine.Report{CrashID: 10, Fingerprint: crashing})
	second, _ := b.OnReport(epoch, quarantine.Report{CrashID: 11, Fingerprint: crashing, RanAlone: true})
	if _, ok := b.OnReport(epoch, quarantine.Report{CrashID: 11, Fingerprint: crashing, RanAlone: true}); ok {
		t.Error("a repeated report changed the entry")
	}
	if _, ok := a.OnCompletedAlone(epoch, quarantine.Report{Fingerprint: crashing, Generation: first.Generation, CrashID: 9}); ok {
		t.Error("a run that started before the crash cleared the fingerprint")
	}
	a.OnEntry(epoch, second)
	b.OnEntry(epoch, first)
	if a.Standing(epoch, crashing) != quarantine.Blocked || a.Digest(epoch) != b.Digest(epoch) {
		t.Errorf("after two crashes, one alone: %v and %v", a.Entries(epoch), b.Entries(epoch))
	}
}
