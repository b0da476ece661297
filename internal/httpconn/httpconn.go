// Package httpconn exchanges HTTP/1.1 requests over kept connections and never
// sends a request twice.
//
// http.Transport is not used here: it resends some requests by itself, and a late
// answer to an earlier request on the same connection would be taken for the
// answer to the next one. This client skips answers that do not match and leaves
// every decision on resending to its caller.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"
)

// Exchange is one request with what tells its answer.
type Exchange struct {
	Addr    string // "ip:port"
	Request *http.Request
	Payload []byte // the whole body
	// Matches tells whether an answer belongs to the request; nil accepts all.
	Matches func(http.Header) bool
	// Informed is called for each interim (1xx) answer; it may be nil.
	Informed func()
	// MaxIdle limits the age of an idle connection that is used; 0 means the
	// limit of the client.
	MaxIdle time.Duration
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure says how far an exchange without an answer got.
type Failure uint8

// The failures.
const (
	NotConnected Failure = iota // nothing was sent
	Broken                      // the connection broke after sending began
	Spoiled                     // the peer sent bytes that are no whole, matching answer
	Ended                       // the context ended
)

// Error is a failed exchange.
type Error struct {
	Failure Failure
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("exchange failed: %v", e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Limits of an exchange.
const (
	maxAnswer  = 64 << 20 // bytes of an answer; more is treated as spoiled
	maxSkipped = 4        // late answers to earlier requests
	maxHeader  = 4 << 10  // read buffer, which is enough for the usual answer
	// earlyAnswer is how long an answer is awaited after sending failed: a server
	// may refuse a body before it has read it.
	earlyAnswer = 100 * time.Millisecond
)

// NewRequest returns a request without a body. The path, escaped, and the query
// are sent as given; net/http adds no field of its own.
func NewRequest(method, addr, host, path, query string, header http.Header) *http.Request {
	if path == "" {
		path = "/"
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: addr, Opaque: path, RawQuery: query},
		Header: header,
		Host:   host,
	}
}

// Client keeps connections by address. It is safe for concurrent use.
type Client struct {
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	maxIdle time.Duration // age from which an idle connection is not used again
	keep    int           // idle connections kept for each address

	mu   sync.Mutex
	idle map[string][]*conn // most recently used last
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // when it must not be used any more
	since  time.Time // when it became idle
}

// NewClient returns a client. dial opens a connection.
func NewClient(dial func(ctx context.Context, addr string) (net.Conn, error), maxIdle time.Duration, keep int) *Client {
	return &Client{dial: dial, maxIdle: maxIdle, keep: keep, idle: make(map[string][]*conn)}
}

// Do sends the request once and reads the whole answer. Errors are of type
// *Error.
func (c *Client) Do(ctx context.Context, x *Exchange) (*Answer, error) {
	channel, err := c.take(ctx, x)
	if err != nil {
		return nil, &Error{NotConnected, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = channel.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, err := channel.exchange(x)
	if !stop() || err != nil || !reusable {
		_ = channel.Close()
	} else {
		c.put(x.Addr, channel, answer.Header)
	}
	if err == nil {
		return answer, nil
	}
	if ctx.Err() != nil {
		return nil, &Error{Ended, ctx.Err()}
	}
	return nil, err
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, idle := range list {
			_ = idle.Close()
		}
	}
	c.idle = make(map[string][]*conn)
}

func (c *Client) take(ctx context.Context, x *Exchange) (*conn, error) {
	for {
		idle := c.pop(x.Addr)
		if idle == nil {
			break
		}
		now := time.Now()
		limit := c.maxIdle
		if x.MaxIdle > 0 {
			limit = min(limit, x.MaxIdle)
		}
		if now.Sub(idle.since) < limit && now.Before(idle.until) && quiet(idle.Conn) {
			return idle, nil
		}
		_ = idle.Close()
	}
	raw, err := c.dial(ctx, x.Addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, maxHeader)}, nil
}

func (c *Client) pop(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return last
}

// put keeps a connection and drops those of the address that are too old.
func (c *Client) put(addr string, channel *conn, answer http.Header) {
	channel.since = time.Now()
	channel.until = channel.since.Add(keepAlive(answer, c.maxIdle))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := append(c.idle[addr], channel)
	for len(list) > 0 && (len(list) > c.keep || channel.since.Sub(list[0].since) > c.maxIdle) {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[addr] = list
}

// exchange sends the request and reads until its answer. It tells whether the
// connection may be used again.
func (c *conn) exchange(x *Exchange) (*Answer, bool, error) {
	sendErr := c.send(x)
	if sendErr != nil {
		_ = c.SetReadDeadline(time.Now().Add(earlyAnswer))
	}
	answer, reusable, err := c.receive(x)
	if err != nil && sendErr != nil {
		return nil, false, &Error{Broken, sendErr}
	}
	return answer, reusable && sendErr == nil, err
}

func (c *conn) send(x *Exchange) error {
	x.Request.ContentLength = int64(len(x.Payload))
	x.Request.Body = nil
	if len(x.Payload) > 0 {
		x.Request.Body = io.NopCloser(bytes.NewReader(x.Payload))
	}
	out := bufio.NewWriterSize(c.Conn, len(x.Payload)+maxHeader)
	if err := x.Request.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

func (c *conn) receive(x *Exchange) (*Answer, bool, error) {
	for range maxSkipped {
		resp, err := http.ReadResponse(c.reader, x.Request)
		if err != nil {
			return nil, false, readFailure(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if x.Informed != nil {
				x.Informed()
			}
			continue
		}
		body, err := readBody(resp)
		if err != nil {
			return nil, false, &Error{Spoiled, err}
		}
		if x.Matches != nil && !x.Matches(resp.Header) {
			if resp.Close {
				break
			}
			continue
		}
		return &Answer{resp.StatusCode, resp.Header, body}, !resp.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, &Error{Spoiled, errors.New("no answer of the peer matches the request")}
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errors.New("the answer is too long")
	}
	return body, nil
}

// readFailure tells a connection that broke from bytes that are no answer.
func readFailure(err error) *Error {
	var netErr net.Error
	broke := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.As(err, &netErr)
	if broke {
		return &Error{Broken, err}
	}
	return &Error{Spoiled, err}
}

// keepAlive returns how long the peer keeps an idle connection. The last second
// is left out: the peer may close while a request is on its way.
func keepAlive(h http.Header, limit time.Duration) time.Duration {
	var seconds int
	if _, err := fmt.Sscanf(h.Get("Keep-Alive"), "timeout=%d", &seconds); err != nil {
		return limit
	}
	return min(limit, time.Duration(seconds)*time.Second-time.Second)
}

// quiet tells whether an idle connection is open and has nothing to read. Bytes
// on an idle connection belong to no request.
func quiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n < 0 && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && open
}
