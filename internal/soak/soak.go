package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Options are the parameters of a run.
type Options struct {
	Binary          string        // path of the program
	Hosts           int           // number of hosts, each with one process
	TrafficDuration time.Duration // includes the warm-up, the faults and the settle time
	LogDir          string        // directory for the logs of the processes
}

// Validate returns an error if the options are unusable.
func (o Options) Validate() error {
	switch {
	case o.Hosts < 2 || o.Hosts > 250:
		return eris.Errorf("the number of hosts must be 2 to 250, got %d", o.Hosts)
	case o.TrafficDuration < warmUp+settleTime+maxFaultTime:
		return eris.Errorf("the length of a run must be at least %v, got %v", warmUp+settleTime+maxFaultTime, o.TrafficDuration)
	}
	_, err := os.Stat(o.Binary)
	return eris.Wrap(err, "find the program to soak")
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Schedule   []Fault
	Requests   int
	Succeeded  int
	Violations []Violation
	LogDir     string
}

// startTime is how long the processes get to start before traffic begins.
const startTime = 3 * time.Second

// Run executes the run of one seed on the addresses of a network. Concurrent runs need
// different networks.
func Run(ctx context.Context, o Options, seed uint64, network *Network) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	dir := filepath.Join(o.LogDir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, eris.Wrap(err, "create the log directory")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tb, err := newTestbed(ctx, o, seed, network.octet, dir)
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return nil, eris.Wrap(err, "start the run")
	}
	sleepContext(ctx, startTime)
	schedule := recordedSchedule(seed)
	if schedule == nil {
		schedule = NewSchedule(seed, o.Hosts, o.TrafficDuration)
	}
	tb.run(ctx, seed, schedule, o.TrafficDuration)
	return &Report{
		Seed: seed, Schedule: schedule, LogDir: dir,
		Requests: len(tb.checker.requests), Succeeded: tb.checker.succeeded, Violations: tb.checker.violations,
	}, nil
}

