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

// inForce is the target for a configuration change and for a withdrawn key.
const inForce = 2 * time.Second

// world is a fleet under a schedule of faults, with what was published when.
type world struct {
	*simnet.SpreadFleet
	t         *rapid.T
	latest    simnet.Config
	before    simnet.Config // valid document before latest
	published map[uint64]time.Time
	away      bool
	stale     map[string]bool
	ready     map[*spread.Spreader]bool
}

func newWorld(t *rapid.T, minHosts int) *world {
	n := simnet.New(rapid.Uint64().Draw(t, "seed"))
	w := &world{
		SpreadFleet: simnet.NewSpreadFleet(n, simnet.Members(rapid.IntRange(minHosts, 26).Draw(t, "hosts"), 4)),
		t:           t, published: make(map[uint64]time.Time), stale: make(map[string]bool), ready: make(map[*spread.Spreader]bool),
	}
	n.Delay = func(_, _ string) time.Duration { return time.Duration(500+n.Rand.IntN(15_000)) * time.Microsecond }
	w.Serve = func(reader string) *simnet.Config {
		switch {
		case w.away:
			return nil
		case w.stale[reader]:
			return &w.before
		}
		return &w.latest
	}
	w.publish()
	w.before = w.latest
	for _, m := range w.Members {
		w.Start(m.ID)
	}
	w.watch()
	n.Run(inForce)
	return w
}

func (w *world) publish() {
	version := w.latest.Stamp.Version + 1
	parts := map[string][]byte{"fleet": []byte("services"), "team-0": []byte(fmt.Sprintf("keys of version %d", version))}
	w.before, w.latest = w.latest, simnet.NewConfig(version, parts)
	w.published[version] = w.Net.Now()
}

// watch checks every 50 ms, for as long as the world runs.
func (w *world) watch() {
	w.check()
	w.Net.After(50*time.Millisecond, w.watch)
}

func (w *world) check() {
	for id, s := range w.Spreader {
		versions := w.Versions[id]
		for i := 1; i < len(versions); i++ {
			if versions[i] <= versions[i-1] {
				w.t.Fatalf("%s went from version %d to %d", id, versions[i-1], versions[i])
			}
		}
		now := w.Net.Now()
		if w.Net.Paused(id) {
			continue
		}
		if s.Ready(now) && !w.ready[s] {
			w.ready[s] = true
			if !s.Current(now) {
				w.t.Fatalf("%s became ready without being current", id)
			}
		}
		if !s.Current(now) {
			continue
		}
		for version := s.Document().Stamp.Version + 1; version <= w.latest.Stamp.Version; version++ {
			if age := now.Sub(w.published[version]); age > inForce {
				w.t.Fatalf("%s is current with version %d, %v after version %d", id, s.Document().Stamp.Version, age, version)
			}
		}
	}
}

func (w *world) some(n int) []string {
	var ids []string
	for _, i := range w.Net.Rand.Perm(len(w.Members))[:n] {
		ids = append(ids, w.Members[i].ID)
	}
	return ids
}

// zoneOf returns all processes in the zone of one.
func (w *world) zoneOf(id string) []string {
	zone := make(map[string]string)
	for _, m := range w.Members {
		zone[m.ID] = m.Zone
	}
	var ids []string
	for _, m := range w.Members {
		if m.Zone == zone[id] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isolate cuts a group off from the service and from all others, at least in the
// direction towards the group.
func (w *world) isolate(group []string, bothWays bool) {
	inside := make(map[string]bool)
	for _, id := range group {
		inside[id] = true
	}
	for id := range inside {
		w.Net.Cut(simnet.ServiceName, id, true)
		for _, m := range w.Members {
			if !inside[m.ID] {
				w.Net.Cut(m.ID, id, true)
				w.Net.Cut(id, m.ID, bothWays)
			}
		}
	}
}

func (w *world) cutOneWay(links int) {
	for range links {
		pair := w.some(2)
		w.Net.Cut(pair[0], pair[1], true)
	}
}

// step brings about one set of faults for a while.
func (w *world) step() {
	t, n := w.t, len(w.Members)
	w.Net.Mend()
	w.away, w.stale = false, make(map[string]bool)
	quiet := w.Net.Now().Sub(w.published[w.latest.Stamp.Version]) > inForce
	switch fault := rapid.SampledFrom([]string{"none", "isolate", "pause", "restart", "away", "old copies", "one way", "no service"}).Draw(t, "fault"); fault {
	case "isolate":
		w.isolate(w.some(rapid.IntRange(1, 3).Draw(t, "group")), rapid.Bool().Draw(t, "both ways"))
	case "pause":
		for _, id := range w.some(rapid.IntRange(1, n/3).Draw(t, "paused")) {
			w.Net.Pause(id, time.Duration(rapid.IntRange(100, 5000).Draw(t, "pause ms"))*time.Millisecond)
		}
	case "restart":
		for _, id := range w.some(rapid.IntRange(1, n/3).Draw(t, "restarted")) {
			w.Stop(id)
			w.Net.After(time.Duration(w.Net.Rand.IntN(1000))*time.Millisecond, func() { w.Start(id) })
		}
	case "away":
		w.away = quiet
	case "old copies":
		for _, id := range w.some(2) {
			w.stale[id] = true
		}
	case "one way":
		w.cutOneWay(2 * n)
	case "no service":
		for _, id := range w.some(n / 2) {
			w.Net.Cut(id, simnet.ServiceName, true)
		}
	}
	if !w.away && rapid.Bool().Draw(t, "publish") {
		w.publish()
	}
	w.Net.Run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "step ms")) * time.Millisecond)
}

