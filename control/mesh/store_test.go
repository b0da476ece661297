package mesh

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Guards against queries that nobody answers: a reader that lost its connection to the
// store would remain a reader.
func TestReaderWithoutStoreIsReplaced(t *testing.T) {
	p := startInFleet(t, "10.0.0.1", "10.0.0.2", "10.0.0.3")
	p.advance(time.Millisecond)
	if !p.loop.Snapshot().StoreReader {
		t.Fatal("no reader in a fleet of three")
	}
	p.sent = nil
	p.advance(maxReaderListAge + 2*storeQueryInterval + statusInterval)
	if p.loop.Snapshot().StoreReader {
		t.Error("still a reader without an answer from the store")
	}
	reported := false
	for _, send := range p.sent {
		reported = reported || send.Message.Status != nil && send.Message.Status.StoreUnreachable
	}
	if !reported {
		t.Error("no status reported the unreachable store")
	}
	for range int(readerExclusionTime/storeQueryInterval) + 2 {
		p.advance(storeQueryInterval)
		if p.loop.Snapshot().StoreReader {
			return
		}
	}
	t.Error("the process does not become a reader again")
}

// Guards against one read of the store for each reader that announces the same
// version.
func TestVersionIsRequestedOnce(t *testing.T) {
	p := startNonReader(t)
	p.storeReads = nil
	for _, host := range []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"} {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{ConfigVersion: &notice.ConfigVersion{Version: 8}}})
	}
	if len(p.storeReads) != 1 {
		t.Errorf("%d store reads requested for one version", len(p.storeReads))
	}
	p.now = p.now.Add(configRetryDelay)
	p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{ConfigVersion: &notice.ConfigVersion{Version: 8}}})
	if len(p.storeReads) < 2 {
		t.Error("a read without a result is not requested again")
	}
}

// Guards against a burst of messages when a fleet starts, caused by processes that
// broadcast their complete first list.
func TestFirstListIsNotBroadcast(t *testing.T) {
	p := startInFleet(t, "10.0.0.1", "10.0.0.2", "10.0.0.3")
	for _, send := range p.sent {
		if send.Message.ServerListChange != nil {
			t.Fatalf("broadcast %+v", send)
		}
	}
	p.post(ServerListRead{Revision: 9, Put: []Server{newServer("new", "10.0.0.4", 9)}})
	for _, send := range p.sent {
		if send.Message.ServerListChange != nil {
			return
		}
	}
	t.Error("a change was not broadcast")
}

// Guards against every process becoming a store reader at the start because it has not
// heard its peers yet.
func TestListedHostsCountAsReadersBeforeTheyAreHeard(t *testing.T) {
	reading := 0
	hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7", "10.0.0.8"}
	for _, self := range hosts {
		p := startProcess(t, self)
		p.advance(peerTimeout + time.Second) // the list arrives late
		if p.loop.Snapshot().StoreReader {
			t.Error("a reader without a list")
		}
		var servers []Server
		for _, host := range hosts {
			servers = append(servers, newServer(host, host, 1))
		}
		p.post(ServerListRead{Complete: true, Put: servers})
		p.advance(storeQueryInterval)
		if p.loop.Snapshot().StoreReader {
			reading++
		}
	}
	if reading != minStoreReaders {
		t.Errorf("%d of %d processes are readers, want %d", reading, len(hosts), minStoreReaders)
	}
}
