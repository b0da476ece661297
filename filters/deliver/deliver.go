// Package deliver carries a request to the backend server of this host and
// judges how that ended.
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

// Verdict is what an answer of a backend server says.
type Verdict uint8

// The verdicts.
const (
	Ran        Verdict = iota // the whole answer of a run
	Refused                   // the backend server did not run the request
	WrongPlace                // another backend server has the address; not run
	Spoiled                   // not the whole answer of the backend server
)

// Codec writes requests for backend servers and reads their answers.
type Codec interface {
	Request(req *pipeline.Request, addr string, left time.Duration) *http.Request
	// Matches returns the test whether an answer belongs to the request.
	Matches(req *pipeline.Request) func(http.Header) bool
	Judge(answer *httpconn.Answer) Verdict
}

// Filter is the last filter of the exit chain.
type Filter struct {
	Addr  string // "ip:port" of the backend server
	Codec Codec
	Conns *httpconn.Client
	// Observe takes what the end of a request says about the backend server.
	Observe func(backend string, outcome belief.Outcome)
	// Excused tells whether a failure of the backend server is due to a call of
	// its own that failed just now.
	Excused func(now time.Time) bool
	Log     *zap.Logger
}

// Name returns "deliver".
func (f *Filter) Name() string { return "deliver" }

const (
	// freshIdle is the idle time up to which a connection is used for requests
	// that run once: a backend server may have dropped an older one silently.
	freshIdle = 2 * time.Second
	// slowFactor is the multiple of the usual service time from which a request
	// without an answer counts against the backend server.
	slowFactor = 2
)

// Handle sends the request once.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(deadlineSlack))
	defer cancel()
	left := time.Until(req.Deadline)
	if left <= 0 {
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
	exchange := &httpconn.Exchange{
		Addr:    f.Addr,
		Request: f.Codec.Request(req, f.Addr, left),
		Payload: req.Payload,
		Matches: f.Codec.Matches(req),
	}
	if !req.Class.Idempotent {
		exchange.MaxIdle = freshIdle
	}
	started := time.Now()
	answer, err := f.Conns.Do(ctx, exchange)
	if err != nil {
		return f.failed(ctx, req, err, time.Since(started))
	}
	return f.judge(req, answer)
}

// deadlineSlack lets a backend server send its own answer at the deadline.
const deadlineSlack = 40 * time.Millisecond

func (f *Filter) judge(req *pipeline.Request, answer *httpconn.Answer) *pipeline.Result {
	switch f.Codec.Judge(answer) {
	case Refused:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server refused a request", answer.Status, nil)
		return pipeline.Refuse(pipeline.CodeShed, "")
	case WrongPlace:
		f.log(req, "another backend server has the address", answer.Status, nil)
		return pipeline.Refuse(pipeline.CodeWrongExit, "")
	case Spoiled:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server sent a spoiled answer", answer.Status, nil)
		return pipeline.Refuse(pipeline.CodeAnswerCut, "")
	}
	req.RunResult = pipeline.RunCompleted
	switch {
	case answer.Status < http.StatusInternalServerError:
		f.Observe(req.Backend, belief.Succeeded)
	case f.Excused(time.Now()):
		f.log(req, "backend server failed after a call of its own had failed", answer.Status, nil)
	case answer.Status == http.StatusGatewayTimeout:
		f.Observe(req.Backend, belief.Slow)
		f.log(req, "backend server ran out of time", answer.Status, nil)
	default:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server failed a request", answer.Status, nil)
	}
	return hop.CompleteResult(answer.Status, pipeline.Header(answer.Header), answer.Body)
}

// failed maps an exchange without an answer.
func (f *Filter) failed(ctx context.Context, req *pipeline.Request, err error, took time.Duration) *pipeline.Result {
	var failure *httpconn.Error
	if !errors.As(err, &failure) {
		f.log(req, "exchange with the backend server failed", 0, err)
		return pipeline.Refuse(pipeline.CodeInternal, "")
	}
	switch failure.Failure {
	case httpconn.NotConnected:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server not reachable", 0, err)
		return pipeline.Refuse(pipeline.CodeConnectFailed, "")
	case httpconn.Ended:
		return f.ended(ctx, req, took)
	case httpconn.Spoiled:
		f.Observe(req.Backend, belief.Failed)
		f.log(req, "backend server sent a spoiled answer", 0, err)
		return pipeline.Refuse(pipeline.CodeAnswerCut, "")
	}
	f.Observe(req.Backend, belief.Failed)
	req.RunResult = pipeline.RunConnectionLost
	if !httpsend.Reachable(f.Addr) {
		req.RunResult = pipeline.RunBackendCrashed
	}
	f.log(req, "connection to the backend server broke", 0, err)
	return pipeline.Refuse(pipeline.CodeConnectionLost, "")
}

// ended judges a request whose caller left or whose time was over. A caller that
// left early says nothing about the server.
func (f *Filter) ended(ctx context.Context, req *pipeline.Request, took time.Duration) *pipeline.Result {
	slow := took >= slowFactor*max(req.Class.TargetLatency, time.Second)/2
	if slow {
		f.Observe(req.Backend, belief.Slow)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.log(req, "no answer of the backend server in time", 0, nil)
		return pipeline.Refuse(pipeline.CodeDeadlineInRun, "")
	}
	return pipeline.Refuse(pipeline.CodeCanceled, "")
}

func (f *Filter) log(req *pipeline.Request, text string, status int, err error) {
	f.Log.Info(text, zap.String("attempt", req.ID), zap.String("backend", req.Backend),
		zap.String("team", req.Principal.Team), zap.Int("status", status), zap.Error(err))
}
