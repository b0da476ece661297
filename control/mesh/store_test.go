package mesh

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Guards against asks that nobody answers: a reader that is cut from the store
// goes on being a reader for the others.
func TestReaderWithoutAStoreGivesWay(t *testing.T) {
	p := fleet(t, "10.0.0.1", "10.0.0.2", "10.0.0.3")
	p.pass(time.Millisecond)
	if !p.loop.Snapshot().Reading {
		t.Fatal("no reader in a fleet of three")
	}
	p.sent = nil
	p.pass(freshList + 2*storeAskInterval + statusInterval)
	if p.loop.Snapshot().Reading {
		t.Error("still a reader without an answer of the store")
	}
	told := false
	for _, send := range p.sent {
		told = told || send.Message.Status != nil && send.Message.Status.Blind
	}
	if !told {
		t.Error("the others were not told")
	}
	for range int(readerAway/storeAskInterval) + 2 {
		p.pass(storeAskInterval)
		if p.loop.Snapshot().Reading {
			return
		}
	}
	t.Error("the store is not tried again")
}

// Guards against a read of the store for each reader that tells of a version.
func TestVersionIsFetchedOnce(t *testing.T) {
	p := notReader(t)
	p.woken = nil
	for _, host := range []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"} {
		p.post(Received{Host: host, Direct: true, Message: notice.Message{ConfigVersion: &notice.ConfigVersion{Version: 8}}})
	}
	if len(p.woken) != 1 {
		t.Errorf("woken %d times for one version", len(p.woken))
	}
	p.now = p.now.Add(fetchRepeat)
	p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{ConfigVersion: &notice.ConfigVersion{Version: 8}}})
	if len(p.woken) < 2 {
		t.Error("a fetch that failed is not repeated")
	}
}

// Guards against a burst of messages when a fleet starts: each process would tell
// the whole list to all others.
func TestFirstListIsNotTold(t *testing.T) {
	p := fleet(t, "10.0.0.1", "10.0.0.2", "10.0.0.3")
	for _, send := range p.sent {
		if send.Message.ServerListChange != nil {
			t.Fatalf("told %+v", send)
		}
	}
	p.post(ServersRead{At: 9, Put: []Server{server("new", "10.0.0.4", 9)}})
	for _, send := range p.sent {
		if send.Message.ServerListChange != nil {
			return
		}
	}
	t.Error("a change was not told")
}

// Guards against every process reading the store for all at the start, before its
// peers were heard.
func TestListedHostsCountAsReadersBeforeTheyAreHeard(t *testing.T) {
	reading := 0
	hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7", "10.0.0.8"}
	for _, self := range hosts {
		p := start(t, self)
		p.pass(peerTimeout + time.Second) // the list comes late
		if p.loop.Snapshot().Reading {
			t.Error("a reader without a list")
		}
		var servers []Server
		for _, host := range hosts {
			servers = append(servers, server(host, host, 1))
		}
		p.post(ServersRead{Whole: true, Put: servers})
		p.pass(storeAskInterval)
		if p.loop.Snapshot().Reading {
			reading++
		}
	}
	if reading != minReaders {
		t.Errorf("%d of %d processes read, want %d", reading, len(hosts), minReaders)
	}
}
