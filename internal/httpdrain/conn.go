package httpdrain

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"
)

// conn is a tracked connection.
type conn struct {
	net.Conn
	server *Server

	mu           sync.Mutex
	protocol     protocol
	started      bool      // bytes have been read
	handled      bool      // a handler got the last request
	arrived      bool      // a part of the next request has been read
	failed       bool      // the last read failed
	closed       bool      // Close has been called
	expired      bool      // reads fail unless bytes of a request have arrived
	readDeadline time.Time // of http.Server
}

// prefaceStart begins a connection on which a client speaks HTTP/2 without TLS. No request
// of HTTP/1 has this method.
const prefaceStart = "PRI * HTTP/2.0"

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// setState follows the state that http.Server reports.
func (c *conn) setState(state http.ConnState, negotiatedHTTP2 bool) {
	c.mu.Lock()
	if negotiatedHTTP2 && c.protocol != http2 {
		c.setHTTP2()
	}
	if state == http.StateIdle {
		c.handled = false
	}
	c.mu.Unlock()
	switch {
	case state == http.StateClosed:
		c.server.remove(c)
	case state == http.StateIdle && c.server.reached(draining):
		c.stopWaiting()
	}
}

// setHTTP2 records that the connection carries HTTP/2. The caller holds the lock.
func (c *conn) setHTTP2() {
	c.protocol = http2
	c.server.setProtocol(c, http2)
}

// beginRequest records that a handler got the request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.arrived = true, false
}

// stopWaiting makes http.Server close the connection if it waits for a request of HTTP/1.
// It expires the read rather than closing the connection, because a read that has just
// received a request still returns it.
func (c *conn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled || c.arrived || c.protocol == http2 {
		return
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(past) // fails only if the connection is closed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.started {
		c.started = true
		if bytes.HasPrefix(p[:n], []byte(prefaceStart)) {
			c.setHTTP2()
		}
	}
	c.arrived = c.arrived || (n > 0 && !c.handled)
	c.failed = err != nil
	if n > 0 && c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.beginClose() {
		return nil
	}
	return c.Conn.Close()
}

// beginClose counts a dropped request. It reports whether the connection stays open:
// Shutdown of http.Server closes idle connections of HTTP/2, which end by themselves after
// their clients were told to go away. Then they are closed a second time.
func (c *conn) beginClose() (staysOpen bool) {
	goingAway := c.server.reached(goingAway)
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.closed
	c.closed = true
	if c.protocol == http2 {
		return first && goingAway
	}
	if first && c.arrived && !c.failed {
		c.server.dropped.Add(1)
	}
	return false
}

// CloseWrite shuts down the writing side, which http.Server does after it has answered
// before the end of a body. It lets the client read the answer before the connection is
// reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
