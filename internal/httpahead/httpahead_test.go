package httpahead

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpdrain"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// run is a request as a handler saw it.
type run struct {
	path           string
	began, arrived time.Duration // since the start of the test
	canceled       bool
}

// fixture is a server with a connection to it, in virtual time.
type fixture struct {
	layer  *Layer
	server *httpdrain.Server
	conn   net.Conn
	reader *bufio.Reader
	start  time.Time
	served chan error

	mu   sync.Mutex
	runs []run
}

var testOptions = Options{
	MayRunAhead: func(r *http.Request) bool { return r.Method != http.MethodPost },
	MaxRequests: 8, MaxRequestBytes: 8 << 10, MaxConnBytes: 1 << 20, MaxBytes: 1 << 20,
}

// newFixture starts a server, with a Layer unless opts is the zero value.
func newFixture(t *testing.T, opts Options) *fixture {
	t.Helper()
	f := &fixture{layer: New(opts), start: time.Now(), served: make(chan error, 1)}
	f.server = httpdrain.NewServer(&http.Server{
		Handler: f, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0),
	})
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() {
		if opts.MayRunAhead == nil {
			f.served <- f.server.Serve(l)
		} else {
			f.served <- f.layer.Serve(f.server, l)
		}
	}()
	client, server := net.Pipe()
	l.conns <- server
	f.conn, f.reader = client, bufio.NewReader(client)
	t.Cleanup(func() {
		client.Close()
		if err := f.server.Close(); err != nil {
			t.Error(err)
		}
		if err := f.server.Wait(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-f.served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return f
}

// ServeHTTP answers with the path and the length of the body after the time and with the
// faults that the query asks for.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	record := run{path: r.URL.Path, began: time.Since(f.start)}
	if arrived := httpdrain.Arrived(r); !arrived.IsZero() {
		record.arrived = arrived.Sub(f.start)
	}
	query := r.URL.Query()
	if wait, err := time.ParseDuration(query.Get("wait")); err == nil {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			record.canceled = true
		}
	}
	f.mu.Lock()
	f.runs = append(f.runs, record)
	f.mu.Unlock()
	w.Header()["Date"] = nil
	if query.Has("close") {
		w.Header().Set("Connection", "close")
	}
	var size int
	_, _ = fmt.Sscan(query.Get("size"), &size)
	fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(body), strings.Repeat("x", size))
	if query.Has("abort") {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// ran returns the requests that handlers have completed, in the order of their starts.
func (f *fixture) ran() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := slices.Clone(f.runs)
	slices.SortFunc(runs, func(a, b run) int { return int(a.began - b.began) })
	return runs
}

func (f *fixture) ranPath(path string) (run, bool) {
	for _, r := range f.ran() {
		if r.path == path {
			return r, true
		}
	}
	return run{}, false
}

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(target string, body int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", target, body, strings.Repeat("b", body))
}

func chunked(target string, sizes ...int) string {
	text := "POST " + target + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, size := range sizes {
		text += fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size))
	}
	return text + "0\r\n\r\n"
}

// send sends text without waiting until it is read.
func (f *fixture) send(text string) {
	go func() { _, _ = io.WriteString(f.conn, text) }()
	synctest.Wait()
}

// answer is an answer, or the error of reading it.
type answer struct {
	path  string
	at    time.Duration
	close bool
	err   error
}

func (f *fixture) receive() answer {
	resp, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	path, _, _ := strings.Cut(string(body), " ")
	return answer{path, time.Since(f.start), resp.Close, err}
}

// expect reads answers and checks their paths.
func (f *fixture) expect(t *testing.T, paths ...string) (last answer) {
	t.Helper()
	for _, path := range paths {
		if last = f.receive(); last.err != nil || last.path != path {
			t.Fatalf("got %+v, want %s", last, path)
		}
	}
	return last
}

