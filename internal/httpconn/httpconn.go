// Package httpconn sends HTTP/1.1 requests over persistent connections and never
// sends a request twice.
//
// http.Transport is not used here: it resends some requests by itself, and it takes a
// late response to an earlier request on the same connection for the response to the
// next one. This client skips responses that do not match and leaves retries to its
// caller.
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

	"golang.org/x/sync/semaphore"
)

// Exchange is one request with the options for reading its response.
type Exchange struct {
	Addr    string // "ip:port"
	Request *http.Request
	Body    []byte // the whole body
	// MatchResponse reports whether a response belongs to the request; nil accepts all.
	// reused means that the connection carried an earlier request, so that the response may
	// be a late one to that request.
	MatchResponse func(h http.Header, reused bool) bool
	// OnInterim is called for each interim (1xx) response; it may be nil.
	OnInterim func()
	// MaxIdle is the longest idle time of a connection that may be reused, if that is
	// less than the limit of the client; 0 means the limit of the client.
	MaxIdle time.Duration
}

// Response is a completely received response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// FailureKind is the reason why an exchange got no response.
type FailureKind uint8

// Failure kinds.
const (
	NotConnected    FailureKind = iota // no connection was established; nothing was sent
	ConnectionLost                     // the connection failed after sending began
	InvalidResponse                    // the peer sent no complete, matching response
	ContextDone                        // the context was canceled or its deadline passed
)

// Error is a failed exchange.
type Error struct {
	Kind FailureKind
	Err  error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return fmt.Sprintf("exchange failed: %v", e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Limits of an exchange.
const (
	// maxHeaderBytes and maxBodyBytes limit the memory for a peer that sends bytes without
	// end; longer responses are an InvalidResponse.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	// smallBodyBytes is the part of each body that is read without a share of
	// Options.MaxLargeBodyBytes. Most bodies are shorter.
	smallBodyBytes   = 64 << 10
	maxResponsesRead = 4       // per exchange, including interim responses and late ones to earlier requests
	bufferBytes      = 4 << 10 // read buffer; the header of a typical response fits in it
	// earlyResponseTimeout is how long to wait for a response after sending failed: a
	// server may reject a request before it has read the whole body.
	earlyResponseTimeout = 100 * time.Millisecond
)

// NewRequest returns a request without a body. The escaped path and the query are
// sent as given; net/http adds no User-Agent header.
func NewRequest(method, addr, host, path, query string, header http.Header) *http.Request {
	if path == "" {
		path = "/"
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // prevents net/http from adding its own
	}
	return &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: addr, Opaque: path, RawQuery: query},
		Header: header,
		Host:   host,
	}
}

// Options configure a Client.
type Options struct {
	Dial           func(ctx context.Context, addr string) (net.Conn, error)
	MaxIdle        time.Duration // connections idle for longer are not reused
	MaxIdlePerAddr int           // idle connections kept for each address
	// MaxLargeBodyBytes limits the memory for large bodies that are being read at the same
	// time; further ones wait. It is at least the size of one body of the maximum size.
	MaxLargeBodyBytes int64
}

// Client keeps idle connections by address. It is safe for concurrent use.
type Client struct {
	options     Options
	largeBodies *semaphore.Weighted // bytes of large bodies that are being read

	mu   sync.Mutex
	idle map[string][]*conn // most recently used last
}

type conn struct {
	net.Conn
	reader        *bufio.Reader
	headerLimit   *limitedReader
	largeBodies   *semaphore.Weighted
	sendErr       error     // why the current request was not sent completely
	reused        bool      // the connection carried an earlier request
	reusableUntil time.Time // not reused from then on
	idleSince     time.Time
}

// NewClient returns a client without open connections.
func NewClient(o Options) *Client {
	return &Client{options: o, largeBodies: semaphore.NewWeighted(max(o.MaxLargeBodyBytes, maxBodyBytes)), idle: make(map[string][]*conn)}
}

