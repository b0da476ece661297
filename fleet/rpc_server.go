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
	maxConcurrentCalls = 256             // calls that one connection may have open; further ones wait unread
	serveTimeout       = 2 * time.Second // longest time that a call may wait for the control loop
	handshakeTimeout   = 2 * time.Second // a handshake takes three round trips of a few milliseconds
)

// Traffic counts the bytes of control messages.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
	Calls    atomic.Uint64
	Failed   atomic.Uint64
}

// Handler answers the control messages of peers.
type Handler interface {
	// HandlePeer returns the reply to a message, of the registered type.
	HandlePeer(ctx context.Context, from string, message any) (any, error)
}

// Server accepts control connections.
type Server struct {
	registry *Registry
	handler  Handler
	traffic  *Traffic
	tls      *tls.Config
	client   *Client
	resolve  Resolver
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Registry *Registry
	Handler  Handler
	Traffic  *Traffic
	TLS      *tls.Config // nil for plain connections
	Client   *Client     // passes on relayed messages
	Resolve  Resolver
}

// NewServer returns a server for control messages.
func NewServer(o ServerOptions) *Server {
	return &Server{
		registry: o.Registry, handler: o.Handler, traffic: o.Traffic,
		tls: o.TLS, client: o.Client, resolve: o.Resolve,
	}
}

// Serve accepts connections until the listener is closed or ctx is done.
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
	conn, err := s.secure(ctx, conn)
	if err != nil {
		return
	}
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn, s.traffic}, boundedCodec{})
	handler := &callHandler{server: s, slots: make(chan struct{}, maxConcurrentCalls)}
	peer := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
	context.AfterFunc(ctx, func() { _ = peer.Close() })
}

// secure completes the TLS handshake, within a limit, so that a stranger holds a
// connection for a short time only.
func (s *Server) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
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

// discardLogger drops the library's messages about closed connections, which
// are ordinary when a peer restarts.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// callHandler runs each call in its own goroutine, up to a bound.
type callHandler struct {
	server *Server
	slots  chan struct{}
}

// Handle reads one call. It blocks the connection when too many are open.
func (h *callHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.slots <- struct{}{}
	go func() {
		defer func() { <-h.slots }()
		h.server.call(ctx, conn, req)
	}()
}

func (s *Server) call(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
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

// CodedError is an error that carries a result code to the peer.
type CodedError struct {
	Code   pipeline.Code
	Detail string
}

// Error returns the code and the detail.
func (e *CodedError) Error() string {
	return e.Code.String() + ": " + e.Detail
}

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
