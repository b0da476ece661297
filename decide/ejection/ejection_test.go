package ejection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// rig is one service in virtual time: the collectors and guards of its exits and
// its keeper. Every server gets three calls an interval.
type rig struct {
	now        time.Time
	settings   ejection.Settings
	names      []string
	collectors []*ejection.Collector
	guards     []*ejection.Guard
	states     []ejection.State
	mute       []bool // reports are lost
	calls      int    // of each server so far
	judge      *ejection.Judge
	epoch      uint64
	floor      ejection.Floor
	fleet      []ejection.ServerState
	ejected    []ejection.Verdict // new ejections
	returned   []ejection.Verdict // new steps of a return
}

const callsPerInterval = 3

func newRig(servers int, floor ejection.Floor) *rig {
	r := &rig{
		now: time.Unix(1_700_000_000, 0), settings: ejection.Today(), floor: floor,
		states: make([]ejection.State, servers), mute: make([]bool, servers),
	}
	for i := range servers {
		name := fmt.Sprintf("s%02d", i)
		r.names = append(r.names, name)
		r.collectors = append(r.collectors, ejection.NewCollector(r.settings, "roster", name))
		r.guards = append(r.guards, ejection.NewGuard(0))
		r.fleet = append(r.fleet, ejection.ServerState{ID: name, Host: name})
	}
	r.replaceKeeper()
	return r
}

func (r *rig) replaceKeeper() {
	r.epoch++
	r.judge = ejection.NewJudge(r.epoch)
	r.judge.SetFleet(r.now, r.fleet, r.floor)
}

// behavior tells how the n-th call of a server ends.
type behavior func(server, n int) (ejection.Outcome, time.Duration)

// healthy calls take about 10 ms.
func healthy(_, n int) (ejection.Outcome, time.Duration) {
	return ejection.Success, []time.Duration{7, 9, 10, 11, 14}[n%5] * time.Millisecond
}

func slower(factor time.Duration, servers ...int) behavior {
	return func(server, n int) (ejection.Outcome, time.Duration) {
		outcome, latency := healthy(server, n)
		if slices.Contains(servers, server) {
			latency *= factor
		}
		return outcome, latency
	}
}

// failing lets every k-th call of some servers fail.
func failing(k int, servers ...int) behavior {
	return func(server, n int) (ejection.Outcome, time.Duration) {
		if slices.Contains(servers, server) && n%k == 0 {
			return ejection.Failure, 0
		}
		return healthy(server, n)
	}
}

// classOf makes one call in five a write, so that a server that fails only its
// writes fails fewer of all calls than ejects.
func classOf(n int) string {
	if n%5 == 0 {
		return "write"
	}
	return "read"
}

// observe tells the collector of a server of its calls in one interval.
func (r *rig) observe(server int, b behavior) {
	if r.guards[server].Lease().Share(r.now) == 0 {
		return
	}
	for n := r.calls; n < r.calls+callsPerInterval; n++ {
		outcome, latency := b(server, n)
		r.collectors[server].Observe(classOf(n), outcome, latency)
	}
}

func (r *rig) report(server int) (ejection.Report, bool) {
	state := r.states[server]
	state.Keeper = r.epoch
	state.Asked = r.guards[server].Asked()
	state.Ejected = r.guards[server].Lease().Share(r.now) < 1
	report, due := r.collectors[server].Report(r.now, state)
	if due {
		r.guards[server].Stamp(r.now, r.epoch, &report)
	}
	return report, due
}

func (r *rig) deliver(v ejection.Verdict) {
	r.guards[slices.Index(r.names, v.Server)].OnVerdict(r.now, v)
	switch {
	case v.Renewal:
	case v.Kind == ejection.Eject:
		r.ejected = append(r.ejected, v)
	case v.Kind == ejection.Return:
		r.returned = append(r.returned, v)
	}
}

// run lets time pass until a server is ejected, if stop is
// set, and returns how long that took.
func (r *rig) run(d time.Duration, b behavior, stop bool) time.Duration {
	from, before := r.now, len(r.ejected)
	for r.now.Sub(from) < d {
		r.now = r.now.Add(r.settings.ReportInterval)
		for i := range r.names {
			r.observe(i, b)
			if report, due := r.report(i); due && !r.mute[i] {
				r.judge.Observe(r.now, report)
			}
		}
		r.calls += callsPerInterval
		for _, v := range r.judge.Decide(r.now) {
			r.deliver(v)
		}
		if stop && len(r.ejected) > before {
			break
		}
	}
	return r.now.Sub(from)
}

func warmRig(servers int) *rig {
	r := newRig(servers, ejection.Floor{Share: 0.5})
	r.run(20*time.Second, healthy, false)
	return r
}

// Guards against gray servers that stay in and against healthy ones that are
// taken out. Gray ones must be out within the 3 s of design section 1.3.
func TestJudgeTellsGrayServersFromOthers(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	oneClass := func(server, n int) (ejection.Outcome, time.Duration) {
		if server == 0 && classOf(n) == "write" {
			return ejection.Failure, 0
		}
		return healthy(server, n)
	}
	cases := []struct {
		name    string
		b       behavior
		state   ejection.State // of server 0
		ejected bool           // server 0, and no other
	}{
		{name: "passes its checks and fails half its calls", b: failing(2, 0), ejected: true},
		{name: "10 times slower", b: slower(10, 0), ejected: true},
		{name: "fails one class", b: oneClass, ejected: true},
		{name: "all fail half their calls", b: failing(2, all...)},
		{name: "all are 10 times slower", b: slower(10, all...)},
		{name: "half of the servers fail", b: failing(2, 0, 1, 2, 3)},
		{name: "sister firm's load below 4x", b: slower(3, 0, 1)},
		{name: "health check lies", b: healthy, state: ejection.State{Suspect: true}},
		{name: "cold start", b: slower(12, 0), state: ejection.State{Started: time.Unix(1_700_000_020, 0)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := warmRig(len(all))
			r.states[0] = c.state
			d := 20 * time.Second
			if c.ejected {
				d = 3 * time.Second
			}
			r.run(d, c.b, false)
			if c.ejected != (len(r.ejected) == 1 && r.ejected[0].Server == "s00") || len(r.ejected) > 1 {
				t.Errorf("ejections %+v, want server 0 ejected: %v", r.ejected, c.ejected)
			}
		})
	}
}

