// Package sidecar assembles the proxy process that runs next to one backend server, on
// a platform that manages the configuration and the list of backend servers.
//
// Each process is the entry proxy for the callers on its host and the exit proxy of
// its backend server:
//
//	entry: decode -> observe -> intake -> lookup -> continuation -> fingerprint -> blocked -> ratelimit -> dispatch
//	exit:  decode -> blocked -> admission -> slots -> admission -> deliver
//
// Package control/mesh holds the control state. Package platform converts the
// platform's requests, answers, settings and store entries.
package sidecar

import (
	"context"
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
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/decide/shutdown"
	"github.com/ragwortyard/ragwortyard/filters/blocked"
	"github.com/ragwortyard/ragwortyard/filters/continuation"
	"github.com/ragwortyard/ragwortyard/filters/deliver"
	"github.com/ragwortyard/ragwortyard/filters/dispatch"
	"github.com/ragwortyard/ragwortyard/filters/fingerprint"
	"github.com/ragwortyard/ragwortyard/filters/lookup"
	"github.com/ragwortyard/ragwortyard/filters/observe"
	"github.com/ragwortyard/ragwortyard/filters/ratelimit"
	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/internal/bootclock"
	"github.com/ragwortyard/ragwortyard/internal/httpahead"
	"github.com/ragwortyard/ragwortyard/internal/httpconn"
	"github.com/ragwortyard/ragwortyard/internal/httpdrain"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

const (
	// keyTrustMargin is subtracted from the time for which an API key is trusted. It
	// allows for the time between the check of a request and its arrival at the backend
	// server.
	keyTrustMargin = 400 * time.Millisecond
	// backendIdleTimeout and maxIdleBackendConns limit the idle connections to the
	// backend server, which closes them itself after some seconds.
	backendIdleTimeout  = 8 * time.Second
	maxIdleBackendConns = 16
	// largeBodyMemoryDivisor is the share of the memory, as a divisor, for large answers
	// that are being read from the backend server, and the same again for those from
	// peers. The garbage collector lets the heap grow to twice of what is in use.
	largeBodyMemoryDivisor = 8
	// defaultSlots is the number of slots until the platform lists the backend server.
	defaultSlots = 4
	// localRetryFraction is the fraction of Settings.RetryBudgetRatio that entry proxies
	// use on their own, sharedRetryFraction that of Settings.RetryBudgetExtra that the
	// fleet shares. The remainder of the ratio covers the short times in which the shared
	// retries of a service have two owners, and calls whose parent request is unknown; that
	// of the fixed number is for calls of retried requests.
	localRetryFraction  = 0.9
	sharedRetryFraction = 0.75
	// maxHeaderBytes is larger than any limit that operators may configure, so that the
	// configured limit takes effect.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout and callerIdleTimeout limit the servers' connections. Callers
	// reuse connections that were idle for up to 12 s.
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxRequestsAhead and the bounds in bytes limit the requests that callers send ahead on
	// a connection. A request above maxRequestAheadBytes waits for its turn. An answer of the
	// usual size, times maxRequestsAhead, fits into maxConnAheadBytes.
	maxRequestsAhead     = 16
	maxRequestAheadBytes = 16 << 10
	maxConnAheadBytes    = 1 << 20
	// aheadMemoryDivisor is the share of the memory, as a divisor, for requests that run
	// ahead and their answers.
	aheadMemoryDivisor = 16
	// metricsPort must match deploy/system.toml.
	metricsPort = "9464"
)

// Sidecar is the proxy process next to one backend server.
type Sidecar struct {
	settings         platform.Settings
	log              *zap.Logger
	metrics          *metrics.Set
	store            *platform.Store
	loop             *control.Loop[mesh.Snapshot]
	queue            *slots.Queue
	lookup           *lookup.Filter
	dispatch         *dispatch.Filter
	entry            pipeline.Chain
	exit             pipeline.Chain
	peers            *hop.Client
	commands         *commandExecutor
	callFailures     callFailures
	ids              idGenerator
	openRequests     atomic.Int64 // requests from callers and peers that are not answered yet
	refusingAttempts atomic.Bool  // attempts are refused because the process is stopping
	stop             plannedStop
	ahead            *httpahead.Layer // of callers' connections
	// evacuationRefusals counts attempts that were refused because their backend server is
	// in an evacuated availability zone, besides those that the queue refused.
	evacuationRefusals atomic.Uint64
}

// New returns a Sidecar that is ready to run.
func New(settings platform.Settings, log *zap.Logger) *Sidecar {
	s := &Sidecar{
		settings: settings,
		log:      log.With(zap.String("node", settings.NodeName)),
		metrics:  metrics.NewSet(),
		peers:    hop.NewClient(settings.MemoryBytes / largeBodyMemoryDivisor),
		stop:     plannedStop{began: make(chan struct{})},
	}
	s.store = platform.NewStore(settings.StoreAddr, s.metrics)
	s.ids.prefix = strconv.FormatUint(uint64(rand.Uint32()), 36) + "-"
	s.commands = newCommandExecutor(s.log, portOf(settings.DatagramAddr), s.metrics)
	s.queue = slots.NewQueue(defaultSlots, s.post)
	s.queue.SetLog(s.log)
	s.commands.refreshQueue = s.queue.Refresh
	s.loop = mesh.New(mesh.Options{
		Identity: mesh.Identity{
			Host: settings.IP, Zone: settings.Zone, Service: settings.Service,
			BootID: rand.Uint32(), StartedAt: time.Now(),
		},
		FirstStart:        settings.FirstStart,
		KeyTrustDuration:  settings.KeyRevocationTime - keyTrustMargin,
		DrainTime:         settings.DrainTime,
		FollowEvacuations: settings.EvacuationTime > 0,
		Tolerance:         settings.RateTolerance,
		SharedRetries:     mesh.SharedRetries{Window: settings.RetryBudgetWindow, MaxPerWindow: sharedRetryFraction * settings.RetryBudgetExtra, CallOverdraft: (1 - sharedRetryFraction) * settings.RetryBudgetExtra},
		Load:              s.queue.Load,
		BootClock:         bootclock.Now,
	}, s.commands)
	s.entry = s.entryChain()
	s.exit = s.exitChain()
	s.ahead = httpahead.New(httpahead.Options{
		MayRunAhead: s.mayRunAhead, MaxRequests: maxRequestsAhead, MaxRequestBytes: maxRequestAheadBytes,
		MaxConnBytes: maxConnAheadBytes, MaxBytes: settings.MemoryBytes / aheadMemoryDivisor,
	})
	s.registerMetrics()
	return s
}

// post passes an event to the control loop. It returns false if the event is dropped
// because the loop's queue is full or the loop does not exist yet.
func (s *Sidecar) post(ev control.Event) bool {
	return s.loop != nil && s.loop.Post(ev)
}

func portOf(addr string) string {
	_, port, _ := net.SplitHostPort(addr) // validated with the settings
	return port
}

func hostOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr) // validated with the settings
	return host
}

