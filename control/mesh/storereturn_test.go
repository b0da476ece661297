package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// listAt returns a complete list of the store at a position.
func listAt(era, revision uint64, servers ...Server) ServerListRead {
	for i := range servers {
		servers[i].Era = era
	}
	return ServerListRead{Complete: true, Era: era, Revision: revision, Put: servers}
}

// entryAt returns the entry of a server on 10.0.0.2 that started at 100 ms.
func entryAt(id string, revision uint64, draining bool) Server {
	server := newServer(id, "10.0.0.2", 1)
	server.Addr, server.Revision, server.Draining, server.StartUnixMS = "10.0.0.2:"+id, revision, draining, 100
	return server
}

// findTarget returns a listed server, or nil.
func (p *testProcess) findTarget(id string) *Target {
	for _, target := range p.loop.Snapshot().Services["roster"] {
		if target.ID == id {
			return target
		}
	}
	return nil
}

func TestCopyMakesADrainingServerReady(t *testing.T) {
	for _, era := range []uint64{2, 3} { // two returns in a row
		p := startProcess(t, "10.0.0.1")
		p.post(listAt(1, 80, entryAt("s", 80, true)))
		for e := uint64(2); e <= era; e++ {
			p.post(listAt(e, 50, entryAt("s", 40, false)))
			p.post(listAt(e, 52, entryAt("s", 40, false)))
		}
		if s := p.findTarget("s"); s == nil || !s.Draining {
			t.Fatalf("era %d: %+v, want it to drain", era, s)
		}
		restarted := entryAt("s", 53, false)
		restarted.StartUnixMS = 200
		p.post(listAt(era, 53, restarted))
		if s := p.findTarget("s"); s.Draining {
			t.Errorf("era %d: the next start of the server still drains", era)
		}
	}
}

func TestCopyBringsBackAServerThatLeft(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(listAt(1, 80, entryAt("left", 40, false), entryAt("stays", 41, false)))
	p.post(listAt(1, 81, entryAt("stays", 41, false)))
	for _, at := range []uint64{50, 51} {
		p.post(listAt(2, at, entryAt("left", 40, false), entryAt("stays", 41, false)))
		if p.isListed("left") || !p.isListed("stays") {
			t.Errorf("revision %d: the server that left is listed: %v, the other one: %v", at, p.isListed("left"), p.isListed("stays"))
		}
	}
	p.post(listAt(2, 53, entryAt("left", 53, false), entryAt("stays", 41, false)))
	if !p.isListed("left") {
		t.Error("a server that was written again is not listed")
	}
}

func TestCopyBringsBackAnEarlierStart(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	second := entryAt("s", 80, false)
	second.StartUnixMS = 200
	p.post(listAt(1, 80, second))
	p.post(listAt(2, 50, entryAt("s", 40, false)))
	if s := p.findTarget("s"); s.StartUnixMS != 200 {
		t.Errorf("start %d, want the second one", s.StartUnixMS)
	}
}

func TestServerWhoseEntryIsLostIsDropped(t *testing.T) {
	for _, again := range []bool{false, true} {
		p := startProcess(t, "10.0.0.1")
		p.post(listAt(1, 80, entryAt("new", 80, false)))
		p.post(listAt(2, 50))
		p.advance(time.Second)
		if !p.isListed("new") {
			t.Fatal("dropped at once")
		}
		if again {
			p.post(listAt(2, 51, entryAt("new", 51, false)))
		}
		p.advance(drainTime - time.Second)
		if p.isListed("new") != again {
			t.Errorf("written again: %v, listed after the drain time: %v", again, p.isListed("new"))
		}
	}
	p := startProcess(t, "10.0.0.1")
	p.post(listAt(7, 80, entryAt("s", 80, false)))
	p.post(ServerListRead{Era: 7, Revision: 81, Removed: []string{"s"}})
	if p.isListed("s") {
		t.Error("kept in the first known era, in which nothing was lost")
	}
}

func TestEntryWrittenAgainWithALowerRevisionIsIgnored(t *testing.T) {
	drains := entryAt("s", 51, true)
	for name, read := range map[string]func(p *testProcess){
		"store": func(p *testProcess) { p.post(listAt(2, 51, drains)) },
		"announcement": func(p *testProcess) {
			p.post(MessageReceived{Host: "10.0.0.2", Message: notice.Message{Era: 2, ServerListChange: &notice.ServerListChange{Revision: 51, Put: []notice.Server{encodeServer(drains)}}}})
		},
		"list of a reader": func(p *testProcess) {
			data, err := EncodeServerList(p.now, &Snapshot{StoreReader: true, ListComplete: true, ListPosition: StorePosition{Era: 2, Revision: 51}, Listed: []Server{drains}})
			if err != nil {
				t.Fatal(err)
			}
			list, err := DecodeServerList(data)
			if err != nil {
				t.Fatal(err)
			}
			p.post(list)
		},
	} {
		p := startProcess(t, "10.0.0.1")
		p.post(listAt(1, 80, entryAt("s", 80, false)))
		read(p)
		if s := p.findTarget("s"); s == nil || !s.Draining {
			t.Errorf("%s: %+v, want it to drain", name, s)
		}
		p.post(MessageReceived{Host: "10.0.0.2", Message: notice.Message{Era: 1, ServerListChange: &notice.ServerListChange{Revision: 99, Removed: []string{"s"}}}})
		p.post(listAt(1, 99, entryAt("s", 99, false)))
		if s := p.findTarget("s"); s == nil || !s.Draining {
			t.Errorf("%s: an older era is taken: %+v", name, s)
		}
	}
}

