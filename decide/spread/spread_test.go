package spread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/spread"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
	"pgregory.net/rapid"
)

// propagationDeadline is the time within which a configuration change or a key
// withdrawal must be in force everywhere.
const propagationDeadline = 2 * time.Second

// fleetSim is a simulated fleet with a configuration service and injected faults. It
// records when each version was published.
type fleetSim struct {
	*simnet.SpreadFleet
	t            *rapid.T
	latest       simnet.Config
	previous     simnet.Config // valid document published before latest
	published    map[uint64]time.Time
	serviceDown  bool
	staleReaders map[string]bool
	ready        map[*spread.Spreader]bool
}

func newFleetSim(t *rapid.T, minHosts int) *fleetSim {
	n := simnet.New(rapid.Uint64().Draw(t, "seed"))
	sim := &fleetSim{
		SpreadFleet: simnet.NewSpreadFleet(n, simnet.Members(rapid.IntRange(minHosts, 26).Draw(t, "hosts"), 4)),
		t:           t, published: make(map[uint64]time.Time), staleReaders: make(map[string]bool), ready: make(map[*spread.Spreader]bool),
	}
	n.Delay = func(_, _ string) time.Duration { return time.Duration(500+n.Rand.IntN(15_000)) * time.Microsecond }
	sim.Serve = func(reader string) *simnet.Config {
		switch {
		case sim.serviceDown:
			return nil
		case sim.staleReaders[reader]:
			return &sim.previous
		}
		return &sim.latest
	}
	sim.publish()
	sim.previous = sim.latest
	for _, m := range sim.Members {
		sim.Start(m.ID)
	}
	sim.checkPeriodically()
	n.Run(propagationDeadline)
	return sim
}

func (sim *fleetSim) publish() {
	version := sim.latest.Stamp.Version + 1
	parts := map[string][]byte{"fleet": []byte("services"), "team-0": []byte(fmt.Sprintf("keys of version %d", version))}
	sim.previous, sim.latest = sim.latest, simnet.NewConfig(version, parts)
	sim.published[version] = sim.Net.Now()
}

// checkPeriodically checks the invariants every 50 ms for as long as the simulation
// runs.
func (sim *fleetSim) checkPeriodically() {
	sim.check()
	sim.Net.RunAfter(50*time.Millisecond, sim.checkPeriodically)
}

// check fails the test if a process went back to an older version, became ready
// without being current, or is current more than 2 s after a newer version was
// published.
func (sim *fleetSim) check() {
	for id, s := range sim.Spreaders {
		versions := sim.Versions[id]
		for i := 1; i < len(versions); i++ {
			if versions[i] <= versions[i-1] {
				sim.t.Fatalf("%s went from version %d to %d", id, versions[i-1], versions[i])
			}
		}
		now := sim.Net.Now()
		if sim.Net.Paused(id) {
			continue
		}
		if s.Ready(now) && !sim.ready[s] {
			sim.ready[s] = true
			if !s.Current(now) {
				sim.t.Fatalf("%s became ready without being current", id)
			}
		}
		if !s.Current(now) {
			continue
		}
		for version := s.Document().Stamp.Version + 1; version <= sim.latest.Stamp.Version; version++ {
			if age := now.Sub(sim.published[version]); age > propagationDeadline {
				sim.t.Fatalf("%s is current with version %d, %v after version %d", id, s.Document().Stamp.Version, age, version)
			}
		}
	}
}

func (sim *fleetSim) randomMembers(n int) []string {
	var ids []string
	for _, i := range sim.Net.Rand.Perm(len(sim.Members))[:n] {
		ids = append(ids, sim.Members[i].ID)
	}
	return ids
}

