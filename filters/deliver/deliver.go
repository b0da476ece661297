// Package deliver sends a request to the backend server of this host and reports
// the outcome.
package deliver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/internal/httpconn"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// ResponseClass classifies a response of a backend server.
type ResponseClass uint8

// The classes of responses.
const (
	Completed       ResponseClass = iota // complete response of any status; the request ran
	NotExecuted                          // the backend server refused the request without running it
	WrongInstance                        // a different backend server has the address; the request did not run
	InvalidResponse                      // incomplete, or not from the backend server
)

// Codec encodes requests to backend servers and interprets their responses.
type Codec interface {
	// Request returns the HTTP request to send. left is the time until the deadline.
	Request(req *pipeline.Request, addr string, left time.Duration) *http.Request
	// Matches returns a function that reports whether a response header belongs to
	// the request. reused means that the connection carried an earlier request.
	Matches(req *pipeline.Request) func(h http.Header, reused bool) bool
	Classify(answer *httpconn.Response) ResponseClass
	// RateLimit returns the rate limit that a response names, or that it names none.
	RateLimit(answer *httpconn.Response) (pipeline.RateLimit, error)
	// Leaving reports whether a response says that the backend server is leaving.
	Leaving(answer *httpconn.Response) bool
}

// Filter is the last filter of the exit chain.
type Filter struct {
	Addr  string // "ip:port" of the backend server
	Codec Codec
	Conns *httpconn.Client
	// Observe receives the outcome of a request as evidence about the backend server.
	Observe func(backend string, outcome belief.Outcome)
	// ObserveLimit receives the rate limit that a response named. It reports whether a
	// limit began, changed or ended.
	ObserveLimit func(backend string, limit pipeline.RateLimit) bool
	// ObserveLeaving records that a response said that the backend server is leaving.
	ObserveLeaving func(backend string)
	// DependencyFailed reports whether a call by the backend server itself failed
	// recently. Its error responses then do not count against it.
	DependencyFailed func(now time.Time) bool
	Log              *zap.Logger
}

// Name returns "deliver".
func (f *Filter) Name() string { return "deliver" }

const (
	// maxIdleNonIdempotent is the longest idle time of a connection that is reused
	// for a non-idempotent request: the backend server may have silently dropped a
	// connection that was idle for longer.
	maxIdleNonIdempotent = 2 * time.Second
	// slowServiceFactor is a multiple of the usual service time, which is taken as
	// half of the target latency. A request without a response after that time counts
	// against the backend server.
	slowServiceFactor = 2
)

// Handle sends the request once to the backend server.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(responseGrace))
	defer cancel()
	left := time.Until(req.Deadline)
	if left <= 0 {
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
	exchange := &httpconn.Exchange{
		Addr:          f.Addr,
		Request:       f.Codec.Request(req, f.Addr, left),
		Body:          req.Payload,
		MatchResponse: f.Codec.Matches(req),
	}
	if !req.Class.Idempotent {
		exchange.MaxIdle = maxIdleNonIdempotent
	}
	started := time.Now()
	answer, err := f.Conns.Do(ctx, exchange)
	if err != nil {
		return f.handleError(ctx, req, err, time.Since(started))
	}
	return f.handleResponse(req, answer)
}

// responseGrace is added to the deadline, so that a response that the backend server
// sends at the deadline still arrives.
const responseGrace = 40 * time.Millisecond

