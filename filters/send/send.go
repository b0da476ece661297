// Package send sends a request to the local backend server and classifies the
// outcome.
package send

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpconn"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Headers exchanged with backend servers.
const (
	// HeaderDeadline is the time until the deadline in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderShed, on a response with status 503, means that the backend server
	// refused the request before running it.
	HeaderShed = "X-Shed"
	// HeaderTeam is the authenticated team. It is absent on requests without a key.
	HeaderTeam = "Ragwort-Team"
)

// CallOutcome is how a call to the backend server ended. Outlier detection uses it.
type CallOutcome uint8

// The possible outcomes.
const (
	Served       CallOutcome = iota // complete response with a status below 500
	ServerFailed                    // status 500 or above, truncated response, or timeout
	Shed                            // the backend server refused the request because of its load
	Inconclusive                    // the caller gave up early, which is no evidence about the server
	Crashed                         // the connection was lost during the request, or could not be opened
)

// Observation describes a completed call to the backend server.
type Observation struct {
	Call    uint64 // identifier that was passed to Started
	Request *pipeline.Request
	Outcome CallOutcome
	Latency time.Duration // until the response header
}

// Filter is the last filter of the exit chain.
type Filter struct {
	Addr      string // "ip:port" of the backend server
	Transport http.RoundTripper
	// Reachable reports whether the backend server accepts a new connection. It is
	// called after a connection was lost, to distinguish a crash from a truncated
	// response.
	Reachable func(addr string) bool
	// Started is called before each call is sent, and Observe after it has ended.
	// They must not block.
	Started func(call uint64, class string, at time.Time)
	Observe func(Observation)

	callCount atomic.Uint64
}

// Name returns "send".
func (f *Filter) Name() string { return "send" }

// Handle sends the request once to the backend server.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	out := httpsend.NewRequest(httptrace.WithClientTrace(ctx, trace), req, f.Addr)
	setHeaders(out.Header, req)
	call := f.callCount.Add(1)
	started := time.Now()
	f.Started(call, req.Class.Name, started)
	resp, err := f.Transport.RoundTrip(out)
	latency := time.Since(started)
	if err != nil {
		defer cancel()
		code, end := classifyError(ctx, req, connected, latency)
		if code == pipeline.CodeConnectionLost {
			f.recordConnectionLoss(req)
		}
		f.Observe(Observation{Call: call, Request: req, Outcome: end, Latency: latency})
		return pipeline.Refuse(code, "")
	}
	result := &pipeline.Result{
		Outcome:       pipeline.Answered,
		Status:        resp.StatusCode,
		Header:        responseHeader(resp.Header),
		ContentLength: resp.ContentLength,
	}
	httpsend.SetResultBody(result, resp)
	if result.Body != nil {
		result.Body = checkedBody{result.Body, resp}
	}
	invalid := checkResponse(resp)
	req.OnComplete(func(c pipeline.Completion) {
		if invalid == nil && ctx.Err() == nil {
			f.recordCompletion(req, c)
		}
		cancel()
		f.Observe(Observation{Call: call, Request: req, Outcome: classifyCompletion(c), Latency: latency})
	})
	shed := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) != ""
	switch {
	case invalid != nil && !(shed && errors.Is(invalid, errNoLength)):
		_ = resp.Body.Close()
		return pipeline.Refuse(pipeline.CodeAnswerCut, "the backend server sent an invalid response: "+invalid.Error())
	case shed:
		_ = resp.Body.Close()
		return pipeline.Refuse(pipeline.CodeShed, "")
	}
	return result
}

// recordCompletion sets the run result of a request to which the backend server sent
// at least part of a response.
func (f *Filter) recordCompletion(req *pipeline.Request, c pipeline.Completion) {
	switch {
	case c.Code == pipeline.CodeAnswerCut:
		f.recordConnectionLoss(req)
	case c.Code == pipeline.CodeOK:
		req.RunResult = pipeline.RunCompleted
	}
}

// recordConnectionLoss sets the run result of a request whose connection was lost.
// The backend server has crashed if it accepts no new connection.
func (f *Filter) recordConnectionLoss(req *pipeline.Request) {
	req.RunResult = pipeline.RunBackendCrashed
	if f.Reachable(f.Addr) {
		req.RunResult = pipeline.RunConnectionLost
	}
}

func setHeaders(h http.Header, req *pipeline.Request) {
	left := max(time.Until(req.Deadline).Milliseconds(), 1)
	h[HeaderDeadline] = []string{strconv.FormatInt(left, 10)}
	if req.Principal.Team != "" {
		h[HeaderTeam] = []string{req.Principal.Team}
	}
}

// errNoLength is returned by checkResponse if the end of the response is marked only by the
// end of the connection, so that a truncated response would look complete.
var errNoLength = errors.New("no length, so its end cannot be verified")

// checkResponse returns an error for a response that must not be passed on.
func checkResponse(resp *http.Response) error {
	err := httpconn.CheckResponse(resp)
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody && !resp.Uncompressed {
		return errNoLength
	}
	return err
}

// checkedBody is the body of a response. Its end is an error if the trailer is malformed, so that
// the answer does not look complete without the fields that the server sent.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := httpconn.CheckNames(b.resp.Trailer); invalid != nil {
		return n, invalid
	}
	return n, io.EOF
}

// responseHeader returns the response header without hop-by-hop fields and fields
// reserved for the fleet.
func responseHeader(h http.Header) pipeline.Header {
	out := make(pipeline.Header, len(h))
	for name, values := range h {
		if !httpsend.IsReservedHeader(name) {
			out[name] = values
		}
	}
	return out
}

// slowLatencyFactor is the multiple of a class's target latency after which a call
// that reached its deadline counts against the backend server. A call with a shorter
// deadline is no evidence about the server.
const slowLatencyFactor = 4

// classifyError classifies a call without a response. If there was no connection,
// nothing was sent. Otherwise the backend server may have run the request.
func classifyError(ctx context.Context, req *pipeline.Request, connected bool, latency time.Duration) (pipeline.Code, CallOutcome) {
	tooSlow := latency >= slowLatencyFactor*req.Class.TargetLatency
	switch {
	case !connected && ctx.Err() != nil:
		return pipeline.CodeDeadlinePassed, Inconclusive
	case !connected:
		return pipeline.CodeConnectFailed, Crashed
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && tooSlow:
		return pipeline.CodeDeadlineInRun, ServerFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return pipeline.CodeDeadlineInRun, Inconclusive
	case ctx.Err() != nil:
		return pipeline.CodeCanceled, Inconclusive
	}
	return pipeline.CodeConnectionLost, Crashed
}

// classifyCompletion returns the outcome of a call with a response.
func classifyCompletion(c pipeline.Completion) CallOutcome {
	switch {
	case c.Code == pipeline.CodeCanceled:
		return Inconclusive
	case c.Code == pipeline.CodeShed:
		return Shed
	case c.Outcome != pipeline.Answered:
		return ServerFailed
	case c.Status >= http.StatusInternalServerError:
		return ServerFailed
	}
	return Served
}
