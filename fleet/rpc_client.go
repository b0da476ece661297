package fleet

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/ragwortyard/ragwortyard/internal/httpsend"
)

// callTimeout is the maximum duration of a control call; the caller may set an earlier
// deadline. A message takes about 1 ms within a region, so a call that exceeds the
// timeout is considered lost.
const callTimeout = 500 * time.Millisecond

// Client sends control messages to peers, over one connection per peer.
type Client struct {
	self     string // identifier of this process
	registry *Registry
	stats    *ControlStats
	tls      *tls.Config

	mu    sync.Mutex // guards peers
	peers map[string]*peerConn
}

// peerConn is the connection to one address. Its mutex ensures that only one goroutine
// dials at a time.
type peerConn struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
	idle *time.Timer // closes the connection after controlIdleTimeout
}

// controlIdleTimeout is how long an unused control connection is kept open. Peers are
// selected at random, so without a timeout a process in a large fleet would keep a
// connection to every other process.
const controlIdleTimeout = 30 * time.Second

// NewClient returns a client that names self as the sender of its messages. It uses
// mutual TLS if config is not nil.
func NewClient(self string, registry *Registry, stats *ControlStats, config *tls.Config) *Client {
	return &Client{self: self, registry: registry, stats: stats, tls: config, peers: make(map[string]*peerConn)}
}

// Call sends a message to the peer at addr and returns its reply. If the call times
// out, its connection is closed, because it may be broken without reporting an error; the
// next call opens a new one.
func (c *Client) Call(ctx context.Context, addr string, message any) (any, error) {
	m, err := c.registry.methodFor(message)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	raw, err := c.send(ctx, addr, m.name, envelope{Version: protocolVersion, From: c.self, Message: data})
	if err != nil {
		return nil, err
	}
	return decodeInto(m.reply, raw)
}

// send calls a method and returns the encoded reply. It applies callTimeout and counts
// the call.
func (c *Client) send(ctx context.Context, addr, method string, params any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.stats.Calls.Add(1)
	reply, err := c.exchange(ctx, addr, method, params)
	if err != nil {
		c.stats.FailedCalls.Add(1)
	}
	return reply, err
}

func (c *Client) exchange(ctx context.Context, addr, method string, params any) (json.RawMessage, error) {
	peer := c.peer(addr)
	conn, err := c.connect(ctx, peer, addr)
	if err != nil {
		return nil, err
	}
	var reply json.RawMessage
	if err := conn.Call(ctx, method, params, &reply); err != nil {
		if ctx.Err() != nil {
			peer.drop(conn)
		}
		return nil, err
	}
	return reply, nil
}

// peer returns the entry for addr and adds it if it does not exist.
func (c *Client) peer(addr string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = &peerConn{}
		c.peers[addr] = p
	}
	return p
}

// connect returns the open connection to addr, or opens a new one.
func (c *Client) connect(ctx context.Context, p *peerConn, addr string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		select {
		case <-p.conn.DisconnectNotify():
			p.conn = nil
		default:
			p.idle.Reset(controlIdleTimeout)
			return p.conn, nil
		}
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn, c.stats}, boundedCodec{})
	opened := jsonrpc2.NewConn(context.Background(), stream, ignoreCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	p.conn = opened
	p.idle = time.AfterFunc(controlIdleTimeout, func() { p.drop(opened) })
	return opened, nil
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := httpsend.Dial(ctx, addr)
	if err != nil || c.tls == nil {
		return conn, err
	}
	secure := tls.Client(conn, c.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// drop closes conn and clears it if it is still the current connection.
func (p *peerConn) drop(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.mu.Lock()
		if p.conn != nil {
			_ = p.conn.Close()
			p.conn = nil
		}
		p.mu.Unlock()
	}
}

// ignoreCalls ignores calls that a peer makes on a client connection.
type ignoreCalls struct{}

// Handle does nothing.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
