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

// exit serves one local backend server.
type exit struct {
	local      control.Local
	dispatcher *queue.Dispatcher
	chain      pipeline.Chain
	stop       context.CancelFunc
}

// exits is the table of the local backend servers. One goroutine changes it;
// traffic reads it through an atomic pointer.
type exits struct {
	node      *Node
	transport http.RoundTripper
	table     atomic.Pointer[map[string]*exit]
	wanted    chan []control.Local
}

func newExits(n *Node) *exits {
	e := &exits{node: n, transport: httpsend.NewBackendTransport(), wanted: make(chan []control.Local, 16)}
	e.table.Store(&map[string]*exit{})
	return e
}

// run follows the set of local backend servers until ctx is done.
func (e *exits) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case locals := <-e.wanted:
			e.follow(ctx, locals)
		}
	}
}

// retireAfter is how long the dispatcher of a removed backend server goes on
// for the requests that run there.
const retireAfter = time.Minute

func (e *exits) follow(ctx context.Context, locals []control.Local) {
	old := *e.table.Load()
	next := make(map[string]*exit, len(locals))
	for _, local := range locals {
		if x, ok := old[local.ID]; ok && x.local == local {
			next[local.ID] = x
			continue
		}
		next[local.ID] = e.start(ctx, local)
	}
	e.table.Store(&next)
	for id, x := range old {
		if next[id] != x {
			time.AfterFunc(retireAfter, x.stop)
		}
	}
}

func (e *exits) start(ctx context.Context, local control.Local) *exit {
	ctx, stop := context.WithCancel(ctx)
	x := &exit{local: local, dispatcher: queue.NewDispatcher(e.node.dispatcherOptions(local)), stop: stop}
	check := &validate.Filter{Snapshot: e.node.loop.Snapshot, Backend: local.ID}
	x.chain = pipeline.Chain{
		check,
		&quarantine.Filter{Snapshot: e.node.loop.Snapshot},
		&eject.Filter{Snapshot: e.node.loop.Snapshot, Backend: local.ID},
		&admit.Filter{Shares: e.node.shares, Submit: e.node.loop.Submit, Post: e.node.loop.Post},
		&queue.Filter{Dispatcher: x.dispatcher},
		check,
		&send.Filter{
			Addr: local.Addr, Transport: e.transport, Reachable: httpsend.AcceptsConnections,
			Started: e.node.callStarted(local), Observe: e.node.callEnded(local),
		},
	}
	go x.dispatcher.Run(ctx)
	go e.node.probe(ctx, local)
	return x
}

// chain returns the exit chain for a backend server.
func (e *exits) chain(backend string) (pipeline.Chain, bool) {
	x, ok := (*e.table.Load())[backend]
	if !ok {
		return nil, false
	}
	return x.chain, true
}

// load returns the load of a backend server.
func (e *exits) load(backend string) fleet.Load {
	x, ok := (*e.table.Load())[backend]
	if !ok {
		return fleet.Load{}
	}
	l := x.dispatcher.Load()
	return fleet.Load{Queued: l.Queued, Wait: l.Wait}
}