func (s *Sidecar) entryChain() pipeline.Chain {
	s.lookup = &lookup.Filter{Snapshot: s.loop.Snapshot, CallerService: s.settings.Service}
	s.dispatch = s.newDispatch()
	return pipeline.Chain{
		observe.New(s.metrics),
		intake{s},
		s.lookup,
		continuation.New(),
		fingerprint.Filter{},
		&blocked.Filter{Snapshot: s.loop.Snapshot},
		&ratelimit.Filter{Snapshot: s.loop.Snapshot, Submit: s.loop.Submit, Metrics: s.metrics},
		s.dispatch,
	}
}

func (s *Sidecar) newDispatch() *dispatch.Filter {
	return &dispatch.Filter{
		Snapshot: s.loop.Snapshot,
		Zone:     s.settings.Zone,
		Sender:   s,
		Budgets: &dispatch.RetryBudgets{
			Window: s.settings.RetryBudgetWindow, RetriesPerRequest: localRetryFraction * s.settings.RetryBudgetRatio, Submit: s.loop.Submit,
		},
		NewID:               s.ids.next,
		RetryProbability:    s.queue.RetryProbability,
		StopBegan:           s.stop.began,
		StopSchedule:        func() shutdown.Schedule { return s.stop.schedule },
		AttemptsInZone:      s.metrics.NewCounter(`ragwortyard_attempts_total{zone="own"}`),
		AttemptsLeavingZone: s.metrics.NewCounter(`ragwortyard_attempts_total{zone="other"}`),
		EvacuationRefusals:  s.metrics.NewCounter("ragwortyard_evacuation_refused_requests_total"),
		Log:                 s.log,
	}
}