// handleResponse reports the outcome of a response and returns its result.
func (f *Filter) handleResponse(req *pipeline.Request, answer *httpconn.Response) *pipeline.Result {
	class := f.Codec.Classify(answer)
	if class == Completed || class == NotExecuted {
		f.observeLimit(req, answer)
		if f.Codec.Leaving(answer) {
			f.ObserveLeaving(req.Backend)
		}
	}
	switch class {
	case NotExecuted:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server refused a request", answer.Status, nil)
		return pipeline.Refuse(pipeline.CodeShed, "")
	case WrongInstance:
		f.log(req, "another backend server has the address", answer.Status, nil)
		return pipeline.Refuse(pipeline.CodeWrongExit, "")
	case InvalidResponse:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server sent an invalid response", answer.Status, nil)
		return pipeline.Refuse(pipeline.CodeAnswerCut, "")
	}
	req.RunResult = pipeline.RunCompleted
	switch {
	case answer.Status < http.StatusInternalServerError:
		f.Observe(req.Backend, belief.Succeeded)
	case f.DependencyFailed(time.Now()):
		f.log(req, "backend server failed after a call of its own had failed", answer.Status, nil)
	case answer.Status == http.StatusGatewayTimeout:
		f.Observe(req.Backend, belief.Slow)
		f.log(req, "backend server exceeded the deadline", answer.Status, nil)
	default:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server failed a request", answer.Status, nil)
	}
	return hop.CompleteResult(answer.Status, pipeline.Header(answer.Header), answer.Body)
}

// observeLimit reports the rate limit that a response names. An unreadable one leaves the
// limit as it is.
func (f *Filter) observeLimit(req *pipeline.Request, answer *httpconn.Response) {
	limit, err := f.Codec.RateLimit(answer)
	if err != nil {
		f.log(req, "backend server named an unreadable rate limit", answer.Status, err)
		return
	}
	if f.ObserveLimit(req.Backend, limit) {
		f.Log.Info("backend server changed the rate that it accepts", zap.String("attempt", req.ID), zap.String("backend", req.Backend),
			zap.Bool("limited", limit.Limited), zap.Float64("per_second", limit.PerSecond))
	}
}

// handleError returns the result of an exchange that failed without a response.
func (f *Filter) handleError(ctx context.Context, req *pipeline.Request, err error, took time.Duration) *pipeline.Result {
	var failure *httpconn.Error
	if !errors.As(err, &failure) {
		f.log(req, "exchange with the backend server failed", 0, err)
		return pipeline.Refuse(pipeline.CodeInternal, "")
	}
	switch failure.Kind {
	case httpconn.NotConnected:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "could not connect to the backend server", 0, err)
		return pipeline.Refuse(pipeline.CodeConnectFailed, "")
	case httpconn.ContextDone:
		return f.handleContextEnd(ctx, req, took)
	case httpconn.InvalidResponse:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server sent an invalid response", 0, err)
		return pipeline.Refuse(pipeline.CodeAnswerCut, "")
	}
	f.Observe(req.Backend, belief.Failed)
	req.RunResult = pipeline.RunConnectionLost
	if !httpsend.AcceptsConnections(f.Addr) {
		req.RunResult = pipeline.RunBackendCrashed
	}
	f.log(req, "connection to the backend server broke", 0, err)
	return pipeline.Refuse(pipeline.CodeConnectionLost, "")
}

// handleContextEnd returns the result of a request that was canceled by its caller
// or reached its deadline. An early cancellation is no evidence about the backend
// server.
func (f *Filter) handleContextEnd(ctx context.Context, req *pipeline.Request, took time.Duration) *pipeline.Result {
	slow := took >= slowServiceFactor*max(req.Class.TargetLatency, time.Second)/2
	if slow {
		f.Observe(req.Backend, belief.Slow)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.log(req, "no answer of the backend server in time", 0, nil)
		return pipeline.Refuse(pipeline.CodeDeadlineInRun, "")
	}
	f.log(req, "request was canceled while the backend server worked", 0, nil)
	return pipeline.Refuse(pipeline.CodeCanceled, "")
}

func (f *Filter) log(req *pipeline.Request, text string, status int, err error) {
	f.Log.Info(text, zap.String("attempt", req.ID), zap.String("backend", req.Backend),
		zap.String("team", req.Principal.Team), zap.Int("status", status), zap.Error(err))
}
