package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/platform"
)

// aheadFixture is a process with an idempotent route, /read/, and one that is not, /, before
// a backend server that holds its answers.
type aheadFixture struct {
	*stopFixture
	arrived chan string   // paths of requests at the backend server
	release chan struct{} // closed when it may answer
	booked  atomic.Int64  // requests of the route that is not idempotent
}

func newAheadFixture(t *testing.T) *aheadFixture {
	t.Helper()
	f := &aheadFixture{newStopFixture(t), make(chan string, 16), make(chan struct{}), atomic.Int64{}}
	f.settings.MemoryBytes = 184 << 20
	route := routing.Route{
		Name: "book", Host: "a.example", Prefix: "/", AllowAnonymous: true, Timeout: 14 * time.Second, TargetLatency: time.Second, MaxAttempts: 1,
		WeightedServices: []routing.WeightedService{{Service: "roster", Weight: 1}},
	}
	read := route
	read.Name, read.Prefix, read.Idempotent = "read", "/read/", true
	config, err := platform.EncodeConfig(&routing.Config{Version: 2, Services: []routing.Service{{Name: "roster"}}, Routes: []routing.Route{route, read}})
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put("op/config", string(config))
	listener, err := net.Listen("tcp", f.settings.BackendAddr)
	if err != nil {
		t.Fatal(err)
	}
	backend := &http.Server{Handler: http.HandlerFunc(f.answer)}
	go func() { _ = backend.Serve(listener) }()
	t.Cleanup(func() { backend.Close() })
	entry, err := platform.EncodeServer(&mesh.Server{Service: "roster", Zone: "a", Addr: f.settings.BackendAddr, Slots: 8, StartUnixMS: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put("servers/i-1", string(entry))
	return f
}

// answer answers as the backend server.
func (f *aheadFixture) answer(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		f.booked.Add(1)
	}
	f.arrived <- r.URL.Path
	<-f.release
	w.Header().Set(platform.HeaderAttemptID, r.Header.Get(platform.HeaderAttemptID))
	w.Header().Set(platform.HeaderResponseSignature, "s")
	fmt.Fprint(w, r.URL.Path)
}

// send sends three requests that may run ahead and one that may not, on one connection, and
// waits until the three have reached the backend server.
func (f *aheadFixture) send(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", f.settings.CallersAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"GET /read/1", "GET /read/2", "GET /read/3", "POST /4"} {
		fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n\r\n", line, platform.HeaderAttemptID, line[len(line)-1:])
	}
	for range 3 {
		select {
		case path := <-f.arrived:
			if path == "/4" {
				t.Error("the request that is not idempotent runs ahead")
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the requests don't run at the same time")
		}
	}
	return conn, bufio.NewReader(conn)
}

// expect reads an answer and returns whether it is the last one.
func expect(t *testing.T, reader *bufio.Reader, path string) (last bool) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != path || resp.StatusCode != http.StatusOK {
		t.Fatalf("%d %q, %v, want %s", resp.StatusCode, body, err, path)
	}
	return resp.Close
}

// Guards against requests sent ahead that run one after the other, and answers in another order than their requests.
func TestRequestsSentAheadRunAtTheSameTime(t *testing.T) {
	f := newAheadFixture(t)
	run(t.Context(), t, f.settings)
	_, reader := f.send(t)
	close(f.release)
	for _, path := range []string{"/read/1", "/read/2", "/read/3", "/4"} {
		if expect(t, reader, path) {
			t.Errorf("the answer to %s closes the connection", path)
		}
	}
}

// Guards against a planned stop that cuts requests sent ahead which have begun, or begins further ones.
func TestPlannedStopAnswersRequestsSentAhead(t *testing.T) {
	f := newAheadFixture(t)
	ctx, stop := context.WithCancel(t.Context())
	stopped := run(ctx, t, f.settings)
	conn, reader := f.send(t)
	stop()
	<-time.After(300 * time.Millisecond)
	fmt.Fprint(conn, "GET /read/5 HTTP/1.1\r\nHost: a.example\r\n\r\n")
	<-time.After(100 * time.Millisecond)
	close(f.release)
	if expect(t, reader, "/read/1") || expect(t, reader, "/read/2") || !expect(t, reader, "/read/3") {
		t.Error("not the last answer, but an earlier one, closes the connection")
	}
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("behind the last answer: %q, %v", rest, err)
	}
	<-stopped
	if n := f.booked.Load(); n > 0 || len(f.arrived) > 0 {
		t.Errorf("%d requests that are not idempotent have run, %d others", n, len(f.arrived))
	}
}