// expectEnd checks that the connection ends without another answer.
func (f *fixture) expectEnd(t *testing.T) {
	t.Helper()
	if rest, err := io.ReadAll(f.reader); err != nil || len(rest) > 0 {
		t.Errorf("behind the last answer: %q, %v", rest, err)
	}
}

// Guards against requests that are sent at once and run one after the other.
func TestRequestsSentAtOnceTakeAsLongAsOne(t *testing.T) {
	for name, gap := range map[string]time.Duration{"in one piece": 0, "one by one": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, testOptions)
				for _, path := range []string{"/1", "/2", "/3"} {
					f.send(get(path + "?wait=300ms"))
					time.Sleep(gap)
				}
				if last := f.expect(t, "/1", "/2", "/3"); last.at > 310*time.Millisecond || f.layer.Stats().Started != 2 {
					t.Errorf("answered after %v, %+v", last.at, f.layer.Stats())
				}
				f.send(get("/4") + get("/5"))
				f.expect(t, "/4", "/5")
				synctest.Wait()
				if s := f.layer.Stats(); s.HeldAnswers != 0 || s.Bytes != 0 || s.AtBound != 0 {
					t.Errorf("held after all answers: %+v", s)
				}
			})
		})
	}
}

// Guards against answers that overtake a slow one before them, and against late ones behind it.
func TestAnswersBehindASlowRequestFollowInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		f.send(get("/1?wait=2s") + get("/2?size=5000") + get("/3?wait=1s&size=9000") + get("/4"))
		time.Sleep(time.Second)
		synctest.Wait()
		if s := f.layer.Stats(); s.HeldAnswers != 3 || s.Bytes < 14000 {
			t.Errorf("while the first one runs: %+v", s)
		}
		if last := f.expect(t, "/1", "/2", "/3", "/4"); last.at != 2*time.Second {
			t.Errorf("answered after %v", last.at)
		}
	})
}

// Guards against a non-idempotent request that runs before all requests before it are answered.
func TestNonIdempotentRequestWaitsForItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		f.send(get("/1?wait=1s") + get("/2?wait=3s") + post("/3?wait=1s", 10) + get("/4?wait=1s"))
		f.expect(t, "/1", "/2", "/3", "/4")
		third, _ := f.ranPath("/3")
		fourth, _ := f.ranPath("/4")
		if third.began != 3*time.Second || fourth.began != third.began {
			t.Errorf("began after %v and %v", third.began, fourth.began)
		}
		if third.arrived != 0 || fourth.arrived != 0 {
			t.Errorf("arrived after %v and %v", third.arrived, fourth.arrived)
		}
	})
}

// Guards against a deadline that starts with the turn of a request instead of its arrival.
func TestArrivalOfAWaitingRequestIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		f.send(get("/1?wait=3s"))
		time.Sleep(time.Second)
		f.send(post("/2", 1))
		f.expect(t, "/1", "/2")
		if second, _ := f.ranPath("/2"); second.began != 3*time.Second || second.arrived != time.Second {
			t.Errorf("%+v", second)
		}
	})
}

// Guards against requests behind an answer that closes the connection that are run though not idempotent, answered, or not canceled.
func TestClosingAnswerIsTheLastOne(t *testing.T) {
	for name, c := range map[string]struct {
		first  string
		behind bool // the request behind may begin
	}{
		"answer":    {get("/1?wait=1s&close"), true},
		"malformed": {strings.Replace(get("/1"), "Host: a", "Host: a b", 1), true},
		"caller":    {strings.Replace(get("/1?wait=1s"), "Host", "Connection: close\r\nHost", 1), false},
		"HTTP/1.0":  {strings.Replace(get("/1?wait=1s"), "1.1", "1.0", 1), false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, before := range []string{"", get("/0?wait=10ms")} {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, testOptions)
					f.send(before + c.first + get("/2?wait=3s") + post("/3", 0))
					if before != "" {
						f.expect(t, "/0")
					}
					if last := f.receive(); !last.close {
						t.Errorf("%+v", last)
					}
					f.expectEnd(t)
					time.Sleep(5 * time.Second)
					if second, ran := f.ranPath("/2"); ran && (!second.canceled || !c.behind) {
						t.Error("the request behind was not canceled, or has begun behind one that closes")
					}
					if _, ran := f.ranPath("/3"); ran {
						t.Error("the non-idempotent request has run")
					}
				})
			}
		})
	}
}