// Do sends the request once and reads the whole response. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, x *Exchange) (*Response, error) {
	cn, err := c.acquire(ctx, x)
	if err != nil {
		return nil, &Error{NotConnected, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := cn.exchange(ctx, x)
	if !stop() || err != nil || !reusable {
		_ = cn.Close()
	} else {
		c.release(x.Addr, cn, resp.Header)
	}
	if err == nil {
		return resp, nil
	}
	if ctx.Err() != nil {
		return nil, &Error{ContextDone, ctx.Err()}
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

// acquire returns an idle connection that can be reused, or a new one.
func (c *Client) acquire(ctx context.Context, x *Exchange) (*conn, error) {
	for {
		idle := c.popIdle(x.Addr)
		if idle == nil {
			break
		}
		now := time.Now()
		limit := c.options.MaxIdle
		if x.MaxIdle > 0 {
			limit = min(limit, x.MaxIdle)
		}
		if now.Sub(idle.idleSince) < limit && now.Before(idle.reusableUntil) && openAndEmpty(idle.Conn) {
			return idle, nil
		}
		_ = idle.Close()
	}
	raw, err := c.options.Dial(ctx, x.Addr)
	if err != nil {
		return nil, err
	}
	limited := &limitedReader{reader: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limited, bufferBytes), headerLimit: limited, largeBodies: c.largeBodies}, nil
}

// errHeaderTooLong is returned while a header exceeds maxHeaderBytes.
var errHeaderTooLong = errors.New("the response header exceeds the size limit")

// limitedReader fails once more than a number of bytes have been read since limit.
type limitedReader struct {
	reader  io.Reader
	limited bool
	left    int
}

func (r *limitedReader) limit(n int) { r.limited, r.left = true, n }

func (r *limitedReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.reader.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := r.reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

func (c *Client) popIdle(addr string) *conn {
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

// release returns a connection to the idle list. It closes the oldest connections of
// the address if they are too old or too many.
func (c *Client) release(addr string, cn *conn, resp http.Header) {
	cn.idleSince, cn.reused = time.Now(), true
	cn.reusableUntil = cn.idleSince.Add(keepAliveTime(resp, c.options.MaxIdle))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := append(c.idle[addr], cn)
	for len(list) > 0 && (len(list) > c.options.MaxIdlePerAddr || cn.idleSince.Sub(list[0].idleSince) > c.options.MaxIdle) {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[addr] = list
}

// exchange sends the request and reads its response. It reports whether the
// connection may be reused.
func (c *conn) exchange(ctx context.Context, x *Exchange) (*Response, bool, error) {
	c.sendErr = c.send(x)
	if c.sendErr != nil {
		_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	resp, reusable, err := c.receive(ctx, x)
	if err != nil && c.sendErr != nil {
		return nil, false, &Error{ConnectionLost, c.sendErr}
	}
	return resp, reusable && c.sendErr == nil, err
}

func (c *conn) send(x *Exchange) error {
	x.Request.ContentLength = int64(len(x.Body))
	x.Request.Body = nil
	if len(x.Body) > 0 {
		x.Request.Body = io.NopCloser(bytes.NewReader(x.Body))
	}
	out := bufio.NewWriterSize(c.Conn, len(x.Body)+bufferBytes)
	if err := x.Request.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

func (c *conn) receive(ctx context.Context, x *Exchange) (*Response, bool, error) {
	for range maxResponsesRead {
		c.headerLimit.limit(maxHeaderBytes)
		h, err := readHead(c.reader, x.Request.Method)
		c.headerLimit.unlimit()
		if err != nil {
			return nil, false, classifyReadError(err)
		}
		if h.Status < 200 {
			if x.OnInterim != nil {
				x.OnInterim()
			}
			continue
		}
		body, err := c.readBody(ctx, &h)
		if err != nil {
			return nil, false, &Error{InvalidResponse, err}
		}
		if x.MatchResponse != nil && !x.MatchResponse(h.Header, c.reused) {
			if h.closes {
				break
			}
			continue
		}
		return &Response{h.Status, h.Header, body}, !h.closes && c.reader.Buffered() == 0, nil
	}
	return nil, false, &Error{InvalidResponse, errors.New("the peer sent no response that matches the request")}
}

// errBodyTooLong is returned for a body that exceeds maxBodyBytes.
var errBodyTooLong = errors.New("the response body exceeds the size limit")

// readBody reads the whole body and its trailer.
func (c *conn) readBody(ctx context.Context, h *head) ([]byte, error) {
	read := func(body io.Reader) ([]byte, error) { return c.readBounded(ctx, h.length, body) }
	switch {
	case h.Chunked:
		return c.readChunked(read)
	case h.length < 0 && c.sendErr != nil:
		// The kernel reports a reset only once. If a write got it, reads report an orderly end.
		return nil, c.sendErr
	case h.length < 0:
		return read(c.reader)
	case h.length > maxBodyBytes:
		return nil, errBodyTooLong
	}
	body, err := read(io.LimitReader(c.reader, h.length))
	if err == nil && int64(len(body)) < h.length {
		return nil, io.ErrUnexpectedEOF
	}
	return body, err
}

// readBounded reads a body to its end. length is its declared length, or -1. A body beyond
// smallBodyBytes waits until enough other large bodies have been read.
func (c *conn) readBounded(ctx context.Context, length int64, body io.Reader) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(body, smallBodyBytes))
	if err != nil || len(start) < smallBodyBytes {
		return start, err
	}
	size := int64(maxBodyBytes) // of a body without a declared length
	if length >= 0 {
		size = length
	}
	if err := c.largeBodies.Acquire(ctx, size); err != nil {
		return nil, err
	}
	defer c.largeBodies.Release(size)
	if length >= 0 {
		whole := make([]byte, length)
		_, err := io.ReadFull(body, whole[copy(whole, start):])
		return whole, err
	}
	return readUndeclared(start, body)
}

// readUndeclared reads the rest of a body without a declared length in chunks, because a
// growing buffer would take a multiple of the body's size.
func readUndeclared(start []byte, body io.Reader) ([]byte, error) {
	chunks, total := [][]byte{start}, len(start)
	chunk := make([]byte, 0, smallBodyBytes)
	for {
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk, total = chunk[:len(chunk)+n], total+n
		switch {
		case total > maxBodyBytes:
			return nil, errBodyTooLong
		case err == io.EOF:
			return bytes.Join(append(chunks, chunk), nil), nil
		case err != nil:
			return nil, err
		case len(chunk) == cap(chunk):
			chunks, chunk = append(chunks, chunk), make([]byte, 0, smallBodyBytes)
		}
	}
}

// classifyReadError separates a lost connection from bytes that are no valid response.
func classifyReadError(err error) *Error {
	var netErr net.Error
	connLost := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.As(err, &netErr)
	if connLost {
		return &Error{ConnectionLost, err}
	}
	return &Error{InvalidResponse, err}
}

// keepAliveTime returns how long an idle connection may be reused according to the
// Keep-Alive header of the peer, less one second: otherwise the peer might close it
// while a request is on its way.
func keepAliveTime(h http.Header, limit time.Duration) time.Duration {
	var seconds int
	if _, err := fmt.Sscanf(h.Get("Keep-Alive"), "timeout=%d", &seconds); err != nil {
		return limit
	}
	return min(limit, time.Duration(seconds)*time.Second-time.Second)
}

// openAndEmpty reports whether an idle connection is open and has nothing to read.
// Bytes on an idle connection belong to no request, so it must not be reused.
func openAndEmpty(c net.Conn) bool {
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
