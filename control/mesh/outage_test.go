package mesh

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// fleetHosts are the hosts of startNonReader beside its own.
var fleetHosts = []string{"10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7", "10.0.0.8"}

// answerAsReader answers the next query of a process as a store reader with a digest of its list.
// The process hears all hosts.
func (p *testProcess) answerAsReader(digest uint64) {
	seq := uint32(p.now.Sub(p.started).Milliseconds())
	for _, host := range fleetHosts {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: seq}}})
	}
	for id, host := range p.nextStoreQueries() {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{StoreState: &notice.StoreState{ID: id, Version: 7, Digest: digest}}})
	}
}

// Guards against requests to a server that has left: a process whose own reads failed in an
// outage, and that does not read the store since, takes the store to be away for good and keeps
// every server that is missing from the list.
func TestAnswersOfAReaderEndAnOutage(t *testing.T) {
	p := startNonReader(t)
	servers := []Server{newServer("mine", p.findTarget("mine").Host, 1)}
	for _, host := range fleetHosts {
		servers = append(servers, newServer(host, host, 2))
	}
	p.post(StoreUnavailable{})
	for began := p.now; p.now.Sub(began) < 10*time.Second; {
		p.answerAsReader(0)
		p.post(ServerListRead{Complete: true, Source: FromReader, Put: servers})
	}
	left := servers[len(servers)-1].ID
	p.post(ServerListRead{Complete: true, Source: FromReader, Put: servers[:len(servers)-1]})
	removed := p.now
	for p.now.Sub(removed) < drainTime-storeQueryInterval {
		p.answerAsReader(0)
	}
	if p.isListed(left) {
		t.Errorf("listed %v after the list of a reader did not have it", p.now.Sub(removed))
	}
}

// Guards against the loss of servers whose entries expired in an outage that one process still
// suffers, and against an answer from before the outage that ends it.
func TestOldAnswersOfAReaderDoNotEndAnOutage(t *testing.T) {
	p := startNonReader(t)
	queries := p.nextStoreQueries()
	p.advance(10 * time.Millisecond)
	p.post(StoreUnavailable{})
	for id, host := range queries {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{StoreState: &notice.StoreState{ID: id, Version: 7}}})
	}
	p.post(ServerListRead{Complete: true, Source: FromReader, Put: []Server{newServer("mine", p.findTarget("mine").Host, 1)}})
	p.advance(2 * drainTime)
	if !p.isListed("10.0.0.2") {
		t.Error("a server was removed while the store is away")
	}
}

// Guards against a process that goes on with a server that has left after outages of the store,
// whatever processes read it in them, if it misses the announcement of the removal.
func TestRemovalAfterOutagesIsFoundByEveryProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(6, 24).Draw(t, "hosts"), 10, 20)
		f.storeEra, f.storeTable, f.storeServers, f.storeRev = 1, f.table, f.serversOf(f.hosts), 100
		f.startAll(300*time.Millisecond, 50*time.Millisecond)
		f.followStore()
		f.advance(5 * time.Second)
		for range rapid.IntRange(1, 3).Draw(t, "outages") {
			f.storeDown = true
			f.advance(time.Duration(rapid.IntRange(500, 6000).Draw(t, "away_ms")) * time.Millisecond)
			f.storeDown = false
			f.advance(time.Duration(rapid.IntRange(100, 3000).Draw(t, "back_ms")) * time.Millisecond)
		}
		f.advance(7 * time.Second)
		leaving := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "leaving")
		left := f.storeServers[leaving].ID
		deaf := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "deaf")]
		f.deaf[deaf] = true
		f.lossShare = rapid.Float64Range(0, 1).Draw(t, "loss")
		f.storeServers = append(f.storeServers[:leaving:leaving], f.storeServers[leaving+1:]...)
		f.storeRev++
		f.advance(500 * time.Millisecond)
		f.deaf[deaf], f.lossShare = false, 0
		f.advance(drainTime)
		for host, p := range f.processes {
			for _, target := range p.loop.Snapshot().Services["roster"] {
				if target.ID == left {
					t.Errorf("%s lists the server that has left", host)
				}
			}
		}
	})
}
