package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// script is a server that answers each request with the next text; an empty text
// closes the connection without an answer.
type script struct {
	listener net.Listener
	requests atomic.Int32
	conns    atomic.Int32
}

func serve(t *testing.T, answers ...string) *script {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &script{listener: listener}
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.talk(conn, next)
		}
	}()
	return s
}

func (s *script) talk(conn net.Conn, next chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		answer := <-next
		if answer == "" {
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
}

func client(keep int) *Client {
	dialer := &net.Dialer{}
	return NewClient(func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}, 5*time.Second, keep)
}

func do(c *Client, s *script, id string) (*Answer, error) {
	addr := s.listener.Addr().String()
	return c.Do(context.Background(), &Exchange{
		Addr:    addr,
		Request: &http.Request{Method: "PUT", URL: &url.URL{Scheme: "http", Host: addr, Opaque: "/a"}, Header: http.Header{}, Host: "a"},
		Payload: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	})
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\n" + body
}

// Guards against a late answer to an earlier request being taken for the answer
// to the next one.
func TestLateAnswersAreSkipped(t *testing.T) {
	s := serve(t, answer("1", "aa"), answer("1", "zz")+answer("2", "bb"))
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

// Guards against bytes after a whole answer being taken for the next one: the
// connection is not used again.
func TestExtraBytesEndTheConnection(t *testing.T) {
	s := serve(t, answer("1", "aa")+answer("2", "zz"), answer("2", "bb"))
	c := client(4)
	if _, err := do(c, s, "1"); err != nil {
		t.Fatal(err)
	}
	got, err := do(c, s, "2")
	if err != nil || string(got.Body) != "bb" {
		t.Fatalf("%+v, %v", got, err)
	}
}

// Guards against a request that is sent again by the client itself: the server
// may have run it.
func TestBrokenExchangeIsNotRepeated(t *testing.T) {
	s := serve(t, answer("1", "aa"), "", answer("2", "bb"))
	c := client(4)
	if _, err := do(c, s, "1"); err != nil {
		t.Fatal(err)
	}
	_, err := do(c, s, "2")
	var failure *Error
	if !errors.As(err, &failure) || failure.Failure != Broken {
		t.Fatalf("error %v, want a broken exchange", err)
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

// Guards against answers that are cut or no HTTP being delivered as whole.
func TestSpoiledAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"cut":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab",
		"no HTTP": "what?\r\n\r\n",
	} {
		s := serve(t, text, "")
		conn := client(4)
		addr := s.listener.Addr().String()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := conn.Do(ctx, &Exchange{Addr: addr, Request: &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Header: http.Header{}, Host: "a"}})
		cancel()
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Guards against a client that keeps no connections and fails when it gives one
// back.
func TestClientWithoutIdleConnections(t *testing.T) {
	s := serve(t, answer("1", "aa"), answer("2", "bb"))
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

// Guards against a context that ends without ending the exchange.
func TestContextEndsTheExchange(t *testing.T) {
	s := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	addr := s.listener.Addr().String()
	_, err := client(1).Do(ctx, &Exchange{Addr: addr, Request: &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Header: http.Header{}, Host: "a"}})
	var failure *Error
	if !errors.As(err, &failure) || failure.Failure != Ended || !strings.Contains(err.Error(), "deadline") {
		t.Fatalf("error %v", err)
	}
}
