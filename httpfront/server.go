package httpfront

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Limits of the callers' listener.
const (
	maxHeaderBytes    = 32 << 10         // larger header sections are answered with 431 by net/http
	readHeaderTimeout = 5 * time.Second  // bounds how long a connection may take to send a header
	idleTimeout       = 60 * time.Second // kept longer than common client pools, so that the client closes first
)

// Handler serves callers' requests through a chain.
type Handler struct {
	Chain pipeline.Chain
}

// ServeHTTP decodes the request, runs the chain and writes the result.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	req, refusal := Decode(r, now)
	if refusal != nil {
		Respond(w, refusal, func(pipeline.Completion) {})
		return
	}
	// A backend server may answer before it has read the whole body.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if req.Body != nil {
		req.Body = &progressReader{body: req.Body, control: http.NewResponseController(w)}
	}
	done := func(c pipeline.Completion) {
		c.Duration = time.Since(req.Received)
		req.Complete(c)
	}
	defer func() {
		// A filter that panics must not keep what the request holds. net/http
		// then resets the connection or stream.
		if p := recover(); p != nil {
			done(pipeline.Completion{Outcome: pipeline.Unknown, Code: pipeline.CodeInternal})
			panic(p)
		}
	}()
	result := h.Chain.Run(r.Context(), req)
	Respond(w, result, done)
}

// NewServer returns an HTTP/1.1 and HTTP/2 server for the handler. Without TLS
// it speaks HTTP/2 with prior knowledge.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		BaseContext:       func(net.Listener) context.Context { return context.Background() },
	}
}

// A connection of a caller that has been silent for pingInterval is probed and
// closed when no reply comes within pingTimeout.
const (
	pingInterval = 15 * time.Second
	pingTimeout  = 5 * time.Second
)

// progressReader fails a read that gets nothing for progressTimeout, so that a
// caller that stops sending its body cannot hold a slot for ever.
type progressReader struct {
	body    interface{ Read([]byte) (int, error) }
	control *http.ResponseController
}

// Read extends the read deadline before each read.
func (p *progressReader) Read(b []byte) (int, error) {
	_ = p.control.SetReadDeadline(time.Now().Add(progressTimeout))
	n, err := p.body.Read(b)
	if err != nil {
		_ = p.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