// zoneOf returns all processes in the zone of the given one.
func (sim *fleetSim) zoneOf(id string) []string {
	zone := make(map[string]string)
	for _, m := range sim.Members {
		zone[m.ID] = m.Zone
	}
	var ids []string
	for _, m := range sim.Members {
		if m.Zone == zone[id] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isolate cuts the links from the service and from all other processes to the group,
// and with bothWays also the links from the group to the other processes.
func (sim *fleetSim) isolate(group []string, bothWays bool) {
	inside := make(map[string]bool)
	for _, id := range group {
		inside[id] = true
	}
	for id := range inside {
		sim.Net.SetLinkCut(simnet.ConfigServiceName, id, true)
		for _, m := range sim.Members {
			if !inside[m.ID] {
				sim.Net.SetLinkCut(m.ID, id, true)
				sim.Net.SetLinkCut(id, m.ID, bothWays)
			}
		}
	}
}

func (sim *fleetSim) cutOneWay(links int) {
	for range links {
		pair := sim.randomMembers(2)
		sim.Net.SetLinkCut(pair[0], pair[1], true)
	}
}

// injectFault injects one random fault, may publish a new version, and runs the
// simulation for a random time.
func (sim *fleetSim) injectFault() {
	t, n := sim.t, len(sim.Members)
	sim.Net.RestoreLinks()
	sim.serviceDown, sim.staleReaders = false, make(map[string]bool)
	quiet := sim.Net.Now().Sub(sim.published[sim.latest.Stamp.Version]) > propagationDeadline
	switch fault := rapid.SampledFrom([]string{"none", "isolate", "pause", "restart", "service down", "stale reads", "one-way cuts", "service unreachable"}).Draw(t, "fault"); fault {
	case "isolate":
		sim.isolate(sim.randomMembers(rapid.IntRange(1, 3).Draw(t, "group")), rapid.Bool().Draw(t, "both ways"))
	case "pause":
		for _, id := range sim.randomMembers(rapid.IntRange(1, n/3).Draw(t, "paused")) {
			sim.Net.Pause(id, time.Duration(rapid.IntRange(100, 5000).Draw(t, "pause ms"))*time.Millisecond)
		}
	case "restart":
		for _, id := range sim.randomMembers(rapid.IntRange(1, n/3).Draw(t, "restarted")) {
			sim.Stop(id)
			sim.Net.RunAfter(time.Duration(sim.Net.Rand.IntN(1000))*time.Millisecond, func() { sim.Start(id) })
		}
	case "service down":
		sim.serviceDown = quiet
	case "stale reads":
		for _, id := range sim.randomMembers(2) {
			sim.staleReaders[id] = true
		}
	case "one-way cuts":
		sim.cutOneWay(2 * n)
	case "service unreachable":
		for _, id := range sim.randomMembers(n / 2) {
			sim.Net.SetLinkCut(id, simnet.ConfigServiceName, true)
		}
	}
	if !sim.serviceDown && rapid.Bool().Draw(t, "publish") {
		sim.publish()
	}
	sim.Net.Run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "step ms")) * time.Millisecond)
}

// Guards against a process that goes back to an older version or accepts a withdrawn
// key for more than 2 s, and against a fleet that does not converge after random
// faults and message loss.
func TestVersionsSpreadUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newFleetSim(t, 8)
		loss := rapid.IntRange(0, 5).Draw(t, "loss in 100")
		sim.Net.Lose = func(_, _ string) bool { return sim.Net.Rand.IntN(100) < loss }
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			sim.injectFault()
		}
		sim.Net.RestoreLinks()
		sim.serviceDown, sim.staleReaders = false, make(map[string]bool)
		sim.Net.Lose = func(_, _ string) bool { return false }
		sim.Net.Run(5 * time.Second) // the longest pause
		sim.publish()
		sim.Net.Run(propagationDeadline)
		sim.requireConverged()
	})
}

func (sim *fleetSim) requireConverged() {
	sim.t.Helper()
	for _, m := range sim.Members {
		s := sim.Spreaders[m.ID]
		if got := s.Document().Stamp; got != sim.latest.Stamp {
			sim.t.Fatalf("%s has version %d, want %d", m.ID, got.Version, sim.latest.Stamp.Version)
		}
		if !s.Current(sim.Net.Now()) || !s.Ready(sim.Net.Now()) {
			sim.t.Fatalf("%s: current %v, ready %v, want both", m.ID, s.Current(sim.Net.Now()), s.Ready(sim.Net.Now()))
		}
	}
}

