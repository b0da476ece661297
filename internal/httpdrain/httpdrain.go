// Package httpdrain provides an HTTP/1.1 server that shuts down without dropping a request
// that it has read.
//
// Shutdown of http.Server does drop such requests: once it has begun, a request that is
// read from a new connection, or from a kept one that is being closed, gets no answer and
// reaches no handler.
package httpdrain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
)

// Server is an HTTP server that tracks its connections.
type Server struct {
	*http.Server
	dropped atomic.Int64

	mu        sync.Mutex
	draining  bool
	listeners []net.Listener
	conns     map[*conn]struct{} // until http.Server has finished with them
	none      chan struct{}      // closed when conns is empty; replaced when a connection is accepted
}

// NewServer returns a Server. It sets ConnState and ConnContext of the http.Server, which
// must not be in use yet, and wraps its handler. TLS and HTTP/2 are not supported.
func NewServer(server *http.Server) *Server {
	s := &Server{Server: server, conns: make(map[*conn]struct{}), none: make(chan struct{})}
	close(s.none)
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok {
			c.setState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.Handler = s.trackRequests(server.Handler)
	return s
}

// connKey is the key of the connection of a request in its context.
type connKey struct{}

// trackRequests wraps a handler. It records that a request is being handled, and asks the
// client not to reuse the connection during a shutdown.
func (s *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.beginRequest()
		}
		if s.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve accepts connections like Serve of http.Server. It returns http.ErrServerClosed
// after Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	draining := s.draining
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	if draining {
		return errors.Join(http.ErrServerClosed, l.Close())
	}
	err := s.Server.Serve(&listener{l, s})
	if errors.Is(err, net.ErrClosed) && s.isDraining() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting connections and returns when all of them have ended, or with an
// error when ctx is done. A connection from which no part of a request has been read is
// closed at once, so that its client knows that a request sent meanwhile was not read. A
// request that has been read is handled, and its connection is closed after the answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	listeners, conns := s.listeners, slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	var closeErr error
	for _, l := range listeners {
		if err := l.Close(); !errors.Is(err, net.ErrClosed) {
			closeErr = errors.Join(closeErr, err)
		}
	}
	for _, c := range conns {
		c.stopWaiting()
	}
	return errors.Join(s.Wait(ctx), closeErr)
}

// Wait returns when the goroutines of all connections have ended, or with an error when
// ctx is done. Close doesn't wait for those of the connections that it closes.
func (s *Server) Wait(ctx context.Context) error {
	s.mu.Lock()
	none := s.none
	s.mu.Unlock()
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns the number of connections that the server closed after it had read a
// request, or a part of one, that no handler got.
func (s *Server) Dropped() int64 { return s.dropped.Load() }

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// add tracks an accepted connection. It reports whether the server is shutting down.
func (s *Server) add(c *conn) (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 {
		s.none = make(chan struct{})
	}
	s.conns[c] = struct{}{}
	return s.draining
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 {
		close(s.none)
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
	c := &conn{Conn: nc, server: l.server}
	if l.server.add(c) {
		c.stopWaiting()
	}
	return c, nil
}
