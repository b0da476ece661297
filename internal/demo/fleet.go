// Package demo runs a small fleet on loopback with fakes of the platform services,
// injects failures and compares what callers observe with the targets.
package demo

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
	"github.com/ragwortyard/ragwortyard/node"
)

// Member is one process of the fleet and its backend server.
type Member struct {
	ID       string
	Zone     string
	Service  string
	Backend  *fakes.Backend // nil for a process without backend servers
	Settings node.Settings
	open     *node.Listeners
	ready    func() bool
	cancel   context.CancelFunc
	done     chan error
}

// CallersURL returns the base URL for callers of the process.
func (m *Member) CallersURL() string { return "http://" + m.Settings.CallersAddr }

// OperatorURL returns the base URL of metrics, health, readiness and status.
func (m *Member) OperatorURL() string { return "http://" + m.Settings.OperatorAddr }

// Stop stops the process gracefully and waits until it has ended.
func (m *Member) Stop() error {
	m.cancel()
	return <-m.done
}

// ServiceSpec describes a service of the fleet.
type ServiceSpec struct {
	Name        string
	Servers     int
	ServiceTime fakes.ServiceTime
	NoLog       bool // the backend servers keep no request log
	Idempotent  bool
	Worth       float64
	Open        bool // served without an API key
}

// FleetSpec describes a fleet.
type FleetSpec struct {
	Zones    []string
	Services []ServiceSpec
	Teams    []config.Team
	Floor    float64
	Seed     uint64
	// AdjustSettings changes the settings of each process; nil keeps the defaults.
	AdjustSettings func(*node.Settings)
	// EntryCount is the number of processes without backend servers. They come first
	// in Members.
	EntryCount int
	// Binary is the ragwortyard binary with which each member runs as a separate
	// process; empty runs all members in this process.
	Binary string
}

// Fleet is a running fleet on loopback.
type Fleet struct {
	Config  *fakes.ConfigService
	Hosts   *fakes.HostList
	Members []*Member

	spec    FleetSpec
	log     *zap.Logger
	mu      sync.Mutex // guards the fields below
	version uint64
	entries []string // URLs that callers connect to
}

// StartFleet starts the platform fakes and all processes and waits until they are ready.
func StartFleet(ctx context.Context, spec FleetSpec, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{spec: spec, log: log}
	var err error
	if f.Config, err = fakes.NewConfigService(); err != nil {
		return nil, err
	}
	if f.Hosts, err = fakes.NewHostList(); err != nil {
		return nil, err
	}
	if err := f.Publish(spec.Teams); err != nil {
		return nil, err
	}
	if err := f.addMembers(); err != nil {
		return nil, err
	}
	f.Hosts.Set(f.hostEntries())
	for _, m := range f.Members {
		f.entries = append(f.entries, m.CallersURL())
	}
	for _, m := range f.Members {
		if err := f.start(ctx, m); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady(ctx)
}

// Publish publishes a new version of the configuration with the given teams.
func (f *Fleet) Publish(teams []config.Team) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	return f.Config.PublishDocuments(f.version, teamParts, f.documents(), teams)
}

// Version returns the latest published version.
func (f *Fleet) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// teamParts is the number of configuration parts that hold the teams.
const teamParts = 4

// classDeadline is the deadline of requests that do not specify one.
const classDeadline = 2 * time.Second

func (f *Fleet) documents() config.Fleet {
	var doc config.Fleet
	for _, s := range f.spec.Services {
		doc.Classes = append(doc.Classes, config.Class{
			Name:            s.Name,
			Idempotent:      s.Idempotent,
			TargetLatency:   200 * time.Millisecond,
			Worth:           s.Worth,
			MaxBody:         1 << 20,
			DefaultDeadline: classDeadline,
		})
		doc.Services = append(doc.Services, config.Service{Name: s.Name, CapacityFloor: f.spec.Floor, Class: s.Name})
		doc.Routes = append(doc.Routes, config.Route{
			Name:    s.Name,
			Methods: []string{http.MethodGet, http.MethodPost},
			Prefix:  "/" + s.Name,
			Service: s.Name,
			Open:    s.Open,
		})
	}
	return doc
}

func (f *Fleet) addMembers() error {
	for i := range f.spec.EntryCount {
		m, err := f.newMember(fmt.Sprintf("host-entry-%d", i))
		if err != nil {
			return err
		}
		f.Members = append(f.Members, m)
	}
	for _, s := range f.spec.Services {
		for i := range s.Servers {
			m, err := f.newServiceMember(s, i)
			if err != nil {
				return err
			}
			f.Members = append(f.Members, m)
		}
	}
	return nil
}