// Guards against processes of a partitioned group or zone that stay current, either by
// confirming each other or by relying on an expired confirmation.
func TestCutOffProcessesStopBeingCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newFleetSim(t, 8)
		sim.serviceDown = rapid.Bool().Draw(t, "service down")
		sim.Net.Run(3 * time.Second)
		group := sim.randomMembers(rapid.IntRange(1, 3).Draw(t, "group"))
		if rapid.Bool().Draw(t, "whole zone") {
			group = sim.zoneOf(group[0])
		}
		sim.isolate(group, rapid.Bool().Draw(t, "both ways"))
		sim.Net.Run(propagationDeadline)
		for range 100 {
			for _, id := range group {
				if sim.Spreaders[id].Current(sim.Net.Now()) {
					t.Fatalf("%s of a cut-off group of %d is current", id, len(group))
				}
			}
			sim.Net.Run(50 * time.Millisecond)
		}
	})
}

// Guards against processes of a partitioned zone that stay current by confirming each
// other because their zone has most of the hosts.
func TestLargeZoneDoesNotConfirmItself(t *testing.T) {
	members := simnet.Members(12, 2)
	for i := range 8 {
		members[i].Zone = "large"
	}
	f := simnet.NewSpreadFleet(simnet.New(1), members)
	latest := simnet.NewConfig(1, map[string][]byte{"p": []byte("v")})
	f.Serve = func(string) *simnet.Config { return &latest }
	for _, m := range members {
		f.Start(m.ID)
	}
	f.Net.Run(propagationDeadline)
	f.Serve = func(string) *simnet.Config { return nil }
	for _, from := range members[8:] {
		for _, to := range members[:8] {
			f.Net.SetLinkCut(from.ID, to.ID, true)
		}
	}
	f.Net.Run(propagationDeadline)
	for range 100 {
		for _, m := range members[:8] {
			if s := f.Spreaders[m.ID]; s.Current(f.Net.Now()) {
				t.Fatalf("%s is current with replies of its own zone only: %+v", m.ID, s.Freshness(f.Net.Now()))
			}
		}
		f.Net.Run(50 * time.Millisecond)
	}
}

// Guards against a fleet that rejects all keys because the service is unavailable, a
// zone fails in addition, or all processes but one lose their link to the service at
// the same time.
func TestFleetStaysCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lose := rapid.SampledFrom([]string{"service", "readers", "service and a zone"}).Draw(t, "lost")
		minHosts := 2
		if lose == "service and a zone" {
			minHosts = 8 // with fewer hosts, less than AgreementQuorum peers would be left
		}
		sim := newFleetSim(t, minHosts)
		sim.serviceDown = lose != "readers"
		sim.Net.Run(propagationDeadline) // confirmations expire; peers' agreement takes over
		if lose == "service and a zone" {
			for _, id := range sim.zoneOf(sim.randomMembers(1)[0]) {
				sim.Stop(id)
			}
		}
		if lose == "readers" {
			for _, m := range sim.Members {
				sim.Net.SetLinkCut(m.ID, simnet.ConfigServiceName, true)
			}
			connected := sim.randomMembers(1)[0]
			sim.Net.SetLinkCut(connected, simnet.ConfigServiceName, false)
			sim.publish()
			sim.Net.Run(2 * propagationDeadline) // once for the fallback read to be due, once for the version to spread
			sim.requireConverged()
		}
		for range 100 {
			for id, s := range sim.Spreaders {
				if !s.Current(sim.Net.Now()) {
					t.Fatalf("%s is not current without %s: %+v", id, lose, s.Freshness(sim.Net.Now()))
				}
			}
			sim.Net.Run(50 * time.Millisecond)
		}
	})
}

