package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
	"github.com/ragwortyard/ragwortyard/internal/fakestore"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Ports of every host; hosts differ in their IP addresses.
const (
	portCallers   = "18106"
	portPeers     = "18109"
	portReadiness = "18100"
	portDatagrams = "18140"
	portServer    = "18103"
	portStore     = "18102"
)

// The fleet of a run and its workload.
const (
	teamCount         = 3
	zoneCount         = 3
	serverSlots       = 6
	meanServiceTime   = 60 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	routeHost         = "soak.example"
	pathOnce          = "/book/"
	pathRepeatable    = "/read/"
	pathCall          = "/check/" // calls by backend servers, which carry no key
	serviceA          = "roster"
	serviceB          = "bookings"
)

// testbed is the fake platform of one run with its hosts.
type testbed struct {
	checker    *invariantChecker
	store      *fakestore.Store
	server     *http.Server  // serves the store
	serverDone chan struct{} // closed when server has released its listener
	datagrams  *datagramRelay
	hosts      []*host

	mu             sync.Mutex
	config         routing.Config
	keyWithdrawals int // number of withdrawals, over all teams

	heartbeatsPaused atomic.Bool
}

// host is one host: a backend server, its sidecar process, and the proxies that
// inject faults.
type host struct {
	index      int
	callerAddr string // address on which the sidecar accepts callers
	process    *process
	backend    *fakebackend.Backend
	peerProxy  *faultProxy // from peers to the sidecar
	storeProxy *faultProxy

	serverAddr string // address of the backend server

	mu         sync.Mutex
	entry      mesh.Server
	starts     int
	sequence   uint64
	serverDown bool // the backend server is stopped and sends no heartbeats
}

// serverIDFormat is the format of the identifiers of backend servers: their host and the number
// of their start.
const serverIDFormat = "i-%d-%d"

// zoneName returns the availability zone of a host.
func zoneName(host int) string { return fmt.Sprintf("zone-%d", host%zoneCount) }

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// keyName returns the key of a team after a number of withdrawals.
func keyName(team, withdrawals int) string { return fmt.Sprintf("key-%d-%d", team, withdrawals) }

// key returns the current key of a team.
func (tb *testbed) key(team int) string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return keyName(team, tb.keyWithdrawalsOf(team))
}

// oldKey returns the previous key of a team.
func (tb *testbed) oldKey(team int) string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return keyName(team, max(tb.keyWithdrawalsOf(team)-1, 0))
}

// keyWithdrawalsOf returns how many keys of a team were withdrawn. Withdrawals
// alternate between the teams.
func (tb *testbed) keyWithdrawalsOf(team int) int {
	return (tb.keyWithdrawals + teamCount - 1 - team) / teamCount
}

