package ejection_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// floorModel drives a rig through faults and counts the healthy capacity from
// the leases that the exits hold.
type floorModel struct {
	*rig
	bad      []bool // the server fails its calls
	deaf     []bool // verdicts are lost
	late     []bool // messages take until the next call of flush
	told     []bool // the keeper was told that the host is leaving
	reports  []ejection.Report
	verdicts []ejection.Verdict
}

// step lets one interval pass and checks the floor wherever a lease changes.
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
		case !due || m.mute[i]:
		case m.late[i]:
			m.reports = append(m.reports, report)
		default:
			m.observeReport(i, report)
		}
	}
	m.calls += callsPerInterval
	m.decide(t)
}

func (m *floorModel) observeReport(server int, r ejection.Report) {
	m.judge.Observe(m.now, r)
	m.told[server] = m.told[server] || (r.Leaving && r.Epoch == m.epoch)
}

func (m *floorModel) decide(t *rapid.T) {
	for _, v := range m.judge.Decide(m.now) {
		i := m.index(v.Server)
		if v.Kind == ejection.Eject && !v.Renewal {
			m.check(t, "decides to eject "+v.Server, i)
		}
		switch {
		case m.deaf[i]:
		case m.late[i]:
			m.verdicts = append(m.verdicts, v)
		default:
			m.take(t, v)
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

// take lets an exit apply a verdict. Hosts that have announced their leaving
// since the decision are not held against it.
func (m *floorModel) take(t *rapid.T, v ejection.Verdict) {
	m.deliver(v)
	serving := 0
	for _, g := range m.guards {
		if g.Lease().Share(m.now) == 1 {
			serving++
		}
	}
	if serving < m.floor.Servers {
		t.Fatalf("%d servers take their full share after %+v, floor %d", serving, v, m.floor.Servers)
	}
}

// check counts the servers that take their full share and are not known to leave.
func (m *floorModel) check(t *rapid.T, what string, without int) {
	left := 0
	for i, g := range m.guards {
		if i != without && g.Lease().Share(m.now) == 1 && !m.told[i] {
			left++
		}
	}
	if left < m.floor.Servers {
		t.Fatalf("keeper %d %s and leaves %d healthy servers, floor %d", m.epoch, what, left, m.floor.Servers)
	}
}

// flush delivers what was late, reports first.
func (m *floorModel) flush(t *rapid.T) {
	reports, verdicts := m.reports, m.verdicts
	m.reports, m.verdicts = nil, nil
	for _, r := range reports {
		m.observeReport(m.index(r.Server), r)
	}
	for _, v := range verdicts {
		m.take(t, v)
	}
}

// changeKeeper lets a keeper take over whose host list may lack a server.
func (m *floorModel) changeKeeper(missing int) {
	whole := m.fleet
	m.fleet = nil
	for i, s := range whole {
		if i != missing {
			m.fleet = append(m.fleet, s)
		}
	}
	m.replaceKeeper()
	m.fleet = whole
}

// Guards against ejections that together leave less healthy capacity than the
// floor, whichever messages are lost or late and whoever keeps the service.
func TestFloorHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(3, 9).Draw(t, "servers")
		floor := ejection.Floor{Servers: rapid.IntRange(1, servers-1).Draw(t, "floor")}
		m := &floorModel{
			rig: newRig(servers, floor), bad: make([]bool, servers),
			deaf: make([]bool, servers), late: make([]bool, servers), told: make([]bool, servers),
		}
		m.run(15*time.Second, healthy, false)
		flags := []*[]bool{&m.bad, &m.mute, &m.deaf, &m.late}
		for range rapid.IntRange(5, 30).Draw(t, "operations") {
			i := rapid.IntRange(0, servers-1).Draw(t, "server")
			switch kind := rapid.IntRange(0, 7).Draw(t, "kind"); kind {
			case 0, 1, 2, 3:
				flag := *flags[kind]
				flag[i] = !flag[i]
			case 4:
				m.flush(t)
			case 5:
				m.changeKeeper(rapid.IntRange(0, 2*servers).Draw(t, "missing"))
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

// tightRig has a floor that leaves room for one ejection.
func tightRig() *rig {
	r := newRig(8, ejection.Floor{Servers: 7})
	r.run(20*time.Second, healthy, false)
	return r
}

// Guards against a new keeper that does not count what its predecessor ejected.
func TestNewKeeperCountsRunningEjections(t *testing.T) {
	r := tightRig()
	r.run(3*time.Second, failing(2, 0), true)
	r.replaceKeeper()
	r.run(4*time.Second, failing(2, 1), false)
	if len(r.ejected) != 1 || r.ejected[0].Server != "s00" {
		t.Errorf("ejections %+v, want only s00", r.ejected)
	}
}

// Guards against silent servers that count as healthy capacity.
func TestSilentServersDoNotCountForTheFloor(t *testing.T) {
	r := tightRig()
	r.mute[0] = true
	r.run(r.settings.Lately+time.Second, healthy, false)
	r.run(5*time.Second, failing(2, 3), false)
	if len(r.ejected) > 0 {
		t.Errorf("ejections %+v below the floor", r.ejected)
	}
}

// Guards against verdicts of an earlier keeper, and against leases that outlast
// what the keeper assumes.
func TestGuardBoundsLeases(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	out := ejection.Verdict{Server: "a", Kind: ejection.Eject, Epoch: 1, Seq: 1}
	g := ejection.NewGuard(0)
	var r ejection.Report
	g.Stamp(now, 1, &r)
	if refusal := g.OnVerdict(now.Add(2*time.Second), out); refusal != ejection.Accepted {
		t.Fatal(refusal)
	}
	if until := g.Lease().Until; !until.Equal(now.Add(ejection.EjectionTerm)) {
		t.Errorf("the lease ends %v after the report, want %v", until.Sub(now), ejection.EjectionTerm)
	}
	g.Stamp(now.Add(2*time.Second), 2, &r)
	out.Seq = r.Seq
	if refusal := g.OnVerdict(now.Add(2*time.Second), out); refusal != ejection.OtherKeeper {
		t.Errorf("verdict of an earlier keeper: %q", refusal)
	}
}