// Guards against requests that run although they lie in the bytes of a request before them that the server refuses.
func TestNothingRunsBehindARefusedRequest(t *testing.T) {
	for name, first := range map[string]string{
		"field name":  "POST /1 HTTP/1.1\r\nHost: a\r\nContent Length: 40\r\n\r\n",
		"field value": "POST /1 HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n",
		"chunk end":   "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, before := range []string{"", get("/0?wait=10ms")} {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, testOptions)
					f.send(before + first + get("/2"))
					if _, err := io.ReadAll(f.reader); err != nil {
						t.Error(err)
					}
					if _, ran := f.ranPath("/2"); ran {
						t.Error("the request behind has run")
					}
				})
			}
		})
	}
}

// Guards against an answer that is cut but looks complete because another one follows.
func TestAbortedAnswerEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		f.send(get("/1?wait=1s") + get("/2?wait=10ms&abort") + get("/3?wait=2s"))
		time.Sleep(20 * time.Millisecond)
		if third, ended := f.ranPath("/3"); !ended || !third.canceled {
			t.Error("the request behind was not canceled at once")
		}
		f.expect(t, "/1")
		if second := f.receive(); second.path != "/2" || second.err == nil {
			t.Errorf("%+v", second)
		}
		f.expectEnd(t)
	})
}

// Guards against requests on connections with one request at a time that run ahead because they arrive while the server finishes an answer.
func TestRequestBehindAFinishedAnswerTakesTheUsualPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		f.send(get("/1"))
		f.send(get("/2")) // the answer is written but not read
		f.expect(t, "/1", "/2")
		if s := f.layer.Stats(); s.Started != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// Guards against requests of a caller that has left which run on.
func TestLeavingCallerCancelsAllRequests(t *testing.T) {
	for _, first := range []string{"/1?wait=1m", "/1"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, testOptions)
			f.send(get(first) + get("/2?wait=1m") + get("/3?wait=1m"))
			if first == "/1" {
				f.expect(t, "/1")
			}
			time.Sleep(time.Second)
			f.conn.Close()
			synctest.Wait()
			runs := f.ran()
			for _, r := range runs {
				if !r.canceled && r.path != first {
					t.Errorf("%s was not canceled", r.path)
				}
			}
			if s := f.layer.Stats(); len(runs) != 3 || s.Bytes != 0 || s.HeldAnswers != 0 {
				t.Errorf("%d have ended, %+v", len(runs), s)
			}
		})
	}
}

// Guards against misread bodies between requests, and against requests behind them that don't run ahead.
func TestLargeBodyBetweenRequests(t *testing.T) {
	for name, body := range map[string]string{"length": post("/2?wait=1s", 300<<10), "chunks": chunked("/2?wait=1s", 1, 100<<10, 5)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, testOptions)
				f.send(get("/1?wait=1s") + body + get("/3?wait=1s") + get("/4?wait=1s"))
				if last := f.expect(t, "/1", "/2", "/3", "/4"); last.at != 2*time.Second {
					t.Errorf("answered after %v", last.at)
				}
			})
		})
	}
}

// Guards against a planned stop that cuts requests which have begun, or begins further ones.
func TestShutdownAnswersRequestsThatHaveBegun(t *testing.T) {
	for _, waiting := range []string{"", post("/4", 0)} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, testOptions)
			f.send(get("/1?wait=2s") + get("/2?wait=3s") + get("/3?wait=1s") + waiting)
			done := make(chan error)
			go func() { done <- f.server.Shutdown(context.Background()) }()
			time.Sleep(time.Second)
			f.send(get("/5"))
			f.expect(t, "/1", "/2", "/3")
			f.expectEnd(t)
			if err := <-done; err != nil || f.server.Dropped() > 0 {
				t.Error(err, f.server.Dropped())
			}
			if runs := f.ran(); len(runs) != 3 {
				t.Errorf("%+v", runs)
			}
		})
	}
}

