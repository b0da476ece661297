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
	"github.com/ragwortyard/ragwortyard/internal/httpdrain"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Platform holds the readers of the platform's configuration service and host list.
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
	settings       Settings
	log            *zap.Logger
	platform       Platform
	metrics        *metrics.Set
	controlStats   fleet.ControlStats
	loop           *control.Loop[control.Snapshot]
	client         *fleet.Client    // for control messages
	hopClient      *fleet.HopClient // for requests to exit proxies
	configSource   *configSource
	exitProxies    *exitTable
	healthClient   *http.Client // for health endpoints
	entryChain     pipeline.Chain
	policies       *control.RetryPolicies
	tokenCaches    *control.TokenCacheTable
	ids            idGenerator
	refusingWork   atomic.Bool // exit chains refuse new requests; set after the drain time of a planned stop
	leaving        atomic.Bool // answers to callers close the connection; set at the start of a planned stop
	servers        servers
	endRequests    func() // ends the running requests of callers, with an answer
	directFailures directFailures
}

// servers are the servers of a process, one for each listener.
type servers struct {
	callers, traffic, operator *httpdrain.Server
	control                    *fleet.Server
}

// New returns a Node that has not started yet. The settings must be valid.
func New(settings Settings, platform Platform, log *zap.Logger) (*Node, error) {
	fleetTLS, err := loadFleetTLS(settings)
	if err != nil {
		return nil, err
	}
	callersTLS, err := loadCallersTLS(settings)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:     settings,
		log:          log.With(zap.String("host", settings.ID)),
		platform:     platform,
		metrics:      metrics.NewSet(),
		policies:     &control.RetryPolicies{},
		tokenCaches:  &control.TokenCacheTable{},
		configSource: newConfigSource(platform.Config),
		healthClient: newSourceClient(),
	}
	n.ids.prefix = strconv.FormatUint(rand.Uint64(), 36) + "-"
	registry := newRegistry()
	n.client = fleet.NewClient(settings.ID, registry, &n.controlStats, fleetTLS.client())
	n.hopClient = fleet.NewHopClient(fleetTLS.client())
	n.exitProxies = newExitTable(n)
	n.loop = control.New(n.controlOptions(), newOutbound(n))
	n.entryChain = n.newEntryChain()
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
		TokenCaches:       n.tokenCaches,
		LedgerWindow:      n.settings.LedgerWindow,
	}
}

func (n *Node) newEntryChain() pipeline.Chain {
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
			Sender:      n.hopClient,
			Policies:    n.policies,
			ObservePath: func(o path.Observation) { n.loop.Post(control.PathObserved{Observation: o}) },
			NewID:       n.ids.next,
		},
	}
}

// idGenerator generates identifiers that are unique in the fleet: a random prefix chosen
// at process start, followed by a counter.
type idGenerator struct {
	prefix  string
	counter atomic.Uint64
}

func (g *idGenerator) next() string {
	return g.prefix + strconv.FormatUint(g.counter.Add(1), 36)
}

