// Package httpdrain provides an HTTP server that tracks what becomes of its connections when
// it shuts down.
package httpdrain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server is an HTTP server that tracks its connections.
type Server struct {
	*http.Server
	dropped atomic.Int64
	serving sync.WaitGroup // goroutines of connections
}

// NewServer returns a Server. It sets ConnState and ConnContext of the http.Server, which
// must not be in use yet, and wraps its handler.
func NewServer(server *http.Server) *Server {
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := trackedConn(nc); c != nil {
			c.setState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, trackedConn(nc))
	}
	server.Handler = markHandled(server.Handler)
	return &Server{Server: server}
}

// connKey is the key of the connection of a request in its context.
type connKey struct{}

// markHandled wraps a handler and records that a request is being handled.
func markHandled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
			c.beginRequest()
		}
		next.ServeHTTP(w, r)
	})
}

// trackedConn returns the tracked connection below nc, or nil if there is none.
func trackedConn(nc net.Conn) *conn {
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Serve accepts connections like Serve of http.Server.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(&listener{l, s}) }

// Dropped returns the number of connections that the server closed after it had read a
// request, or a part of one, that no handler got.
func (s *Server) Dropped() int64 { return s.dropped.Load() }

// Wait returns when the goroutines of all connections have ended, or with an error when
// ctx is done. Shutdown and Close of http.Server don't wait for those of the connections
// that they close.
func (s *Server) Wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// listener accepts the connections that a server tracks.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, server: l.server}, nil
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	server *Server

	mu      sync.Mutex
	handled bool // a handler got the last request
	arrived bool // a part of the next request has been read
	failed  bool // the last read failed
	closed  bool
}

// setState follows the state that http.Server reports.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.server.serving.Add(1)
	case http.StateIdle:
		c.mu.Lock()
		c.handled = false
		c.mu.Unlock()
	case http.StateClosed:
		c.server.serving.Done()
	}
}

// beginRequest records that a handler got the request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.arrived = true, false
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = c.arrived || (n > 0 && !c.handled)
	c.failed = err != nil
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.arrived && !c.failed && !c.closed {
		c.server.dropped.Add(1)
	}
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}