// Guards against a closing answer before requests that have begun, and against requests that begin behind a closing answer.
func TestAnswerMayEndTheConnectionOnlyIfNoneHasBegunBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		mayEnd := make(map[string]bool)
		f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			f.mu.Lock()
			mayEnd[r.URL.Path] = httpdrain.EndAfterAnswer(r)
			f.mu.Unlock()
			time.Sleep(time.Second)
			fmt.Fprint(w, r.URL.Path)
		})
		f.send(get("/1") + get("/2"))
		time.Sleep(1500 * time.Millisecond)
		f.send(get("/3"))
		f.expect(t, "/1", "/2")
		if n := f.layer.Stats().Started; n != 1 || mayEnd["/1"] || !mayEnd["/2"] {
			t.Errorf("%d have run ahead, %+v", n, mayEnd)
		}
	})
}

// Guards against memory without bounds for requests sent ahead: each bound stops the reading of the connection, and no request is lost by it.
func TestBoundsStopReading(t *testing.T) {
	const requests = 40
	for name, c := range map[string]struct {
		opts  func(*Options)
		query string
		began int // requests that have begun while the first one runs; 0 if it depends on their answers
	}{
		"requests":             {func(o *Options) { o.MaxRequests = 3 }, "", 4},
		"bytes of connection":  {func(o *Options) { o.MaxConnBytes = 5*requestOverhead + 4<<10 }, "", 6},
		"bytes of process":     {func(o *Options) { o.MaxBytes = 5*requestOverhead + 4<<10 }, "", 6},
		"answers held":         {func(o *Options) { o.MaxConnBytes = 9*requestOverhead + 10<<10 }, "?size=100000", 0},
		"nothing of a process": {func(o *Options) { o.MaxBytes = 0 }, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opts := testOptions
				c.opts(&opts)
				f := newFixture(t, opts)
				var text strings.Builder
				text.WriteString(get("/0?wait=1s"))
				for i := 1; i < requests; i++ {
					text.WriteString(get(fmt.Sprintf("/%d%s", i, c.query)))
				}
				sent := 0
				go func() {
					for chunk := range slices.Chunk([]byte(text.String()), 100) {
						n, _ := f.conn.Write(chunk)
						sent += n
					}
				}()
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				s := f.layer.Stats()
				if s.AtBound != 1 || s.Bytes > min(opts.MaxBytes, opts.MaxConnBytes) || (c.began > 0 && int(s.Started) != c.began-1) || sent == text.Len() {
					t.Errorf("%+v, %d of %d bytes read", s, sent, text.Len())
				}
				for i := range requests {
					f.expect(t, fmt.Sprintf("/%d", i))
				}
				synctest.Wait()
				if s := f.layer.Stats(); s.AtBound != 0 || s.Bytes != 0 {
					t.Errorf("after all answers: %+v", s)
				}
			})
		})
	}
}

// Guards against connections that end early, or never, because of the time for which requests ran ahead.
func TestIdleTimeStartsWithTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		f.send(get("/1") + get("/2?wait=70s"))
		f.expect(t, "/1", "/2")
		time.Sleep(59 * time.Second)
		f.send(get("/3"))
		f.expect(t, "/3")
		before := time.Now()
		f.expectEnd(t)
		if idle := time.Since(before); idle != time.Minute {
			t.Errorf("ended after %v", idle)
		}
	})
}