func (s *Sidecar) exitChain() pipeline.Chain {
	return pipeline.Chain{
		&blocked.Filter{Snapshot: s.loop.Snapshot},
		admission{s},
		&slots.Filter{Queue: s.queue, OriginalID: platform.BackendCodec{}.AttemptID, Log: s.log},
		admission{s},
		&deliver.Filter{
			Addr:  s.settings.BackendAddr,
			Codec: platform.BackendCodec{},
			Conns: httpconn.NewClient(httpconn.Options{
				Dial: httpsend.Dial, MaxIdle: backendIdleTimeout, MaxIdlePerAddr: maxIdleBackendConns,
				MaxLargeBodyBytes: s.settings.MemoryBytes / largeBodyMemoryDivisor,
			}),
			Observe:          s.observe,
			ObserveLimit:     s.queue.ObserveLimit,
			ObserveLeaving:   s.observeLeaving,
			DependencyFailed: s.callFailures.recent,
			Log:              s.log,
		},
	}
}

// observe passes the outcome of an attempt on a backend server to the control loop.
func (s *Sidecar) observe(backend string, outcome belief.Outcome) {
	s.post(mesh.OutcomeObserved{Backend: backend, Outcome: outcome})
}

// observeLeaving records that a backend server said in an answer that it is leaving.
func (s *Sidecar) observeLeaving(backend string) {
	target := s.loop.Snapshot().Local[backend]
	if target != nil && target.Live.MarkLeaving() {
		s.log.Info("backend server says that it is leaving", zap.String("backend", backend))
		s.post(mesh.ServerLeaving{})
	}
}

// load returns the load of the backend server of this host.
func (s *Sidecar) load() pipeline.Load {
	load := s.queue.Load()
	for _, target := range s.loop.Snapshot().Local {
		load.Leaving = load.Leaving || target.Live.Leaving()
	}
	return load
}

// admission is a filter that refuses attempts that this exit proxy must no longer run.
// It is placed before and after the wait for a slot, because the backend server may
// leave during the wait.
type admission struct{ sidecar *Sidecar }

// Name returns "admission".
func (admission) Name() string { return "admission" }

// Handle refuses attempts while the process stops or does not know the rate that its backend
// server accepts while it is cold, and attempts for a backend server
// that is leaving, has left or is in an evacuated availability zone.
func (a admission) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	if a.sidecar.refusingAttempts.Load() {
		return pipeline.Refuse(pipeline.CodeStopping, "")
	}
	snap := a.sidecar.loop.Snapshot()
	if snap.Table == nil && a.sidecar.settings.ColdServersLimited {
		return pipeline.Refuse(pipeline.CodeNotReady, "") // the backend server may be cold, and its rate is not known
	}
	target := snap.Local[req.Backend]
	if (target != nil && (target.Draining || target.Live.Leaving())) || snap.Delisted[req.Backend] {
		return pipeline.Refuse(pipeline.CodeBackendLeaving, "")
	}
	if snap.Evacuated[a.sidecar.settings.Zone] || (target != nil && target.Evacuated) {
		a.sidecar.evacuationRefusals.Add(1)
		return pipeline.Refuse(pipeline.CodeZoneEvacuated, "")
	}
	return nil
}

