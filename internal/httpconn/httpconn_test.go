package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedServer answers each request with the next text; an empty text closes the
// connection without a response.
type scriptedServer struct {
	listener net.Listener
	requests atomic.Int32
	conns    atomic.Int32
}

func serve(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &scriptedServer{listener: listener}
	next := make(chan string, len(responses))
	for _, a := range responses {
		next <- a
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.handle(conn, next)
		}
	}()
	return s
}

func (s *scriptedServer) handle(conn net.Conn, next chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		response := <-next
		if response == "" {
			return
		}
		_, _ = io.WriteString(conn, response)
		if req.Close {
			return
		}
	}
}

func client(maxIdlePerAddr int) *Client {
	dialer := &net.Dialer{}
	return NewClient(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}, MaxIdle: 5 * time.Second, MaxIdlePerAddr: maxIdlePerAddr})
}

func do(c *Client, s *scriptedServer, id string) (*Response, error) {
	addr := s.listener.Addr().String()
	return c.Do(context.Background(), &Exchange{
		Addr:          addr,
		Request:       &http.Request{Method: "PUT", URL: &url.URL{Scheme: "http", Host: addr, Opaque: "/a"}, Header: http.Header{}, Host: "a"},
		Body:          []byte("body"),
		MatchResponse: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	})
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\n" + body
}

// Guards against taking a late response to an earlier request on the same connection
// for the response to the next one.
func TestLateResponsesAreSkipped(t *testing.T) {
	s := serve(t, response("1", "aa"), response("1", "zz")+response("2", "bb"))
	c := client(4)
	if _, err := do(c, s, "1"); err != nil {
		t.Fatal(err)
	}
	got, err := do(c, s, "2")
	if err != nil || string(got.Body) != "bb" {
		t.Fatalf("%+v, %v", got, err)
	}
	if s.conns.Load() != 1 {
		t.Errorf("%d connections, want 1", s.conns.Load())
	}
}

// Guards against taking extra bytes after a response for the next response: the
// connection must not be reused.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	s := serve(t, response("1", "aa")+response("2", "zz"), response("2", "bb"))
	c := client(4)
	if _, err := do(c, s, "1"); err != nil {
		t.Fatal(err)
	}
	got, err := do(c, s, "2")
	if err != nil || string(got.Body) != "bb" {
		t.Fatalf("%+v, %v", got, err)
	}
}

// Guards against the client resending a request after the connection was lost: the
// server may have executed it.
func TestRequestIsNotResentAfterConnectionLoss(t *testing.T) {
	s := serve(t, response("1", "aa"), "", response("2", "bb"))
	c := client(4)
	if _, err := do(c, s, "1"); err != nil {
		t.Fatal(err)
	}
	_, err := do(c, s, "2")
	var failure *Error
	if !errors.As(err, &failure) || failure.Kind != ConnectionLost {
		t.Fatalf("error %v, want ConnectionLost", err)
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

// Guards against delivering a truncated or malformed response as a complete one.
func TestInvalidResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab",
		"not HTTP":  "what?\r\n\r\n",
	} {
		s := serve(t, text, "")
		c := client(4)
		addr := s.listener.Addr().String()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := c.Do(ctx, &Exchange{Addr: addr, Request: &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Header: http.Header{}, Host: "a"}})
		cancel()
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Guards against delivering a response as complete whose head or body ended early, with
// and without a length.
func TestResponseCutAfterEachByteIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n"
	for _, whole := range []string{
		head + "Content-Length: 12\r\n\r\nhello world!",
		head + "Transfer-Encoding: chunked\r\n\r\nc\r\nhello world!\r\n0\r\n\r\n",
		head + "Connection: close\r\n\r\n", // the length is known from the end of the connection
	} {
		for n := 1; n < len(whole); n++ {
			s := serve(t, whole[:n], "")
			if got, err := doOnce(client(0), s); err == nil {
				t.Fatalf("cut after %d bytes of %q: %+v", n, whole, got)
			}
			s.listener.Close()
		}
	}
}

// doOnce sends a request whose server closes the connection after its response.
func doOnce(c *Client, s *scriptedServer) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	addr := s.listener.Addr().String()
	return c.Do(ctx, &Exchange{Addr: addr, Request: &http.Request{
		Method: "GET", URL: &url.URL{Scheme: "http", Host: addr, Opaque: "/a"}, Header: http.Header{"Connection": {"close"}}, Host: "a",
	}})
}

// Guards against a panic or an error in a client with maxIdlePerAddr 0 when it returns
// a connection to the idle list.
func TestClientWithoutIdleConnections(t *testing.T) {
	s := serve(t, response("1", "aa"), response("2", "bb"))
	c := client(0)
	for _, id := range []string{"1", "2"} {
		if _, err := do(c, s, id); err != nil {
			t.Fatal(err)
		}
	}
	if s.conns.Load() != 2 {
		t.Errorf("%d connections, want 2", s.conns.Load())
	}
}

// Guards against an exchange that continues after its context is done.
func TestContextCancelsExchange(t *testing.T) {
	s := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	addr := s.listener.Addr().String()
	_, err := client(1).Do(ctx, &Exchange{Addr: addr, Request: &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Header: http.Header{}, Host: "a"}})
	var failure *Error
	if !errors.As(err, &failure) || failure.Kind != ContextDone || !strings.Contains(err.Error(), "deadline") {
		t.Fatalf("error %v", err)
	}
}

