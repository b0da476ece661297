package hop

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// exitFilter is the only filter of a test's exit chain.
type exitFilter func(ctx context.Context, req *pipeline.Request) *pipeline.Result

func (exitFilter) Name() string { return "exit" }

func (f exitFilter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	return f(ctx, req)
}

// startExitProxy starts an exit proxy and returns its address. It answers withdrawals
// with withdraw.
func startExitProxy(t *testing.T, f exitFilter, withdraw bool) string {
	t.Helper()
	handler := &Handler{
		Chain: pipeline.Chain{f},
		Load: func() pipeline.Load {
			return pipeline.Load{Running: 3, Waiting: 2, Urgent: 1, Slots: 7, Limit: rateLimit, StartWait: 400 * time.Millisecond, Leaving: true}
		},
		Withdraw: func(context.Context, string, time.Duration) bool { return withdraw },
		Log:      zap.NewNop(),
	}
	server := httptest.NewServer(handler)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

func newAttempt(id string) *pipeline.Request {
	return &pipeline.Request{
		ID: id, Method: "POST", Path: "/x/y%2Fz", RawQuery: "q=1", Host: "a.example",
		Header: pipeline.Header{"X-Kept": {"1"}}, Payload: []byte("body"),
		Deadline: time.Now().Add(10 * time.Second), Principal: pipeline.Principal{Team: "acme"},
		Service: "roster", Route: "read", Class: pipeline.Class{TargetLatency: 2 * time.Second}, Fingerprint: 1 << 60,
		CallerService: "bookings", Rank: 2, Backend: "i-1", MaxQueueWait: 150 * time.Millisecond, ReachedBackend: true, IsCall: true, BackendLimit: rateLimit,
	}
}

// rateLimit is the limit that both sides of the tests name.
var rateLimit = pipeline.RateLimit{Known: true, Limited: true, PerSecond: 2.5}

// Guards against fields of an attempt or its answer that are lost or changed between
// processes.
func TestAttemptRoundTrip(t *testing.T) {
	var got *pipeline.Request
	addr := startExitProxy(t, func(_ context.Context, req *pipeline.Request) *pipeline.Result {
		got = req
		req.ServiceTime = 120 * time.Millisecond
		return CompleteResult(201, pipeline.Header{"Sum": {"5"}}, []byte("answer"))
	}, false)
	client := NewClient(0)
	defer client.Close()
	want := newAttempt("a-1")
	answer := client.Do(context.Background(), addr, want)
	if answer.Load.Limit != (pipeline.RateLimit{Known: true, Limited: true, PerSecond: 2.5}) || answer.Load.StartWait != 400*time.Millisecond || !answer.Load.Leaving || !got.BackendLimit.Limited || got.BackendLimit.PerSecond != 2.5 {
		t.Errorf("limit in the answer %+v, in the attempt %+v", answer.Load, got.BackendLimit)
	}
	if answer.Result.Status != 201 || answer.Result.Header.Get("Sum") != "5" || !answer.Reached || answer.Load.Waiting != 2 || answer.Load.Urgent != 1 || answer.ServiceTime != 120*time.Millisecond {
		t.Fatalf("answer %+v", answer)
	}
	if got.Path != want.Path || got.RawQuery != want.RawQuery || got.Host != want.Host || string(got.Payload) != "body" ||
		got.Principal != want.Principal || got.Service != want.Service || got.Route != want.Route || got.Fingerprint != want.Fingerprint ||
		got.CallerService != want.CallerService || got.Rank != want.Rank || got.Backend != want.Backend || got.MaxQueueWait != want.MaxQueueWait ||
		!got.ReachedBackend || !got.IsCall || got.Class != want.Class || got.Header.Get("X-Kept") != "1" {
		t.Errorf("got %+v", got)
	}
}

// Guards against refusals that lose their code, outcome or retry delay between
// processes.
func TestRefusalsKeepTheirCode(t *testing.T) {
	addr := startExitProxy(t, func(context.Context, *pipeline.Request) *pipeline.Result {
		result := pipeline.Refuse(pipeline.CodeQueueFull, "")
		result.RetryAfter = 300 * time.Millisecond
		return result
	}, false)
	answer := NewClient(0).Do(context.Background(), addr, newAttempt("a-2"))
	r := answer.Result
	if r.Code != pipeline.CodeQueueFull || r.Outcome != pipeline.NotRun || r.RetryAfter != 300*time.Millisecond {
		t.Errorf("%+v", r)
	}
}

// Guards against reporting an attempt as not run when its connection was lost after it
// was sent. If no connection could be opened, the attempt must be reported as not run.
func TestLostConnectionOutcome(t *testing.T) {
	addr := startExitProxy(t, func(context.Context, *pipeline.Request) *pipeline.Result { panic(http.ErrAbortHandler) }, false)
	if r := NewClient(0).Do(context.Background(), addr, newAttempt("a-3")).Result; r.Outcome != pipeline.Unknown {
		t.Errorf("%+v", r)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	if r := NewClient(0).Do(context.Background(), closed, newAttempt("a-4")).Result; r.Code != pipeline.CodePathBroken || r.Outcome != pipeline.NotRun {
		t.Errorf("no connection could be opened: %+v", r)
	}
}

// listenFirstSilent returns an address whose first connection is never answered. Later
// connections are proxied to the exit proxy at addr.
func listenFirstSilent(t *testing.T, addr string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !first {
				go proxyConn(conn, addr)
			}
		}
	}()
	return listener.Addr().String()
}

