package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/filters/admit"
	"github.com/ragwortyard/ragwortyard/filters/eject"
	"github.com/ragwortyard/ragwortyard/filters/quarantine"
	"github.com/ragwortyard/ragwortyard/filters/queue"
	"github.com/ragwortyard/ragwortyard/filters/send"
	"github.com/ragwortyard/ragwortyard/filters/validate"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// exitProxy runs the exit chain of one local backend server.
type exitProxy struct {
	local      control.LocalBackend
	dispatcher *queue.Dispatcher
	chain      pipeline.Chain
	stop       context.CancelFunc
}

// exitTable holds the exit proxies of all local backend servers. One goroutine updates
// it; request handling reads it through an atomic pointer.
type exitTable struct {
	node      *Node
	transport http.RoundTripper
	byBackend atomic.Pointer[map[string]*exitProxy]
	updates   chan []control.LocalBackend
}

func newExitTable(n *Node) *exitTable {
	e := &exitTable{node: n, transport: httpsend.NewBackendTransport(), updates: make(chan []control.LocalBackend, 16)}
	e.byBackend.Store(&map[string]*exitProxy{})
	return e
}

// run applies updates of the set of local backend servers until ctx is done.
func (e *exitTable) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case locals := <-e.updates:
			e.applyBackends(ctx, locals)
		}
	}
}

// dispatcherStopDelay is how long the dispatcher of a removed backend server keeps
// running, so that requests in flight can complete.
const dispatcherStopDelay = time.Minute

// applyBackends starts exit proxies for new and changed backend servers and stops those
// of removed ones after dispatcherStopDelay.
func (e *exitTable) applyBackends(ctx context.Context, locals []control.LocalBackend) {
	old := *e.byBackend.Load()
	next := make(map[string]*exitProxy, len(locals))
	for _, local := range locals {
		if proxy, ok := old[local.ID]; ok && proxy.local == local {
			next[local.ID] = proxy
			continue
		}
		next[local.ID] = e.startProxy(ctx, local)
	}
	e.byBackend.Store(&next)
	for id, proxy := range old {
		if next[id] != proxy {
			time.AfterFunc(dispatcherStopDelay, proxy.stop)
		}
	}
}

func (e *exitTable) startProxy(ctx context.Context, local control.LocalBackend) *exitProxy {
	ctx, stop := context.WithCancel(ctx)
	proxy := &exitProxy{local: local, dispatcher: queue.NewDispatcher(e.node.dispatcherOptions(local)), stop: stop}
	validation := &validate.Filter{Snapshot: e.node.loop.Snapshot, Backend: local.ID}
	proxy.chain = pipeline.Chain{
		validation,
		&quarantine.Filter{Snapshot: e.node.loop.Snapshot},
		&eject.Filter{Snapshot: e.node.loop.Snapshot, Backend: local.ID},
		&admit.Filter{TokenCaches: e.node.tokenCaches, Submit: e.node.loop.Submit, Post: e.node.loop.Post},
		&queue.Filter{Dispatcher: proxy.dispatcher},
		validation,
		&send.Filter{
			Addr: local.Addr, Transport: e.transport, Reachable: httpsend.AcceptsConnections,
			Started: e.node.callStartHook(local), Observe: e.node.callEndHook(local),
		},
	}
	go proxy.dispatcher.Run(ctx)
	go e.node.probeHealth(ctx, local)
	return proxy
}

// stop ends the exit proxies: they refuse the requests that wait for a slot.
func (e *exitTable) stop() {
	for _, proxy := range *e.byBackend.Load() {
		proxy.stop()
	}
}

// chain returns the exit chain of a local backend server.
func (e *exitTable) chain(backend string) (pipeline.Chain, bool) {
	proxy, ok := (*e.byBackend.Load())[backend]
	if !ok {
		return nil, false
	}
	return proxy.chain, true
}

// load returns the current load of a local backend server; zero if it is unknown.
func (e *exitTable) load(backend string) fleet.Load {
	proxy, ok := (*e.byBackend.Load())[backend]
	if !ok {
		return fleet.Load{}
	}
	l := proxy.dispatcher.Load()
	return fleet.Load{Queued: l.Queued, ExpectedWait: l.Wait}
}
