package httpdrain

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

// gatedListener accepts connections whose reads return a request only once the gate is open.
type gatedListener struct {
	net.Listener
	arrived chan struct{} // receives a value when a request has been read behind the closed gate
	gate    chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (l *gatedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{nc.(*net.TCPConn), l}, nil
}

func (l *gatedListener) Close() error {
	defer l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type gatedConn struct {
	*net.TCPConn
	listener *gatedListener
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 1 { // net/http reads single bytes to detect that a client has left
		c.listener.arrived <- struct{}{}
		<-c.listener.gate
	}
	return n, err
}

type shutdowner interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

// exchange sends a request and returns the error of its answer.
func exchange(conn net.Conn, reader *bufio.Reader) (*http.Response, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// serve starts a server behind a gate and returns a connection to it.
func serve(t *testing.T, server shutdowner) (*gatedListener, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &gatedListener{Listener: inner, arrived: make(chan struct{}, 100), gate: make(chan struct{}), closed: make(chan struct{})}
	go func() { _ = server.Serve(l) }()
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return l, conn
}

func answerOK(http.ResponseWriter, *http.Request) {}

// Guards against requests that are dropped because they were read while a shutdown began.
func TestShutdownAnswersRequestsThatWereRead(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		server := NewServer(&http.Server{Handler: http.HandlerFunc(answerOK), ReadHeaderTimeout: time.Minute})
		l, conn := serve(t, server)
		reader := bufio.NewReader(conn)
		if kept {
			go func() { <-l.arrived; l.gate <- struct{}{} }()
			if _, err := exchange(conn, reader); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		done := make(chan error)
		go func() {
			<-l.arrived
			go func() {
				<-l.closed
				for !server.reached(draining) {
					runtime.Gosched()
				}
				close(l.gate)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			done <- server.Shutdown(ctx)
		}()
		resp, err := exchange(conn, reader)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if !resp.Close {
			t.Errorf("%s: the answer lets the client reuse the connection", name)
		}
		if err := <-done; err != nil || server.Dropped() > 0 {
			t.Errorf("%s: %v, %d requests dropped", name, err, server.Dropped())
		}
	}
}

// Guards against a shutdown that waits for connections on which nothing arrives.
func TestShutdownClosesConnectionsThatWait(t *testing.T) {
	server := NewServer(&http.Server{Handler: http.HandlerFunc(answerOK), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	l, kept := serve(t, server)
	close(l.gate)
	reader := bufio.NewReader(kept)
	if _, err := exchange(kept, reader); err != nil {
		t.Fatal(err)
	}
	unused, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	for name, conn := range map[string]net.Conn{"kept": kept, "unused": unused} {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("the %s connection is open", name)
		}
	}
	if err := server.Serve(l); err == nil {
		t.Error("serves after the shutdown")
	}
}

// Guards against a shutdown that closes connections before their requests are answered, and one that never gives up.
func TestShutdownAwaitsRunningRequests(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	server := NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-finish
	})})
	l, conn := serve(t, server)
	close(l.gate)
	answer := make(chan error)
	go func() {
		_, err := exchange(conn, bufio.NewReader(conn))
		answer <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(ctx); err == nil {
		t.Error("the shutdown returned while a request was running")
	}
	close(finish)
	if err := <-answer; err != nil {
		t.Error(err)
	}
	if err := server.Wait(t.Context()); err != nil {
		t.Error(err)
	}
}

// protocols returns HTTP/1, or HTTP/2 with and without TLS.
func protocols(http2 bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(!http2)
	p.SetHTTP2(http2)
	p.SetUnencryptedHTTP2(http2)
	return p
}

// Guards against a shutdown that fails requests, or does not end, because of HTTP/2 or TLS.
func TestShutdownServesEveryProtocol(t *testing.T) {
	certificates := httptest.NewTLSServer(nil)
	defer certificates.Close()
	for name, c := range map[string]struct{ http2, secure bool }{
		"HTTP/1": {}, "HTTP/1 with TLS": {secure: true}, "HTTP/2": {http2: true}, "HTTP/2 with TLS": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := NewServer(&http.Server{Handler: http.HandlerFunc(answerOK), ReadHeaderTimeout: time.Minute, Protocols: protocols(c.http2)})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			transport := &http.Transport{Protocols: protocols(c.http2)}
			defer transport.CloseIdleConnections()
			url, serve := "http://"+listener.Addr().String(), server.Serve
			if c.secure {
				server.TLSConfig = &tls.Config{Certificates: certificates.TLS.Certificates}
				transport.TLSClientConfig = &tls.Config{InsecureSkipVerify: true}
				url, serve = "https://"+listener.Addr().String(), server.ServeTLS
			}
			served := make(chan error)
			go func() { served <- serve(listener) }()
			stopped := make(chan error)
			for n := 0; ; n++ {
				if n == 50 {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						defer cancel()
						stopped <- server.Shutdown(ctx)
					}()
				}
				req, err := http.NewRequest(http.MethodGet, url, nil)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := transport.RoundTrip(req)
				if errors.Is(err, syscall.ECONNREFUSED) && n >= 50 {
					break
				}
				if err != nil {
					t.Fatalf("request %d: %v", n, err)
				}
				resp.Body.Close()
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			if err := <-served; !errors.Is(err, http.ErrServerClosed) {
				t.Error(err)
			}
		})
	}
}

// Guards against a client that waits for the end of an early answer because the tracked connection can't be half closed.
func TestEarlyAnswerEndsItsStream(t *testing.T) {
	server := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})})
	l, conn := serve(t, server)
	close(l.gate)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\npart"); err != nil {
		t.Fatal(err)
	}
	const resetAvoidanceTime = 500 * time.Millisecond // of net/http, before it closes the connection
	began := time.Now()
	if _, err := io.Copy(io.Discard, conn); err != nil || time.Since(began) > resetAvoidanceTime/2 {
		t.Errorf("the stream ended after %v: %v", time.Since(began), err)
	}
}
