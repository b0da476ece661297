package httpahead

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requestOverhead is the memory in bytes charged for a request that runs ahead, besides
	// its own bytes: the server's buffers and the stacks of its goroutines.
	requestOverhead = 24 << 10
	// minBufferBytes is the minimum size of the buffer for bytes that were read ahead, and
	// minReadBytes the room in it at which it grows.
	minBufferBytes = 2 << 10
	minReadBytes   = 512
	// lingerTime is how long a connection stays open after the last answer if more requests
	// were sent behind it. Closing it at once would reset it, and the caller could lose the
	// answer. It equals the delay of net/http.
	lingerTime = 500 * time.Millisecond
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// errUnknownEnd is returned if the server waits for more of a request that was passed to it
// as a whole.
var errUnknownEnd = errors.New("the server expects a longer request")

// conn is a connection of a caller. The server reads from it the requests that don't run
// ahead, and writes their answers. While such a request is being answered, and while the
// server waits for the next one, its Read reads ahead.
type conn struct {
	net.Conn
	layer    *Layer
	ahead    *requestListener
	answered atomic.Bool // bytes of the answer to the server's current request were written

	mu       sync.Mutex
	changed  sync.Cond
	frame    frame      // of the server's current request
	arrived  time.Time  // of the server's current request; zero if it was not held in buf
	waiting  bool       // the server waits for its next request, answers before it are open
	deadline time.Time  // for reads of the server
	buf      []byte     // read from the connection but not passed on
	bufBytes int64      // charged for buf
	first    [1]byte    // receives the first byte of buf
	ending   bool       // the handler of the server's current request has returned
	since    time.Time  // when the first byte of buf had arrived at the latest
	readAt   time.Time  // when bytes were last added to buf
	blocked  bool       // the next request in buf does not run ahead
	sealed   bool       // no further request runs ahead
	atBound  bool       // the next request in buf waits because of a bound
	readErr  error      // ends the bytes of the caller
	ended    bool       // no more answers are written
	writing  bool       // writeAnswers runs
	queue    []*request // that run ahead, in the order of their answers
	charged  int64      // bytes charged to the layer
}

func newConn(nc net.Conn, layer *Layer, ahead *requestListener) *conn {
	c := &conn{Conn: nc, layer: layer, ahead: ahead}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn. It returns bytes of one request only, and those of the next one
// once all answers before it are written.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.state == complete {
		// net/http detects in this way that the caller leaves, once it has accepted the
		// request and the handler has read its body.
		if len(p) == 1 {
			if !c.ending && !isPast(c.deadline) {
				c.startRequests()
			}
			return 0, c.readAhead(true)
		}
		if err := c.awaitTurn(); err != nil {
			return 0, err
		}
	}
	return c.readRequest(p)
}

// readRequest reads bytes of the server's current request.
func (c *conn) readRequest(p []byte) (int, error) {
	held := len(c.buf) > 0
	n, err := c.take(p)
	if n == 0 || c.frame.state == unclear {
		return n, err
	}
	if c.frame.state == inHead && c.frame.text == nil {
		c.arrived = time.Time{}
		if held {
			c.arrived = c.since
		}
	}
	size := c.frame.scan(p[:n])
	if held {
		c.dropBuffered(size)
	} else if size < n {
		c.addBuffered(p[size:n])
	}
	if err != nil && !isTimeout(err) {
		c.readErr = err
	}
	if c.frame.state == complete {
		c.answered.Store(false)
		c.ending = false
		c.sealed = c.sealed || c.frame.head.last
	}
	return size, nil
}

// take copies buffered bytes, or reads from the connection if there are none.
func (c *conn) take(p []byte) (int, error) {
	if len(c.buf) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		c.mu.Unlock()
		defer c.mu.Lock()
		return c.Conn.Read(p)
	}
	if isPast(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.buf)
	if c.frame.state == unclear {
		c.dropBuffered(n)
	}
	return n, nil
}

// addBuffered adds bytes that were read to the buffer.
func (c *conn) addBuffered(p []byte) {
	c.readAt = time.Now()
	if len(c.buf) > 0 {
		c.buf = append(c.buf, p...)
		return
	}
	c.since = c.readAt
	if len(p) == 1 {
		c.first[0] = p[0]
		c.buf = c.first[:1:1]
		return
	}
	c.buf = append(c.buf, p...)
}

