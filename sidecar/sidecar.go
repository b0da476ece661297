// Package sidecar assembles the process that runs beside one backend server on a
// platform that owns the configuration and the list of backend servers.
//
// Every process is an entry for the callers of its machine and the exit of its
// backend server:
//
//	entry: decode -> observe -> intake -> lookup -> fingerprint -> blocked -> ratelimit -> dispatch
//	exit:  decode -> blocked -> admission -> slots -> admission -> deliver
//
// control/mesh holds the control state; platform translates.
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
	"github.com/ragwortyard/ragwortyard/filters/blocked"
	"github.com/ragwortyard/ragwortyard/filters/deliver"
	"github.com/ragwortyard/ragwortyard/filters/dispatch"
	"github.com/ragwortyard/ragwortyard/filters/fingerprint"
	"github.com/ragwortyard/ragwortyard/filters/lookup"
	"github.com/ragwortyard/ragwortyard/filters/observe"
	"github.com/ragwortyard/ragwortyard/filters/ratelimit"
	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/internal/bootclock"
	"github.com/ragwortyard/ragwortyard/internal/httpconn"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

const (
	// keyMargin is taken off the time for which a key is trusted, for the way of
	// a request from the check to the backend server.
	keyMargin = 400 * time.Millisecond
	// backendIdle and backendKeep bound the idle connections to the backend
	// server, which closes them after some seconds itself.
	backendIdle = 8 * time.Second
	backendKeep = 16
	// defaultSlots is assumed until the platform lists the backend server.
	defaultSlots = 4
	// retryShare and retryExtra are the parts of the permitted retries that entries
	// use by themselves and that the fleet shares. The rest covers a second owner of
	// the shared ones for a moment, and calls whose parent is not known.
	retryShare = 0.9
	retryExtra = 0.75
	// headerLimit is larger than operators allow, so that their limit decides.
	headerLimit = 64 << 10
	// headerTime and idleTime bound connections of callers; callers reuse
	// connections that were idle for up to 12 s.
	headerTime = 5 * time.Second
	idleTime   = 60 * time.Second
	// metricsPort is the port of deploy/system.toml.
	metricsPort = "9464"
)

// Sidecar is one process.
type Sidecar struct {
	settings platform.Settings
	log      *zap.Logger
	metrics  *metrics.Set
	store    *platform.Store
	loop     *control.Loop[mesh.Snapshot]
	queue    *slots.Queue
	entry    pipeline.Chain
	exit     pipeline.Chain
	peers    *hop.Client
	outbound *outbound
	calls    callFailures
	ids      idSource
	open     atomic.Int64 // requests of callers and peers that are not answered yet
	closed   atomic.Bool  // requests of callers are refused since the process stops
	refusing atomic.Bool  // attempts are refused, too
	stopAt   atomic.Pointer[time.Time]
}

// New returns a process that is ready to run.
func New(settings platform.Settings, log *zap.Logger) *Sidecar {
	s := &Sidecar{
		settings: settings,
		log:      log.With(zap.String("node", settings.NodeName)),
		metrics:  metrics.NewSet(),
		store:    platform.NewStore(settings.StoreAddr),
		peers:    hop.NewClient(),
	}
	s.ids.prefix = strconv.FormatUint(uint64(rand.Uint32()), 36) + "-"
	s.outbound = newOutbound(s.log, portOf(settings.NoticeAddr), s.metrics)
	s.queue = slots.NewQueue(defaultSlots, s.post)
	s.loop = mesh.New(mesh.Options{
		Self: mesh.Self{
			Host: settings.IP, Zone: settings.Zone, Service: settings.Service,
			Boot: rand.Uint32(), Started: time.Now(),
		},
		KeyTrust:  settings.KeyRevocationTime - keyMargin,
		Drain:     settings.DrainTime,
		Tolerance: settings.RateTolerance,
		Retries:   mesh.Retries{Window: settings.RetryBudgetWindow, Extra: retryExtra * settings.RetryBudgetExtra},
		Load:      s.queue.Load,
		Boot:      bootclock.Now,
	}, s.outbound)
	s.entry = s.entryChain()
	s.exit = s.exitChain()
	s.registerMetrics()
	return s
}

// post hands an event to the control loop; it is dropped and counted when the
// backlog is full, and before the loop exists.
func (s *Sidecar) post(ev control.Event) bool {
	return s.loop != nil && s.loop.Post(ev)
}

func portOf(addr string) string {
	_, port, _ := net.SplitHostPort(addr) // checked with the settings
	return port
}

func hostOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr) // checked with the settings
	return host
}

func (s *Sidecar) entryChain() pipeline.Chain {
	return pipeline.Chain{
		observe.New(s.metrics),
		intake{s},
		&lookup.Filter{Snapshot: s.loop.Snapshot, Caller: s.settings.Service},
		fingerprint.Filter{},
		&blocked.Filter{Snapshot: s.loop.Snapshot},
		&ratelimit.Filter{Snapshot: s.loop.Snapshot, Submit: s.loop.Submit},
		&dispatch.Filter{
			Snapshot: s.loop.Snapshot,
			Sender:   s,
			Budgets: &dispatch.Budgets{
				Window: s.settings.RetryBudgetWindow, Share: retryShare * s.settings.RetryBudgetRatio, Submit: s.loop.Submit,
			},
			NewID:    s.ids.next,
			Repeated: s.queue.Repeated,
			Log:      s.log,
		},
	}
}