// Guards against a cold start that never ends: a server that stays slow is gray.
func TestJudgeEjectsServerThatStaysSlowAfterWarmUp(t *testing.T) {
	r := warmRig(8)
	r.states[0].Started = r.now
	if took := r.run(ejection.WarmUp+3*time.Second, slower(12, 0), true); took < ejection.WarmUp || len(r.ejected) != 1 {
		t.Errorf("ejections %+v after %v, want one after %v", r.ejected, took, ejection.WarmUp)
	}
}

// Guards against a health check that has no effect: it halves the evidence.
func TestJudgeNeedsLessEvidenceOfSuspects(t *testing.T) {
	siblings := failing(21, 0, 1, 2, 3, 4, 5, 6, 7)
	b := func(server, n int) (ejection.Outcome, time.Duration) {
		if server == 0 {
			return failing(3, 0)(server, n)
		}
		return siblings(server, n)
	}
	var took [2]time.Duration
	for i := range took {
		r := newRig(8, ejection.Floor{Share: 0.5})
		r.run(40*time.Second, siblings, false)
		r.states[0].Suspect = i == 1
		took[i] = r.run(10*time.Second, b, true)
	}
	if took[1] >= took[0] {
		t.Errorf("detection took %v of a suspect and %v otherwise", took[1], took[0])
	}
}

// Guards against reports lost in a partition: what the others suffered then is
// not known, so evidence from that time ejects nobody.
func TestJudgeDropsEvidenceFromTimeWithoutSiblings(t *testing.T) {
	r := warmRig(8)
	for i := 1; i < 8; i++ {
		r.mute[i] = true
	}
	r.run(25*time.Second, failing(2, 0, 1, 2, 3, 4, 5, 6, 7), false) // longer than the mass rule holds back
	// The others report again while the first still fails, too briefly to eject.
	r.run(500*time.Millisecond, failing(2, 0), false)
	clear(r.mute)
	r.run(600*time.Millisecond, failing(2, 0), false)
	if len(r.ejected) > 0 {
		t.Errorf("ejections %+v, want none", r.ejected)
	}
}

// Guards against flapping servers that come back as often as others, and against
// relapses that are never forgotten.
func TestEjectionTimeDoublesAndDecays(t *testing.T) {
	r := warmRig(8)
	for i, want := range []time.Duration{5, 10, 20, 40} {
		r.run(2*time.Minute, failing(2, 0), true)
		if len(r.ejected) != i+1 || r.ejected[i].Left != want*time.Second {
			t.Fatalf("ejections %+v, want number %d to last %v s", r.ejected, i+1, int(want))
		}
	}
	r.run(25*time.Minute, healthy, false)
	r.run(3*time.Second, failing(2, 0), true)
	if last := r.ejected[len(r.ejected)-1]; last.Level != 3 {
		t.Errorf("level %d after 4 ejections and two decays of 10 min, want 3", last.Level)
	}
}

// Guards against a server that gets its full share at once, and against a return
// that goes on while the server still fails.
func TestReturnIsGradualAndEndsWithRelapse(t *testing.T) {
	r := warmRig(8)
	r.run(3*time.Second, failing(2, 0), true)
	r.run(40*time.Second, healthy, false)
	var shares []float64
	for _, v := range r.returned {
		shares = append(shares, v.Share)
	}
	if !slices.Equal(shares, []float64{0.10, 0.25, 0.50, 1}) {
		t.Errorf("shares of the return %v", shares)
	}
	r.returned = nil
	r.run(3*time.Second, failing(2, 0), true)
	r.run(30*time.Second, failing(2, 0), false)
	for _, v := range r.returned {
		if v.Share > 0.10 {
			t.Errorf("share %v of a server that still fails", v.Share)
		}
	}
}

func BenchmarkObserveDecide12(b *testing.B)   { benchmarkObserveDecide(b, 12) }
func BenchmarkObserveDecide1000(b *testing.B) { benchmarkObserveDecide(b, 1000) }

func benchmarkObserveDecide(b *testing.B, servers int) {
	r := newRig(servers, ejection.Floor{Share: 0.5})
	r.run(time.Second, healthy, false)
	reports := make([]ejection.Report, servers)
	for i := range reports {
		r.observe(i, healthy)
		state := ejection.State{Keeper: r.epoch, Asked: true}
		reports[i], _ = r.collectors[i].Report(r.now, state)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.now = r.now.Add(time.Millisecond)
		report := reports[i%servers]
		r.guards[i%servers].Stamp(r.now, r.epoch, &report)
		r.judge.Observe(r.now, report)
		r.judge.Decide(r.now)
	}
}

// Guards against a process that crashes when an operator asks for its status
// before all servers have reported.
func TestStatusBeforeTheFirstReport(t *testing.T) {
	j := ejection.NewJudge(1)
	now := time.Unix(1_700_000_000, 0)
	j.SetFleet(now, []ejection.ServerState{{ID: "a"}, {ID: "b"}}, ejection.Floor{Servers: 1})
	j.Decide(now)
	for _, s := range j.Status(now) {
		if s.Healthy {
			t.Errorf("%s counts as healthy without a report", s.Server)
		}
	}
}