// Guards against a version that goes back, against a process that serves withdrawn
// keys more than 2 s later, and against a fleet that does not converge after faults.
func TestVersionsSpreadUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 8)
		loss := rapid.IntRange(0, 5).Draw(t, "loss in 100")
		w.Net.Lose = func(_, _ string) bool { return w.Net.Rand.IntN(100) < loss }
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			w.step()
		}
		w.Net.Mend()
		w.away, w.stale = false, make(map[string]bool)
		w.Net.Lose = func(_, _ string) bool { return false }
		w.Net.Run(5 * time.Second) // the longest pause
		w.publish()
		w.Net.Run(inForce)
		w.requireConverged()
	})
}

func (w *world) requireConverged() {
	w.t.Helper()
	for _, m := range w.Members {
		s := w.Spreader[m.ID]
		if got := s.Document().Stamp; got != w.latest.Stamp {
			w.t.Fatalf("%s has version %d, want %d", m.ID, got.Version, w.latest.Stamp.Version)
		}
		if !s.Current(w.Net.Now()) || !s.Ready(w.Net.Now()) {
			w.t.Fatalf("%s: current %v, ready %v, want both", m.ID, s.Current(w.Net.Now()), s.Ready(w.Net.Now()))
		}
	}
}

// Guards against a small group or a zone that is cut off and confirms itself, or goes
// on with an old confirmation.
func TestCutOffProcessesStopBeingCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 8)
		w.away = rapid.Bool().Draw(t, "away")
		w.Net.Run(3 * time.Second)
		group := w.some(rapid.IntRange(1, 3).Draw(t, "group"))
		if rapid.Bool().Draw(t, "whole zone") {
			group = w.zoneOf(group[0])
		}
		w.isolate(group, rapid.Bool().Draw(t, "both ways"))
		w.Net.Run(inForce)
		for range 100 {
			for _, id := range group {
				if w.Spreader[id].Current(w.Net.Now()) {
					t.Fatalf("%s of a cut-off group of %d is current", id, len(group))
				}
			}
			w.Net.Run(50 * time.Millisecond)
		}
	})
}

// Guards against a zone with most of the hosts whose processes confirm each other.
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
	f.Net.Run(inForce)
	f.Serve = func(string) *simnet.Config { return nil }
	for _, from := range members[8:] {
		for _, to := range members[:8] {
			f.Net.Cut(from.ID, to.ID, true)
		}
	}
	f.Net.Run(inForce)
	for range 100 {
		for _, m := range members[:8] {
			if s := f.Spreader[m.ID]; s.Current(f.Net.Now()) {
				t.Fatalf("%s is current by its own zone alone: %+v", m.ID, s.Freshness(f.Net.Now()))
			}
		}
		f.Net.Run(50 * time.Millisecond)
	}
}

