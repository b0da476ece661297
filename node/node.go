package node

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/path"
	"github.com/ragwortyard/ragwortyard/filters/authenticate"
	"github.com/ragwortyard/ragwortyard/filters/buffer"
	"github.com/ragwortyard/ragwortyard/filters/claim"
	"github.com/ragwortyard/ragwortyard/filters/classify"
	"github.com/ragwortyard/ragwortyard/filters/fingerprint"
	"github.com/ragwortyard/ragwortyard/filters/forward"
	"github.com/ragwortyard/ragwortyard/filters/observe"
	"github.com/ragwortyard/ragwortyard/filters/quarantine"
	"github.com/ragwortyard/ragwortyard/filters/route"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/httpfront"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/source"
)

// Platform is what a process reads of its surroundings.
type Platform struct {
	Config ConfigReader
	Hosts  HostReader
}

// HostReader reads the platform's host list.
type HostReader interface {
	Hosts(ctx context.Context) (control.HostsRead, error)
}

// Node is one process of the fleet.
type Node struct {
	settings Settings
	log      *zap.Logger
	platform Platform
	metrics  *metrics.Set
	traffic  fleet.Traffic
	loop     *control.Loop[control.Snapshot]
	client   *fleet.Client
	hop      *fleet.HopClient
	source   *configSource
	exits    *exits
	probes   *http.Client // for health endpoints
	entry    pipeline.Chain
	policies *control.RetryPolicies
	shares   *control.TokenCacheTable
	ids      idSource
	refusing atomic.Bool // exits refuse new work: the last part of a planned stop
	leaving  atomic.Bool // callers are asked to connect elsewhere
	servers  servers
	detours  detours
}

// servers are the listeners of a process and what serves them.
type servers struct {
	callers, traffic, operator *http.Server
	control                    *fleet.Server
}

// New returns a process that is ready to run. The settings must be valid.
func New(settings Settings, reads Platform, log *zap.Logger) (*Node, error) {
	fleetTLS, err := loadFleetTLS(settings)
	if err != nil {
		return nil, err
	}
	callersTLS, err := loadCallersTLS(settings)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: settings,
		log:      log.With(zap.String("host", settings.ID)),
		platform: reads,
		metrics:  metrics.NewSet(),
		policies: &control.RetryPolicies{},
		shares:   &control.TokenCacheTable{},
		source:   newConfigSource(reads.Config),
		probes:   source.NewClient(),
	}
	n.ids.prefix = strconv.FormatUint(rand.Uint64(), 36) + "-"
	registry := newRegistry()
	n.client = fleet.NewClient(settings.ID, registry, &n.traffic, fleetTLS.client())
	n.hop = fleet.NewHopClient(fleetTLS.client())
	n.exits = newExits(n)
	n.loop = control.New(n.controlOptions(), newOutbound(n))
	n.entry = n.entryChain()
	n.servers = n.newServers(registry, fleetTLS.server(), callersTLS)
	n.registerMetrics()
	return n, nil
}

func (n *Node) controlOptions() control.Options {
	now := time.Now()
	return control.Options{
		Self: control.Self{
			ID:          n.settings.ID,
			Zone:        n.settings.Zone,
			Incarnation: uint64(now.UnixMilli()),
			Started:     now,
		},
		Seed:              rand.Uint64(),
		EjectionReporting: ejection.Reporting(n.settings.HealthReports),
		TokenCaches:       n.shares,
		LedgerWindow:      n.settings.LedgerWindow,
	}
}

func (n *Node) entryChain() pipeline.Chain {
	return pipeline.Chain{
		observe.New(n.metrics),
		&classify.Filter{Snapshot: n.loop.Snapshot},
		&authenticate.Filter{Snapshot: n.loop.Snapshot},
		buffer.Filter{},
		fingerprint.Filter{},
		&quarantine.Filter{Snapshot: n.loop.Snapshot},
		&claim.Filter{Submit: n.loop.Submit, Post: n.loop.Post, NewID: n.ids.next},
		&route.Filter{Snapshot: n.loop.Snapshot},
		&forward.Filter{
			Sender:      n.hop,
			Policies:    n.policies,
			ObservePath: func(o path.Observation) { n.loop.Post(control.PathObserved{Observation: o}) },
			NewID:       n.ids.next,
		},
	}
}

// idSource makes identifiers that are unique in the fleet: a random prefix for
// each start and a counter.
type idSource struct {
	prefix  string
	counter atomic.Uint64
}

func (s *idSource) next() string {
	return s.prefix + strconv.FormatUint(s.counter.Add(1), 36)
}