// Guards against a header that arrives without end and is not timed out in its turn.
func TestHeaderTimeStartsWithTheTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, testOptions)
		f.send(get("/1?wait=10s") + get("/2?wait=12s") + "GET /3 HTTP/1.1\r\n")
		last := f.expect(t, "/1", "/2")
		f.expectEnd(t)
		if end := time.Since(f.start) - last.at; end != 5*time.Second {
			t.Errorf("ended after %v", end)
		}
	})
}

// Guards against framing that net/http reads differently: such a connection is left to it.
func TestUnclearFramingIsRecognized(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: 1\r\nContent-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: gzip, chunked", "Content-Length: +1", "Content-Length: 1, 1", "Content-Length: 9999999999999999", "Content-Length :1", "Content-Length",
		"Content-Length: 1\r\n ", "X: a\r\n b", "X: a\n", "Content-Length:\r\n\t1", "Upgrade: x", "Expect: 100-continue", "Connection: Upgrade", "Connection: close, x",
	} {
		if _, state := scanHead([]byte("GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n\r\n")); state != headUnclear {
			t.Errorf("%q: %v", fields, state)
		}
	}
	for _, line := range []string{"", "GET / HTTP/1.0", "GET /", "CONNECT a:1 HTTP/1.1", "PRI * HTTP/2.0"} {
		if _, state := scanHead([]byte(line + "\r\nHost: a\r\n\r\n")); state != headUnclear {
			t.Errorf("%q: %v", line, state)
		}
	}
	h, state := scanHead([]byte("PUT / HTTP/1.1\r\ncontent-LENGTH:\t12 \r\nConnection: Close\r\n\r\n"))
	if state != headComplete || h.length != 12 || !h.last || h.chunked {
		t.Errorf("%+v %v", h, state)
	}
}

// Guards against an ended listener whose requests are still accepted, and one that can't be closed twice.
func TestRequestListenerCloses(t *testing.T) {
	l := &requestListener{accepted: make(chan *request), closed: make(chan struct{})}
	if err := errors.Join(l.Close(), l.Close()); err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) || l.offer(nil) {
		t.Error(err)
	}
}

// output returns what a server writes, and which non-idempotent requests it runs, if text
// arrives in the given pieces.
func output(t *testing.T, opts Options, text string, cuts []int) (written string, posts []string) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, opts)
		var received bytes.Buffer
		var clients sync.WaitGroup
		clients.Go(func() { _, _ = io.Copy(&received, f.conn) })
		clients.Go(func() {
			rest := text
			for i := 0; rest != ""; i++ {
				size := len(rest)
				if i < len(cuts) {
					size = min(cuts[i], size)
				}
				if _, err := io.WriteString(f.conn, rest[:size]); err != nil {
					return
				}
				rest = rest[size:]
				if i%3 == 0 {
					time.Sleep(3 * time.Millisecond)
				}
			}
		})
		clients.Wait() // the server ends the connection, at the latest when it is idle
		synctest.Wait()
		written = received.String()
		for _, r := range f.ran() {
			if strings.HasPrefix(r.path, "/post") {
				posts = append(posts, r.path)
			}
		}
	})
	return written, posts
}

// Guards against an answer that the caller loses because the connection is reset for the requests behind it.
func TestLastAnswerBeforeUnreadRequestsArrives(t *testing.T) {
	f := &fixture{layer: New(testOptions), start: time.Now()}
	f.server = httpdrain.NewServer(&http.Server{Handler: f})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = f.layer.Serve(f.server, l) }()
	defer f.server.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	f.reader = bufio.NewReader(conn)
	if _, err := io.WriteString(conn, get("/1?wait=50ms&close&size=200000")+strings.Repeat(post("/2", 100), 1000)); err != nil {
		t.Fatal(err)
	}
	for len(f.ran()) == 0 {
		<-time.After(10 * time.Millisecond)
	}
	if err := f.server.Wait(t.Context()); err != nil { // the server has closed the connection
		t.Fatal(err)
	}
	if last := f.expect(t, "/1"); !last.close {
		t.Errorf("%+v", last)
	}
}