// Guards against a fleet that refuses all keys because the service is away, also when
// a zone is lost as well, and against readers that are lost together.
func TestFleetStaysCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lose := rapid.SampledFrom([]string{"service", "readers", "service and a zone"}).Draw(t, "lost")
		minHosts := 2
		if lose == "service and a zone" {
			minHosts = 8 // fewer are left with less than 4 peers
		}
		w := newWorld(t, minHosts)
		w.away = lose != "readers"
		w.Net.Run(inForce) // time to change from confirmations to agreement
		if lose == "service and a zone" {
			for _, id := range w.zoneOf(w.some(1)[0]) {
				w.Stop(id)
			}
		}
		if lose == "readers" {
			for _, m := range w.Members {
				w.Net.Cut(m.ID, simnet.ServiceName, true)
			}
			able := w.some(1)[0]
			w.Net.Cut(able, simnet.ServiceName, false)
			w.publish()
			w.Net.Run(2 * inForce) // one period to notice, one to spread
			w.requireConverged()
		}
		for range 100 {
			for id, s := range w.Spreader {
				if !s.Current(w.Net.Now()) {
					t.Fatalf("%s is not current without %s: %+v", id, lose, s.Freshness(w.Net.Now()))
				}
			}
			w.Net.Run(50 * time.Millisecond)
		}
	})
}

// Guards against a document that is put in force in part, or fetched again and again
// after its refusal.
func TestInvalidDocumentIsRefusedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		good := w.latest
		w.published[2] = w.Net.Now().Add(time.Hour) // never has to be in force
		w.latest = simnet.NewConfig(2, map[string][]byte{"fleet": []byte("new"), "team-0": []byte(simnet.InvalidMark)})
		w.Net.Run(2 * inForce)
		for _, m := range w.Members {
			s := w.Spreader[m.ID]
			if s.Document().Stamp != good.Stamp || !s.Current(w.Net.Now()) {
				t.Fatalf("%s: %+v, want version 1 to stay in force", m.ID, s.Freshness(w.Net.Now()))
			}
			if r := s.Refusals(); len(r) > 1 {
				t.Fatalf("%s refused one document %d times", m.ID, len(r))
			}
		}
		w.publish()
		w.Net.Run(inForce)
		w.requireConverged()
	})
}

// Guards against changed-bytes replies that restore other bytes than were sent.
func TestChangedBytesRestoreThePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12)
		w := simnet.NewSpreadFleet(simnet.New(1), simnet.Members(2, 1))
		latest := simnet.NewConfig(1, map[string][]byte{"p": text.Draw(t, "old")})
		w.Serve = func(string) *simnet.Config { return &latest }
		for _, m := range w.Members {
			w.Start(m.ID)
		}
		w.Net.Run(time.Second)
		w.Net.Cut(w.Members[1].ID, simnet.ServiceName, true)
		latest = simnet.NewConfig(2, map[string][]byte{"p": text.Draw(t, "new")})
		w.Net.Run(inForce)
		if got := w.Spreader[w.Members[1].ID].Document(); string(got.Parts["p"]) != string(latest.Parts["p"]) {
			t.Fatalf("got %q, want %q", got.Parts["p"], latest.Parts["p"])
		}
	})
}

