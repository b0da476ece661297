package hop

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// exitFilter is an exit chain of one filter.
type exitFilter func(ctx context.Context, req *pipeline.Request) *pipeline.Result

func (exitFilter) Name() string { return "exit" }

func (f exitFilter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	return f(ctx, req)
}

func exit(t *testing.T, f exitFilter, withdraw bool) string {
	t.Helper()
	handler := &Handler{
		Chain:    pipeline.Chain{f},
		Load:     func() pipeline.Load { return pipeline.Load{Running: 3, Waiting: 2, Urgent: 1, Slots: 7} },
		Withdraw: func(context.Context, string, time.Duration) bool { return withdraw },
		Log:      zap.NewNop(),
	}
	server := httptest.NewServer(handler)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

func attempt(id string) *pipeline.Request {
	return &pipeline.Request{
		ID: id, Method: "POST", Path: "/x/y%2Fz", RawQuery: "q=1", Host: "a.example",
		Header: pipeline.Header{"X-Kept": {"1"}}, Payload: []byte("body"),
		Deadline: time.Now().Add(10 * time.Second), Principal: pipeline.Principal{Team: "acme"},
		Service: "roster", Class: pipeline.Class{TargetLatency: 2 * time.Second}, Fingerprint: 1 << 60,
		CallerService: "bookings", Rank: 2, Backend: "i-1", MaxQueueWait: 150 * time.Millisecond, ReachedBackend: true,
	}
}

// Guards against an attempt or an answer that changes on the way.
func TestAttemptsArriveAsSent(t *testing.T) {
	var got *pipeline.Request
	addr := exit(t, func(_ context.Context, req *pipeline.Request) *pipeline.Result {
		got = req
		return Whole(201, pipeline.Header{"Sum": {"5"}}, []byte("answer"))
	}, false)
	client := NewClient()
	defer client.Close()
	want := attempt("a-1")
	answer := client.Do(context.Background(), addr, want)
	if answer.Result.Status != 201 || answer.Result.Header.Get("Sum") != "5" || !answer.Reached || answer.Load.Waiting != 2 || answer.Load.Urgent != 1 {
		t.Fatalf("answer %+v", answer)
	}
	if got.Path != want.Path || got.RawQuery != want.RawQuery || got.Host != want.Host || string(got.Payload) != "body" ||
		got.Principal != want.Principal || got.Service != want.Service || got.Fingerprint != want.Fingerprint ||
		got.CallerService != want.CallerService || got.Rank != want.Rank || got.Backend != want.Backend || got.MaxQueueWait != want.MaxQueueWait ||
		!got.ReachedBackend || got.Class != want.Class || got.Header.Get("X-Kept") != "1" {
		t.Errorf("got %+v", got)
	}
}

// Guards against a refusal that loses its code, its promise or its advice.
func TestRefusalsKeepTheirCode(t *testing.T) {
	addr := exit(t, func(context.Context, *pipeline.Request) *pipeline.Result {
		result := pipeline.Refuse(pipeline.CodeQueueFull, "")
		result.RetryAfter = 300 * time.Millisecond
		return result
	}, false)
	answer := NewClient().Do(context.Background(), addr, attempt("a-2"))
	r := answer.Result
	if r.Code != pipeline.CodeQueueFull || r.Outcome != pipeline.NotRun || r.RetryAfter != 300*time.Millisecond {
		t.Errorf("%+v", r)
	}
}

// Guards against a promise that a request has not run after its connection broke.
func TestBrokenHopPromisesNothing(t *testing.T) {
	addr := exit(t, func(context.Context, *pipeline.Request) *pipeline.Result { panic(http.ErrAbortHandler) }, false)
	if r := NewClient().Do(context.Background(), addr, attempt("a-3")).Result; r.Outcome != pipeline.Unknown {
		t.Errorf("%+v", r)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	if r := NewClient().Do(context.Background(), closed, attempt("a-4")).Result; r.Code != pipeline.CodePathBroken || r.Outcome != pipeline.NotRun {
		t.Errorf("nothing was sent, got %+v", r)
	}
}

// silentAddr accepts connections; the first is never answered, the others are
// served by the exit at addr.
func silentAddr(t *testing.T, addr string) string {
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
				go pipe(conn, addr)
			}
		}
	}()
	return listener.Addr().String()
}

func pipe(conn net.Conn, addr string) {
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

// Guards against a request that is lost on a connection that has gone silent: an
// exit that withdraws it makes it safe to send elsewhere.
func TestSilentConnectionIsResolvedByWithdrawal(t *testing.T) {
	never := func(context.Context, *pipeline.Request) *pipeline.Result { panic(http.ErrAbortHandler) }
	addr := silentAddr(t, exit(t, never, true))
	if r := NewClient().Do(context.Background(), addr, attempt("a-5")).Result; r.Outcome != pipeline.NotRun {
		t.Errorf("withdrawn attempt: %+v", r)
	}
	addr = silentAddr(t, exit(t, never, false))
	once := attempt("a-6")
	once.Deadline = time.Now().Add(1500 * time.Millisecond)
	if r := NewClient().Do(context.Background(), addr, once).Result; r.Outcome != pipeline.Unknown {
		t.Errorf("attempt that may have run: %+v", r)
	}
}