func (n *Node) newServers(registry *fleet.Registry, fleetTLS, callersTLS *tls.Config) servers {
	requests, cancel := context.WithCancelCause(context.Background())
	n.endRequests = func() { cancel(httpfront.ErrStopping) }
	callers := httpfront.NewServer(requests, n.closeWhenLeaving(&httpfront.Handler{Chain: n.entryChain}))
	callers.TLSConfig = callersTLS
	callers.ErrorLog = zap.NewStdLog(n.log.Named("callers"))
	traffic := fleet.NewHopServer(&fleet.HopHandler{Chain: n.exitChain, Load: n.exitProxies.load})
	traffic.TLSConfig = fleetTLS
	traffic.ErrorLog = zap.NewStdLog(n.log.Named("traffic"))
	return servers{
		callers:  httpdrain.NewServer(callers),
		traffic:  httpdrain.NewServer(traffic),
		operator: httpdrain.NewServer(&http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: 5 * time.Second}),
		control: fleet.NewServer(fleet.ServerOptions{
			Registry: registry,
			Handler:  &peerHandler{loop: n.loop},
			Stats:    &n.controlStats,
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

// closeWhenLeaving sets "Connection: close" once a planned stop has begun, so that
// HTTP/1.1 callers reconnect to other processes and few idle connections remain when the
// server shuts down.
func (n *Node) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// exitChain returns the exit chain of a local backend server, or a chain that refuses
// all requests if the process is stopping.
func (n *Node) exitChain(backend string) (pipeline.Chain, bool) {
	if n.refusingWork.Load() {
		return pipeline.Chain{refuseAll{}}, true
	}
	return n.exitProxies.chain(backend)
}

// refuseAll is a filter that refuses all requests. It replaces the exit chains of a
// process that is stopping.
type refuseAll struct{}

// Name returns "stopping".
func (refuseAll) Name() string { return "stopping" }

// Handle refuses the request.
func (refuseAll) Handle(context.Context, *pipeline.Request) *pipeline.Result {
	return pipeline.Refuse(pipeline.CodeStopping, "")
}

// Listeners are the open listeners of a process.
type Listeners struct {
	Callers, Traffic, Control, Operator net.Listener
}

func (n *Node) listen() (*Listeners, error) {
	l := &Listeners{}
	ports := []struct {
		addr string
		dst  *net.Listener
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
		*p.dst = listener
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

// Run opens the listeners of the settings and serves until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	return n.Serve(ctx, listeners)
}

// Serve serves on the listeners until ctx is done and then stops gracefully. It returns
// when all running requests have ended or the stop timeout has passed.
func (n *Node) Serve(ctx context.Context, listeners *Listeners) error {
	// The background goroutines must run until the graceful stop is complete, so they
	// are not canceled with ctx.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.startBackground(background)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(n.servers.callers, listeners.Callers) })
	group.Go(func() error { return serve(n.servers.traffic, listeners.Traffic) })
	group.Go(func() error { return serve(n.servers.operator, listeners.Operator) })
	group.Go(func() error { return n.servers.control.Serve(background, listeners.Control) })
	group.Go(func() error {
		<-groupCtx.Done()
		defer cancel()
		return n.shutdown()
	})
	n.log.Info("serving", zap.String("zone", n.settings.Zone), zap.Stringer("callers", listeners.Callers.Addr()))
	return group.Wait()
}

func serve(server *httpdrain.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener)
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
	go n.exitProxies.run(ctx)
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
	ctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	list, err := n.platform.Hosts.Hosts(ctx)
	if err != nil {
		n.log.Debug("cannot read the host list", zap.Error(err))
		return
	}
	n.loop.Post(list)
}

// maxAnswerTime is the time before the stop timeout that is reserved for answering the
// requests that are still under way.
const maxAnswerTime = time.Second

// shutdown performs a planned stop. The process first announces to its peers that it is
// leaving and keeps serving for the drain time, while peers and callers move to other
// processes. Then its exit chains refuse new requests as not run, so that entry proxies
// send them elsewhere. Finally it waits for running requests, at most the stop timeout.
// Shortly before the timeout it ends what is still under way, so that callers get an
// answer: the attempts that wait for a slot here are refused, and requests of callers end
// with an unknown outcome.
func (n *Node) shutdown() error {
	n.log.Info("stopping; announcing it to peers", zap.Duration("drain", n.settings.DrainTime))
	n.leaving.Store(true)
	if err := n.loop.Submit(context.Background(), control.Stop{}); err != nil {
		return err
	}
	time.Sleep(n.settings.DrainTime)
	n.refusingWork.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	end := time.AfterFunc(n.settings.StopTimeout-min(maxAnswerTime, n.settings.StopTimeout/2), func() {
		n.log.Warn("ending the requests that are still under way", zap.Duration("stop_timeout", n.settings.StopTimeout))
		n.endRequests()
		n.exitProxies.stop()
	})
	defer end.Stop()
	// The callers' server is shut down first: its running requests may still need exit
	// proxies of other processes. Entry proxies of other processes still wait for answers
	// of this process's exit proxies.
	err := errors.Join(
		n.servers.callers.Shutdown(ctx),
		n.servers.traffic.Shutdown(ctx),
		n.servers.operator.Shutdown(ctx),
	)
	n.client.Close()
	n.hopClient.Close()
	if err != nil {
		return eris.Wrap(err, "stop timeout passed with requests still running")
	}
	n.log.Info("stopped; all running requests completed")
	return nil
}