// Guards against parts of an answer from another document or with damaged bytes.
func TestDamagedPartsAreDropped(t *testing.T) {
	s := spread.New(spread.Options{Self: "a", Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(1000, 0)
	read := s.Tick(now)[0].(spread.ReadService)
	good := []byte("good")
	refs := []spread.Ref{{Name: "p", Digest: spread.DigestOf(good)}}
	s.OnService(now, spread.ServiceRead{Seq: read.Seq, Manifest: spread.Manifest{Stamp: spread.Stamp{Version: 1}, Parts: refs}})
	damaged := spread.Part{Name: "p", Digest: refs[0].Digest, Bytes: []byte("evil")}
	beyond := spread.Part{Name: "p", Digest: refs[0].Digest, Base: "x", Prefix: 9, Suffix: 9}
	if actions := s.OnParts(now, spread.Service, spread.Parts{Parts: []spread.Part{damaged, beyond}}); len(actions) > 0 {
		t.Fatalf("accepted damaged parts: %+v", actions)
	}
	if actions := s.OnParts(now, spread.Service, spread.Parts{Parts: []spread.Part{{Name: "p", Bytes: good}}}); len(actions) == 0 {
		t.Fatal("did not accept the intact part")
	}
}

// inForceAlone returns a Spreader with version 1 that was confirmed at start, and
// seven peers.
func inForceAlone(t *testing.T, start time.Time) *spread.Spreader {
	s := spread.New(spread.Options{Self: "host-0000", Rand: rand.New(rand.NewPCG(1, 1))})
	s.SetMembers(simnet.Members(8, 1))
	read := s.Tick(start)[0].(spread.ReadService)
	c := simnet.NewConfig(1, map[string][]byte{"p": []byte("v")})
	m := spread.Manifest{Stamp: c.Stamp, Parts: c.Refs}
	s.OnService(start, spread.ServiceRead{Seq: read.Seq, Manifest: m})
	s.OnParts(start, spread.Service, spread.Parts{Parts: []spread.Part{{Name: "p", Bytes: c.Parts["p"]}}})
	if !s.Current(start) || s.Current(start.Add(spread.CurrentFor+1)) {
		t.Fatal("want current for CurrentFor after the read")
	}
	return s
}

func askOf(actions []spread.Action) spread.AskManifest {
	for _, action := range actions {
		if a, ok := action.(spread.AskManifest); ok {
			return a
		}
	}
	return spread.AskManifest{}
}

// Guards against a process that resumes late and takes an old answer for a fresh one.
func TestAgeCountsFromTheAsk(t *testing.T) {
	start := time.Unix(1000, 0)
	s := inForceAlone(t, start)
	sent := start.Add(time.Second)
	a := askOf(s.Tick(sent))
	s.OnManifest(sent.Add(time.Second), a.Peer, spread.Manifest{Stamp: s.Document().Stamp, Seq: a.Ask.Seq})
	if end := sent.Add(spread.CurrentFor); !s.Current(end) || s.Current(end.Add(1)) {
		t.Fatal("want current until CurrentFor after the ask, not after the answer")
	}
}

// Guards against peers that agree on an old document while a newer one is known.
func TestAgreementEndsWhenANewerDocumentIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	s := inForceAlone(t, now)
	now = now.Add(5 * time.Second)
	for range spread.AgreeNeeded {
		now = now.Add(spread.AskInterval)
		a := askOf(s.Tick(now))
		s.OnManifest(now, a.Peer, spread.Manifest{Stamp: s.Document().Stamp, Seq: a.Ask.Seq, AgeMS: spread.NeverConfirmed})
	}
	if !s.Current(now) {
		t.Fatalf("%+v, want current by agreement", s.Freshness(now))
	}
	if until := s.CurrentUntil(now); !s.Current(until) || s.Current(until.Add(1)) {
		t.Fatalf("current until %v after the last answer, want the last moment of agreement", until.Sub(now))
	}
	if s.Current(now.Add(spread.CurrentFor)) {
		t.Fatal("current by answers from before a pause")
	}
	s.OnAnnounce(now, "host-0001", spread.Announcement{Stamp: spread.Stamp{Version: 2}})
	if s.Current(now) {
		t.Fatal("current with version 1 although version 2 is announced")
	}
}

// Guards against a manifest that lists every part for each change: at the goal's size
// the 1,024 parts for each of 4,300 changes a day would exceed the control traffic of
// 2 KB/s.
func TestManifestListsWhatChanged(t *testing.T) {
	w := simnet.NewSpreadFleet(simnet.New(1), simnet.Members(1, 1))
	parts := map[string][]byte{"a": []byte("1"), "b": []byte("1"), "c": []byte("1")}
	latest := simnet.NewConfig(1, parts)
	w.Serve = func(string) *simnet.Config { return &latest }
	id := w.Members[0].ID
	w.Start(id)
	w.Net.Run(time.Second)
	before := latest.Stamp
	latest = simnet.NewConfig(2, map[string][]byte{"a": []byte("1"), "b": []byte("2"), "d": []byte("1")})
	w.Net.Run(inForce)
	m, _ := w.Spreader[id].OnAsk(w.Net.Now(), "peer", spread.ManifestAsk{Seq: 1, Have: before})
	if m.Stamp != latest.Stamp || m.Base != before || len(m.Parts) != 2 || len(m.Removed) != 1 {
		t.Fatalf("got %+v, want parts b and d and the removal of c", m)
	}
	same, _ := w.Spreader[id].OnAsk(w.Net.Now(), "peer", spread.ManifestAsk{Seq: 2, Have: m.Stamp})
	if len(same.Parts) != 0 || len(same.Removed) != 0 {
		t.Fatalf("lists %v to a peer with the same document", same.Parts)
	}
}
