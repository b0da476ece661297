package ejection_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// floorModel injects faults into a testService and computes the healthy capacity
// from the leases that the exit proxies hold.
type floorModel struct {
	*testService
	bad          []bool // the server fails half its calls
	verdictsLost []bool // by server
	delayed      []bool // messages wait for the next call of deliverDelayed
	knownLeaving []bool // a leader was informed that the host is leaving
	reports      []ejection.Report
	verdicts     []ejection.Verdict
}

// step simulates one interval and checks the floor wherever a lease changes.
func (m *floorModel) step(t *rapid.T) {
	m.now = m.now.Add(m.settings.ReportInterval)
	for i := range m.names {
		m.observe(i, func(server, n int) (ejection.Outcome, time.Duration) {
			if m.bad[server] && n%2 == 0 {
				return ejection.Failure, 0
			}
			return healthy(server, n)
		})
		report, due := m.report(i)
		switch {
		case !due || m.reportsLost[i]:
		case m.delayed[i]:
			m.reports = append(m.reports, report)
		default:
			m.observeReport(i, report)
		}
	}
	m.calls += callsPerInterval
	m.decide(t)
}

func (m *floorModel) observeReport(server int, r ejection.Report) {
	m.detector.Observe(m.now, r)
	m.knownLeaving[server] = m.knownLeaving[server] || (r.Leaving && r.Epoch == m.epoch)
}

func (m *floorModel) decide(t *rapid.T) {
	for _, v := range m.detector.Decide(m.now) {
		i := m.index(v.Server)
		if v.Kind == ejection.Eject && !v.Renewal {
			m.requireFloor(t, "decides to eject "+v.Server, i)
		}
		switch {
		case m.verdictsLost[i]:
		case m.delayed[i]:
			m.verdicts = append(m.verdicts, v)
		default:
			m.applyVerdict(t, v)
		}
	}
}

func (m *floorModel) index(name string) int {
	for i, n := range m.names {
		if n == name {
			return i
		}
	}
	return -1
}

// applyVerdict delivers a verdict to its exit proxy. It counts leaving hosts as
// serving, since they may have announced their shutdown after the decision.
func (m *floorModel) applyVerdict(t *rapid.T, v ejection.Verdict) {
	m.deliver(v)
	serving := 0
	for _, h := range m.leases {
		if h.Lease().Share(m.now) == 1 {
			serving++
		}
	}
	if serving < m.floor.Servers {
		t.Fatalf("%d servers take their full share after %+v, floor %d", serving, v, m.floor.Servers)
	}
}

// requireFloor checks that enough servers get their full share and are not known
// to be leaving.
func (m *floorModel) requireFloor(t *rapid.T, what string, without int) {
	left := 0
	for i, h := range m.leases {
		if i != without && h.Lease().Share(m.now) == 1 && !m.knownLeaving[i] {
			left++
		}
	}
	if left < m.floor.Servers {
		t.Fatalf("leader %d %s and leaves %d healthy servers, floor %d", m.epoch, what, left, m.floor.Servers)
	}
}

// deliverDelayed delivers the delayed messages, reports first.
func (m *floorModel) deliverDelayed(t *rapid.T) {
	reports, verdicts := m.reports, m.verdicts
	m.reports, m.verdicts = nil, nil
	for _, r := range reports {
		m.observeReport(m.index(r.Server), r)
	}
	for _, v := range verdicts {
		m.applyVerdict(t, v)
	}
}

// changeLeader replaces the leader by one whose host list may lack a server.
func (m *floorModel) changeLeader(missing int) {
	whole := m.fleet
	m.fleet = nil
	for i, s := range whole {
		if i != missing {
			m.fleet = append(m.fleet, s)
		}
	}
	m.replaceLeader()
	m.fleet = whole
}

// Guards against ejections that leave less healthy capacity than the floor when
// messages are lost or delayed and leaders change.
func TestFloorHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(3, 9).Draw(t, "servers")
		floor := ejection.Floor{Servers: rapid.IntRange(1, servers-1).Draw(t, "floor")}
		m := &floorModel{
			testService: newTestService(servers, floor), bad: make([]bool, servers),
			verdictsLost: make([]bool, servers), delayed: make([]bool, servers), knownLeaving: make([]bool, servers),
		}
		m.run(15*time.Second, healthy, false)
		flags := []*[]bool{&m.bad, &m.reportsLost, &m.verdictsLost, &m.delayed}
		for range rapid.IntRange(5, 30).Draw(t, "operations") {
			i := rapid.IntRange(0, servers-1).Draw(t, "server")
			switch kind := rapid.IntRange(0, 7).Draw(t, "kind"); kind {
			case 0, 1, 2, 3:
				flag := *flags[kind]
				flag[i] = !flag[i]
			case 4:
				m.deliverDelayed(t)
			case 5:
				m.changeLeader(rapid.IntRange(0, 2*servers).Draw(t, "missing"))
			case 6:
				m.states[i].Leaving = true
			case 7:
				m.bad[i] = true
			}
			for range rapid.IntRange(1, 25).Draw(t, "intervals") {
				m.step(t)
			}
		}
	})
}

// newServiceNearFloor returns a service whose floor allows one ejection.
func newServiceNearFloor() *testService {
	r := newTestService(8, ejection.Floor{Servers: 7})
	r.run(20*time.Second, healthy, false)
	return r
}

// Guards against a new leader that ignores the ejections of its predecessor and
// violates the floor.
func TestNewLeaderCountsRunningEjections(t *testing.T) {
	r := newServiceNearFloor()
	r.run(3*time.Second, failing(2, 0), true)
	r.replaceLeader()
	r.run(4*time.Second, failing(2, 1), false)
	if len(r.ejected) != 1 || r.ejected[0].Server != "s00" {
		t.Errorf("ejections %+v, want only s00", r.ejected)
	}
}

// Guards against servers whose reports have stopped but that still count as healthy
// capacity.
func TestSilentServersDoNotCountForTheFloor(t *testing.T) {
	r := newServiceNearFloor()
	r.reportsLost[0] = true
	r.run(r.settings.StaleAfter+time.Second, healthy, false)
	r.run(5*time.Second, failing(2, 3), false)
	if len(r.ejected) > 0 {
		t.Errorf("ejections %+v below the floor", r.ejected)
	}
}

// Guards against accepting verdicts of an earlier leader, and against leases that
// end later than the leader assumes.
func TestLeaseHolderLimitsLeases(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	eject := ejection.Verdict{Server: "a", Kind: ejection.Eject, Epoch: 1, Seq: 1}
	h := ejection.NewLeaseHolder(0)
	var r ejection.Report
	h.PrepareReport(now, 1, &r)
	if refusal := h.ApplyVerdict(now.Add(2*time.Second), eject); refusal != ejection.Accepted {
		t.Fatal(refusal)
	}
	if until := h.Lease().Until; !until.Equal(now.Add(ejection.LeaseDuration)) {
		t.Errorf("the lease ends %v after the report, want %v", until.Sub(now), ejection.LeaseDuration)
	}
	h.PrepareReport(now.Add(2*time.Second), 2, &r)
	eject.Seq = r.Seq
	if refusal := h.ApplyVerdict(now.Add(2*time.Second), eject); refusal != ejection.OtherLeader {
		t.Errorf("verdict of an earlier leader: %q", refusal)
	}
}
