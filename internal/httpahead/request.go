package httpahead

import (
	"io"
	"net"
	"os"
	"time"
)

// directBytes is what the request whose turn it is may hold of its answer at a bound. It is
// the size of net/http's own buffer for an answer.
const directBytes = 4 << 10

// request is a request that runs ahead, as a connection of the server.
type request struct {
	conn    *conn
	arrived time.Time
	charged int64

	// Fields below are guarded by the mutex of conn.

	unread   []byte    // bytes of the request that the server has not read
	deadline time.Time // for reads of the server
	answer   []byte    // written by the server, not yet by the connection
	answered bool      // bytes of the answer were written
	done     bool      // the answer is complete, and the connection may be used further
	closed   bool      // the answer is the last one, or was cut
}

// Read implements net.Conn.
func (r *request) Read(p []byte) (int, error) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case r.closed || c.ended:
			return 0, net.ErrClosed
		case len(r.unread) > 0 && c.readErr == nil:
			n := copy(p, r.unread)
			r.unread = r.unread[n:]
			return n, nil
		case len(p) > 1 && len(r.unread) == 0:
			// net/http has answered and waits for a next request.
			r.done = r.answered
			c.changed.Broadcast()
			return 0, io.EOF
		case c.readErr != nil:
			return 0, c.readErr
		case isPast(r.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn. At a bound it waits for the turn of the request.
func (r *request) Write(p []byte) (int, error) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	for written < len(p) {
		if r.closed || c.ended || c.readErr != nil {
			return written, net.ErrClosed
		}
		n := r.reserve(len(p) - written)
		if n == 0 {
			c.changed.Wait()
			continue
		}
		r.setAnswer(append(r.answer, p[written:written+n]...))
		r.answered = true
		written += n
		c.changed.Broadcast()
	}
	return written, nil
}

// reserve reserves memory for up to n bytes of the answer. It returns the number of bytes.
func (r *request) reserve(n int) int {
	c := r.conn
	if c.charge(int64(n)) {
		return n
	}
	if c.isAnswering() || c.queue[0] != r {
		return 0
	}
	n = max(min(n, directBytes-len(r.answer)), 0)
	c.charged += int64(n)
	c.layer.bytes.Add(int64(n))
	return n
}

func (r *request) setAnswer(answer []byte) {
	if len(answer) > 0 && len(r.answer) == 0 {
		r.conn.layer.held.Add(1)
	} else if len(answer) == 0 && len(r.answer) > 0 {
		r.conn.layer.held.Add(-1)
	}
	r.answer = answer
}

// Close implements net.Conn.
func (r *request) Close() error {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.close()
	return nil
}

// close makes the answer the last one of the connection unless it is complete.
func (r *request) close() {
	if r.done || r.closed {
		return
	}
	c := r.conn
	c.sealed = true
	behind := false
	for _, other := range c.queue {
		behind = behind || other == r
		other.closed = other.closed || (behind && !other.done)
	}
	c.changed.Broadcast()
}

// SetReadDeadline implements net.Conn. Only a deadline that has passed has an effect, since
// the whole request has been read.
func (r *request) SetReadDeadline(t time.Time) error {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.deadline = t
	r.conn.changed.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (r *request) SetDeadline(t time.Time) error { return r.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. The deadline of the connection holds.
func (r *request) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (r *request) LocalAddr() net.Addr { return r.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (r *request) RemoteAddr() net.Addr { return r.conn.RemoteAddr() }

// EndAfterAnswer reports whether the answer to the request may be the last one of the
// connection: no request behind it has started. If so, none will.
func (r *request) EndAfterAnswer() bool {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.queue[len(c.queue)-1] == r
	c.sealed = c.sealed || last
	return last
}

// Arrived returns when the request was read.
func (r *request) Arrived() time.Time { return r.arrived }