// newTestbed starts the platform and the processes. octet is the second octet of all
// IP addresses, which separates concurrent runs. If there is an error, the result may
// be started in part.
func newTestbed(ctx context.Context, o Options, seed uint64, octet int, dir string) (*testbed, error) {
	tb := &testbed{checker: newInvariantChecker(), store: fakestore.NewStore()}
	ip := func(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", octet, net, host+1) }
	listener, err := listen(net.JoinHostPort(ip(2, 0), portStore))
	if err != nil {
		return nil, err
	}
	tb.server, tb.serverDone = &http.Server{Handler: tb.store}, make(chan struct{})
	go func() {
		defer close(tb.serverDone)
		_ = tb.server.Serve(listener)
	}()
	tb.publish(func(*routing.Config) {})
	var public, private []string
	for i := range o.Hosts {
		public = append(public, net.JoinHostPort(ip(1, i), portDatagrams))
		private = append(private, net.JoinHostPort(ip(0, i), portDatagrams))
	}
	if tb.datagrams, err = newDatagramRelay(public, private); err != nil {
		return tb, err
	}
	tb.datagrams.start()
	for i := range o.Hosts {
		h, err := tb.newHost(o, seed, i, ip(0, i), ip(1, i), net.JoinHostPort(ip(3, i), portStore), listener.Addr().String(), dir)
		if h != nil {
			tb.hosts = append(tb.hosts, h)
		}
		if err != nil {
			return tb, err
		}
		go tb.sendHeartbeats(ctx, h)
	}
	return tb, nil
}

func (tb *testbed) newHost(o Options, seed uint64, i int, private, public, toStore, store, dir string) (*host, error) {
	service := serviceA
	if i%2 == 1 {
		service = serviceB
	}
	zone := zoneName(i)
	h := &host{index: i, callerAddr: net.JoinHostPort(private, portCallers)}
	var err error
	if h.peerProxy, err = newFaultProxy(net.JoinHostPort(public, portPeers), net.JoinHostPort(private, portPeers)); err != nil {
		return nil, err
	}
	if h.storeProxy, err = newFaultProxy(toStore, store); err != nil {
		return h, err
	}
	h.backend = fakebackend.NewBackend(seed+uint64(i), serverSlots, meanServiceTime, tb.checker.recordExecution)
	h.backend.Call = (&backendCaller{checker: tb.checker, host: i, pool: &callerPool{addr: h.callerAddr}}).call
	h.backend.OnColdRequest, h.backend.OnMisdirected = tb.checker.recordColdRequest, tb.checker.recordMisdirected
	h.entry = mesh.Server{Service: service, Zone: zone, Addr: net.JoinHostPort(public, portServer), Slots: serverSlots}
	h.serverAddr = net.JoinHostPort(private, portServer)
	if err := h.startServer(); err != nil {
		return h, err
	}
	settings := platform.Settings{
		NodeName: fmt.Sprintf("host-%d", i), IP: public, Zone: zone, Service: service,
		CallersAddr: h.callerAddr, PeersAddr: net.JoinHostPort(private, portPeers), DatagramAddr: net.JoinHostPort(private, portDatagrams),
		ReadinessAddr: net.JoinHostPort(private, portReadiness), BackendAddr: net.JoinHostPort(private, portServer), StoreAddr: toStore,
		KeyRevocationTime: keyRevocationTime, DrainTime: drainTime, StopTimeout: graceTime,
		RetryBudgetRatio: 0.2, RetryBudgetExtra: 60, RetryBudgetWindow: 10 * time.Second,
		RateTolerance:  rateTolerance,
		EvacuationTime: evacuationTime, ColdServersLimited: true,
	}
	for i := range zoneCount {
		settings.Zones = append(settings.Zones, zoneName(i))
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
	h.process = &process{binary: o.Binary, settingsPath: path, log: log, cores: 1 + i%2}
	return h, h.process.start()
}

// startServer starts the backend server under a new identifier. It is cold unless this is its
// first start.
func (h *host) startServer() error {
	listener, err := listen(h.serverAddr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.entry.ID = fmt.Sprintf(serverIDFormat, h.index, h.starts)
	h.entry.StartUnixMS = time.Now().UnixMilli()
	h.entry.Draining = false
	h.serverDown = false
	if h.starts > 1 {
		h.backend.MakeCold(coldTime)
	}
	h.backend.Serve(h.entry.ID, listener)
	return nil
}

// sendHeartbeats renews the entry of the backend server until ctx is done.
func (tb *testbed) sendHeartbeats(ctx context.Context, h *host) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !tb.heartbeatsPaused.Load() {
			tb.register(h)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// register writes the entry of the backend server of a host unless it is stopped.
func (tb *testbed) register(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serverDown {
		return
	}
	h.sequence++
	h.entry.WarmUpLeft = h.backend.ColdLeft()
	data, err := platform.EncodeServer(&h.entry, h.sequence)
	if err == nil {
		tb.store.Put(platform.ServerKey(h.entry.ID), string(data))
	}
}

// publish writes the next version of the configuration.
func (tb *testbed) publish(change func(*routing.Config)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.config.Version == 0 {
		tb.config = initialConfig()
	}
	tb.config.Version += 3
	tb.config.Teams = nil
	for i := range teamCount {
		team := routing.Team{Name: teamName(i), Keys: []string{keyName(i, tb.keyWithdrawalsOf(i))}, Rate: 10_000, Burst: 10_000}
		if i == limitedTeam {
			team.Rate, team.Burst = limitedTeamRate, limitedTeamBurst
		}
		tb.config.Teams = append(tb.config.Teams, team)
	}
	tb.config.RequireKeys = true
	change(&tb.config)
	data, err := platform.EncodeConfig(&tb.config)
	if err == nil {
		tb.store.Put(platform.ConfigKey, string(data))
	}
}

func initialConfig() routing.Config {
	route := func(name, prefix, service string, idempotent bool) routing.Route {
		return routing.Route{
			Name: name, Host: routeHost, Prefix: prefix, WeightedServices: []routing.WeightedService{{Service: service, Weight: 1}}, Idempotent: idempotent,
			Timeout: requestTimeout, TargetLatency: time.Second, MaxAttempts: 3,
		}
	}
	service := func(name string) routing.Service {
		return routing.Service{Name: name, HealthPath: "/health", MaxConnections: 300, WarmUpTime: coldTime, WarmUpRate: coldRate}
	}
	call := route("call", pathCall, serviceA, true)
	call.AllowAnonymous = true
	return routing.Config{
		Version:  1,
		Services: []routing.Service{service(serviceA), service(serviceB)},
		Limits:   routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:   []routing.Route{route("once", pathOnce, serviceB, false), route("repeatable", pathRepeatable, serviceA, true), call},
	}
}

// withdrawKey replaces the key of the next team by a new one.
func (tb *testbed) withdrawKey() {
	tb.mu.Lock()
	team := tb.keyWithdrawals % teamCount
	old := keyName(team, tb.keyWithdrawalsOf(team))
	tb.keyWithdrawals++
	tb.mu.Unlock()
	tb.publish(func(*routing.Config) {})
	tb.checker.mu.Lock()
	tb.checker.withdrawn[old] = time.Now()
	tb.checker.mu.Unlock()
}

// close stops everything that the run started.
func (tb *testbed) close() {
	for _, h := range tb.hosts {
		h.close()
	}
	if tb.datagrams != nil {
		tb.datagrams.close()
	}
	_ = tb.server.Close()
	<-tb.serverDone
}

// close stops a host, even if it was started only in part.
func (h *host) close() {
	if h.process != nil {
		h.process.stop()
		_ = h.process.log.Close()
	}
	if h.backend != nil {
		h.backend.Close()
	}
	h.peerProxy.close()
	if h.storeProxy != nil {
		h.storeProxy.close()
	}
}
