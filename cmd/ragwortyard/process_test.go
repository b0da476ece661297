package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
)

// testKey is the API key of the team in these tests.
const testKey = "key-of-the-blue-team"

// process is one proxy that runs in its own process, with its fake backend server.
type process struct {
	id, callersAddr, trafficAddr, controlAddr, operatorAddr string
	cmd                                                     *exec.Cmd
	logPath                                                 string
	backend                                                 *fakes.Backend
}

// processFleet is a small fleet of real processes with fake services of the
// platform.
type processFleet struct {
	t             *testing.T
	serviceTime   time.Duration // of the backend servers
	env           []string      // settings of all processes
	binary        string
	configService *fakes.ConfigService
	hostList      *fakes.HostList
	processes     []*process
}

func startProcesses(t *testing.T, n int) *processFleet {
	t.Helper()
	return startProcessesWith(t, n, 5*time.Millisecond)
}

// startProcessesWith starts processes whose backend servers take serviceTime for each
// request. env holds settings of the processes, as NAME=VALUE.
func startProcessesWith(t *testing.T, n int, serviceTime time.Duration, env ...string) *processFleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := &processFleet{t: t, serviceTime: serviceTime, env: env, binary: filepath.Join(t.TempDir(), "ragwortyard")}
	if out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var err error
	if f.configService, err = fakes.NewConfigService(); err != nil {
		t.Fatal(err)
	}
	if f.hostList, err = fakes.NewHostList(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.configService.Close)
	t.Cleanup(f.hostList.Close)
	f.publish(1, config.Key{ID: "first", Digest: sha256.Sum256([]byte(testKey))})
	var hosts []fakes.Host
	for i := range n {
		p := f.newProcess(i)
		f.processes = append(f.processes, p)
		hosts = append(hosts, fakes.Host{
			ID: p.id, Zone: zone(i), State: "live", Traffic: p.trafficAddr, Control: p.controlAddr,
			Backends: []fakes.HostBackend{{ID: p.backend.ID(), Service: "bookings", Slots: 7, Address: p.backend.Address()}},
		})
	}
	f.hostList.Set(hosts)
	for i, p := range f.processes {
		f.start(p, zone(i))
	}
	for _, p := range f.processes {
		f.waitReady(p)
	}
	return f
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// publish publishes the configuration with the given keys of the team.
func (f *processFleet) publish(version uint64, keys ...config.Key) {
	f.t.Helper()
	f.publishTeam(version, config.Team{Name: "blue", Rate: 5000, Burst: 5000, Keys: keys})
}

