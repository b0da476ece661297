package ejection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// testService simulates one service in virtual time: the collectors and lease
// holders of its exit proxies and the detector of its leader. Every server gets
// callsPerInterval calls per interval.
type testService struct {
	now         time.Time
	settings    ejection.Settings
	names       []string
	collectors  []*ejection.Collector
	leases      []*ejection.LeaseHolder
	states      []ejection.LocalState
	reportsLost []bool // by server
	calls       int    // per server so far
	detector    *ejection.Detector
	epoch       uint64
	floor       ejection.Floor
	fleet       []ejection.ServerState
	ejected     []ejection.Verdict // new ejections
	returned    []ejection.Verdict // new steps of a return
}

const callsPerInterval = 3

func newTestService(servers int, floor ejection.Floor) *testService {
	r := &testService{
		now: time.Unix(1_700_000_000, 0), settings: ejection.SmallFleetSettings(), floor: floor,
		states: make([]ejection.LocalState, servers), reportsLost: make([]bool, servers),
	}
	for i := range servers {
		name := fmt.Sprintf("s%02d", i)
		r.names = append(r.names, name)
		r.collectors = append(r.collectors, ejection.NewCollector(r.settings, "roster", name))
		r.leases = append(r.leases, ejection.NewLeaseHolder(0))
		r.fleet = append(r.fleet, ejection.ServerState{ID: name, Host: name})
	}
	r.replaceLeader()
	return r
}

func (r *testService) replaceLeader() {
	r.epoch++
	r.detector = ejection.NewDetector(r.epoch)
	r.detector.SetServers(r.now, r.fleet, r.floor)
}

// behavior returns the result and the latency of the n-th call of a server.
type behavior func(server, n int) (ejection.Outcome, time.Duration)

// healthy lets all calls succeed in about 10 ms.
func healthy(_, n int) (ejection.Outcome, time.Duration) {
	return ejection.Success, []time.Duration{7, 9, 10, 11, 14}[n%5] * time.Millisecond
}

// slower multiplies the latency of some servers.
func slower(factor time.Duration, servers ...int) behavior {
	return func(server, n int) (ejection.Outcome, time.Duration) {
		outcome, latency := healthy(server, n)
		if slices.Contains(servers, server) {
			latency *= factor
		}
		return outcome, latency
	}
}

// failing makes every k-th call of some servers fail.
func failing(k int, servers ...int) behavior {
	return func(server, n int) (ejection.Outcome, time.Duration) {
		if slices.Contains(servers, server) && n%k == 0 {
			return ejection.Failure, 0
		}
		return healthy(server, n)
	}
}

// classOf makes every fifth call a write, so that a server that fails all its
// writes still fails a smaller share of its calls than an ejection needs.
func classOf(n int) string {
	if n%5 == 0 {
		return "write"
	}
	return "read"
}

// observe passes the calls of one interval to the collector of a server.
func (r *testService) observe(server int, b behavior) {
	if r.leases[server].Lease().Share(r.now) == 0 {
		return
	}
	for n := r.calls; n < r.calls+callsPerInterval; n++ {
		outcome, latency := b(server, n)
		r.collectors[server].Observe(classOf(n), outcome, latency)
	}
}

func (r *testService) report(server int) (ejection.Report, bool) {
	state := r.states[server]
	state.LeaderEpoch = r.epoch
	state.ReportRequested = r.leases[server].ReportRequested()
	state.Ejected = r.leases[server].Lease().Share(r.now) < 1
	report, due := r.collectors[server].Report(r.now, state)
	if due {
		r.leases[server].PrepareReport(r.now, r.epoch, &report)
	}
	return report, due
}

func (r *testService) deliver(v ejection.Verdict) {
	r.leases[slices.Index(r.names, v.Server)].ApplyVerdict(r.now, v)
	switch {
	case v.Renewal:
	case v.Kind == ejection.Eject:
		r.ejected = append(r.ejected, v)
	case v.Kind == ejection.Return:
		r.returned = append(r.returned, v)
	}
}

// run advances time by d, or until the first new ejection if stop is set, and
// returns the time that passed.
func (r *testService) run(d time.Duration, b behavior, stop bool) time.Duration {
	from, before := r.now, len(r.ejected)
	for r.now.Sub(from) < d {
		r.now = r.now.Add(r.settings.ReportInterval)
		for i := range r.names {
			r.observe(i, b)
			if report, due := r.report(i); due && !r.reportsLost[i] {
				r.detector.Observe(r.now, report)
			}
		}
		r.calls += callsPerInterval
		for _, v := range r.detector.Decide(r.now) {
			r.deliver(v)
		}
		if stop && len(r.ejected) > before {
			break
		}
	}
	return r.now.Sub(from)
}

func newWarmService(servers int) *testService {
	r := newTestService(servers, ejection.Floor{Share: 0.5})
	r.run(20*time.Second, healthy, false)
	return r
}

