package quarantine_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

// checkBound checks the bound of the package comment. news is the lag within
// which every exit knows of a decision.
func (w *world) checkBound(news time.Duration) {
	crashes := w.crashes()
	if len(crashes) == 0 {
		return
	}
	first := crashes[0].crashed
	var condemned time.Time // the first crash alone
	bound := 2
	for _, r := range crashes[1:] {
		if r.alone && condemned.IsZero() {
			condemned = r.crashed
			continue
		}
		if r.start.Before(first.Add(news)) || (!condemned.IsZero() && r.start.Before(condemned.Add(news))) {
			bound++
		}
	}
	if len(crashes) > bound {
		w.t.Fatalf("%d crashes, the bound is %d", len(crashes), bound)
	}
	for _, r := range w.runs {
		if r.f == guilty && !r.alone && !r.start.Before(first.Add(news)) && !r.start.IsZero() {
			w.t.Fatalf("a copy started beside others %v after the first crash", r.start.Sub(first))
		}
	}
}

// Guards against a request that goes on crashing servers when its caller sends
// it again through other processes, and against innocent requests that stay
// refused because they were in flight with it.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		news := lag
		if rapid.Bool().Draw(t, "keeper") {
			w.keeper = rapid.IntRange(0, len(w.exits)-1).Draw(t, "keeper exit")
			w.retries = rapid.Bool().Draw(t, "retries")
		}
		if w.retries {
			news = 2 * lag // two crashes may have to be joined first
		}
		span := rapid.SampledFrom([]time.Duration{3 * lag, 40 * lag}).Draw(t, "span")
		for range rapid.IntRange(1, 60).Draw(t, "sends") {
			at := w.delay(span, "at")
			f := guilty
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				f += quarantine.Fingerprint(rapid.IntRange(1, innocents).Draw(t, "innocent"))
			}
			w.after(at, func() { w.send(w.anyExit(), f, false) })
		}
		w.settle()
		w.checkBound(news)
		w.checkInnocents()
	})
}

// checkInnocents sends each innocent request once more, to servers that are up,
// and expects it to be answered, and cleared if there is a keeper.
func (w *world) checkInnocents() {
	for i := range innocents {
		f := guilty + 1 + quarantine.Fingerprint(i)
		w.now = w.now.Add(time.Second)
		x := w.anyExit()
		w.send(x, f, false)
		last := w.runs[len(w.runs)-1]
		w.settle()
		if !last.ended {
			w.t.Fatalf("innocent request %d was not answered", f)
		}
		for _, y := range w.exits {
			if standing := y.tracker.State(w.now, f); w.keeper >= 0 && standing != quarantine.Clear {
				w.t.Fatalf("innocent request %d is %v after it completed alone", f, standing)
			}
		}
	}
}

// condemn makes a fingerprint condemned by a crash among others and one alone.
func condemn(tracker *quarantine.Tracker, now time.Time) {
	tracker.OnCrash(now, 10, []quarantine.Fingerprint{guilty, 2})
	tracker.OnReport(now, quarantine.Report{Crash: 11, Fingerprint: guilty, Alone: true, Version: 1})
}

// Guards against a condemnation that never ends, one that ends early, and one
// after which the request runs beside others at once.
func TestCondemnationEnds(t *testing.T) {
	tracker := quarantine.NewTracker()
	condemn(tracker, epoch)
	for _, c := range []struct {
		after time.Duration
		want  quarantine.Standing
	}{
		{0, quarantine.Condemned},
		{quarantine.CondemnTime - time.Millisecond, quarantine.Condemned},
		{quarantine.CondemnTime, quarantine.Suspect},
		{quarantine.CondemnTime + quarantine.SuspectTime, quarantine.Clear},
	} {
		if got := tracker.Table().Subject(epoch.Add(c.after), guilty).Standing; got != c.want {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
	if left := tracker.Table().Subject(epoch.Add(time.Minute), guilty).Refused; left != quarantine.CondemnTime-time.Minute {
		t.Errorf("refused for %v after a minute", left)
	}
	end := epoch.Add(quarantine.CondemnTime + quarantine.SuspectTime)
	if !tracker.Expire(end) || len(tracker.Entries(end)) != 0 || tracker.Digest(end) != 0 {
		t.Error("ended records are kept")
	}
}

// Guards against a table that a restarted or cut-off process fills, and against
// one whose condemned fingerprints give way to suspects.
func TestTrackerIsBounded(t *testing.T) {
	tracker := quarantine.NewTracker()
	condemn(tracker, epoch)
	for i := range 2 * quarantine.MaxEntries {
		tracker.OnCrash(epoch.Add(time.Duration(i)), uint64(100+i), []quarantine.Fingerprint{quarantine.Fingerprint(100 + i)})
	}
	if n := len(tracker.Entries(epoch)); n != quarantine.MaxEntries {
		t.Errorf("%d entries, want %d", n, quarantine.MaxEntries)
	}
	if tracker.State(epoch, guilty) != quarantine.Condemned {
		t.Error("the condemned fingerprint was forgotten")
	}
}

// Guards against a copy that was in flight when its fingerprint was condemned
// and whose crash, reported as one among others, lifts the condemnation.
func TestLateCrashDoesNotLiftACondemnation(t *testing.T) {
	a, b := quarantine.NewTracker(), quarantine.NewTracker()
	condemn(a, epoch)
	b.OnCrash(epoch, 10, []quarantine.Fingerprint{guilty})
	late := b.OnCrash(epoch, 12, []quarantine.Fingerprint{guilty})
	for _, e := range a.Entries(epoch) {
		b.OnEntry(epoch, e)
	}
	for _, e := range late {
		a.OnEntry(epoch, e)
	}
	if a.State(epoch, guilty) != quarantine.Condemned || b.State(epoch, guilty) != quarantine.Condemned {
		t.Errorf("standings %v and %v", a.Entries(epoch), b.Entries(epoch))
	}
}

// Guards against standings that depend on the order in which messages arrive,
// against a crash counted twice, and against a clearance that overtakes a crash.
func TestDecisionsAgree(t *testing.T) {
	a, b := quarantine.NewTracker(), quarantine.NewTracker()
	first, _ := a.OnReport(epoch, quarantine.Report{Crash: 10, Fingerprint: guilty})
	second, _ := b.OnReport(epoch, quarantine.Report{Crash: 11, Fingerprint: guilty, Alone: true})
	if _, ok := b.OnReport(epoch, quarantine.Report{Crash: 11, Fingerprint: guilty, Alone: true}); ok {
		t.Error("a repeated report was counted twice")
	}
	if _, ok := a.OnClean(epoch, quarantine.Report{Fingerprint: guilty, Version: first.Version, Crash: 9}); ok {
		t.Error("a run that started before the crash cleared the fingerprint")
	}
	a.OnEntry(epoch, second)
	b.OnEntry(epoch, first)
	if a.State(epoch, guilty) != quarantine.Condemned || a.Digest(epoch) != b.Digest(epoch) {
		t.Errorf("after two crashes, one alone: %v and %v", a.Entries(epoch), b.Entries(epoch))
	}
}