// dropBuffered removes bytes from the beginning of the buffer.
func (c *conn) dropBuffered(n int) {
	c.blocked = false
	c.setAtBound(false)
	c.since = c.readAt
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	if len(c.buf) == 0 {
		c.release(c.bufBytes)
		c.buf, c.bufBytes = nil, 0
	}
}

// awaitTurn waits, once the server's current request is answered, until the requests that
// ran ahead behind it are answered too. The time of the server's deadline starts then.
func (c *conn) awaitTurn() error {
	if !c.answered.Load() {
		c.end()
		return errUnknownEnd
	}
	if c.ended {
		return net.ErrClosed
	}
	if len(c.queue) == 0 {
		c.frame = frame{}
		return nil
	}
	deadline, idle := c.deadline, time.Until(c.deadline)
	c.waiting = true
	c.changed.Broadcast()
	err := c.readAhead(false)
	c.waiting = false
	if c.deadline.Equal(deadline) && !deadline.IsZero() && idle > 0 {
		c.deadline = time.Now().Add(idle)
	}
	_ = c.Conn.SetReadDeadline(c.deadline) // fails only if the connection is closed
	c.frame = frame{}
	return err
}

// readAhead reads requests and starts those that may run. It returns when a read in the
// background has to end, or else when all requests that run ahead are answered.
func (c *conn) readAhead(background bool) error {
	for {
		switch {
		case c.ended:
			return net.ErrClosed
		case background && isPast(c.deadline):
			return os.ErrDeadlineExceeded
		case background && c.readErr != nil:
			return c.readErr
		case !background && len(c.queue) == 0:
			return nil
		}
		if !(background && c.ending && len(c.buf) > 0) && !c.atBound && c.readErr == nil && len(c.buf) < c.layer.opts.MaxRequestBytes {
			c.readMore()
			continue
		}
		c.changed.Wait()
		if c.atBound {
			c.startRequests()
		}
	}
}

// readMore reads bytes into the buffer. It allocates none before a first byte has arrived.
func (c *conn) readMore() {
	p := c.first[:]
	if len(c.buf) > 0 {
		if !c.growBuffer() {
			return
		}
		p = c.buf[len(c.buf):min(cap(c.buf), c.layer.opts.MaxRequestBytes)]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n > 0 {
		c.addBuffered(p[:n])
		c.startRequests()
	}
	switch {
	case err != nil && !isTimeout(err):
		c.readErr = err
		c.changed.Broadcast()
	case err != nil && c.waiting && !c.ended: // woken by writeAnswers, or by a deadline that starts anew
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// growBuffer makes room in the buffer. It returns false at a bound.
func (c *conn) growBuffer() bool {
	if cap(c.buf)-len(c.buf) >= minReadBytes || cap(c.buf) >= c.layer.opts.MaxRequestBytes {
		return true
	}
	size := min(max(2*cap(c.buf), minBufferBytes), c.layer.opts.MaxRequestBytes)
	if !c.charge(int64(size) - c.bufBytes) {
		c.setAtBound(true)
		return false
	}
	c.bufBytes = int64(size)
	buf := make([]byte, len(c.buf), size)
	copy(buf, c.buf)
	c.buf = buf
	return true
}

// startRequests starts the buffered requests that may run ahead.
func (c *conn) startRequests() {
	c.setAtBound(false)
	for c.frame.state == complete && !c.sealed && !c.blocked && !c.ended && len(c.buf) > 0 {
		h, state := scanHead(c.buf)
		size := int64(h.size) + h.length
		switch {
		case state == headIncomplete:
			return
		case state == headUnclear, h.chunked, size > int64(c.layer.opts.MaxRequestBytes):
			c.blocked = true
			return
		case size > int64(len(c.buf)):
			return
		}
		if len(c.queue) >= c.layer.opts.MaxRequests {
			c.setAtBound(true)
			return
		}
		if !c.mayRunAhead(int(size)) {
			c.blocked = true
			return
		}
		if !c.charge(size + requestOverhead) {
			c.setAtBound(true)
			return
		}
		c.start(int(size), h.last)
	}
}

// mayRunAhead reports whether the request in the first bytes of the buffer may run ahead.
func (c *conn) mayRunAhead(size int) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.buf[:size])))
	return err == nil && c.layer.opts.MayRunAhead(r)
}

