package httpfront

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Limits of callers' connections.
const (
	maxHeaderBytes    = 32 << 10         // net/http answers larger headers with status 431
	readHeaderTimeout = 5 * time.Second  // maximum time for a caller to send a header
	idleTimeout       = 60 * time.Second // longer than in common client pools, so that the client closes first
)

// Handler serves callers' requests with a filter chain.
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
	if req.Body != nil && r.ProtoMajor == 1 {
		// A backend server may answer before it has read the complete body.
		_ = http.NewResponseController(w).EnableFullDuplex()
		defer discardBody(w, r.Body)
	}
	if req.Body != nil {
		req.Body = &progressReader{body: req.Body, controller: http.NewResponseController(w)}
	}
	done := func(c pipeline.Completion) {
		c.Duration = time.Since(req.Received)
		req.Complete(c)
	}
	defer func() {
		// If a filter panics, release what the request holds, for example its slot.
		// After the second panic net/http resets the connection or stream.
		if p := recover(); p != nil {
			done(pipeline.Completion{Outcome: pipeline.Unknown, Code: pipeline.CodeInternal})
			panic(p)
		}
	}()
	result := h.Chain.Run(r.Context(), req)
	if result.Code == pipeline.CodeCanceled && errors.Is(context.Cause(r.Context()), ErrStopping) {
		result = pipeline.Refuse(pipeline.CodeStopped, "")
	}
	Respond(w, result, done)
}

// discardTimeout is how long an answered caller may take to send the rest of its body
// before its connection is closed.
const discardTimeout = 500 * time.Millisecond

// discardBody reads the rest of a body after the response, or aborts the connection. With
// full duplex enabled, net/http panics if it finds the end of the body after the handler
// has returned.
func discardBody(w http.ResponseWriter, body io.Reader) {
	if p := recover(); p != nil {
		panic(p) // net/http aborts the connection
	}
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.Copy(io.Discard, body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// ErrStopping is the cause with which the context of a server is canceled to end the
// requests that a planned stop can't await.
var ErrStopping = errors.New("the process is stopping")

// NewServer returns an HTTP/1.1 and HTTP/2 server for the handler. Without TLS it accepts
// HTTP/2 with prior knowledge. The contexts of its requests are derived from ctx.
func NewServer(ctx context.Context, handler http.Handler) *http.Server {
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
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// An HTTP/2 connection that has received nothing for pingAfterIdle is pinged, and closed
// if no reply arrives within pingTimeout.
const (
	pingAfterIdle = 15 * time.Second
	pingTimeout   = 5 * time.Second
)

// progressReader aborts a read that receives nothing within progressTimeout, so that a
// caller that stops sending its body cannot hold a slot forever.
type progressReader struct {
	body       interface{ Read([]byte) (int, error) }
	controller *http.ResponseController
}

// Read extends the read deadline and then reads from the body.
func (p *progressReader) Read(b []byte) (int, error) {
	_ = p.controller.SetReadDeadline(time.Now().Add(progressTimeout))
	n, err := p.body.Read(b)
	if err != nil {
		_ = p.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