// run generates the traffic, injects the faults and checks the recovery.
func (tb *testbed) run(ctx context.Context, seed uint64, schedule []Fault, length time.Duration) {
	tb.checker.started = time.Now()
	traffic, stop := context.WithTimeout(ctx, length)
	defer stop()
	var pending sync.WaitGroup
	for i := range tb.hosts {
		pending.Go(func() { newLoadGenerator(tb, i, seed).run(traffic) })
	}
	for _, fault := range schedule {
		sleepContext(traffic, fault.At-time.Since(tb.checker.started))
		pending.Go(func() { tb.apply(traffic, fault) })
	}
	<-traffic.Done()
	pending.Wait()
	tb.checker.checkRates()
	tb.checker.checkRecovery(tb.checker.started.Add(length - settleTime/2))
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// apply injects one fault and returns when it has ended.
func (tb *testbed) apply(ctx context.Context, f Fault) {
	now := time.Now()
	if f.Host < 0 {
		tb.applyToFleet(ctx, f, now)
		return
	}
	h := tb.hosts[f.Host]
	switch f.Kind {
	case Terminate:
		tb.terminate(ctx, h)
		return
	case Reload:
		h.process.signal(syscall.SIGHUP)
		return
	case ServerDrain:
		tb.drain(ctx, h, drainTime+drainTime/2)
		return
	case StoreCut, StoreReset:
		tb.checker.recordStoreFault(f.Host, now, now.Add(f.Duration+faultRecoveryTime))
		tb.applyForDuration(ctx, h, f)
		return
	case ServerCrash:
		tb.checker.recordFault(f.Host, now, now.Add(f.Duration+faultRecoveryTime))
		tb.crash(ctx, h, f.Duration)
		return
	case Kill:
		tb.checker.recordFault(f.Host, now, now.Add(restartDelay+faultRecoveryTime))
		tb.restartProcess(h, syscall.SIGKILL)
		return
	case ZoneEvacuated:
		tb.evacuateZone(ctx, zoneName(f.Host), f.Duration)
		return
	case StoreRestored:
		tb.restoreStore(ctx, f.Host)
		return
	}
	tb.checker.recordFault(f.Host, now, now.Add(f.Duration+faultRecoveryTime))
	tb.applyForDuration(ctx, h, f)
}

// terminate stops the process of a host gracefully and starts it again. Meanwhile callers
// send requests on connections that were idle before.
func (tb *testbed) terminate(ctx context.Context, h *host) {
	callers := newIdleCallers(ctx, tb, h)
	tb.checker.recordShutdown(h.index, time.Now())
	var pending sync.WaitGroup
	pending.Go(func() { callers.sendDuring(ctx, graceTime) })
	tb.restartProcess(h, syscall.SIGTERM)
	pending.Wait()
}

// restartProcess stops the process of a host by a signal and starts it again.
func (tb *testbed) restartProcess(h *host, s syscall.Signal) {
	tb.recordInjectionError(h.process.restart(s, graceTime))
	tb.checker.recordProcessStart(h.index)
}

// applyForDuration injects a fault, waits for its duration and removes it.
func (tb *testbed) applyForDuration(ctx context.Context, h *host, f Fault) {
	switch f.Kind {
	case Pause:
		h.process.signal(syscall.SIGSTOP)
		defer h.process.signal(syscall.SIGCONT)
	case StoreCut:
		h.storeProxy.cutOut.Store(true)
		defer h.storeProxy.resetAll() // the dropped bytes would leave a gap in the streams
		defer h.storeProxy.cutOut.Store(false)
	case StoreReset:
		h.storeProxy.resetAll()
	case LinkDelay:
		h.peerProxy.delay.Store(int64(80 * time.Millisecond))
		defer h.peerProxy.delay.Store(0)
	case LinkSilent:
		h.peerProxy.silenceOpenConns()
	case LinkCutIn:
		h.peerProxy.cutIn.Store(true)
		defer h.peerProxy.cutIn.Store(false)
	case LinkCutOut:
		h.peerProxy.cutOut.Store(true)
		defer h.peerProxy.cutOut.Store(false)
	case LinkReset:
		h.peerProxy.resetAll()
	case Isolated:
		h.storeProxy.cutOut.Store(true)
		tb.datagrams.lost[h.index].Store(true)
		defer h.storeProxy.resetAll()
		defer h.storeProxy.cutOut.Store(false)
		defer tb.datagrams.lost[h.index].Store(false)
		tb.withdrawKey()
	case DatagramsLost:
		tb.datagrams.lost[h.index].Store(true)
		defer tb.datagrams.lost[h.index].Store(false)
	default:
		h.backend.SetFaults(serverFaults[f.Kind])
		defer h.backend.SetFaults(fakebackend.Faults{})
	}
	sleepContext(ctx, f.Duration)
}

// overloadFactor makes service times 1.2 s, so that callers send more than twice of what
// the backend servers can execute.
const overloadFactor = 20

var serverFaults = map[FaultKind]fakebackend.Faults{
	ServerFails:  {Fail: true},
	ServerHangs:  {Hang: true},
	ServerResets: {Reset: true},
	ServerSlow:   {SlowFactor: 5},

	ServerLimited: {NamedRate: namedRate},
}

func (tb *testbed) applyToFleet(ctx context.Context, f Fault, now time.Time) {
	switch f.Kind {
	case KeyWithdrawn:
		tb.withdrawKey()
	case RouteChanged:
		tb.publish(func(doc *routing.Config) {
			part := &doc.Routes[1].WeightedServices[0]
			if part.Service == serviceA {
				part.Service = serviceB
			} else {
				part.Service = serviceA
			}
		})
	case StoreCompact:
		tb.store.Compact()
	case StoreDown:
		tb.checker.recordStoreFault(-1, now, now.Add(f.Duration+faultRecoveryTime))
		tb.store.SetDown(true)
		sleepContext(ctx, f.Duration)
		tb.store.SetDown(false)
	case TerminateMany:
		var pending sync.WaitGroup
		for i := 0; i < len(tb.hosts); i += 3 {
			pending.Go(func() { tb.apply(ctx, Fault{Kind: Terminate, Host: i}) })
			sleepContext(ctx, restartDelay)
		}
		pending.Wait()
	case Overload:
		for _, h := range tb.hosts {
			h.backend.SetFaults(fakebackend.Faults{SlowFactor: overloadFactor})
			defer h.backend.SetFaults(fakebackend.Faults{})
		}
		sleepContext(ctx, f.Duration)
	case KillAll:
		tb.checker.recordFault(-1, now, now.Add(restartDelay+2*faultRecoveryTime))
		var pending sync.WaitGroup
		for _, h := range tb.hosts {
			pending.Go(func() { tb.restartProcess(h, syscall.SIGKILL) })
		}
		pending.Wait()
	}
}

// drain marks the server of a host as draining, stops it after a duration, and starts it
// again under another identifier.
func (tb *testbed) drain(ctx context.Context, h *host, d time.Duration) {
	h.mu.Lock()
	if h.serverDown {
		h.mu.Unlock()
		return // another fault has stopped it
	}
	h.entry.Draining = true
	id := h.entry.ID
	h.mu.Unlock()
	tb.register(h)
	tb.checker.recordDrain(id)
	sleepContext(ctx, d)
	tb.stopServer(h, id, true)
	sleepContext(ctx, restartDelay)
	tb.recordInjectionError(tb.restartServer(h, id))
}

// crash stops the server of a host at once and starts another one later. Its entry in
// the store expires after three heartbeat intervals.
func (tb *testbed) crash(ctx context.Context, h *host, downTime time.Duration) {
	h.mu.Lock()
	id := h.entry.ID
	h.mu.Unlock()
	tb.stopServer(h, id, false)
	time.AfterFunc(3*heartbeatInterval, func() { tb.removeEntry(id) })
	sleepContext(ctx, downTime)
	tb.recordInjectionError(tb.restartServer(h, id))
}

// stopServer stops a server unless another fault has done so. It removes the entry in
// the store if the stop was announced.
func (tb *testbed) stopServer(h *host, id string, announced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serverDown || h.entry.ID != id {
		return
	}
	h.serverDown = true
	tb.checker.recordStopped(id)
	h.backend.Close()
	if announced {
		tb.removeEntry(id)
	}
}

func (tb *testbed) removeEntry(id string) { tb.store.Delete(platform.ServerKey(id)) }

// restartServer starts the successor of a stopped server unless there is one already.
func (tb *testbed) restartServer(h *host, id string) error {
	h.mu.Lock()
	waiting := h.serverDown && h.entry.ID == id
	h.mu.Unlock()
	if !waiting {
		return nil
	}
	if err := h.startServer(); err != nil {
		return err
	}
	tb.register(h)
	return nil
}

// recordInjectionError records a violation if the soak itself failed to inject a fault.
func (tb *testbed) recordInjectionError(err error) {
	if err != nil {
		tb.checker.mu.Lock()
		defer tb.checker.mu.Unlock()
		tb.checker.report(FaultInjectionFailed, "%v", err)
	}
}
