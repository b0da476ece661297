package soak

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/tcpclose"
)

const (
	// connectTimeout is how long a caller waits for a connection.
	connectTimeout = time.Second
	// idleConnTimeout is how long callers keep an idle connection.
	idleConnTimeout = 5 * time.Second
)

// errNotConnected is returned if a caller could not open a connection.
var errNotConnected = errors.New("no connection")

// connEndedError is returned if a connection ended without a complete response.
type connEndedError struct {
	at    time.Time
	read  bool // the process had read the whole request
	cause error
}

// Error returns the message of the cause.
func (e *connEndedError) Error() string { return "connection ended: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *connEndedError) Unwrap() error { return e.cause }

// response is a complete response to a caller.
type response struct {
	status          int
	body, signature string
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	reader    *bufio.Reader
	reused    bool
	idleSince time.Time
}

// callerPool holds the idle connections of the callers of one process. They stay in use
// until the process closes them, also during a shutdown.
type callerPool struct {
	addr string
	mu   sync.Mutex
	idle []*callerConn // most recently used last
}

// exchange sends a request and reads its response. A request that the process left unread
// on a kept connection is sent once more on a new one.
func (p *callerPool) exchange(ctx context.Context, req *http.Request) (*response, error) {
	for {
		conn, err := p.acquire(ctx)
		if err != nil {
			return nil, errNotConnected
		}
		resp, err := p.exchangeOn(ctx, conn, req)
		var ended *connEndedError
		if conn.reused && errors.As(err, &ended) && !ended.read && ctx.Err() == nil && req.GetBody != nil {
			if req.Body, err = req.GetBody(); err != nil {
				return nil, err
			}
			continue
		}
		return resp, err
	}
}

func (p *callerPool) exchangeOn(ctx context.Context, conn *callerConn, req *http.Request) (*response, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := conn.exchange(req)
	if !stop() {
		_ = conn.Close()
		return nil, ctx.Err()
	}
	if err != nil {
		ended := &connEndedError{time.Now(), tcpclose.PeerHadRead(conn.TCPConn, err), err}
		_ = conn.Close()
		return nil, ended
	}
	if reusable {
		p.release(conn)
	} else {
		_ = conn.Close()
	}
	return resp, nil
}

// acquire returns an idle connection, or a new one.
func (p *callerPool) acquire(ctx context.Context) (*callerConn, error) {
	p.mu.Lock()
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(conn.idleSince) < idleConnTimeout {
			p.mu.Unlock()
			return conn, nil
		}
		_ = conn.Close()
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

func (p *callerPool) release(conn *callerConn) {
	conn.reused, conn.idleSince = true, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

func (p *callerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle = nil
}

// exchange sends one request and reads its response. It reports whether the connection
// can be used again.
func (c *callerConn) exchange(req *http.Request) (*response, bool, error) {
	if err := req.Write(c); err != nil {
		return nil, false, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, false, err
	}
	return &response{status: resp.StatusCode, body: string(body), signature: signatureOf(resp)}, !resp.Close, nil
}
