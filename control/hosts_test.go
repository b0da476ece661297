package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/membership"
)

// noOutbound discards all commands.
type noOutbound struct{}

func (noOutbound) Send(Command) bool { return true }

var testStart = time.Unix(1_800_000_000, 0)

func newTestLoop() *Loop[Snapshot] {
	return New(Options{
		Self:              Self{ID: "host-0", Zone: "a", Incarnation: 1, Started: testStart},
		Seed:              1,
		EjectionReporting: ejection.ReportingFrequent,
		LedgerWindow:      time.Minute,
		TokenCaches:       &TokenCacheTable{},
	}, noOutbound{})
}

func drawHost(t *rapid.T, id string) Host {
	h := Host{
		ID:          id,
		Zone:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
		Leaving:     rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		TrafficAddr: fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 3).Draw(t, "address")),
		ControlAddr: "10.0.0.1:2",
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "backends") {
		h.Backends = append(h.Backends, Backend{
			ID:      fmt.Sprintf("%s-%d", id, i),
			Service: rapid.SampledFrom([]string{"roster", "bookings", "invoicing"}).Draw(t, "service"),
			Leaving: rapid.IntRange(0, 4).Draw(t, "backend leaving") == 0,
		})
	}
	return h
}

// changeHost removes, adds or replaces one host of the list.
func changeHost(t *rapid.T, hosts []Host) []Host {
	next := slices.Clone(hosts)
	id := fmt.Sprintf("host-%d", rapid.IntRange(0, 5).Draw(t, "host"))
	at := slices.IndexFunc(next, func(h Host) bool { return h.ID == id })
	switch {
	case at < 0:
		return append(next, drawHost(t, id))
	case rapid.Bool().Draw(t, "remove"):
		return slices.Delete(next, at, at+1)
	}
	next[at] = drawHost(t, id)
	return next
}

// describe formats the routes of a snapshot.
func describe(s *Snapshot) string {
	var lines []string
	for name, service := range s.Services {
		for _, m := range service.Members {
			lines = append(lines, fmt.Sprintf("%s: %s on %s in %s at %s, leaving %v", name, m.ID, m.Host, m.Zone, service.TrafficAddrs[m.Host], m.Leaving()))
		}
		for host, addr := range service.TrafficAddrs {
			lines = append(lines, fmt.Sprintf("%s: %s at %s", name, host, addr))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// Guards against stale routes from an earlier host list, since only changed services
// are rebuilt. The routes must equal those of a process that saw only the last list.
func TestRoutesFollowTheHostList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loop := newTestLoop()
		var hosts []Host
		for version := range uint64(rapid.IntRange(1, 8).Draw(t, "versions")) {
			hosts = changeHost(t, hosts)
			loop.Step(testStart, HostsRead{Version: version + 1, Hosts: hosts})
			fresh := newTestLoop()
			fresh.Step(testStart, HostsRead{Version: version + 1, Hosts: hosts})
			if got, want := describe(loop.Snapshot()), describe(fresh.Snapshot()); got != want {
				t.Fatalf("version %d: routes\n%s\nwant\n%s", version+1, got, want)
			}
		}
	})
}

// Guards against statistics and subsets that are lost when an unrelated host
// changes, which happens every few seconds at the design size.
func TestUnrelatedChangeKeepsStatistics(t *testing.T) {
	loop := newTestLoop()
	roster := Host{ID: "host-1", Backends: []Backend{{ID: "b-1", Service: "roster"}}}
	other := Host{ID: "host-2", Backends: []Backend{{ID: "b-2", Service: "bookings"}}}
	loop.Step(testStart, HostsRead{Version: 1, Hosts: []Host{roster, other}})
	before := loop.Snapshot().Services["roster"]
	subset := before.Subset("team")
	other.TrafficAddr = "10.0.0.9:1"
	loop.Step(testStart, HostsRead{Version: 2, Hosts: []Host{roster, other}})
	after := loop.Snapshot().Services["roster"]
	if after != before || after.Subset("team") != subset {
		t.Error("the service was rebuilt")
	}
	roster.Backends = append(roster.Backends, Backend{ID: "b-3", Service: "roster"})
	loop.Step(testStart, HostsRead{Version: 3, Hosts: []Host{roster, other}})
	members := loop.Snapshot().Services["roster"].Members
	if !slices.ContainsFunc(members, func(m *balance.Member) bool { return m == before.Members[0] }) {
		t.Error("the statistics of a backend server that stayed were lost")
	}
}

// Guards against a process that keeps counting as leaving after it restarted without
// a new host list: it would receive no requests.
func TestRestartInPlaceEndsLeaving(t *testing.T) {
	loop := newTestLoop()
	peer := Host{ID: "host-1", Backends: []Backend{{ID: "b-1", Service: "roster"}}}
	loop.Step(testStart, HostsRead{Version: 1, Hosts: []Host{{ID: "host-0"}, peer}})
	member := loop.Snapshot().Services["roster"].Members[0]
	receive := func(r membership.MemberUpdate) {
		ping := membership.Ping{Seq: r.Incarnation, From: r, Target: "host-0"}
		loop.Step(testStart, PeerRequest{From: "host-1", Message: ping, Reply: make(chan any, 1)})
	}
	receive(membership.MemberUpdate{ID: "host-1", Incarnation: 1, Leaving: true})
	if !member.Leaving() {
		t.Fatal("the announcement was not applied")
	}
	receive(membership.MemberUpdate{ID: "host-1", Incarnation: 2})
	if member.Leaving() {
		t.Error("the restarted process still counts as leaving")
	}
}
