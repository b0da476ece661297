package node

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
)

// relayDuration is how long messages to a peer are relayed through another process after
// a direct call failed.
const relayDuration = 2 * time.Second

// directFailures records the peers to which a direct call failed within the last
// relayDuration. It is transport state, which only the outbound workers use.
type directFailures struct {
	mu    sync.Mutex           // guards until
	until map[string]time.Time // when to call the peer directly again
}

// recent reports whether a direct call to a peer failed within the last relayDuration.
func (d *directFailures) recent(peer string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.until[peer]
	if ok && !now.Before(until) {
		delete(d.until, peer)
		return false
	}
	return ok
}

// record records a failed direct call to a peer.
func (d *directFailures) record(peer string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = make(map[string]time.Time)
	}
	d.until[peer] = now.Add(relayDuration)
}

// callPeer sends a control message to a peer and returns the reply. If the direct call
// fails, it sends the message through a third process, which is still possible in a
// one-way or partial partition.
func (n *Node) callPeer(ctx context.Context, c control.Call) (any, error) {
	if n.directFailures.recent(c.Peer, time.Now()) {
		return n.callViaRelay(ctx, c)
	}
	reply, err := n.client.Call(ctx, c.Addr, c.Message)
	if err == nil {
		return reply, nil
	}
	n.directFailures.record(c.Peer, time.Now())
	return n.callViaRelay(ctx, c)
}

// callViaRelay sends a control message through another process, or directly if there is
// no process to relay it.
func (n *Node) callViaRelay(ctx context.Context, c control.Call) (any, error) {
	relay, ok := n.relayFor(c.Peer)
	if !ok {
		return n.client.Call(ctx, c.Addr, c.Message)
	}
	return n.client.CallVia(ctx, relay, c.Peer, c.Message)
}

// relayFor returns the control address of a process that can relay messages to a peer.
// The random order of map iteration spreads the load over the processes.
func (n *Node) relayFor(peer string) (string, bool) {
	now := time.Now()
	for host, addr := range n.loop.Snapshot().ControlAddrs {
		if host != peer && host != n.settings.ID && !n.directFailures.recent(host, now) {
			return addr, true
		}
	}
	return "", false
}