// Guards against an invalid document that is put in force in part, or that is fetched
// again after it was refused.
func TestInvalidDocumentIsRefusedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newFleetSim(t, 2)
		good := sim.latest
		sim.published[2] = sim.Net.Now().Add(time.Hour) // exempts the invalid version from the deadline in check
		sim.latest = simnet.NewConfig(2, map[string][]byte{"fleet": []byte("new"), "team-0": []byte(simnet.InvalidPartPrefix)})
		sim.Net.Run(2 * propagationDeadline)
		for _, m := range sim.Members {
			s := sim.Spreaders[m.ID]
			if s.Document().Stamp != good.Stamp || !s.Current(sim.Net.Now()) {
				t.Fatalf("%s: %+v, want version 1 to stay in force", m.ID, s.Freshness(sim.Net.Now()))
			}
			if r := s.Refusals(); len(r) > 1 {
				t.Fatalf("%s refused one document %d times", m.ID, len(r))
			}
		}
		sim.publish()
		sim.Net.Run(propagationDeadline)
		sim.requireConverged()
	})
}

// Guards against delta replies that do not reproduce the new content of a part.
func TestChangedBytesRestoreThePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12)
		sim := simnet.NewSpreadFleet(simnet.New(1), simnet.Members(2, 1))
		latest := simnet.NewConfig(1, map[string][]byte{"p": text.Draw(t, "old")})
		sim.Serve = func(string) *simnet.Config { return &latest }
		for _, m := range sim.Members {
			sim.Start(m.ID)
		}
		sim.Net.Run(time.Second)
		sim.Net.SetLinkCut(sim.Members[1].ID, simnet.ConfigServiceName, true)
		latest = simnet.NewConfig(2, map[string][]byte{"p": text.Draw(t, "new")})
		sim.Net.Run(propagationDeadline)
		if got := sim.Spreaders[sim.Members[1].ID].Document(); string(got.Parts["p"]) != string(latest.Parts["p"]) {
			t.Fatalf("got %q, want %q", got.Parts["p"], latest.Parts["p"])
		}
	})
}

