package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/decide/teamrate"
	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
	"github.com/ragwortyard/ragwortyard/internal/fakestore"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Ports of every host; hosts differ in their IP numbers.
const (
	portCallers = "18106"
	portPeers   = "18109"
	portReady   = "18100"
	portNotices = "18140"
	portServer  = "18103"
	portStore   = "18102"
)

// The platform of a run.
const (
	teams          = 3
	zones          = 3
	serverSlots    = 6
	serverWork     = 60 * time.Millisecond
	heartbeat      = 500 * time.Millisecond
	routeHost      = "soak.example"
	pathOnce       = "/book/"
	pathRepeatable = "/read/"
	serviceA       = "roster"
	serviceB       = "bookings"
)

// world is the platform of one run with its hosts.
type world struct {
	ledger *ledger
	store  *fakestore.Store
	server *http.Server  // of the store
	served chan struct{} // closed once its listener is released
	grams  *datagrams
	hosts  []*host

	mu   sync.Mutex
	doc  routing.Config
	keys int // grows with each key that is withdrawn
}

// host is one machine: a backend server, the process beside it, and the proxies.
type host struct {
	index   int
	callers string // address for callers
	process *process
	backend *fakebackend.Backend
	link    *proxy // of peers to the process
	toStore *proxy

	serverAddr string // of the backend server

	mu       sync.Mutex
	entry    mesh.Server
	starts   int
	sequence uint64
	away     bool // the server writes no heartbeats
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// keyName returns the key of a team after a number of withdrawals.
func keyName(team, withdrawals int) string { return fmt.Sprintf("key-%d-%d", team, withdrawals) }

// key returns the newest key of a team.
func (w *world) key(team int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return keyName(team, w.keysOf(team))
}

// oldKey returns the key of a team before the newest.
func (w *world) oldKey(team int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return keyName(team, max(w.keysOf(team)-1, 0))
}

// keysOf returns how many keys of a team were withdrawn: they take turns.
func (w *world) keysOf(team int) int { return (w.keys + teams - 1 - team) / teams }

// newWorld starts the platform and the processes. block is the second part of all
// IP numbers, so that runs do not meet.
func newWorld(ctx context.Context, o Options, seed uint64, block int, dir string) (*world, error) {
	w := &world{ledger: newLedger(), store: fakestore.NewStore()}
	ip := func(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", block, net, host+1) }
	listener, err := listen(net.JoinHostPort(ip(2, 0), portStore))
	if err != nil {
		return nil, err
	}
	w.server, w.served = &http.Server{Handler: w.store}, make(chan struct{})
	go func() {
		defer close(w.served)
		_ = w.server.Serve(listener)
	}()
	w.publish(func(*routing.Config) {})
	var public, private []string
	for i := range o.Hosts {
		public = append(public, net.JoinHostPort(ip(1, i), portNotices))
		private = append(private, net.JoinHostPort(ip(0, i), portNotices))
	}
	if w.grams, err = newDatagrams(public, private); err != nil {
		return w, err
	}
	w.grams.start()
	for i := range o.Hosts {
		h, err := w.newHost(o, seed, i, ip(0, i), ip(1, i), net.JoinHostPort(ip(3, i), portStore), listener.Addr().String(), dir)
		if h != nil {
			w.hosts = append(w.hosts, h)
		}
		if err != nil {
			return w, err
		}
		go w.heartbeats(ctx, h)
	}
	return w, nil
}

func (w *world) newHost(o Options, seed uint64, i int, private, public, toStore, store, dir string) (*host, error) {
	service := serviceA
	if i%2 == 1 {
		service = serviceB
	}
	zone := fmt.Sprintf("zone-%d", i%zones)
	h := &host{index: i, callers: net.JoinHostPort(private, portCallers)}
	var err error
	if h.link, err = newProxy(net.JoinHostPort(public, portPeers), net.JoinHostPort(private, portPeers)); err != nil {
		return nil, err
	}
	if h.toStore, err = newProxy(toStore, store); err != nil {
		return h, err
	}
	h.backend = fakebackend.NewBackend(seed+uint64(i), serverSlots, serverWork, w.ledger.ran)
	h.entry = mesh.Server{Service: service, Zone: zone, Addr: net.JoinHostPort(public, portServer), Slots: serverSlots}
	h.serverAddr = net.JoinHostPort(private, portServer)
	if err := h.startServer(); err != nil {
		return h, err
	}
	settings := platform.Settings{
		NodeName: fmt.Sprintf("host-%d", i), IP: public, Zone: zone, Service: service,
		CallersAddr: h.callers, PeersAddr: net.JoinHostPort(private, portPeers), DatagramAddr: net.JoinHostPort(private, portNotices),
		ReadinessAddr: net.JoinHostPort(private, portReady), BackendAddr: net.JoinHostPort(private, portServer), StoreAddr: toStore,
		KeyRevocationTime: keyDeadline, DrainTime: drainTime, StopTimeout: graceTime,
		RetryBudgetRatio: 0.2, RetryBudgetExtra: 60, RetryBudgetWindow: 10 * time.Second,
		RateTolerance: teamrate.Tolerance{Window: 5 * time.Second, ExcessRatio: 0.25, SlackTokens: 20},
	}
	data, err := platform.EncodeSettings(&settings)
	if err != nil {
		return h, err
	}
	path := filepath.Join(dir, settings.NodeName+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return h, err
	}
	log, err := os.Create(filepath.Join(dir, settings.NodeName+".log"))
	if err != nil {
		return h, err
	}
	h.process = &process{binary: o.Binary, settings: path, log: log}
	return h, h.process.start()
}

// startServer starts the backend server under a new identifier.
func (h *host) startServer() error {
	listener, err := listen(h.serverAddr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.entry.ID = fmt.Sprintf("i-%d-%d", h.index, h.starts)
	h.entry.StartUnixMS = time.Now().UnixMilli()
	h.entry.Draining = false
	h.away = false
	h.backend.Serve(h.entry.ID, listener)
	return nil
}

// heartbeats writes the entry of the backend server until ctx is done.
func (w *world) heartbeats(ctx context.Context, h *host) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.register(h)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// register writes the entry of the server of a host, if it has one.
func (w *world) register(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.away {
		return
	}
	h.sequence++
	data, err := platform.EncodeServer(&h.entry, h.sequence)
	if err == nil {
		w.store.Put(platform.ServerKey(h.entry.ID), string(data))
	}
}

// publish writes the next version of the configuration.
func (w *world) publish(change func(*routing.Config)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.doc.Version == 0 {
		w.doc = firstDocument()
	}
	w.doc.Version += 3
	w.doc.Teams = nil
	for i := range teams {
		// The rate is far above what callers send: quota is not judged here.
		w.doc.Teams = append(w.doc.Teams, routing.Team{Name: teamName(i), Keys: []string{keyName(i, w.keysOf(i))}, Rate: 10_000, Burst: 10_000})
	}
	w.doc.RequireKeys = true
	change(&w.doc)
	data, err := platform.EncodeConfig(&w.doc)
	if err == nil {
		w.store.Put(platform.ConfigKey, string(data))
	}
}

func firstDocument() routing.Config {
	route := func(name, prefix, service string, idempotent bool) routing.Route {
		return routing.Route{
			Name: name, Host: routeHost, Prefix: prefix, WeightedServices: []routing.WeightedService{{Service: service, Weight: 1}}, Idempotent: idempotent,
			Timeout: callDeadline, TargetLatency: time.Second, MaxAttempts: 3,
		}
	}
	return routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: serviceA, HealthPath: "/health", MaxConnections: 300}, {Name: serviceB, HealthPath: "/health", MaxConnections: 300}},
		Limits:   routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:   []routing.Route{route("once", pathOnce, serviceB, false), route("repeatable", pathRepeatable, serviceA, true)},
	}
}

// withdrawKey takes the oldest key of the next team away and gives it another.
func (w *world) withdrawKey() {
	w.mu.Lock()
	team := w.keys % teams
	old := keyName(team, w.keysOf(team))
	w.keys++
	w.mu.Unlock()
	w.publish(func(*routing.Config) {})
	w.ledger.mu.Lock()
	w.ledger.withdrawn[old] = time.Now()
	w.ledger.mu.Unlock()
}

// close ends everything that the run started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.close()
	}
	if w.grams != nil {
		w.grams.close()
	}
	_ = w.server.Close()
	<-w.served
}

// close ends a host, also one that was started in part.
func (h *host) close() {
	if h.process != nil {
		h.process.stop()
		_ = h.process.log.Close()
	}
	if h.backend != nil {
		h.backend.Close()
	}
	h.link.close()
	if h.toStore != nil {
		h.toStore.close()
	}
}