func (f *Fleet) newServiceMember(s ServiceSpec, i int) (*Member, error) {
	backend, err := fakes.NewBackend(fakes.BackendOptions{
		ID:                fmt.Sprintf("%s-%d", s.Name, i),
		ServiceTime:       s.ServiceTime,
		Seed:              f.spec.Seed + uint64(len(f.Members)),
		ProbeLatency:      25 * time.Millisecond,
		RestartDelay:      time.Second,
		DisableRequestLog: s.NoLog,
	})
	if err != nil {
		return nil, err
	}
	m, err := f.newMember(fmt.Sprintf("host-%s-%d", s.Name, i))
	if err != nil {
		return nil, err
	}
	m.Service, m.Backend = s.Name, backend
	return m, nil
}

func (f *Fleet) newMember(id string) (*Member, error) {
	open, err := openListeners()
	if err != nil {
		return nil, err
	}
	m := &Member{open: open, ID: id, Zone: f.spec.Zones[len(f.Members)%len(f.spec.Zones)]}
	m.Settings = node.Settings{
		ID: m.ID, Zone: m.Zone,
		CallersAddr: open.Callers.Addr().String(), TrafficAddr: open.Traffic.Addr().String(),
		ControlAddr: open.Control.Addr().String(), OperatorAddr: open.Operator.Addr().String(),
		ConfigURL: f.Config.URL(), HostsURL: f.Hosts.URL(),
		HostsInterval: 500 * time.Millisecond,
		DrainTime:     2 * time.Second,
		StopTimeout:   20 * time.Second,
		LedgerWindow:  5 * time.Minute,
		FleetPlain:    true,
		LogLevel:      "warn",
	}
	if f.spec.AdjustSettings != nil {
		f.spec.AdjustSettings(&m.Settings)
	}
	return m, nil
}

// openListeners opens the ports of a process on loopback. They stay open until the
// process serves on them, so that no other process can take them.
func openListeners() (*node.Listeners, error) {
	l := &node.Listeners{}
	for _, to := range []*net.Listener{&l.Callers, &l.Traffic, &l.Control, &l.Operator} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "cannot listen on a loopback port")
		}
		*to = listener
	}
	return l, nil
}

func (f *Fleet) hostEntries() []fakes.Host {
	var hosts []fakes.Host
	for _, m := range f.Members {
		host := fakes.Host{
			ID: m.ID, Zone: m.Zone, State: "live",
			Traffic: m.Settings.TrafficAddr,
			Control: m.Settings.ControlAddr,
		}
		if m.Backend != nil {
			host.Backends = []fakes.HostBackend{{
				ID: m.Backend.ID(), Service: m.Service, Slots: 7, Address: m.Backend.Address(),
			}}
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func (f *Fleet) start(ctx context.Context, m *Member) error {
	if f.spec.Binary != "" {
		return f.startProcess(ctx, m)
	}
	n, err := node.New(m.Settings, node.HTTPPlatform(m.Settings.ConfigURL, m.Settings.HostsURL), f.log)
	if err != nil {
		return err
	}
	ctx, m.cancel = context.WithCancel(ctx)
	m.ready = n.Ready
	m.done = make(chan error, 1)
	go func() { m.done <- n.Serve(ctx, m.open) }()
	return nil
}

// readyTimeout bounds the start of the fleet: a shard gets a leader after about 2 s.
const readyTimeout = 30 * time.Second

func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.Members {
		if err := waitUntil(ctx, m.ready); err != nil {
			return eris.Wrapf(err, "%s did not become ready", m.ID)
		}
	}
	return nil
}

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 20 * time.Millisecond

func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops the fleet and the fakes without waiting for running requests. It waits
// for processes that were started from a binary.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if m.cancel != nil {
			m.cancel()
		}
		if m.Backend != nil {
			m.Backend.Close()
		}
	}
	f.waitProcesses()
	f.Hosts.Close()
	f.Config.Close()
}

// NewTeam returns a team with one key.
func NewTeam(name, key string, rate, burst float64) config.Team {
	return config.Team{
		Name: name, Rate: rate, Burst: burst,
		Keys: []config.Key{{ID: name + "-key", Digest: sha256.Sum256([]byte(key))}},
	}
}
