package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/httpfront"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
	"github.com/ragwortyard/ragwortyard/internal/tcpclose"
)

// loadGenerator sends bookings through the processes in service until it is
// stopped, and records the responses.
type loadGenerator struct {
	t       *testing.T
	fleet   *processFleet
	mu      sync.Mutex // guards the fields below
	entries []*process
	results map[string]bookingResult
}

func startLoadGenerator(t *testing.T, f *processFleet, callers int) (*loadGenerator, func()) {
	l := &loadGenerator{t: t, fleet: f, entries: f.processes, results: make(map[string]bookingResult)}
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
				o := sendBooking(l.entryProcess(n), id)
				l.mu.Lock()
				l.results[id] = o
				l.mu.Unlock()
			}
		}()
	}
	return l, func() {
		cancel()
		wg.Wait()
	}
}

func (l *loadGenerator) entryProcess(n int) *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[n%len(l.entries)]
}

// exclude removes a process from those that callers use, as a name service would.
func (l *loadGenerator) exclude(gone *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = nil
	for _, p := range l.fleet.processes {
		if p != gone {
			l.entries = append(l.entries, p)
		}
	}
}

// Guards against a graceful stop that interrupts or rejects requests: every process
// is restarted in turn while callers send requests.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	f := startProcesses(t, 4)
	l, stop := startLoadGenerator(t, f, 8)
	for i, p := range f.processes {
		l.exclude(p)
		f.hostList.SetState(p.id, "leaving")
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Wait(); err != nil {
			t.Fatalf("%s ended with %v", p.id, err)
		}
		f.hostList.SetState(p.id, "live")
		f.start(p, zone(i))
		f.waitReady(p)
	}
	stop()
	bad := 0
	for id, o := range l.results {
		if o.status == 200 && f.executions(id) == 1 {
			continue
		}
		bad++
		if bad <= 5 {
			t.Errorf("request %s: %+v, ran %d times", id, o, f.executions(id))
		}
	}
	if bad > 0 || len(l.results) < 100 {
		t.Fatalf("%d of %d requests failed", bad, len(l.results))
	}
}

// Guards against a team that exceeds its rate and burst by sending through all
// processes at once.
func TestRateHoldsOverAllProcesses(t *testing.T) {
	f := startProcesses(t, 4)
	const rate, burst = 40, 40
	f.publishRate(2, rate, burst)
	waitFor(t, 5*time.Second, "the new rate to take effect", func() bool {
		return f.version(f.processes[0]) == 2 && f.version(f.processes[3]) == 2
	})
	// The previous rate limit may apply for 2 s after a change.
	settled := time.Now().Add(2 * time.Second)
	waitFor(t, 5*time.Second, "the change to settle", func() bool { return time.Now().After(settled) })
	began := time.Now()
	l, stop := startLoadGenerator(t, f, 16)
	waitFor(t, 10*time.Second, "3 s of load", func() bool { return time.Since(began) > 3*time.Second })
	stop()
	took := time.Since(began).Seconds()
	admitted := 0
	for id, o := range l.results {
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

// publishRate publishes the configuration with the given rate and burst of the team.
func (f *processFleet) publishRate(version uint64, rate, burst float64) {
	f.t.Helper()
	key := config.Key{ID: "first", Digest: sha256.Sum256([]byte(testKey))}
	f.publishTeam(version, config.Team{Name: "blue", Rate: rate, Burst: burst, Keys: []config.Key{key}})
}

// Guards against a fleet that needs the configuration service to be up: the service
// fails, a process restarts during the outage and must still get the configuration,
// and the service returns with an old version, which must be ignored.
func TestConfigurationSurvivesAnOutageAndAnOldCopy(t *testing.T) {
	f := startProcesses(t, 3)
	f.publishRate(2, 300, 300)
	waitFor(t, 5*time.Second, "version 2 everywhere", func() bool { return f.allAtVersion(2) })
	f.configService.SetOutage(fakes.Failing)
	restarted := f.processes[0]
	if err := restarted.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = restarted.cmd.Wait()
	f.start(restarted, zone(0))
	f.waitReady(restarted)
	if v := f.version(restarted); v != 2 {
		t.Fatalf("a process that restarted during the outage has version %d, want 2", v)
	}
	if o := sendBooking(restarted, "outage"); o.status != 200 {
		t.Fatalf("request during the outage: %+v", o)
	}
	f.configService.ServeStale(1)
	f.configService.SetOutage(fakes.Available)
	until := time.Now().Add(2 * time.Second)
	waitFor(t, 5*time.Second, "processes to read the old version", func() bool { return time.Now().After(until) })
	if !f.allAtVersion(2) {
		t.Fatal("a process went back to an old version")
	}
	if o := sendBooking(f.processes[1], "stale"); o.status != 200 {
		t.Fatalf("request while the service serves an old version: %+v", o)
	}
}

// Guards against a process that is suspended (SIGSTOP), and after it resumes accepts
// a key that was withdrawn in the meantime.
func TestPausedProcessRefusesAWithdrawnKeyWhenItWakes(t *testing.T) {
	f := startProcesses(t, 3)
	paused := f.processes[2]
	if err := paused.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.publish(2)
	waitFor(t, 5*time.Second, "the other processes to reject the key", func() bool {
		return sendBooking(f.processes[0], "others-0").code == "2002" && sendBooking(f.processes[1], "others-1").code == "2002"
	})
	// The pause must exceed the 1.5 s for which a confirmation of the keys is valid.
	pausedUntil := time.Now().Add(2 * time.Second)
	waitFor(t, 5*time.Second, "the pause to last", func() bool { return time.Now().After(pausedUntil) })
	if err := paused.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		id := fmt.Sprintf("woken-%d", i)
		if o := sendBooking(paused, id); o.status == 200 || f.executions(id) > 0 {
			t.Fatalf("request %d after the pause: %+v", i, o)
		}
	}
}

// Guards against requests that wait or run longer than a planned stop takes, whose
// connections end without an answer.
func TestStopTimeoutEndsRequestsWithAnAnswer(t *testing.T) {
	const requests = 24 // more than the two backend servers run at once
	f := startProcessesWith(t, 2, time.Minute, "RAGWORTYARD_STOP_TIMEOUT=3s")
	p := f.processes[0]
	results := make(chan string, requests)
	for range requests {
		go func() { results <- sendLongBooking(p) }()
	}
	<-time.After(time.Second)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	outcomes := make(map[string]int)
	for range requests {
		outcomes[<-results]++
	}
	if outcomes["unknown"]+outcomes["not-run"] != requests {
		t.Errorf("outcomes %v, want each of %d requests unknown or not run", outcomes, requests)
	}
}

// sendLongBooking sends a booking with a timeout of a minute. It returns the outcome that
// the caller is told, or the error.
func sendLongBooking(p *process) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callersAddr+"/bookings", strings.NewReader("{}"))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(httpfront.HeaderTimeout, "60000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	return resp.Header.Get(httpfront.HeaderOutcome)
}

// Guards against requests that are read and dropped because their connections were new when a planned stop closed them.
func TestStopDropsNoRequestOnNewConnections(t *testing.T) {
	f := startProcessesWith(t, 2, time.Second)
	p := f.processes[0]
	running := make(chan string, 1)
	go func() { running <- sendLongBooking(p) }() // connections stay open while the stop awaits it
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = p.cmd.Wait()
	}()
	request := fmt.Sprintf("POST /bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", testKey)
	if counts := tcpclose.SendOnNewConnections(p.callersAddr, request, stopped); counts.Answered == 0 || counts.Dropped > 0 {
		t.Errorf("%+v", counts)
	}
	<-running
}