func (s *Sidecar) exitChain() pipeline.Chain {
	return pipeline.Chain{
		&blocked.Filter{Snapshot: s.loop.Snapshot},
		admission{s},
		&slots.Filter{Queue: s.queue, Original: platform.BackendCodec{}.AttemptID},
		admission{s},
		&deliver.Filter{
			Addr:    s.settings.BackendAddr,
			Codec:   platform.BackendCodec{},
			Conns:   httpconn.NewClient(httpsend.Dial, backendIdle, backendKeep),
			Observe: s.observe,
			Excused: s.calls.recent,
			Log:     s.log,
		},
	}
}

func (s *Sidecar) observe(backend string, outcome belief.Outcome) {
	s.post(mesh.Observed{Backend: backend, Outcome: outcome})
}

// admission refuses attempts that this exit must not run any more. It stands
// before and after the wait for a slot, since a backend server may leave meanwhile.
type admission struct{ sidecar *Sidecar }

// Name returns "admission".
func (admission) Name() string { return "admission" }

// Handle refuses attempts while the process stops and those for a backend server
// that leaves or has left.
func (a admission) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	if a.sidecar.refusing.Load() {
		return pipeline.Refuse(pipeline.CodeStopping, "")
	}
	snap := a.sidecar.loop.Snapshot()
	target := snap.Local[req.Backend]
	if (target != nil && target.Draining) || snap.Left[req.Backend] {
		return pipeline.Refuse(pipeline.CodeBackendLeaving, "")
	}
	return nil
}

// Do carries an attempt to the exit on a host, which may be this process.
func (s *Sidecar) Do(ctx context.Context, host string, req *pipeline.Request) hop.Answer {
	if host != s.settings.IP {
		return s.peers.Do(ctx, net.JoinHostPort(host, portOf(s.settings.PeersAddr)), req)
	}
	result := s.exit.Run(ctx, req)
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	return hop.Answer{Result: result, Reached: true}
}

// slots returns the slots of the backend server of this host.
func (s *Sidecar) slots() int {
	n := 0
	for _, target := range s.loop.Snapshot().Local {
		n = max(n, target.Slots)
	}
	if n == 0 {
		return defaultSlots
	}
	return n
}

// ended logs a request of a caller and notes failed calls of the backend server.
func (s *Sidecar) ended(req *pipeline.Request, c pipeline.Completion) {
	failed := c.Code != pipeline.CodeOK || c.Status >= http.StatusInternalServerError
	if failed && req.Principal.Team == "" {
		s.calls.note(time.Now())
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

// callFailures remembers when a call of the backend server of this host failed.
type callFailures struct{ last atomic.Int64 }

// callWindow is the time within which a failure of the backend server is put
// down to a failed call of its own: it answers at once then.
const callWindow = 100 * time.Millisecond

func (c *callFailures) note(now time.Time) { c.last.Store(now.UnixNano()) }

func (c *callFailures) recent(now time.Time) bool {
	return now.UnixNano()-c.last.Load() < int64(callWindow)
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

// ready tells whether callers should come.
func (s *Sidecar) ready() bool { return s.loop.Snapshot().Ready(bootclock.Now()) }

// Run serves until ctx is done and then stops gracefully.
func (s *Sidecar) Run(ctx context.Context, reload <-chan struct{}) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	notices, err := s.outbound.listen(s.settings.NoticeAddr)
	if err != nil {
		return err
	}
	front := s.newServer(s.counted(s.front()))
	exits := s.newServer(s.counted(&hop.Handler{Chain: s.exit, Load: s.queue.Load, Withdraw: s.queue.Withdraw, Log: s.log}))
	ready := s.newServer(platform.ReadinessHandler(s.ready))
	operator := s.newServer(s.metricsHandler())
	group, groupCtx := errgroup.WithContext(ctx)
	for addr, server := range map[string]*http.Server{
		s.settings.CallersAddr: front,
		s.settings.PeersAddr:   exits,
		s.settings.ReadinessAddr:   ready,
		net.JoinHostPort(hostOf(s.settings.ReadinessAddr), metricsPort): operator,
	} {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return eris.Wrapf(err, "cannot listen on %s", addr)
		}
		group.Go(func() error { return serve(server, listener) })
	}
	s.startBackground(background, notices, reload)
	s.log.Info("started", zap.String("zone", s.settings.Zone), zap.String("service", s.settings.Service))
	group.Go(func() error {
		<-groupCtx.Done()
		defer cancel()
		s.shutdown(front, exits)
		return errors.Join(ready.Close(), operator.Close())
	})
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Sidecar) startBackground(ctx context.Context, notices *net.UDPConn, reload <-chan struct{}) {
	follower := platform.NewFollower(s.store, func() bool { return s.loop.Snapshot().Reading }, s.loop.Submit, s.log)
	s.outbound.wake = follower.Wake
	go s.loop.Run(ctx)
	go s.queue.Run(ctx, s.slots)
	go s.outbound.run(ctx)
	go receive(ctx, notices, s.loop, s.log)
	go follower.FollowConfig(ctx)
	go follower.FollowServers(ctx)
	go s.followSettings(ctx, reload)
}

func (s *Sidecar) front() http.Handler {
	return &platform.CallerHandler{
		Chain: s.entry,
		NewID: s.ids.next,
		BodyLimit: func() int64 {
			if table := s.loop.Snapshot().Table; table != nil {
				return table.Limits().BodyBytes
			}
			return 0
		},
		Closing: func() bool { return s.loop.Snapshot().Stopping },
		OnResult:   s.ended,
		Log:     s.log,
	}
}

func (s *Sidecar) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    headerLimit,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		ErrorLog:          zap.NewStdLog(s.log.Named("http")),
	}
}

// counted counts the requests that are not answered yet.
func (s *Sidecar) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		next.ServeHTTP(w, r)
	})
}