// Do sends an attempt to the exit proxy on a host. If host is this one, it runs the
// exit chain directly.
func (s *Sidecar) Do(ctx context.Context, host string, req *pipeline.Request) hop.Answer {
	if host != s.settings.IP {
		return s.peers.Do(ctx, net.JoinHostPort(host, portOf(s.settings.PeersAddr)), req)
	}
	result := s.exit.Run(ctx, req)
	if result.Fault != "" {
		s.log.Error("attempt ended by a fault", zap.String("attempt", req.ID), zap.String("fault", result.Fault))
	}
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	return hop.Answer{Result: result, Reached: true}
}

// Withdraw asks the exit proxy on a host not to run an attempt. If host is this one, it
// asks the queue directly.
func (s *Sidecar) Withdraw(ctx context.Context, host, attemptID string, sent time.Time) hop.WithdrawResult {
	switch {
	case host != s.settings.IP:
		return s.peers.Withdraw(ctx, net.JoinHostPort(host, portOf(s.settings.PeersAddr)), attemptID, sent)
	case s.queue.Withdraw(ctx, attemptID, time.Since(sent)):
		return hop.Withdrawn
	}
	return hop.NotWithdrawn
}

// backend returns the state of this host's backend server.
func (s *Sidecar) backend() slots.Backend {
	snap := s.loop.Snapshot()
	b := slots.Backend{Evacuated: snap.Evacuated[s.settings.Zone]}
	service := s.settings.Service
	for _, target := range snap.Local {
		service = target.Service
		b.Slots = max(b.Slots, target.Slots)
		b.Evacuated = b.Evacuated || target.Evacuated
		if target.WarmUpUntil.After(b.WarmUpUntil) {
			b.WarmUpUntil = target.WarmUpUntil
		}
	}
	if b.Slots == 0 {
		b.Slots = defaultSlots
	}
	if snap.Table != nil {
		b.WarmUpTime, b.WarmUpRate = snap.Table.WarmUp(service)
	}
	return b
}

// requestEnded logs a completed request from a caller and records failed calls made by
// the backend server.
func (s *Sidecar) requestEnded(req *pipeline.Request, c pipeline.Completion) {
	failed := c.Code != pipeline.CodeOK || c.Status >= http.StatusInternalServerError
	if failed && req.Principal.Team == "" {
		s.callFailures.record(time.Now())
	}
	table := s.loop.Snapshot().Table
	var version uint64
	if table != nil {
		version = table.Version()
	}
	s.log.Info("request ended",
		zap.String("request", req.ID), zap.String("route", req.Route), zap.String("service", req.Service),
		zap.String("team", req.Principal.Team), zap.Stringer("code", c.Code), zap.Int("status", c.Status),
		zap.Int64("took_ms", c.Duration.Milliseconds()), zap.Uint64("config", version))
}

// callFailures records when a call made by this host's backend server last failed, in
// Unix nanoseconds.
type callFailures struct{ last atomic.Int64 }

// callFailureWindow is how long after a failed call a failure of the backend server is
// attributed to that call. A backend server answers immediately when its call fails.
const callFailureWindow = 100 * time.Millisecond

func (c *callFailures) record(now time.Time) { c.last.Store(now.UnixNano()) }

// recent reports whether a call failed within callFailureWindow before now.
func (c *callFailures) recent(now time.Time) bool {
	return now.UnixNano()-c.last.Load() < int64(callFailureWindow)
}

// idGenerator generates identifiers that are unique in the fleet. They consist of a
// prefix, chosen at random at each start, and a counter.
type idGenerator struct {
	prefix  string
	counter atomic.Uint64
}

func (g *idGenerator) next() string {
	return g.prefix + strconv.FormatUint(g.counter.Add(1), 36)
}

// ready reports whether the process is ready for callers' requests.
func (s *Sidecar) ready() bool { return s.loop.Snapshot().Ready(bootclock.Now()) }

