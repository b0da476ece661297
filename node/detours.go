package node

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
)

// detourTime is how long messages to a peer that did not answer go through
// another process before the direct way is tried again.
const detourTime = 2 * time.Second

// detours remembers the peers whose direct way failed lately. It is state of
// the transport, used by the outbound workers only.
type detours struct {
	mu    sync.Mutex // guards until
	until map[string]time.Time
}

func (d *detours) active(peer string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.until[peer]
	if ok && !now.Before(until) {
		delete(d.until, peer)
		return false
	}
	return ok
}

func (d *detours) add(peer string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = make(map[string]time.Time)
	}
	d.until[peer] = now.Add(detourTime)
}

// exchange sends a control message and returns the reply. A one-way partition
// leaves a way through a third process, so a message whose direct way failed
// goes through one that answers.
func (n *Node) exchange(ctx context.Context, c control.Call) (any, error) {
	if n.detours.active(c.Peer, time.Now()) {
		return n.exchangeVia(ctx, c)
	}
	reply, err := n.client.Call(ctx, c.Addr, c.Message)
	if err == nil {
		return reply, nil
	}
	n.detours.add(c.Peer, time.Now())
	return n.exchangeVia(ctx, c)
}

func (n *Node) exchangeVia(ctx context.Context, c control.Call) (any, error) {
	relay, ok := n.relayFor(c.Peer)
	if !ok {
		return n.client.Call(ctx, c.Addr, c.Message)
	}
	return n.client.CallVia(ctx, relay, c.Peer, c.Message)
}

// relayFor returns the control address of a process through which a peer may be
// reached. The random order of map iteration spreads the choice.
func (n *Node) relayFor(peer string) (string, bool) {
	now := time.Now()
	for host, addr := range n.loop.Snapshot().ControlAddrs {
		if host != peer && host != n.settings.ID && !n.detours.active(host, now) {
			return addr, true
		}
	}
	return "", false
}
