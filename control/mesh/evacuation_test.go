package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// offers reports whether requests of a process may go to servers of a zone.
func (p *fleetProcess) offers(zone string) bool {
	return slices.ContainsFunc(p.loop.Snapshot().Services["roster"], func(target *Target) bool {
		return target.Zone == zone && !target.Evacuated
	})
}

// fleetZones are the availability zones of a testFleet.
var fleetZones = []string{"a", "b", "c"}

// countOffering returns the number of processes whose requests may go to each zone.
func (f *testFleet) countOffering() map[string]int {
	n := make(map[string]int)
	for _, zone := range fleetZones {
		for _, p := range f.processes {
			if p.offers(zone) {
				n[zone]++
			}
		}
	}
	return n
}

// effectTime is when an evacuation and its end must hold in a fleet with faults; callers
// are promised 5 s.
const effectTime = 2 * time.Second

// startEvacuationFleet returns a fleet of 100 hosts that follows the store.
func startEvacuationFleet(seed uint64) *testFleet {
	f := newTestFleet(seed, 100, 10, 20)
	f.evacuations, f.storeTable, f.storeServers, f.storeRev = true, f.table, f.serversOf(f.hosts), 100
	f.startAll(300*time.Millisecond, 50*time.Millisecond)
	f.followStore()
	f.advance(4 * time.Second)
	return f
}

// Guards against requests to an evacuated zone, or none after its end, when datagrams,
// readers, the store or paths fail at the same time.
func TestEvacuationHoldsAtAllProcesses(t *testing.T) {
	f := startEvacuationFleet(11)
	if n := f.countUnready(); n > 0 {
		t.Fatalf("%d processes are not ready", n)
	}
	all := len(f.hosts)
	cases := []struct {
		name    string
		told    int // readers
		zones   []string
		disturb func() (heal func()) // beside the operator's request
	}{
		{"calm", 9, []string{"b"}, nil},
		{"all zones but one", 9, []string{"a", "c"}, nil},
		{"all zones", 9, []string{"a", "b", "c"}, nil},
		{"reader killed", 9, []string{"b"}, func() func() {
			reader := f.readers()[0]
			f.after(10*time.Millisecond, func() { f.kill(reader) })
			return func() { f.start(reader, 0) }
		}},
		{"store away after one reader was told", 1, []string{"b"}, func() func() {
			f.lossShare = 0.1
			f.after(21*time.Millisecond, func() { f.storeDown = true })
			return func() { f.storeDown, f.lossShare = false, 0 }
		}},
		{"host cut off from all others", 9, []string{"b"}, func() func() {
			f.cut[f.hosts[7]] = true
			return func() { f.cut[f.hosts[7]] = false }
		}},
		{"host that hears nobody", 9, []string{"b"}, func() func() {
			f.deaf[f.hosts[8]] = true
			return func() { f.deaf[f.hosts[8]] = false }
		}},
	}
	for _, c := range cases {
		heal := func() {}
		if c.disturb != nil {
			heal = c.disturb()
		}
		f.evacuate(c.told, c.zones...)
		f.advance(effectTime)
		offering := f.countOffering()
		for _, zone := range fleetZones {
			n := offering[zone]
			if evacuated := slices.Contains(c.zones, zone); (evacuated && n > 0) || (!evacuated && n < len(f.processes)) {
				t.Errorf("%s: zone %s evacuated %v, offered by %d of %d", c.name, zone, evacuated, n, len(f.processes))
			}
		}
		heal()
		f.advance(3 * time.Second)
		f.evacuate(9)
		f.advance(effectTime)
		offering = f.countOffering()
		for _, zone := range fleetZones {
			if n := offering[zone]; n != all {
				t.Errorf("%s: zone %s offered by %d of %d after the end", c.name, zone, n, all)
			}
		}
	}
}