// serveEndless answers each request with a text and then with bytes without end. It
// returns the number of bytes that it could send.
func serveEndless(t *testing.T, start, repeated string) (*scriptedServer, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var sent atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, start)
			for chunk := []byte(strings.Repeat(repeated, 4096/len(repeated))); err == nil; {
				var n int
				n, err = conn.Write(chunk)
				sent.Add(int64(n))
			}
			conn.Close()
		}
	}()
	return &scriptedServer{listener: listener}, &sent
}

// Guards against a process that runs out of memory because a server sends bytes without
// end, in a header or a body.
func TestEndlessResponsesAreCut(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeated string
		limit           int64
	}{
		"no response":         {"", "x", maxHeaderBytes},
		"one header line":     {"HTTP/1.1 200 OK\r\nLong: ", "x", maxHeaderBytes},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "A: b\r\n", maxHeaderBytes},
		"body without length": {"HTTP/1.1 200 OK\r\n\r\n", "x", maxBodyBytes},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nxx\r\n", 4 * maxBodyBytes},
	} {
		s, sent := serveEndless(t, c.start, c.repeated)
		_, err := do(client(2), s, "1")
		var failed *Error
		if !errors.As(err, &failed) || failed.Kind != InvalidResponse {
			t.Errorf("%s: error %v", name, err)
		}
		if permitted := c.limit + 16<<20; sent.Load() > permitted {
			t.Errorf("%s: %d bytes were read", name, sent.Load())
		}
	}
}

// endlessServer answers on connections without buffers with a head and an endless body. It
// sends one chunk of the body per chunkInterval.
type endlessServer struct {
	head string
	held atomic.Int64 // bytes read by the client on connections that are open
}

const chunkInterval = time.Millisecond

// dial implements Options.Dial.
func (s *endlessServer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		_, err := io.WriteString(server, s.head)
		for chunk := make([]byte, 4096); err == nil; {
			time.Sleep(chunkInterval)
			_, err = server.Write(chunk)
		}
	}()
	return &countedConn{Conn: client, held: &s.held}, nil
}

// countedConn counts the bytes that were read until it is closed.
type countedConn struct {
	net.Conn
	held *atomic.Int64
	read int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += int64(n)
	c.held.Add(int64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.held.Add(-c.read)
	c.read = 0
	return c.Conn.Close()
}

// Guards against a process that runs out of memory because a server answers many requests
// at once with bodies without end, and against small responses that wait for these.
func TestEndlessBodiesAreBoundedTogether(t *testing.T) {
	const exchanges = 50
	const limit = 2 * maxBodyBytes
	const permitted = limit + exchanges*(smallBodyBytes+2*bufferBytes)
	synctest.Test(t, func(t *testing.T) {
		endless := &endlessServer{head: "HTTP/1.1 200 OK\r\n\r\n"}
		small := &endlessServer{head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"}
		c := NewClient(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "small" {
				return small.dial(ctx, addr)
			}
			return endless.dial(ctx, addr)
		}, MaxLargeBodyBytes: limit})
		get := func(addr string) error {
			_, err := c.Do(t.Context(), &Exchange{Addr: addr, Request: NewRequest("GET", addr, "a", "/", "", http.Header{})})
			return err
		}
		var open atomic.Int64
		open.Store(exchanges)
		for range exchanges {
			go func() {
				defer open.Add(-1)
				var failed *Error
				if err := get("endless"); !errors.As(err, &failed) || failed.Kind != InvalidResponse {
					t.Errorf("error %v", err)
				}
			}()
		}
		peak, reachedLimit := int64(0), false
		for open.Load() > 0 {
			time.Sleep(chunkInterval)
			synctest.Wait()
			peak = max(peak, endless.held.Load())
			if !reachedLimit && peak > limit {
				reachedLimit = true
				began := time.Now()
				if err := get("small"); err != nil || time.Since(began) > 0 {
					t.Errorf("small response beside large ones: error %v after %v", err, time.Since(began))
				}
			}
		}
		if peak > permitted {
			t.Errorf("%d bytes were held at once, %d are permitted", peak, permitted)
		}
		if !reachedLimit {
			t.Errorf("at most %d bytes were held at once, the limit of %d was not reached", peak, limit)
		}
		time.Sleep(2 * chunkInterval) // the servers notice the closed connections
	})
}

// Guards against a large body that is changed, cut or taken for a complete one although it
// ended early.
func TestLargeBodies(t *testing.T) {
	body := strings.Repeat("0123456789abcde\n", (smallBodyBytes+smallBodyBytes/2)/16)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	plain := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, text := range map[string]string{"length": plain, "chunks": chunked + "0\r\n\r\n"} {
		if got, err := doOnce(client(0), serve(t, text, "")); err != nil || string(got.Body) != body {
			t.Errorf("%s: error %v", name, err)
		}
	}
	for name, text := range map[string]string{"length": plain[:len(plain)-1], "chunks": chunked, "declared length": "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n"} {
		if _, err := doOnce(client(0), serve(t, text, "")); err == nil {
			t.Errorf("%s: a body that ended early or is too long is complete", name)
		}
	}
}