// Guards against accepting parts whose bytes do not match the wanted digest, or that
// are deltas against an unknown base.
func TestDamagedPartsAreDropped(t *testing.T) {
	s := spread.New(spread.Options{Self: "a", Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(1000, 0)
	read := s.Tick(now)[0].(spread.ReadService)
	good := []byte("good")
	refs := []spread.Ref{{Name: "p", Digest: spread.DigestOf(good)}}
	s.OnServiceRead(now, spread.ServiceReadResult{Seq: read.Seq, Manifest: spread.Manifest{Stamp: spread.Stamp{Version: 1}, Parts: refs}})
	damaged := spread.Part{Name: "p", Digest: refs[0].Digest, Bytes: []byte("evil")}
	beyond := spread.Part{Name: "p", Digest: refs[0].Digest, Base: "x", Prefix: 9, Suffix: 9}
	if actions := s.OnParts(now, spread.ConfigService, spread.Parts{Parts: []spread.Part{damaged, beyond}}); len(actions) > 0 {
		t.Fatalf("accepted damaged parts: %+v", actions)
	}
	if actions := s.OnParts(now, spread.ConfigService, spread.Parts{Parts: []spread.Part{{Name: "p", Bytes: good}}}); len(actions) == 0 {
		t.Fatal("did not accept the intact part")
	}
}

// newConfirmedSpreader returns a Spreader that has seven peers and version 1,
// confirmed at start.
func newConfirmedSpreader(t *testing.T, start time.Time) *spread.Spreader {
	s := spread.New(spread.Options{Self: "host-0000", Rand: rand.New(rand.NewPCG(1, 1))})
	s.SetMembers(simnet.Members(8, 1))
	read := s.Tick(start)[0].(spread.ReadService)
	c := simnet.NewConfig(1, map[string][]byte{"p": []byte("v")})
	m := spread.Manifest{Stamp: c.Stamp, Parts: c.Refs}
	s.OnServiceRead(start, spread.ServiceReadResult{Seq: read.Seq, Manifest: m})
	s.OnParts(start, spread.ConfigService, spread.Parts{Parts: []spread.Part{{Name: "p", Bytes: c.Parts["p"]}}})
	if !s.Current(start) || s.Current(start.Add(spread.ConfirmationTTL+1)) {
		t.Fatal("want current for ConfirmationTTL after the read")
	}
	return s
}

func manifestRequestOf(actions []spread.Action) spread.RequestManifest {
	for _, action := range actions {
		if a, ok := action.(spread.RequestManifest); ok {
			return a
		}
	}
	return spread.RequestManifest{}
}

// Guards against a process that resumes after a pause and counts the age of a delayed
// reply from its arrival instead of from the sending of the request.
func TestAgeCountsFromTheRequest(t *testing.T) {
	start := time.Unix(1000, 0)
	s := newConfirmedSpreader(t, start)
	sent := start.Add(time.Second)
	a := manifestRequestOf(s.Tick(sent))
	s.OnManifest(sent.Add(time.Second), a.Peer, spread.Manifest{Stamp: s.Document().Stamp, Seq: a.Request.Seq})
	if end := sent.Add(spread.ConfirmationTTL); !s.Current(end) || s.Current(end.Add(1)) {
		t.Fatal("want current until ConfirmationTTL after the request, not after the reply")
	}
}

// Guards against staying current because peers agree on an old document although a
// newer one was announced.
func TestAgreementEndsWhenANewerDocumentIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newConfirmedSpreader(t, now)
	now = now.Add(5 * time.Second)
	for range spread.AgreementQuorum {
		now = now.Add(spread.PeerPollInterval)
		a := manifestRequestOf(s.Tick(now))
		s.OnManifest(now, a.Peer, spread.Manifest{Stamp: s.Document().Stamp, Seq: a.Request.Seq, AgeMS: spread.NeverConfirmed})
	}
	if !s.Current(now) {
		t.Fatalf("%+v, want current by agreement", s.Freshness(now))
	}
	if until := s.CurrentUntil(now); !s.Current(until) || s.Current(until.Add(1)) {
		t.Fatalf("current until %v after the last reply, want until agreement ends", until.Sub(now))
	}
	if s.Current(now.Add(spread.ConfirmationTTL)) {
		t.Fatal("current because of replies from before a pause")
	}
	s.OnAnnouncement(now, "host-0001", spread.Announcement{Stamp: spread.Stamp{Version: 2}})
	if s.Current(now) {
		t.Fatal("current with version 1 although version 2 is announced")
	}
}

// Guards against manifests that list every part instead of the changed ones: at the
// target fleet size, 1,024 parts for each of 4,300 changes a day would exceed the
// 2 KB/s allowed for control traffic.
func TestManifestListsWhatChanged(t *testing.T) {
	sim := simnet.NewSpreadFleet(simnet.New(1), simnet.Members(1, 1))
	parts := map[string][]byte{"a": []byte("1"), "b": []byte("1"), "c": []byte("1")}
	latest := simnet.NewConfig(1, parts)
	sim.Serve = func(string) *simnet.Config { return &latest }
	id := sim.Members[0].ID
	sim.Start(id)
	sim.Net.Run(time.Second)
	before := latest.Stamp
	latest = simnet.NewConfig(2, map[string][]byte{"a": []byte("1"), "b": []byte("2"), "d": []byte("1")})
	sim.Net.Run(propagationDeadline)
	m, _ := sim.Spreaders[id].OnManifestRequest(sim.Net.Now(), "peer", spread.ManifestRequest{Seq: 1, Have: before})
	if m.Stamp != latest.Stamp || m.Base != before || len(m.Parts) != 2 || len(m.Removed) != 1 {
		t.Fatalf("got %+v, want parts b and d and the removal of c", m)
	}
	same, _ := sim.Spreaders[id].OnManifestRequest(sim.Net.Now(), "peer", spread.ManifestRequest{Seq: 2, Have: m.Stamp})
	if len(same.Parts) != 0 || len(same.Removed) != 0 {
		t.Fatalf("lists %v to a peer with the same document", same.Parts)
	}
}