// Guards against a process that starts during an evacuation and sends to the zone before
// it knows, also while the store is away.
func TestStartedProcessKnowsTheEvacuation(t *testing.T) {
	for name, storeDown := range map[string]bool{"store answers": false, "store away": true} {
		f := startEvacuationFleet(6)
		host := f.hosts[50]
		f.kill(host)
		f.evacuate(9, "b")
		f.after(20*time.Millisecond, func() {
			f.start(host, 0)
			f.after(800*time.Millisecond, func() { f.storeDown = storeDown })
		})
		f.advance(25 * time.Millisecond)
		for range 100 {
			f.advance(20 * time.Millisecond)
			if f.processes[host].offers("b") {
				t.Fatalf("%s: offers a server of the evacuated zone", name)
			}
		}
		if p := f.processes[host]; !p.loop.Snapshot().Ready(p.bootClock()) {
			t.Errorf("%s: not ready after 2 s", name)
		}
	}
}

// Guards against a process that starts without an answer of a reader and does not learn of
// the evacuations from the statuses of its peers.
func TestStatusForANewPeerCarriesTheEvacuations(t *testing.T) {
	p := startProcess(t, "10.0.0.1", followEvacuations)
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 5)}})
	p.post(EvacuationsRead{Position: StorePosition{Revision: 3}, Zones: []string{"b"}})
	p.sent = nil
	p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 9, Seq: 1}}})
	if !slices.ContainsFunc(p.sent, func(send SendMessage) bool {
		return send.Message.Status != nil && send.Message.Evacuations != nil && slices.Equal(send.Message.Evacuations.Zones, []string{"b"})
	}) {
		t.Errorf("sent %+v", p.sent)
	}
}

// Guards against requests to an evacuated zone from processes that all start at once, and
// have no peer that knows of the evacuation.
func TestEvacuationOutlastsARestartOfAllProcesses(t *testing.T) {
	f := startEvacuationFleet(7)
	f.evacuate(9, "b")
	f.advance(effectTime)
	for _, host := range f.hosts {
		f.kill(host)
	}
	f.startAll(500*time.Millisecond, 50*time.Millisecond)
	for range 40 {
		f.advance(50 * time.Millisecond)
		if n := f.countOffering()["b"]; n > 0 {
			t.Fatalf("%d processes offer a server of the evacuated zone", n)
		}
	}
	f.advance(2 * time.Second)
	if n := f.countUnready(); n > 0 {
		t.Errorf("%d processes are not ready", n)
	}
}

func followEvacuations(o *Options) { o.FollowEvacuations = true }

// Guards against requests before the evacuations are known, and against an old set that
// replaces a newer one.
func TestNewestEvacuationsHold(t *testing.T) {
	p := startProcess(t, "10.0.0.1", followEvacuations)
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 5)}})
	if p.isListed("s") {
		t.Error("a server is offered before the evacuations are known")
	}
	tell := func(era, revision uint64, zones ...string) {
		p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{
			Status: &notice.Status{BootID: 3, Seq: uint32(era + revision)}, Evacuations: &notice.Evacuations{Revision: revision, Zones: zones}, Era: era,
		}})
	}
	steps := []struct {
		era, revision uint64
		zones         []string
		evacuated     bool // zone a
	}{
		{0, 10, nil, false},
		{0, 12, []string{"a"}, true},
		{0, 11, nil, true},
		{1, 4, []string{"b"}, true}, // the store came back from a copy
		{0, 13, nil, true},
	}
	for _, step := range steps {
		tell(step.era, step.revision, step.zones...)
		if p.loop.Snapshot().Evacuated["a"] != step.evacuated || !p.isListed("s") {
			t.Errorf("after %+v: evacuated %v, listed %v", step, p.loop.Snapshot().Evacuated, p.isListed("s"))
		}
	}
	p.advance(formerEraDuration - time.Millisecond)
	if got := p.loop.Snapshot().Evacuated; !got["a"] || !got["b"] {
		t.Errorf("evacuated %v before the operator can have written again", got)
	}
	p.advance(2 * time.Millisecond)
	if got := p.loop.Snapshot().Evacuated; got["a"] || !got["b"] {
		t.Errorf("evacuated %v, want the zones of the new era", got)
	}
}

// Guards against evacuations that nobody asked the process to follow.
func TestEvacuationsAreIgnoredWhereTheyAreOff(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 5)}})
	p.post(EvacuationsRead{Position: StorePosition{Revision: 3}, Zones: []string{"a"}})
	if snap := p.loop.Snapshot(); len(snap.Evacuated) > 0 || !p.isListed("s") {
		t.Errorf("evacuated %v, listed %v", snap.Evacuated, p.isListed("s"))
	}
}

