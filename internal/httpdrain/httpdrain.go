// Package httpdrain provides an HTTP server that shuts down without dropping a request that
// it has read.
//
// Shutdown of http.Server does drop such requests: once it has begun, a request of HTTP/1
// that is read from a new connection, or from a kept one that is being closed as idle, gets
// no answer and reaches no handler. Connections of HTTP/2 that are idle are closed too, even
// if a request is arriving.
package httpdrain

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Server is an HTTP server that tracks its connections.
type Server struct {
	*http.Server
	dropped atomic.Int64

	mu        sync.Mutex
	phase     phase
	listeners []net.Listener
	conns     map[*conn]protocol // until http.Server has finished with them
	changed   chan struct{}      // closed and replaced when a connection ends or its protocol is known
}

// phase is the progress of a shutdown.
type phase uint8

const (
	serving   phase = iota
	closing         // the listeners are being closed
	draining        // connections of HTTP/1 end after their current requests
	goingAway       // connections of HTTP/2 end after their current requests
)

// protocol is the protocol of a connection.
type protocol uint8

const (
	http1 protocol = iota // or not known yet
	http2
)

// NewServer returns a Server. It sets ConnState and ConnContext of the http.Server, which
// must not be in use yet, and wraps its handler.
func NewServer(server *http.Server) *Server {
	s := &Server{Server: server, conns: make(map[*conn]protocol), changed: make(chan struct{})}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := trackedConn(nc); c != nil {
			c.setState(state, negotiatedHTTP2(nc))
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, trackedConn(nc))
	}
	server.Handler = s.trackRequests(server.Handler)
	return s
}

// connKey is the key of the connection of a request in its context.
type connKey struct{}

// trackedConn returns the tracked connection below nc, or nil if there is none.
func trackedConn(nc net.Conn) *conn {
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// negotiatedHTTP2 reports whether TLS has negotiated HTTP/2.
func negotiatedHTTP2(nc net.Conn) bool {
	secure, ok := nc.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

// trackRequests wraps a handler. It records that a request is being handled, and asks the
// client not to reuse the connection during a shutdown. The connection below learns when the
// handler has returned, if it has the method HandlerEnded.
func (s *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
			c.beginRequest()
		}
		if s.reached(draining) && EndAfterAnswer(r) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		if below, ok := connBelow(r).(interface{ HandlerEnded() }); ok {
			below.HandlerEnded()
		}
	})
}

// EndAfterAnswer reports whether the connection of a request may end after its answer. If
// the connection below has a method of this name, that decides: requests that were read
// behind this one may be running. If it returns true, it starts no further one.
func EndAfterAnswer(r *http.Request) bool {
	below, ok := connBelow(r).(interface{ EndAfterAnswer() bool })
	return !ok || below.EndAfterAnswer()
}

// Arrived returns when a request was read from its connection, if the connection below knows
// that and the request was held before it was handled, and the zero time otherwise.
func Arrived(r *http.Request) time.Time {
	if below, ok := connBelow(r).(interface{ Arrived() time.Time }); ok {
		return below.Arrived()
	}
	return time.Time{}
}

// connBelow returns the connection that the listener of Serve accepted for a request, or nil
// if it is not tracked.
func connBelow(r *http.Request) net.Conn {
	if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
		return c.Conn
	}
	return nil
}

// Serve accepts connections like Serve of http.Server. It returns http.ErrServerClosed
// after Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	return s.serve(l, s.Server.Serve)
}

// ServeTLS accepts connections like ServeTLS of http.Server, with the certificates of
// TLSConfig.
func (s *Server) ServeTLS(l net.Listener) error {
	return s.serve(l, func(l net.Listener) error { return s.Server.ServeTLS(l, "", "") })
}

func (s *Server) serve(l net.Listener, serve func(net.Listener) error) error {
	s.mu.Lock()
	begun := s.phase > serving
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	if begun {
		return errors.Join(http.ErrServerClosed, l.Close())
	}
	err := serve(&listener{l, s})
	if errors.Is(err, net.ErrClosed) && s.reached(closing) {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting connections and returns when all of them have ended, or with an
// error when ctx is done. A connection from which no part of a request has been read is
// closed at once, so that its client knows that a request sent meanwhile was not read. A
// request that has been read is handled, and its connection is closed after the answer.
// Clients of HTTP/2 are told to go away once no connection of HTTP/1 is left.
func (s *Server) Shutdown(ctx context.Context) error {
	s.enter(closing)
	closeErr := s.closeListeners()
	s.enter(draining)
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.stopWaiting()
	}
	if err := s.wait(ctx, http1); err != nil {
		return errors.Join(err, closeErr)
	}
	s.enter(goingAway)
	if err := s.Server.Shutdown(ctx); !errors.Is(err, net.ErrClosed) { // the listeners are closed
		closeErr = errors.Join(closeErr, err)
	}
	return errors.Join(s.Wait(ctx), closeErr)
}

func (s *Server) closeListeners() error {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	var failed error
	for _, l := range listeners {
		if err := l.Close(); !errors.Is(err, net.ErrClosed) {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// Wait returns when the goroutines of all connections have ended, or with an error when
// ctx is done. Close doesn't wait for those of the connections that it closes.
func (s *Server) Wait(ctx context.Context) error {
	return errors.Join(s.wait(ctx, http1), s.wait(ctx, http2))
}

// wait returns when no connection of a protocol is open, or with an error when ctx is done.
func (s *Server) wait(ctx context.Context, p protocol) error {
	for {
		s.mu.Lock()
		open := false
		for _, q := range s.conns {
			open = open || q == p
		}
		changed := s.changed
		s.mu.Unlock()
		if !open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Dropped returns the number of connections that the server closed after it had read a
// request of HTTP/1, or a part of one, that no handler got.
func (s *Server) Dropped() int64 { return s.dropped.Load() }

func (s *Server) enter(p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = p
}

// reached reports whether a shutdown has come to a phase.
func (s *Server) reached(p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase >= p
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = http1
}

// setProtocol records the protocol of a connection once it is known.
func (s *Server) setProtocol(c *conn, p protocol) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = p
	s.notifyWaiters()
}

// remove ends the tracking of a connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.notifyWaiters()
}

// notifyWaiters wakes the callers of wait. The caller holds the lock.
func (s *Server) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
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
	l.server.add(c)
	if l.server.reached(draining) {
		c.stopWaiting()
	}
	return c, nil
}