// Run serves requests until ctx is done and then stops gracefully. Each value from
// reload causes a reload of the settings.
func (s *Sidecar) Run(ctx context.Context, reload <-chan struct{}) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	datagrams, err := s.commands.listen(s.settings.DatagramAddr)
	if err != nil {
		return err
	}
	callers := s.newServer(s.countOpenRequests(s.callerHandler()))
	peers := s.newServer(s.countOpenRequests(&hop.Handler{Chain: s.exit, Load: s.load, Withdraw: s.queue.Withdraw, Documents: s.documents(), Log: s.log}))
	ready := s.newServer(platform.ReadinessHandler(s.ready))
	operator := s.newServer(s.operatorHandler())
	group, groupCtx := errgroup.WithContext(ctx)
	for addr, server := range map[string]*httpdrain.Server{
		s.settings.CallersAddr:   callers,
		s.settings.PeersAddr:     peers,
		s.settings.ReadinessAddr: ready,
		net.JoinHostPort(hostOf(s.settings.ReadinessAddr), metricsPort): operator,
	} {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return eris.Wrapf(err, "cannot listen on %s", addr)
		}
		if server == callers {
			group.Go(func() error { return ignoreClosed(s.ahead.Serve(callers, listener)) })
			continue
		}
		group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	}
	s.startBackground(background, datagrams, reload)
	s.log.Info("started", zap.String("zone", s.settings.Zone), zap.String("service", s.settings.Service))
	group.Go(func() error {
		<-groupCtx.Done()
		defer cancel()
		s.shutdown(callers, peers)
		return errors.Join(ready.Close(), operator.Close())
	})
	return group.Wait()
}

// ignoreClosed returns nil for the error of a server that was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Sidecar) startBackground(ctx context.Context, datagrams *net.UDPConn, reload <-chan struct{}) {
	follower := platform.NewFollower(s.store, func() bool { return s.loop.Snapshot().StoreReader }, s.loop.Submit, s.log)
	if s.settings.EvacuationTime > 0 {
		follower.FollowEvacuations(s.settings.Zones)
	}
	s.commands.wakeFollower = follower.Wake
	fetcher := newPeerFetcher(s.fetchFromPeer, s.loop.Submit, s.log)
	s.commands.fetchConfig, s.commands.fetchServers = fetcher.requestConfig, fetcher.requestServers
	go fetcher.run(ctx)
	go s.loop.Run(ctx)
	go s.queue.Run(ctx, s.backend)
	go s.commands.run(ctx)
	go receive(ctx, datagrams, s.loop, s.log)
	go follower.FollowConfig(ctx)
	go follower.FollowServers(ctx)
	go s.followSettings(ctx, reload)
}

// callerHandler returns the handler for callers' requests.
func (s *Sidecar) callerHandler() http.Handler {
	return &platform.CallerHandler{
		Chain: s.entry,
		NewID: s.ids.next,
		BodyLimit: func() int64 {
			if table := s.loop.Snapshot().Table; table != nil {
				return table.Limits().BodyBytes
			}
			return 0
		},
		Closing:  func(r *http.Request) bool { return s.loop.Snapshot().Stopping && httpdrain.EndAfterAnswer(r) },
		Arrived:  httpdrain.Arrived,
		OnResult: s.requestEnded,
		Log:      s.log,
	}
}

// mayRunAhead reports whether a request that a caller sent ahead may run before the earlier
// ones on its connection are answered. Such a request is canceled if an earlier answer
// closes the connection, and the caller sends it again.
func (s *Sidecar) mayRunAhead(r *http.Request) bool {
	if s.stop.hasBegun() {
		return false
	}
	table := s.loop.Snapshot().Table
	if table == nil {
		return false
	}
	route, ok := table.Match(r.Host, r.URL.EscapedPath())
	return ok && route.Idempotent
}

func (s *Sidecar) newServer(handler http.Handler) *httpdrain.Server {
	return httpdrain.NewServer(&http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          zap.NewStdLog(s.log.Named("http")),
	})
}

// countOpenRequests wraps a handler and counts the requests that it has not answered
// yet.
func (s *Sidecar) countOpenRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.openRequests.Add(1)
		defer s.openRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}