// warmUpLeft returns the remaining warm-up time of a server.
func (p *testProcess) warmUpLeft(id string) time.Duration {
	for _, target := range p.loop.Snapshot().Services["roster"] {
		if target.ID == id {
			return max(target.WarmUpUntil.Sub(p.now), 0)
		}
	}
	p.t.Fatalf("%s is not listed", id)
	return 0
}

// startWithWarmUp returns a process whose configuration limits the rate of cold servers.
func startWithWarmUp(t *testing.T, rate float64) *testProcess {
	p := startProcess(t, "10.0.0.1", followEvacuations)
	table, err := routing.NewTable(routing.Config{Version: 1, Services: []routing.Service{{Name: "roster", WarmUpTime: 3 * time.Second, WarmUpRate: rate}}})
	if err != nil {
		t.Fatal(err)
	}
	p.post(TableRead{Table: table})
	p.post(EvacuationsRead{Position: StorePosition{Revision: 2}})
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 5), newServer("t", "10.0.0.3", 6)}})
	p.advance(time.Second)
	return p
}

// Guards against a running server that becomes cold again and gets the rate of a warm one.
func TestServerThatBecomesColdAgainIsNoticed(t *testing.T) {
	for rate, want := range map[float64]time.Duration{12: 3 * time.Second, 0: 0} {
		p := startWithWarmUp(t, rate)
		p.sent = nil
		again := newServer("s", "10.0.0.2", 5)
		again.Revision, again.WarmUpLeft = 7, 3*time.Second
		p.post(ServerListRead{Put: []Server{again}})
		if got := p.warmUpLeft("s"); got != want {
			t.Errorf("rate %v: cold for %v, want %v", rate, got, want)
		}
		announced := slices.ContainsFunc(p.sent, func(send SendMessage) bool { return send.Message.ServerListChange != nil })
		if announced != (rate > 0) {
			t.Errorf("rate %v: announced %v", rate, announced)
		}
		p.sent = nil
		p.advance(time.Second)
		again.Revision, again.WarmUpLeft = 8, 2800*time.Millisecond // the entry was older when it was read first
		p.post(ServerListRead{Put: []Server{again}})
		if got := p.warmUpLeft("s"); got > max(want-time.Second, 0) {
			t.Errorf("rate %v: a further second in the life of an entry extends the warm-up to %v", rate, got)
		}
	}
}

// Guards against the full rate at a cold server beside a process that missed the announcement.
func TestExitThatMissedAnAnnouncementLearnsThatItsServerIsCold(t *testing.T) {
	for rate, want := range map[float64]int{12: 1, 0: 0} {
		p := startWithWarmUp(t, rate)
		again := newServer("s", "10.0.0.2", 5)
		again.WarmUpLeft = 3 * time.Second
		p.post(ServerListRead{Put: []Server{again}})
		p.advance(time.Second)
		p.sent = nil
		again.WarmUpLeft -= time.Second
		p.post(ServerListRead{Put: []Server{again, newServer("t", "10.0.0.3", 6)}})
		told := 0
		for _, send := range p.sent {
			if change := send.Message.ServerListChange; change != nil && len(change.Put) == 1 && change.Put[0].ID == "s" && slices.Equal(send.Hosts, []string{"10.0.0.2"}) {
				told++
			}
		}
		if told != want {
			t.Errorf("rate %v: told %d times, want %d", rate, told, want)
		}
	}
}

// Guards against the full rate at the servers of a zone that returns.
func TestReturnedZoneIsCold(t *testing.T) {
	for rate, want := range map[float64]time.Duration{12: 3 * time.Second, 0: 0} {
		p := startWithWarmUp(t, rate)
		p.post(EvacuationsRead{Position: StorePosition{Revision: 8}, Zones: []string{"a"}})
		p.advance(5 * time.Second)
		p.post(EvacuationsRead{Position: StorePosition{Revision: 9}})
		if got := p.warmUpLeft("s"); got != want {
			t.Errorf("rate %v: cold for %v, want %v", rate, got, want)
		}
	}
}