// Guards against missed gray failures and against ejections of healthy servers. A
// gray failure must lead to an ejection within 3 s (design section 1.3).
func TestDetectorEjectsOnlyGrayServers(t *testing.T) {
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
		state   ejection.LocalState // of server 0
		ejected bool                // server 0, and no other
	}{
		{name: "fails half its calls with a good health check", b: failing(2, 0), ejected: true},
		{name: "10 times slower", b: slower(10, 0), ejected: true},
		{name: "fails one class", b: oneClass, ejected: true},
		{name: "all fail half their calls", b: failing(2, all...)},
		{name: "all are 10 times slower", b: slower(10, all...)},
		{name: "half of the servers fail", b: failing(2, 0, 1, 2, 3)},
		{name: "two servers are 3 times slower, below SlowFactor", b: slower(3, 0, 1)},
		{name: "bad health check without bad calls", b: healthy, state: ejection.LocalState{Suspect: true}},
		{name: "cold start", b: slower(12, 0), state: ejection.LocalState{Started: time.Unix(1_700_000_020, 0)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newWarmService(len(all))
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

// Guards against a server that stays slow after its warm-up time and is still
// treated as cold.
func TestDetectorEjectsServerThatStaysSlowAfterWarmUp(t *testing.T) {
	r := newWarmService(8)
	r.states[0].Started = r.now
	if took := r.run(ejection.WarmUpTime+3*time.Second, slower(12, 0), true); took < ejection.WarmUpTime || len(r.ejected) != 1 {
		t.Errorf("ejections %+v after %v, want one after %v", r.ejected, took, ejection.WarmUpTime)
	}
}

// Guards against a bad health check that has no effect: it must halve the evidence
// that an ejection needs, and so shorten detection.
func TestSuspectServerNeedsLessEvidence(t *testing.T) {
	siblings := failing(21, 0, 1, 2, 3, 4, 5, 6, 7)
	b := func(server, n int) (ejection.Outcome, time.Duration) {
		if server == 0 {
			return failing(3, 0)(server, n)
		}
		return siblings(server, n)
	}
	var took [2]time.Duration
	for i := range took {
		r := newTestService(8, ejection.Floor{Share: 0.5})
		r.run(40*time.Second, siblings, false)
		r.states[0].Suspect = i == 1
		took[i] = r.run(10*time.Second, b, true)
	}
	if took[1] >= took[0] {
		t.Errorf("detection took %v of a suspect and %v otherwise", took[1], took[0])
	}
}

// Guards against an ejection on evidence from a partition. While the reports of
// the other servers are lost, a failure of all servers looks like a failure of the
// one whose reports arrive, so evidence from that time must not count.
func TestDetectorIgnoresEvidenceWithoutSiblingReports(t *testing.T) {
	r := newWarmService(8)
	for i := 1; i < 8; i++ {
		r.reportsLost[i] = true
	}
	r.run(25*time.Second, failing(2, 0, 1, 2, 3, 4, 5, 6, 7), false) // longer than a mass failure blocks ejections
	// The others recover and report again. The first keeps failing, but for too
	// short a time for an ejection.
	r.run(500*time.Millisecond, failing(2, 0), false)
	clear(r.reportsLost)
	r.run(600*time.Millisecond, failing(2, 0), false)
	if len(r.ejected) > 0 {
		t.Errorf("ejections %+v, want none", r.ejected)
	}
}

// Guards against flapping servers that return as fast as others, and against an
// ejection level that never decays.
func TestEjectionTimeDoublesAndDecays(t *testing.T) {
	r := newWarmService(8)
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

// Guards against a server that gets its full share immediately after an ejection,
// and against a return that continues while the server still fails.
func TestReturnIsGradualAndStopsOnFailure(t *testing.T) {
	r := newWarmService(8)
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
	r := newTestService(servers, ejection.Floor{Share: 0.5})
	r.run(time.Second, healthy, false)
	reports := make([]ejection.Report, servers)
	for i := range reports {
		r.observe(i, healthy)
		state := ejection.LocalState{LeaderEpoch: r.epoch, ReportRequested: true}
		reports[i], _ = r.collectors[i].Report(r.now, state)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.now = r.now.Add(time.Millisecond)
		report := reports[i%servers]
		r.leases[i%servers].PrepareReport(r.now, r.epoch, &report)
		r.detector.Observe(r.now, report)
		r.detector.Decide(r.now)
	}
}

// Guards against a panic in Status before all servers have reported.
func TestStatusBeforeTheFirstReport(t *testing.T) {
	d := ejection.NewDetector(1)
	now := time.Unix(1_700_000_000, 0)
	d.SetServers(now, []ejection.ServerState{{ID: "a"}, {ID: "b"}}, ejection.Floor{Servers: 1})
	d.Decide(now)
	for _, s := range d.Status(now) {
		if s.Healthy {
			t.Errorf("%s counts as healthy without a report", s.Server)
		}
	}
}