// start passes the request in the first bytes of the buffer to the server.
func (c *conn) start(size int, last bool) {
	r := &request{conn: c, unread: bytes.Clone(c.buf[:size]), charged: int64(size + requestOverhead), arrived: c.since}
	c.dropBuffered(size)
	c.sealed = c.sealed || last
	c.queue = append(c.queue, r)
	if !c.writing {
		c.writing = true
		go c.writeAnswers()
	}
	c.mu.Unlock()
	accepted := c.ahead.offer(r)
	c.mu.Lock()
	if !accepted {
		r.close()
		return
	}
	c.layer.started.Add(1)
}

// isAnswering reports whether the server answers its current request, whose answer is
// written before those of the requests that run ahead.
func (c *conn) isAnswering() bool { return c.frame.state == complete && !c.waiting }

// writeAnswers writes the answers of the requests that run ahead, in their order, until none
// is left.
func (c *conn) writeAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended && len(c.queue) > 0 {
		r := c.queue[0]
		switch {
		case c.isAnswering():
			c.changed.Wait()
		case len(r.answer) > 0:
			c.writeAnswer(r)
		case r.done:
			c.queue = c.queue[1:]
			c.release(r.charged)
			c.changed.Broadcast()
		case r.closed:
			c.end()
		default:
			c.changed.Wait()
		}
	}
	c.writing = false
	if c.waiting { // wakes the Read of the server
		_ = c.Conn.SetReadDeadline(past) // fails only if the connection is closed
	}
	c.changed.Broadcast()
}

// writeAnswer writes what a request has of its answer.
func (c *conn) writeAnswer(r *request) {
	answer := r.answer
	r.setAnswer(nil)
	c.mu.Unlock()
	_, err := c.Conn.Write(answer)
	c.mu.Lock()
	c.release(int64(len(answer)))
	if err != nil {
		c.end()
	}
	c.changed.Broadcast()
}

// end ends the connection after what has been written. Requests that run ahead are canceled.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.setAtBound(false)
	c.layer.bytes.Add(-c.charged)
	for _, r := range c.queue {
		r.setAnswer(nil)
	}
	c.changed.Broadcast()
	half, canHalfClose := c.Conn.(interface{ CloseWrite() error })
	if (len(c.queue) == 0 && len(c.buf) == 0) || c.readErr != nil || !canHalfClose || half.CloseWrite() != nil {
		_ = c.Conn.Close() // the caller has its answers or is gone
		return
	}
	_ = c.Conn.SetReadDeadline(past) // ends the Read of the server
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
}

// charge reserves memory. It returns false at a bound.
func (c *conn) charge(n int64) bool {
	if c.ended || c.charged+n > c.layer.opts.MaxConnBytes {
		return false
	}
	if c.layer.bytes.Add(n) > c.layer.opts.MaxBytes {
		c.layer.bytes.Add(-n)
		return false
	}
	c.charged += n
	return true
}

// release returns memory that was reserved. After the end all of it has been returned.
func (c *conn) release(n int64) {
	if !c.ended {
		c.charged -= n
		c.layer.bytes.Add(-n)
	}
}

func (c *conn) setAtBound(atBound bool) {
	if atBound != c.atBound {
		c.atBound = atBound
		if atBound {
			c.layer.atBound.Add(1)
		} else {
			c.layer.atBound.Add(-1)
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. A deadline does not run while requests that run ahead
// are answered.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.waiting {
		return nil
	}
	c.changed.Broadcast()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	return nil
}

// CloseWrite shuts down the writing side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// EndAfterAnswer reports whether the answer to the current request may be the last one of
// the connection: no request behind it has started. If so, none will.
func (c *conn) EndAfterAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || len(c.queue) == 0
	return len(c.queue) == 0
}

// HandlerEnded records that the handler of the current request has returned. What arrives
// from then on was most likely sent after the answer, and is left to the server.
func (c *conn) HandlerEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
}

// Arrived returns when the current request was read, or the zero time if it was passed on at
// once.
func (c *conn) Arrived() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived
}

func isPast(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(time.Now())
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
