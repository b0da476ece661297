// Package send carries a request to the local backend server and classifies how
// that ended.
package send

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Headers that a backend server receives from the system.
const (
	// HeaderDeadline is the time left in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderShed, on an answer of status 503, says that the backend server
	// refused the request before running it.
	HeaderShed = "X-Shed"
	// HeaderTeam is the verified team; absent on requests without a key.
	HeaderTeam = "Ragwort-Team"
)

// Ending tells how a call to the backend server ended, for those that judge
// its health.
type Ending uint8

// The endings.
const (
	Served       Ending = iota // a whole answer below 500
	ServerFailed               // an answer of 500 or above, a cut answer, or a timeout
	Shed                       // the backend server refused because of its load
	CallerLeft                 // the caller gave up early, which says nothing
	Crashed                    // the connection broke while the request ran, or none could be opened
)

// Observation is one call to the backend server.
type Observation struct {
	Call    uint64 // as passed to Started
	Request *pipeline.Request
	Ending  Ending
	Latency time.Duration // until the header of the answer
}

// Filter is the last filter of the exit chain.
type Filter struct {
	Addr      string // "ip:port" of the backend server
	Transport http.RoundTripper
	// Reachable tells whether the backend server accepts a new connection. It is
	// asked after a connection broke, to tell a crash from a cut answer.
	Reachable func(addr string) bool
	// Started takes each call that is sent, Observe each one that has ended.
	// They must not block.
	Started func(call uint64, class string, at time.Time)
	Observe func(Observation)

	calls atomic.Uint64
}

// Name returns "send".
func (f *Filter) Name() string { return "send" }

// Handle sends the request once.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	out := httpsend.NewRequest(httptrace.WithClientTrace(ctx, trace), req, f.Addr)
	setHeaders(out.Header, req)
	call := f.calls.Add(1)
	started := time.Now()
	f.Started(call, req.Class.Name, started)
	resp, err := f.Transport.RoundTrip(out)
	latency := time.Since(started)
	if err != nil {
		defer cancel()
		code, end := failure(ctx, req, connected, latency)
		if code == pipeline.CodeConnectionLost {
			f.noteCut(req)
		}
		f.Observe(Observation{Call: call, Request: req, Ending: end, Latency: latency})
		return pipeline.Refuse(code, "")
	}
	result := &pipeline.Result{
		Outcome:       pipeline.Answered,
		Status:        resp.StatusCode,
		Header:        answerHeader(resp.Header),
		ContentLength: resp.ContentLength,
	}
	httpsend.AttachBody(result, resp)
	framed := !unframed(resp)
	req.OnComplete(func(c pipeline.Completion) {
		if framed && ctx.Err() == nil {
			f.noteEnd(req, c)
		}
		cancel()
		f.Observe(Observation{Call: call, Request: req, Ending: ending(c), Latency: latency})
	})
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) != "" {
		_ = resp.Body.Close()
		return pipeline.Refuse(pipeline.CodeShed, "")
	}
	if !framed {
		_ = resp.Body.Close()
		return pipeline.Refuse(pipeline.CodeAnswerCut, "the answer has no length, so its end cannot be verified")
	}
	return result
}

// noteEnd records how the backend server ended a request that it answered at
// least in part.
func (f *Filter) noteEnd(req *pipeline.Request, c pipeline.Completion) {
	switch {
	case c.Code == pipeline.CodeAnswerCut:
		f.noteCut(req)
	case c.Code == pipeline.CodeOK:
		req.RunResult = pipeline.RunCompleted
	}
}

// noteCut records that the connection was lost during the run.
func (f *Filter) noteCut(req *pipeline.Request) {
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

// unframed tells whether the answer ends only with its connection, so that a
// cut answer would look whole.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody && !resp.Uncompressed
}

// answerHeader drops the fields that concern the connection to the backend
// server and those reserved for the fleet.
func answerHeader(h http.Header) pipeline.Header {
	out := make(pipeline.Header, len(h))
	for name, values := range h {
		if !httpsend.Reserved(name) {
			out[name] = values
		}
	}
	return out
}

// patience is the multiple of a class's target latency from which a call that
// the deadline ended counts against the backend server. Callers with a shorter
// deadline ended it too early to blame anyone.
const patience = 4

// failure classifies a call without an answer. Without a connection, nothing was
// sent; after that, the backend server may have run the request.
func failure(ctx context.Context, req *pipeline.Request, connected bool, latency time.Duration) (pipeline.Code, Ending) {
	patient := latency >= patience*req.Class.TargetLatency
	switch {
	case !connected && ctx.Err() != nil:
		return pipeline.CodeDeadlinePassed, CallerLeft
	case !connected:
		return pipeline.CodeConnectFailed, Crashed
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && patient:
		return pipeline.CodeDeadlineInRun, ServerFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return pipeline.CodeDeadlineInRun, CallerLeft
	case ctx.Err() != nil:
		return pipeline.CodeCanceled, CallerLeft
	}
	return pipeline.CodeConnectionLost, Crashed
}

// ending maps a completed answer to what it says of the backend server.
func ending(c pipeline.Completion) Ending {
	switch {
	case c.Code == pipeline.CodeCanceled:
		return CallerLeft
	case c.Code == pipeline.CodeShed:
		return Shed
	case c.Outcome != pipeline.Answered:
		return ServerFailed
	case c.Status >= http.StatusInternalServerError:
		return ServerFailed
	}
	return Served
}
