package fakes

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// network runs the HTTP server of a fake backend server and tracks its connections, so
// that it can reset or silence them.
type network struct {
	address string
	handler http.Handler
	closed  chan struct{}
	once    sync.Once // closes closed

	mu         sync.Mutex
	server     *http.Server
	down       bool // crashed or closed
	open       map[*conn]bool
	lastNumber uint64
}

func listen(handler http.Handler) (*network, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	n := &network{
		address: listener.Addr().String(),
		handler: handler,
		closed:  make(chan struct{}),
		open:    make(map[*conn]bool),
	}
	n.serve(listener)
	return n, nil
}

type connectionKey struct{}

func connectionNumber(ctx context.Context) uint64 {
	number, _ := ctx.Value(connectionKey{}).(uint64)
	return number
}

func (n *network) serve(listener net.Listener) {
	server := &http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c.(*conn).number)
		},
	}
	n.mu.Lock()
	n.server, n.down = server, false
	n.mu.Unlock()
	go func() { _ = server.Serve(trackedListener{listener, n}) }()
}

// close stops the server for good.
func (n *network) close() {
	n.mu.Lock()
	n.down = true
	server := n.server
	n.mu.Unlock()
	n.once.Do(func() { close(n.closed) })
	_ = server.Close()
	n.forEachConn(func(c *conn) { _ = c.Close() })
}

func (n *network) forEachConn(do func(*conn)) {
	n.mu.Lock()
	all := make([]*conn, 0, len(n.open))
	for c := range n.open {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}

func (n *network) silence() {
	n.forEachConn(func(c *conn) { c.silent.Store(true) })
}

// reset stops the listener, resets the open connections, and restarts the server at the
// same address after a delay.
func (n *network) reset(delay time.Duration, restarted func()) {
	n.mu.Lock()
	if n.down {
		n.mu.Unlock()
		return
	}
	n.down = true
	server := n.server
	n.mu.Unlock()
	n.forEachConn(func(c *conn) {
		_ = c.Conn.(*net.TCPConn).SetLinger(0) // makes Close send a TCP reset
		_ = c.Close()
	})
	_ = server.Close()
	go n.restart(delay, restarted)
}

func (n *network) restart(delay time.Duration, restarted func()) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.closed:
		return
	}
	listener, err := net.Listen("tcp4", n.address)
	if err != nil {
		return // the port is in use; the server stays down
	}
	restarted()
	n.serve(listener)
}

// blockUntilCanceled blocks until the client cancels the request or the server closes,
// and then aborts it without a response.
func (n *network) blockUntilCanceled(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-n.closed:
	}
	panic(http.ErrAbortHandler)
}

// trackedListener is a listener that adds its connections to the network.
type trackedListener struct {
	net.Listener
	network *network
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.track(raw), nil
}

func (n *network) track(raw net.Conn) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastNumber++
	c := &conn{Conn: raw, number: n.lastNumber, network: n, done: make(chan struct{})}
	n.open[c] = true
	return c
}

func (n *network) untrack(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

// conn is a connection that can become silent: it then stays open and drops all incoming
// and outgoing bytes.
type conn struct {
	net.Conn
	number  uint64
	network *network
	silent  atomic.Bool
	once    sync.Once
	done    chan struct{} // closed when the connection closes
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The peer must not notice that a silent connection was
// closed, so it stays open until the network is down.
func (c *conn) Close() error {
	if c.silent.Load() && !c.network.isDown() {
		return nil
	}
	c.once.Do(func() {
		close(c.done)
		c.network.untrack(c)
	})
	return c.Conn.Close()
}

func (n *network) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}
