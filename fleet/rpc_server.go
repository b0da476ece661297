package fleet

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Limits of the control listener.
const (
	maxConcurrentCalls = 256             // per connection; further calls stay unread until one ends
	handlerTimeout     = 2 * time.Second // maximum time that a call may wait for the control loop
	handshakeTimeout   = 2 * time.Second // a handshake needs three round trips of a few milliseconds each
)

// ControlStats counts the bytes of control messages and the outgoing calls.
type ControlStats struct {
	SentBytes     atomic.Uint64
	ReceivedBytes atomic.Uint64
	Calls         atomic.Uint64
	FailedCalls   atomic.Uint64
}

// Handler answers the control messages of peers.
type Handler interface {
	// HandlePeer handles a message and returns a reply of the registered type.
	HandlePeer(ctx context.Context, from string, message any) (any, error)
}

// Server accepts control connections and serves their calls.
type Server struct {
	registry *Registry
	handler  Handler
	stats    *ControlStats
	tls      *tls.Config
	client   *Client
	resolve  Resolver
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Registry *Registry
	Handler  Handler
	Stats    *ControlStats
	TLS      *tls.Config // nil for plain connections
	Client   *Client     // forwards relayed messages
	Resolve  Resolver
}

// NewServer returns a server for control messages.
func NewServer(o ServerOptions) *Server {
	return &Server{
		registry: o.Registry, handler: o.Handler, stats: o.Stats,
		tls: o.TLS, client: o.Client, resolve: o.Resolve,
	}
}

// Serve accepts connections until the listener fails or ctx is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	conn, err := s.handshake(ctx, conn)
	if err != nil {
		return
	}
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn, s.stats}, boundedCodec{})
	handler := &callHandler{server: s, slots: make(chan struct{}, maxConcurrentCalls)}
	peer := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
	context.AfterFunc(ctx, func() { _ = peer.Close() })
}

// handshake completes the TLS handshake within handshakeTimeout, so that a client that
// does not authenticate cannot hold a connection open.
func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.tls == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secure := tls.Server(conn, s.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// discardLogger discards the jsonrpc2 library's messages about closed connections,
// which are expected when a peer restarts.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// callHandler runs each call of a connection in its own goroutine, up to
// maxConcurrentCalls at a time.
type callHandler struct {
	server *Server
	slots  chan struct{}
}

// Handle starts one call. It blocks, and stops reading from the connection, while
// maxConcurrentCalls are running.
func (h *callHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.slots <- struct{}{}
	go func() {
		defer func() { <-h.slots }()
		h.server.call(ctx, conn, req)
	}()
}

func (s *Server) call(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	reply, err := s.dispatch(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, reply)
}

// CodedError is an error with a result code that is sent to the peer.
type CodedError struct {
	Code   pipeline.Code
	Detail string
}

// Error returns the code and the detail.
func (e *CodedError) Error() string {
	return e.Code.String() + ": " + e.Detail
}

// rpcError converts an error for the peer. An error without a result code becomes
// CodeInternal.
func rpcError(err error) *jsonrpc2.Error {
	code := pipeline.CodeInternal
	var coded *CodedError
	if errors.As(err, &coded) {
		code = coded.Code
	}
	return &jsonrpc2.Error{Code: int64(code), Message: err.Error()}
}

func (s *Server) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if req.Method == relayMethod {
		return s.relay(ctx, req)
	}
	m, ok := s.registry.byName[req.Method]
	if !ok {
		return nil, &CodedError{Code: pipeline.CodeVersionMismatch, Detail: "unknown method"}
	}
	if req.Params == nil {
		return nil, &CodedError{Code: pipeline.CodeBadHop, Detail: "no parameters"}
	}
	var env envelope
	if err := json.Unmarshal(*req.Params, &env); err != nil {
		return nil, &CodedError{Code: pipeline.CodeBadHop, Detail: err.Error()}
	}
	if env.Version != protocolVersion && env.Version != protocolVersion-1 {
		return nil, &CodedError{Code: pipeline.CodeVersionMismatch, Detail: "unsupported protocol version"}
	}
	message, err := decodeInto(m.request, env.Message)
	if err != nil {
		return nil, &CodedError{Code: pipeline.CodeBadHop, Detail: err.Error()}
	}
	return s.handler.HandlePeer(ctx, env.From, message)
}
