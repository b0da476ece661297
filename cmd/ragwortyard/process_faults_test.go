package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
)

// load sends bookings through the processes that are in service until it is
// stopped, and remembers what callers saw.
type load struct {
	t       *testing.T
	fleet   *fleetOfProcesses
	mu      sync.Mutex // guards the fields below
	entries []*process
	seen    map[string]outcome
}

func startLoad(t *testing.T, f *fleetOfProcesses, callers int) (*load, func()) {
	l := &load{t: t, fleet: f, entries: f.processes, seen: make(map[string]outcome)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var next atomic.Int64
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				n := int(next.Add(1))
				id := fmt.Sprintf("load-%d", n)
				o := book(l.entry(n), id)
				l.mu.Lock()
				l.seen[id] = o
				l.mu.Unlock()
			}
		}()
	}
	return l, func() {
		cancel()
		wg.Wait()
	}
}

func (l *load) entry(n int) *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[n%len(l.entries)]
}

// avoid makes callers use all processes but one, as a name service would.
func (l *load) avoid(gone *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = nil
	for _, p := range l.fleet.processes {
		if p != gone {
			l.entries = append(l.entries, p)
		}
	}
}

// Guards against planned stops that cut off or refuse requests: every process is
// restarted in turn while callers go on.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	f := startProcesses(t, 4)
	l, stop := startLoad(t, f, 8)
	for i, p := range f.processes {
		l.avoid(p)
		f.hosts.SetState(p.id, "leaving")
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Wait(); err != nil {
			t.Fatalf("%s ended with %v", p.id, err)
		}
		f.hosts.SetState(p.id, "live")
		f.start(p, zone(i))
		f.waitReady(p)
	}
	stop()
	bad := 0
	for id, o := range l.seen {
		if o.status == 200 && f.executions(id) == 1 {
			continue
		}
		bad++
		if bad <= 5 {
			t.Errorf("request %s: %+v, ran %d times", id, o, f.executions(id))
		}
	}
	if bad > 0 || len(l.seen) < 100 {
		t.Fatalf("%d of %d requests failed", bad, len(l.seen))
	}
}

// Guards against a team that gets more than its rate and burst by sending through
// all processes at once.
func TestRateHoldsOverAllProcesses(t *testing.T) {
	f := startProcesses(t, 4)
	const rate, burst = 40, 40
	f.publishRate(2, rate, burst)
	waitFor(t, 5*time.Second, "the new rate to be in force", func() bool {
		return f.version(f.processes[0]) == 2 && f.version(f.processes[3]) == 2
	})
	// The bound of the time before holds for 2 s after a change of the rate.
	settled := time.Now().Add(2 * time.Second)
	waitFor(t, 5*time.Second, "the change to settle", func() bool { return time.Now().After(settled) })
	began := time.Now()
	l, stop := startLoad(t, f, 16)
	waitFor(t, 10*time.Second, "3 s of load", func() bool { return time.Since(began) > 3*time.Second })
	stop()
	took := time.Since(began).Seconds()
	admitted := 0
	for id, o := range l.seen {
		if ran := f.executions(id); ran > 0 {
			admitted += ran
		} else if o.outcome != "not-run" {
			t.Errorf("request %s: %+v", id, o)
		}
	}
	if bound := rate*took + burst; float64(admitted) > bound {
		t.Fatalf("%d requests ran in %.2f s, at most %.0f may", admitted, took, bound)
	}
	if least := rate * took / 2; float64(admitted) < least {
		t.Fatalf("only %d requests ran in %.2f s", admitted, took)
	}
}

// publishRate publishes the team with another rate.
func (f *fleetOfProcesses) publishRate(version uint64, rate, burst float64) {
	f.t.Helper()
	key := config.Key{ID: "first", Digest: sha256.Sum256([]byte(testKey))}
	f.publishTeam(version, config.Team{Name: "blue", Rate: rate, Burst: burst, Keys: []config.Key{key}})
}

// Guards against a fleet that depends on the configuration service: it goes
// away, a process restarts meanwhile, and it comes back with an old copy.
func TestConfigurationSurvivesAnOutageAndAnOldCopy(t *testing.T) {
	f := startProcesses(t, 3)
	f.publishRate(2, 300, 300)
	waitFor(t, 5*time.Second, "version 2 everywhere", func() bool { return f.allAt(2) })
	f.config.SetOutage(fakes.Failing)
	restarted := f.processes[0]
	if err := restarted.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = restarted.cmd.Wait()
	f.start(restarted, zone(0))
	f.waitReady(restarted)
	if v := f.version(restarted); v != 2 {
		t.Fatalf("a process that started during the outage has version %d", v)
	}
	if o := book(restarted, "outage"); o.status != 200 {
		t.Fatalf("request during the outage: %+v", o)
	}
	f.config.ServeStale(1)
	f.config.SetOutage(fakes.Available)
	until := time.Now().Add(2 * time.Second)
	waitFor(t, 5*time.Second, "old copies to be read", func() bool { return time.Now().After(until) })
	if !f.allAt(2) {
		t.Fatal("a process went back to an old version")
	}
	if o := book(f.processes[1], "stale"); o.status != 200 {
		t.Fatalf("request while the service serves an old copy: %+v", o)
	}
}

// Guards against a process that wakes late and serves a key that was withdrawn
// while it slept.
func TestPausedProcessRefusesAWithdrawnKeyWhenItWakes(t *testing.T) {
	f := startProcesses(t, 3)
	paused := f.processes[2]
	if err := paused.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.publish(2)
	waitFor(t, 5*time.Second, "the others to refuse the key", func() bool {
		return book(f.processes[0], "others-0").code == "2002" && book(f.processes[1], "others-1").code == "2002"
	})
	// The pause must outlast the 1.5 s for which a confirmation counts.
	asleep := time.Now().Add(2 * time.Second)
	waitFor(t, 5*time.Second, "the pause to last", func() bool { return time.Now().After(asleep) })
	if err := paused.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		id := fmt.Sprintf("woken-%d", i)
		if o := book(paused, id); o.status == 200 || f.executions(id) > 0 {
			t.Fatalf("request %d after the pause: %+v", i, o)
		}
	}
}
