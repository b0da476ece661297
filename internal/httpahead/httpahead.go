// Package httpahead lets an HTTP/1.1 server run requests that a caller sends on a connection
// before the earlier ones are answered, and answers them in the order of the requests.
//
// The server of net/http runs one request of a connection at a time. The listener of this
// package hands its server the bytes of one request at a time and looks for further ones
// meanwhile. Those that may run ahead are accepted by the same server as connections of their
// own; their answers are held until it is their turn. All other requests stay unread until the
// ones before them are answered. An answer after which the server closes the connection is the
// last one: requests behind it are canceled and not answered.
//
// A connection whose framing is not beyond doubt is served as by net/http alone, from the
// request in doubt to its end. Handlers must not hijack a connection unless its request has
// an Upgrade header.
package httpahead

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Options configures a Layer.
type Options struct {
	// MayRunAhead reports whether a request may run before the ones before it are answered.
	// Its body must not be read.
	MayRunAhead func(*http.Request) bool
	// MaxRequests is the maximum number of requests of a connection that run ahead.
	MaxRequests int
	// MaxRequestBytes is the maximum size of a request that runs ahead, and of the bytes of a
	// connection that are read and not yet part of a request that runs.
	MaxRequestBytes int
	// MaxConnBytes and MaxBytes limit the memory of requests that run ahead and of their
	// answers, for a connection and for all.
	MaxConnBytes int64
	MaxBytes     int64
}

// Layer runs requests ahead on the connections of its listeners.
type Layer struct {
	opts    Options
	bytes   atomic.Int64 // charged by all connections
	started atomic.Int64
	held    atomic.Int64
	atBound atomic.Int64
}

// Stats describes what a Layer has done and holds.
type Stats struct {
	Started     int64 // requests that ran ahead, since the start
	HeldAnswers int64 // answers, complete or in part, that wait for their turn
	Bytes       int64 // memory charged for requests that run ahead and their answers
	AtBound     int64 // connections that are not read further because of a bound
}

// New returns a Layer.
func New(opts Options) *Layer { return &Layer{opts: opts} }

// Stats returns the current counts.
func (l *Layer) Stats() Stats {
	return Stats{Started: l.started.Load(), HeldAnswers: l.held.Load(), Bytes: l.bytes.Load(), AtBound: l.atBound.Load()}
}

// Server accepts connections until its listeners are closed.
type Server interface {
	Serve(net.Listener) error
}

// Serve runs a server on a listener and on the requests that run ahead on its connections.
func (l *Layer) Serve(server Server, inner net.Listener) error {
	ahead := &requestListener{addr: inner.Addr(), accepted: make(chan *request), closed: make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error {
		err := server.Serve(ahead)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	err := server.Serve(&listener{inner, l, ahead})
	return errors.Join(err, ahead.Close(), group.Wait())
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	layer *Layer
	ahead *requestListener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(nc, l.layer, l.ahead), nil
}

// requestListener accepts the requests that run ahead, as connections.
type requestListener struct {
	addr     net.Addr
	accepted chan *request
	closed   chan struct{}
	once     sync.Once
}

// offer passes a request to the server. It returns false if the server accepts no more.
func (l *requestListener) offer(r *request) bool {
	select {
	case l.accepted <- r:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *requestListener) Accept() (net.Conn, error) {
	select {
	case r := <-l.accepted:
		return r, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *requestListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *requestListener) Addr() net.Addr { return l.addr }
