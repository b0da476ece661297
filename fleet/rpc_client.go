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

// callTimeout bounds a control call when the caller sets no earlier deadline. A
// message crosses a region in about 1 ms, so a call that takes longer is lost.
const callTimeout = 500 * time.Millisecond

// Client sends control messages over one connection for each peer.
type Client struct {
	self     string
	registry *Registry
	traffic  *Traffic
	tls      *tls.Config

	mu    sync.Mutex // guards the table of connections
	peers map[string]*peerConn
}

// peerConn is the connection to one address; its mutex makes dials single.
type peerConn struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
	idle *time.Timer // closes the connection
}

// controlIdleTimeout closes control connections that are not used. Peers are
// chosen at random, so that a process in a large fleet would otherwise keep a
// connection to every other one.
const controlIdleTimeout = 30 * time.Second

// NewClient returns a client that signs its messages with the identifier self
// and uses mutual TLS when config is not nil.
func NewClient(self string, registry *Registry, traffic *Traffic, config *tls.Config) *Client {
	return &Client{self: self, registry: registry, traffic: traffic, tls: config, peers: make(map[string]*peerConn)}
}

// Call sends a message to the peer at addr and returns its reply. A call that
// times out closes the connection, since it may have gone silent; the next call
// dials a fresh one.
func (c *Client) Call(ctx context.Context, addr string, message any) (any, error) {
	m, err := c.registry.forMessage(message)
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

// send calls a method with encoded parameters and returns the encoded reply.
func (c *Client) send(ctx context.Context, addr, method string, params any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.traffic.Calls.Add(1)
	reply, err := c.exchange(ctx, addr, method, params)
	if err != nil {
		c.traffic.Failed.Add(1)
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
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn, c.traffic}, boundedCodec{})
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

// ignoreCalls ignores calls that come back on a client's connection.
type ignoreCalls struct{}

// Handle does nothing.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
