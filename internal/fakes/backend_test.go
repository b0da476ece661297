package fakes

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func startBackend(t *testing.T, options BackendOptions) *Backend {
	t.Helper()
	b, err := NewBackend(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// call sends a POST request with the given request identifier. Each client has its own
// connections.
func call(ctx context.Context, client *http.Client, b *Backend, id, body string) (status int, answer string, err error) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address()+"/work?x=1", strings.NewReader(body))
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerIdempotency, "key-"+id)
	response, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func eventually(t *testing.T, done func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for limit := time.After(10 * time.Second); !done(); {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatal("the condition was not met within 10 s")
		}
	}
}

// Guards against a fake that loses received headers or executions, or returns the
// response of another request: tests that rely on them would miss failures.
func TestBackendRecordsAndAnswers(t *testing.T) {
	b := startBackend(t, BackendOptions{ID: "b1"})
	status, answer, err := call(t.Context(), newClient(t), b, "r1", "two vans")
	if err != nil || status != http.StatusOK || answer != "b1 r1 POST /work?x=1\ntwo vans" {
		t.Fatalf("got %d %q, %v", status, answer, err)
	}
	log := b.RequestLog()
	if len(log) != 1 || log[0].Header.Get(headerIdempotency) != "key-r1" || string(log[0].Body) != "two vans" || !log[0].Executed {
		t.Errorf("log %+v", log)
	}
	if b.Executions("r1") != 1 || b.ExecutionsByKey("key-r1") != 1 || b.Executions("r2") != 0 {
		t.Error("wrong execution counts")
	}
}

// Guards against failures that are not reproducible from the seed.
func TestBackendFailuresAreDeterministicPerSeed(t *testing.T) {
	outcomes := func() (trace string) {
		b := startBackend(t, BackendOptions{Seed: 7})
		b.UpdateBehavior(func(v *Behavior) { v.FailShare, v.RejectShare, v.TruncateShare = 0.4, 0.2, 0.3 })
		client := newClient(t)
		for range 40 {
			status, _, err := call(t.Context(), client, b, "r", "")
			switch {
			case err != nil:
				trace += "c"
			case status == http.StatusServiceUnavailable:
				trace += "s"
			case status == http.StatusInternalServerError:
				trace += "f"
			default:
				trace += "."
			}
		}
		if executed := 40 - strings.Count(trace, "s"); b.Executions("r") != executed {
			t.Errorf("%d executions, want %d: rejected requests must not be executed", b.Executions("r"), executed)
		}
		return trace
	}
	first, second := outcomes(), outcomes()
	if first != second || !strings.Contains(first, "s") || !strings.Contains(first, "f") || !strings.Contains(first, "c") {
		t.Errorf("two runs with one seed:\n%s\n%s", first, second)
	}
}

// Guards against executing more requests than there are slots, and against a canceled
// request that does not release its slot.
func TestBackendSlots(t *testing.T) {
	b := startBackend(t, BackendOptions{Slots: 2, ServiceTime: FixedTime(time.Hour)})
	client := newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 5 {
		go func() { _, _, _ = call(ctx, client, b, "r", "") }()
	}
	eventually(t, func() bool { used, queued := b.SlotUsage(); return used == 2 && queued == 3 })
	if b.Executions("r") != 2 {
		t.Errorf("%d requests executed with 2 slots", b.Executions("r"))
	}
	cancel()
	eventually(t, func() bool { used, queued := b.SlotUsage(); return used == 0 && queued == 0 })
	b.UpdateBehavior(func(v *Behavior) { v.ExternalSlots = 2 })
	ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _, _ = call(ctx, client, b, "r", "") }()
	eventually(t, func() bool { _, queued := b.SlotUsage(); return queued == 1 })
}

// Guards against a crash that does not abort requests in flight, and against a server
// that does not restart at the same address.
func TestBackendCrash(t *testing.T) {
	b := startBackend(t, BackendOptions{ServiceTime: FixedTime(time.Hour)})
	b.UpdateBehavior(func(v *Behavior) { v.CrashPattern = "capsule-13" })
	inFlight := make(chan error, 1)
	go func() {
		_, _, err := call(t.Context(), newClient(t), b, "in-flight", "")
		inFlight <- err
	}()
	eventually(t, func() bool { return b.Executions("in-flight") == 1 })
	if _, _, err := call(t.Context(), newClient(t), b, "crashing", "capsule-13"); err == nil {
		t.Error("the crashing request got a response")
	}
	if err := <-inFlight; err == nil {
		t.Error("a request in flight survived the crash")
	}
	if b.Crashes() != 1 || b.Executions("crashing") != 1 {
		t.Errorf("%d crashes, %d executions", b.Crashes(), b.Executions("crashing"))
	}
	eventually(t, func() bool {
		response, err := newClient(t).Get("http://" + b.Address() + "/health")
		if err == nil {
			_ = response.Body.Close()
		}
		return err == nil
	})
}

// Guards against silenced connections that deliver bytes or close, and against new
// connections that are silenced too.
func TestBackendSilentConnections(t *testing.T) {
	b := startBackend(t, BackendOptions{})
	old := newClient(t)
	if _, _, err := call(t.Context(), old, b, "before", ""); err != nil {
		t.Fatal(err)
	}
	b.SilenceConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := call(ctx, old, b, "lost", ""); ctx.Err() == nil {
		t.Errorf("the silenced connection failed with %v", err)
	}
	if _, _, err := call(t.Context(), newClient(t), b, "after", ""); err != nil {
		t.Errorf("a new connection: %v", err)
	}
	if b.Executions("lost") != 0 || b.Executions("after") != 1 {
		t.Error("the silenced connection delivered a request, or a new one did not")
	}
}

// Guards against behavior settings that have no effect.
func TestBackendBehaviorSettings(t *testing.T) {
	b := startBackend(t, BackendOptions{ServiceTime: FixedTime(time.Second), ColdStart: time.Hour, ColdFactor: 2})
	if cold := b.planRequest().serviceTime; cold < 1900*time.Millisecond || cold > 2*time.Second {
		t.Errorf("a cold start takes %v for 1 s of work, want about twice that", cold)
	}
	b.options.ColdStart = 0
	b.UpdateBehavior(func(v *Behavior) { v.SlowFactor = 10 })
	if slow := b.planRequest(); slow.serviceTime != 10*time.Second || slow.reject {
		t.Errorf("SlowFactor 10 gives %+v", slow)
	}
	b.UpdateBehavior(func(v *Behavior) { v.Draining, v.LoadReportInterval = true, time.Hour })
	if !b.planRequest().reject {
		t.Error("a draining server accepts a request")
	}
	first := b.reportedLoad()
	b.slots.used = 5
	if b.reportedLoad() != first {
		t.Error("the load report is not repeated during LoadReportInterval")
	}
}

// Guards against an execution that continues after its deadline.
func TestBackendStopsAtTheDeadline(t *testing.T) {
	b := startBackend(t, BackendOptions{ServiceTime: FixedTime(time.Hour)})
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+b.Address()+"/", nil)
	req.Header.Set(headerDeadline, "5")
	if response, err := newClient(t).Do(req); err == nil {
		_ = response.Body.Close()
		t.Error("the request got a response")
	}
	eventually(t, func() bool { used, _ := b.SlotUsage(); return used == 0 })
}
