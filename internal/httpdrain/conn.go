package httpdrain

import (
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
	handled      bool      // a handler got the last request
	arrived      bool      // a part of the next request has been read
	failed       bool      // the last read failed
	closed       bool      // Close has been called
	expired      bool      // reads fail unless bytes of a request have arrived
	readDeadline time.Time // of http.Server
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// setState follows the state that http.Server reports.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		c.handled = false
		c.mu.Unlock()
		if c.server.isDraining() {
			c.stopWaiting()
		}
	case http.StateClosed:
		c.server.remove(c)
	}
}

// beginRequest records that a handler got the request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.arrived = true, false
}

// stopWaiting makes http.Server close the connection if it waits for a request. It expires
// the read rather than closing the connection, because a read that has just received a
// request still returns it.
func (c *conn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled || c.arrived {
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
	c.mu.Lock()
	if c.arrived && !c.failed && !c.closed {
		c.server.dropped.Add(1)
	}
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}