func (f *processFleet) publishTeam(version uint64, team config.Team) {
	f.t.Helper()
	doc := config.Fleet{
		Classes: []config.Class{{
			Name: "booking", TargetLatency: 200 * time.Millisecond, Worth: 1, MaxBody: 1 << 20, DefaultDeadline: 3 * time.Second,
		}},
		Services: []config.Service{{Name: "bookings", CapacityFloor: 0.5, Class: "booking"}},
		Routes: []config.Route{{
			Name: "bookings", Methods: []string{"GET", "POST"}, Prefix: "/bookings", Service: "bookings",
		}},
	}
	if err := f.configService.PublishDocuments(version, 2, doc, []config.Team{team}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *processFleet) newProcess(i int) *process {
	f.t.Helper()
	backend, err := fakes.NewBackend(fakes.BackendOptions{ID: fmt.Sprintf("bookings-%d", i), ServiceTime: fakes.FixedTime(f.serviceTime)})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(backend.Close)
	return &process{
		id: fmt.Sprintf("host-%d", i), backend: backend,
		callersAddr: freePort(f.t), trafficAddr: freePort(f.t), controlAddr: freePort(f.t), operatorAddr: freePort(f.t),
	}
}

// freePort returns an address with a free port below the ephemeral port range,
// so that no outgoing connection takes the port before the process listens. The random
// loopback address makes it unlikely that another program does.
func freePort(t *testing.T) string {
	t.Helper()
	for range 100 {
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 100+rand.IntN(100), rand.IntN(256), 1+rand.IntN(254), 10_000+rand.IntN(20_000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// start starts a process with its settings in environment variables.
func (f *processFleet) start(p *process, zone string) {
	f.t.Helper()
	p.cmd = exec.Command(f.binary, "serve")
	p.cmd.Env = append(os.Environ(),
		"RAGWORTYARD_ID="+p.id, "RAGWORTYARD_ZONE="+zone,
		"RAGWORTYARD_CALLERS_ADDR="+p.callersAddr, "RAGWORTYARD_TRAFFIC_ADDR="+p.trafficAddr,
		"RAGWORTYARD_CONTROL_ADDR="+p.controlAddr, "RAGWORTYARD_OPERATOR_ADDR="+p.operatorAddr,
		"RAGWORTYARD_CONFIG_URL="+f.configService.URL(), "RAGWORTYARD_HOSTS_URL="+f.hostList.URL(),
		"RAGWORTYARD_HOSTS_INTERVAL=200ms", "RAGWORTYARD_DRAIN_TIME=1s", "RAGWORTYARD_FLEET_PLAIN=true",
	)
	p.cmd.Env = append(p.cmd.Env, f.env...)
	p.logPath = filepath.Join(filepath.Dir(f.binary), p.id+".log")
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
}

func (f *processFleet) waitReady(p *process) {
	f.t.Helper()
	ready := false
	defer func() {
		if !ready {
			f.logNotReady(p)
		}
	}()
	waitFor(f.t, 20*time.Second, p.id+" to become ready", func() bool {
		ready = getOperator(p, "/readyz").status == http.StatusOK
		return ready
	})
}

// operatorResponse is a response of the operator listener of a process.
type operatorResponse struct {
	status int
	body   []byte
	err    error
}

func getOperator(p *process, path string) operatorResponse {
	resp, err := http.Get("http://" + p.operatorAddr + path)
	if err != nil {
		return operatorResponse{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return operatorResponse{resp.StatusCode, body, err}
}

// maxLogTail is the number of bytes printed from the end of the log of a process.
const maxLogTail = 4 << 10

// logNotReady prints the status of a process and the end of its log.
func (f *processFleet) logNotReady(p *process) {
	f.t.Helper()
	status := getOperator(p, "/status")
	log, err := os.ReadFile(p.logPath)
	f.t.Logf("%s: status %d %s, error %v; end of its log (read error %v):\n%s",
		p.id, status.status, status.body, status.err, err, log[max(0, len(log)-maxLogTail):])
}

// waitFor polls until a condition holds. The condition depends on other processes,
// which a virtual clock cannot control.
func waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("waited %v for %s", limit, what)
		case <-ticker.C:
		}
	}
}

// bookingResult is the response that a caller received.
type bookingResult struct {
	status        int
	code, outcome string
	err           error
}

func sendBooking(p *process, id string) bookingResult {
	req, err := http.NewRequest("POST", "http://"+p.callersAddr+"/bookings", strings.NewReader(id))
	if err != nil {
		return bookingResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return bookingResult{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return bookingResult{resp.StatusCode, resp.Header.Get("Ragwort-Code"), resp.Header.Get("Ragwort-Outcome"), err}
}

func (f *processFleet) executions(id string) int {
	n := 0
	for _, p := range f.processes {
		n += p.backend.Executions(id)
	}
	return n
}

// Guards against faults that tests inside one process cannot find: separate
// processes serve requests while one is killed, one stops gracefully, and a key is
// withdrawn. No request may run twice or be reported wrongly.
func TestProcessesServeThroughAKillAStopAndAWithdrawnKey(t *testing.T) {
	f := startProcesses(t, 6)
	for i := range 60 {
		id := fmt.Sprintf("steady-%d", i)
		if o := sendBooking(f.processes[i%6], id); o.status != 200 || o.outcome != "answered" {
			t.Fatalf("request %s: %+v", id, o)
		}
	}

	if err := f.processes[0].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for i := range 60 {
		id := fmt.Sprintf("killed-%d", i)
		o := sendBooking(f.processes[1+i%5], id)
		ran := f.executions(id)
		if o.err != nil || (o.outcome == "answered") != (ran == 1) || ran > 1 {
			t.Fatalf("request %s after a kill: %+v, ran %d times", id, o, ran)
		}
	}

	f.stopGracefully(f.processes[1], f.processes[2:])

	f.publish(2)
	waitFor(t, 5*time.Second, "all processes to reject the withdrawn key", func() bool {
		for _, p := range f.processes[2:] {
			if o := sendBooking(p, "withdrawn"); o.status != 401 || o.code != "2002" {
				return false
			}
		}
		return true
	})
}

// stopGracefully sends SIGTERM to a process while callers use the others. Every
// request must be answered.
func (f *processFleet) stopGracefully(stopping *process, others []*process) {
	f.t.Helper()
	if err := stopping.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- stopping.cmd.Wait() }()
	for i := 0; ; i++ {
		select {
		case err := <-exited:
			if err != nil {
				f.t.Fatalf("the process ended with %v", err)
			}
			return
		default:
		}
		id := fmt.Sprintf("stopping-%d", i)
		if o := sendBooking(others[i%len(others)], id); o.status != 200 {
			f.t.Fatalf("request %s during a planned stop: %+v", id, o)
		}
	}
}

// version returns the configuration version of a process, or 0 if it does not
// respond.
func (f *processFleet) version(p *process) int {
	resp, err := http.Get("http://" + p.operatorAddr + "/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var status struct {
		ConfigVersion int `json:"configVersion"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return 0
	}
	return status.ConfigVersion
}

func (f *processFleet) allAtVersion(version int) bool {
	for _, p := range f.processes {
		if f.version(p) != version {
			return false
		}
	}
	return true
}

// Guards against a change of the JSON output of the status command that breaks
// scripts.
func TestStatusOfARunningProcess(t *testing.T) {
	f := startProcesses(t, 1)
	out, err := exec.Command(f.binary, "status", "--json", "--url", "http://"+f.processes[0].operatorAddr).Output()
	if err != nil {
		t.Fatal(err)
	}
	var status struct {
		Host          string `json:"host"`
		ConfigVersion int    `json:"configVersion"`
		KeysTrusted   bool   `json:"keysTrusted"`
	}
	if err := json.Unmarshal(out, &status); err != nil {
		t.Fatalf("%v in %s", err, out)
	}
	if status.Host != "host-0" || status.ConfigVersion != 1 || !status.KeysTrusted {
		t.Fatalf("status %s", out)
	}
}

// Guards against an invalid setting that does not end the process at startup with
// exitUsage.
func TestInvalidSettingsEndWithACodeAndTheFlag(t *testing.T) {
	base := []string{"serve", "--id=a", "--zone=z", "--config-url=http://127.0.0.1:1", "--hosts-url=http://127.0.0.1:1"}
	for _, c := range []struct{ flag, want string }{
		{"--traffic-addr=localhost:80", "traffic-addr"},
		{"--config-url=nowhere", "config-url"},
		{"--hosts-interval=0s", "hosts-interval"},
		{"--fleet-cert=x", "fleet-cert"},
	} {
		if code := run(append(base[:len(base):len(base)], c.flag)); code != exitUsage {
			t.Errorf("%s: exit code %d", c.flag, code)
		}
	}
}