func TestListOfAnOlderEraIsFetchedAgainAndAgain(t *testing.T) {
	p := startNonReader(t)
	for id, host := range p.nextStoreQueries() {
		p.post(MessageReceived{Host: host, Message: notice.Message{Era: 2, StoreState: &notice.StoreState{ID: id, Version: 7, Digest: 1}}})
	}
	if len(p.listHosts) != 1 {
		t.Fatalf("%d fetches of the list of a newer era", len(p.listHosts))
	}
	p.post(listAt(2, 5, newServer("10.0.0.2", "10.0.0.2", 2)))
	for id, host := range p.nextStoreQueries() {
		p.post(MessageReceived{Host: host, Message: notice.Message{Era: 1, StoreState: &notice.StoreState{ID: id, Version: 7, Digest: 1}}})
	}
	if len(p.listHosts) != 1 {
		t.Error("the list of an older era is fetched")
	}
}

func TestSuccessorAtAnAddressLosesToItsPredecessor(t *testing.T) {
	for name, lists := range map[string]func(predecessor, successor Server) [2]ServerListRead{
		"predecessor lost": func(predecessor, successor Server) [2]ServerListRead {
			return [2]ServerListRead{listAt(1, 80, predecessor), listAt(2, 60, successor)}
		},
		"successor lost": func(predecessor, successor Server) [2]ServerListRead {
			return [2]ServerListRead{listAt(1, 90, predecessor, successor), listAt(2, 80, predecessor)}
		},
	} {
		p := startProcess(t, "10.0.0.1")
		predecessor, successor := newServer("predecessor", "10.0.0.2", 80), newServer("successor", "10.0.0.2", 60)
		predecessor.StartUnixMS, successor.StartUnixMS = 100, 200
		if name == "successor lost" {
			successor.CreateRevision = 85
		}
		for _, list := range lists(predecessor, successor) {
			p.post(list)
		}
		if p.isListed("predecessor") || !p.isListed("successor") {
			t.Errorf("%s: the predecessor is listed: %v, its successor: %v", name, p.isListed("predecessor"), p.isListed("successor"))
		}
	}
}

func TestReaderThatKnowsOnlyTheCopyIsNotCorrected(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(listAt(1, 80, entryAt("drains", 80, true), entryAt("left", 40, false)))
	p.post(listAt(1, 81, entryAt("drains", 80, true)))
	ofCopy := listAt(2, 50, entryAt("drains", 30, false), entryAt("left", 40, false))
	p.post(ofCopy)
	p.sent = nil
	ofCopy.Source, ofCopy.Host = FromReader, "10.0.0.2"
	p.post(ofCopy)
	var put, removed int
	for _, send := range p.sent {
		if change := send.Message.ServerListChange; change != nil && send.Hosts[0] == "10.0.0.2" && send.Message.Era == 2 {
			put, removed = put+len(change.Put), removed+len(change.Removed)
		}
	}
	if put != 1 || removed != 1 {
		t.Errorf("the reader is told of %d draining servers and %d that left, want one each", put, removed)
	}
}

func TestReaderAnswersForAListThatItHasNotRead(t *testing.T) {
	p := startInFleet(t, "10.0.0.1", "10.0.0.2", "10.0.0.3")
	p.advance(time.Millisecond)
	answers := func() int {
		p.sent = nil
		p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{StoreQuery: &notice.StoreQuery{ID: 1}}})
		return len(p.sent)
	}
	p.post(listAt(1, 9, newServer("mine", "10.0.0.1", 1), newServer("s", "10.0.0.2", 2), newServer("t", "10.0.0.3", 2)))
	p.post(TableConfirmed{BootTime: time.Hour, Era: 1})
	before := answers()
	p.post(MessageReceived{Host: "10.0.0.3", Message: notice.Message{Era: 2, ServerListChange: &notice.ServerListChange{Revision: 5}}})
	if announced := answers(); before != 1 || announced != 0 {
		t.Errorf("%d answers before the return, %d after news of it, want 1 and none", before, announced)
	}
	if list, err := EncodeServerList(p.now, p.loop.Snapshot()); list != nil || err != nil {
		t.Errorf("offers a list that it has not read, %v", err)
	}
}