func proxyConn(conn net.Conn, addr string) {
	defer conn.Close()
	onward, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer onward.Close()
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			if _, err := onward.Write(buf[:n]); err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 4096)
	for {
		n, err := onward.Read(buf)
		if err != nil {
			return
		}
		if _, err := conn.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Guards against attempts that are lost because their connection stops responding. If
// the exit proxy confirms the withdrawal, the attempt must be reported as not run, so
// that it can be sent elsewhere; otherwise its outcome must be unknown.
func TestWithdrawalOnSilentConnection(t *testing.T) {
	never := func(context.Context, *pipeline.Request) *pipeline.Result { panic(http.ErrAbortHandler) }
	addr := listenFirstSilent(t, startExitProxy(t, never, true))
	if r := NewClient(0).Do(context.Background(), addr, newAttempt("a-5")).Result; r.Outcome != pipeline.NotRun {
		t.Errorf("withdrawn attempt: %+v", r)
	}
	addr = listenFirstSilent(t, startExitProxy(t, never, false))
	once := newAttempt("a-6")
	once.Deadline = time.Now().Add(1500 * time.Millisecond)
	if r := NewClient(0).Do(context.Background(), addr, once).Result; r.Outcome != pipeline.Unknown {
		t.Errorf("attempt that may have run: %+v", r)
	}
}

// Guards against the withdrawal of an attempt that an earlier process of the exit ran, confirmed
// because the process that gets it was started while it was in transit.
func TestAgeOfAWithdrawnAttemptCoversTheTransit(t *testing.T) {
	ages := make(chan time.Duration, 1)
	handler := &Handler{
		Withdraw: func(_ context.Context, _ string, age time.Duration) bool { ages <- age; return true },
		Log:      zap.NewNop(),
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	const age = 300 * time.Millisecond
	if r := NewClient(0).Withdraw(t.Context(), strings.TrimPrefix(server.URL, "http://"), "a-8", time.Now().Add(-age)); r != Withdrawn {
		t.Fatalf("result %v", r)
	}
	if got := <-ages; got < age+withdrawTimeout {
		t.Errorf("age %v, want %v at least", got, age+withdrawTimeout)
	}
}

// Guards against part of an answer taken for the whole, because the reset that cut it failed the
// write of the upload and is not seen by the next read.
func TestResetDuringAnUploadDoesNotEndAnAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		result := encodeResult(&pipeline.Request{ID: "a-7"}, &pipeline.Result{}, pipeline.Load{})
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", headerResult, result)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}))
	defer server.Close()
	req := newAttempt("a-7")
	req.Payload = make([]byte, 16<<20) // more than socket buffers hold
	answer := NewClient(0).Do(t.Context(), strings.TrimPrefix(server.URL, "http://"), req)
	if r := answer.Result; r.Outcome != pipeline.Unknown {
		t.Errorf("%+v", r)
	}
}
