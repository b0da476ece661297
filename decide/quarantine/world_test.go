package quarantine_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
)

// The crashing request and the others. The numbers are fingerprints.
const (
	guilty    = quarantine.Fingerprint(1)
	innocents = 4 // 2, 3, 4, 5
)

// Times of the simulated fleet.
const (
	lag      = 50 * time.Millisecond // within which any message arrives
	downTime = 100 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// exit is a process with one backend server.
type exit struct {
	tracker *quarantine.Tracker
	gate    *quarantine.Gate
	running []*run
	waiting []*run
	downTil time.Time
}

// run is one copy of a request on a backend server.
type run struct {
	id      uint64
	f       quarantine.Fingerprint
	suspect bool // as the entry says after a lost connection
	alone   bool
	start   time.Time
	crashed time.Time
	ended   bool
}

type event struct {
	at time.Time
	do func()
}

// world is a fleet in virtual time. Every message arrives within lag, but
// reports are lost while there is no keeper.
type world struct {
	t       *rapid.T
	now     time.Time
	events  []event
	exits   []*exit
	keeper  int  // -1 while there is none
	retries bool // a cut copy is sent again at once, ahead of the news
	runs    []*run
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, keeper: -1}
	for i := range rapid.IntRange(2, 6).Draw(t, "exits") {
		w.exits = append(w.exits, &exit{
			tracker: quarantine.NewTracker(),
			gate:    quarantine.NewGate(uint64(i) << 32),
		})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now.Add(d), do})
}

func (w *world) delay(most time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(w.t, label))
}

// settle handles all events in the order of their times.
func (w *world) settle() {
	for len(w.events) > 0 {
		next := 0
		for i, e := range w.events {
			if e.at.Before(w.events[next].at) {
				next = i
			}
		}
		e := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = e.at
		e.do()
	}
}

func (w *world) anyExit() *exit {
	return w.exits[rapid.IntRange(0, len(w.exits)-1).Draw(w.t, "exit")]
}

// send hands a copy of a request to an exit.
func (w *world) send(x *exit, f quarantine.Fingerprint, suspect bool) {
	r := &run{id: uint64(len(w.runs) + 1), f: f, suspect: suspect}
	w.runs = append(w.runs, r)
	w.enter(x, r)
}

// enter starts the run as soon as the gate lets it. A server that is down
// refuses it without having run it.
func (w *world) enter(x *exit, r *run) {
	if w.now.Before(x.downTil) {
		return
	}
	s := x.tracker.Table().Subject(w.now, r.f)
	if r.suspect {
		s.Standing = max(s.Standing, quarantine.Suspect)
	}
	switch x.gate.Enter(r.id, s) {
	case quarantine.Wait:
		x.waiting = append(x.waiting, r)
	case quarantine.Start:
		r.start, r.alone = w.now, s.Standing == quarantine.Suspect
		w.checkAlone(x, r)
		x.running = append(x.running, r)
		w.after(time.Millisecond+w.delay(20*time.Millisecond, "service time"), func() { w.end(x, r) })
	}
}

// checkAlone fails when a suspect shares its server.
func (w *world) checkAlone(x *exit, r *run) {
	for _, other := range x.running {
		if r.alone || other.alone {
			w.t.Fatalf("fingerprint %d runs beside %d, one of them a suspect", r.f, other.f)
		}
	}
}

func (w *world) end(x *exit, r *run) {
	if r.ended {
		return
	}
	if r.f == guilty {
		w.crash(x, r)
		return
	}
	w.leave(x, r, quarantine.Answered)
	w.wake(x)
}

// crash cuts all that is in flight and takes the server down for a while.
func (w *world) crash(x *exit, r *run) {
	r.crashed = w.now
	x.downTil = w.now.Add(downTime)
	cut := slices.Clone(x.running)
	for _, other := range rapid.Permutation(cut).Draw(w.t, "order of ends") {
		w.leave(x, other, quarantine.Refused)
		if w.retries {
			w.send(w.anyExit(), other.f, true)
		}
	}
	w.after(downTime, func() { w.wake(x) })
}

func (w *world) wake(x *exit) {
	waiting := x.waiting
	x.waiting = nil
	for _, r := range waiting {
		w.enter(x, r)
	}
}

func (w *world) leave(x *exit, r *run, end quarantine.End) {
	r.ended = true
	x.running = slices.DeleteFunc(x.running, func(o *run) bool { return o == r })
	for _, report := range x.gate.Leave(w.now, r.id, end) {
		if !report.Clean {
			w.decide(x, report)
		}
		if w.keeper >= 0 {
			keeper := w.exits[w.keeper]
			w.after(w.delay(lag, "report"), func() { w.decide(keeper, report) })
		}
	}
}

func (w *world) decide(x *exit, report quarantine.Report) {
	if entry, ok := x.tracker.OnReport(w.now, report); ok {
		w.spread(x, entry)
	}
}

func (w *world) spread(from *exit, entry quarantine.Entry) {
	for _, x := range w.exits {
		if x != from {
			w.after(w.delay(lag, "spread"), func() { w.take(x, entry) })
		}
	}
}

func (w *world) take(x *exit, entry quarantine.Entry) {
	next, ok := x.tracker.OnEntry(w.now, entry)
	if ok && next != entry {
		w.spread(x, next)
	}
}

// crashes returns the copies that crashed a server, in the order of the crashes.
func (w *world) crashes() []*run {
	var crashed []*run
	for _, r := range w.runs {
		if !r.crashed.IsZero() {
			crashed = append(crashed, r)
		}
	}
	slices.SortStableFunc(crashed, func(a, b *run) int { return a.crashed.Compare(b.crashed) })
	return crashed
}