func TestRemovedServersAreRememberedForEver(t *testing.T) {
	s := &serversStage{storeReturn: storeReturn{removed: make(map[string]removedServer)}}
	now := time.Now()
	for i := range maxRemoved + 9 {
		s.rememberRemoved(now.Add(time.Duration(i)), Server{ID: fmt.Sprint(i)})
	}
	if _, oldest := s.removed["0"]; oldest || len(s.removed) != maxRemoved {
		t.Errorf("%d servers remembered, the oldest: %v", len(s.removed), oldest)
	}
	s.forgetRemoved(now.Add(removedRetention + time.Second))
	if len(s.removed) > 0 {
		t.Errorf("%d servers remembered after %v", len(s.removed), removedRetention)
	}
}

// Guards against a withdrawn key that an answer of the copy keeps trusted at a process that
// missed the version without it.
func TestOlderCopyConfirmsKeys(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	confirm := func(era uint64) time.Duration {
		p.post(TableConfirmed{BootTime: p.now.Sub(p.started) + time.Hour, Era: era})
		return p.loop.Snapshot().KeyTrust.Until()
	}
	before := confirm(1)
	p.advance(500 * time.Millisecond)
	if confirm(2) != before || confirm(1) != before {
		t.Error("confirmed before peers could name a newer version")
	}
	p.advance(eraSettleTime)
	if confirm(2) <= before {
		t.Error("keys are refused for ever")
	}
	p.advance(2500 * time.Millisecond)
	if before = p.loop.Snapshot().KeyTrust.Until(); confirm(3) <= before {
		t.Error("keys are refused after a return that took long")
	}
}

// drill brings the store of a fleet back from a copy.
func (f *testFleet) drill(era, revision uint64, servers []Server) {
	f.storeEra, f.storeRev, f.storeServers, f.storeDown = era, revision, servers, false
}

// checkServers reports processes, except that on one host, that list a server that left, or a
// draining one as ready.
func (f *testFleet) checkServers(t interface{ Errorf(string, ...any) }, except, left, draining string) {
	for host, p := range f.processes {
		if host == except {
			continue
		}
		for _, target := range p.loop.Snapshot().Services["roster"] {
			if target.ID == left || (target.ID == draining && !target.Draining) {
				t.Errorf("%s lists %s in era %d, draining %v", host, target.ID, target.Era, target.Draining)
			}
		}
	}
}

// Guards against fleets whose processes disagree after the store came back, whatever is lost,
// how long it is away and how far its revisions have caught up.
func TestFleetDisagreesAfterReturnsOfTheStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(6, 24).Draw(rt, "hosts"), 10, 20)
		servers := f.serversOf(f.hosts)
		for i := range servers {
			servers[i].Revision, servers[i].StartUnixMS = uint64(i+1), 100
		}
		f.storeEra, f.storeTable, f.storeServers, f.storeRev = 1, f.table, servers, 100
		f.startAll(300*time.Millisecond, 50*time.Millisecond)
		f.followStore()
		f.advance(5 * time.Second)
		left, draining := servers[0], servers[1]
		for era := uint64(2); era <= 3; era++ {
			copied := slices.Clone(servers)
			now := slices.Clone(servers[1:])
			now[0].Draining, now[0].Revision = true, f.storeRev+1
			f.storeServers, f.storeRev = now, f.storeRev+2
			f.publishVersion(era)
			f.advance(time.Duration(rapid.IntRange(1000, 4000).Draw(rt, "known_ms")) * time.Millisecond)
			newest := f.storeTable
			f.storeDown = true
			f.advance(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "away_ms")) * time.Millisecond)
			f.drill(era, uint64(rapid.IntRange(50, 300).Draw(rt, "revision")), copied)
			f.storeTable = f.table
			returned, starting := f.now, f.hosts[len(f.hosts)-1]
			f.kill(starting)
			f.start(starting, 0)
			for range 20 {
				f.advance(100 * time.Millisecond)
				f.checkServers(rt, starting, left.ID, draining.ID)
				switch f.now.Sub(returned) { // the draining server writes its entry again, the other one expires
				case time.Second:
					f.storeServers = slices.Clone(copied)
					f.storeServers[1].Draining, f.storeServers[1].Revision = true, f.storeRev+1
					f.storeRev++
				case 1500 * time.Millisecond:
					f.storeServers, f.storeRev = f.storeServers[1:], f.storeRev+1
				}
			}
			f.checkServers(rt, "", left.ID, draining.ID)
			if n := f.countBelow(era); n > 0 {
				rt.Errorf("era %d: %d processes have an older configuration", era, n)
			}
			for host, p := range f.processes {
				if at := p.loop.Snapshot().ListPosition.Era; at != era {
					rt.Errorf("%s is in era %d, want %d", host, at, era)
				}
			}
			if n := f.countUnready(); n > 0 {
				rt.Errorf("era %d: %d processes are not ready", era, n)
			}
			f.storeTable, f.storeServers, f.storeRev = newest, now, f.storeRev+10
			f.advance(2 * time.Second)
			f.checkServers(rt, "", left.ID, draining.ID)
		}
	})
}