func (n *Node) newServers(registry *fleet.Registry, fleetTLS, callersTLS *tls.Config) servers {
	callers := httpfront.NewServer(n.closeWhenLeaving(&httpfront.Handler{Chain: n.entry}))
	callers.TLSConfig = callersTLS
	callers.ErrorLog = zap.NewStdLog(n.log.Named("callers"))
	traffic := fleet.NewHopServer(&fleet.HopHandler{Chain: n.exitChain, Load: n.exits.load})
	traffic.TLSConfig = fleetTLS
	traffic.ErrorLog = zap.NewStdLog(n.log.Named("traffic"))
	return servers{
		callers:  callers,
		traffic:  traffic,
		operator: &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: 5 * time.Second},
		control: fleet.NewServer(fleet.ServerOptions{
			Registry: registry,
			Handler:  &peerHandler{loop: n.loop},
			Traffic:  &n.traffic,
			TLS:      fleetTLS,
			Client:   n.client,
			Resolve:  n.controlAddr,
		}),
	}
}

// controlAddr returns the control address of a host.
func (n *Node) controlAddr(host string) (string, bool) {
	addr, ok := n.loop.Snapshot().ControlAddrs[host]
	return addr, ok
}

// closeWhenLeaving asks callers of HTTP/1.1 to connect elsewhere once a planned
// stop has begun, so that few idle connections are left when the server closes.
func (n *Node) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// exitChain returns the chain of a local backend server, or the refusal of a
// process that is stopping.
func (n *Node) exitChain(backend string) (pipeline.Chain, bool) {
	if n.refusing.Load() {
		return pipeline.Chain{refuseAll{}}, true
	}
	return n.exits.chain(backend)
}

// refuseAll is the exit chain of a process that is stopping.
type refuseAll struct{}

// Name returns "stopping".
func (refuseAll) Name() string { return "stopping" }

// Handle refuses the request.
func (refuseAll) Handle(context.Context, *pipeline.Request) *pipeline.Result {
	return pipeline.Refuse(pipeline.CodeStopping, "")
}

// Listeners are the open ports of a process.
type Listeners struct {
	Callers, Traffic, Control, Operator net.Listener
}

func (n *Node) listen() (*Listeners, error) {
	l := &Listeners{}
	ports := []struct {
		addr string
		to   *net.Listener
	}{
		{n.settings.CallersAddr, &l.Callers},
		{n.settings.TrafficAddr, &l.Traffic},
		{n.settings.ControlAddr, &l.Control},
		{n.settings.OperatorAddr, &l.Operator},
	}
	for _, p := range ports {
		listener, err := net.Listen("tcp", p.addr)
		if err != nil {
			l.close()
			return nil, eris.Wrapf(err, "cannot listen on %s", p.addr)
		}
		*p.to = listener
	}
	return l, nil
}

func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Traffic, l.Control, l.Operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run listens on the addresses of the settings and serves until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	open, err := n.listen()
	if err != nil {
		return err
	}
	return n.Serve(ctx, open)
}

// Serve serves on open listeners until ctx is done and then stops gracefully. It
// returns once all running requests have ended or the stop timeout has passed.
func (n *Node) Serve(ctx context.Context, open *Listeners) error {
	// The background work outlives ctx: it is needed until the stop is complete.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.startBackground(background)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(n.servers.callers, open.Callers) })
	group.Go(func() error { return serve(n.servers.traffic, open.Traffic) })
	group.Go(func() error { return serve(n.servers.operator, open.Operator) })
	group.Go(func() error { return n.servers.control.Serve(background, open.Control) })
	group.Go(func() error {
		<-groupCtx.Done()
		defer cancel()
		return n.shutdown()
	})
	n.log.Info("serving", zap.String("zone", n.settings.Zone), zap.Stringer("callers", open.Callers.Addr()))
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) startBackground(ctx context.Context) {
	go n.loop.Run(ctx)
	go n.exits.run(ctx)
	go n.pollHosts(ctx)
}

// pollHosts reads the host list at the configured interval.
func (n *Node) pollHosts(ctx context.Context) {
	ticker := time.NewTicker(n.settings.HostsInterval)
	defer ticker.Stop()
	for {
		n.readHosts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := n.platform.Hosts.Hosts(ctx)
	if err != nil {
		n.log.Debug("host list not readable", zap.Error(err))
		return
	}
	n.loop.Post(list)
}

// shutdown is the planned stop. The process announces that it leaves and goes
// on serving for the drain time, in which peers and callers turn away; then its
// exits refuse new work as not run, which entries send elsewhere; then it waits
// for what runs.
func (n *Node) shutdown() error {
	n.log.Info("stopping: announced to peers", zap.Duration("drain", n.settings.DrainTime))
	n.leaving.Store(true)
	if err := n.loop.Submit(context.Background(), control.Stop{}); err != nil {
		return err
	}
	time.Sleep(n.settings.DrainTime)
	n.refusing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	// Callers first: their running requests may still need the exits of others,
	// and other entries still wait for answers of this process's exits.
	err := errors.Join(
		n.servers.callers.Shutdown(ctx),
		n.servers.traffic.Shutdown(ctx),
		n.servers.operator.Shutdown(ctx),
	)
	n.client.Close()
	n.hop.Close()
	if err != nil {
		return eris.Wrap(err, "requests were still running at the stop timeout")
	}
	n.log.Info("stopped: no request was cut off")
	return nil
}
