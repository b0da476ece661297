package hop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpconn"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Timeouts and limits of requests between processes.
const (
	// ackTimeout is how long an entry proxy waits for the acknowledgement before it
	// withdraws the request. It allows for one TCP retransmission, which happens after
	// 200 ms.
	ackTimeout = 500 * time.Millisecond
	// withdrawTimeout is the maximum duration of a withdrawal, including opening the
	// connection.
	withdrawTimeout = 700 * time.Millisecond
	// idleTimeout is how long idle connections between processes are kept.
	idleTimeout = 20 * time.Second
	// maxIdleConnsPerPeer is the maximum number of idle connections kept per peer.
	maxIdleConnsPerPeer = 4
)

// Client sends attempts to the exit proxies of other processes.
type Client struct {
	conns *httpconn.Client
}

// NewClient returns a client without open connections. maxLargeBodyBytes limits the memory
// for large answers that are being read at the same time.
func NewClient(maxLargeBodyBytes int64) *Client {
	return &Client{conns: httpconn.NewClient(httpconn.Options{
		Dial: httpsend.Dial, MaxIdle: idleTimeout, MaxIdlePerAddr: maxIdleConnsPerPeer, MaxLargeBodyBytes: maxLargeBodyBytes,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.conns.Close() }

// Answer is the result of one attempt.
type Answer struct {
	Result *pipeline.Result
	// Reached reports whether the attempt reached the exit proxy; if not, the network
	// path to the exit proxy failed. It is also true if the caller canceled the
	// attempt.
	Reached bool
	Load    pipeline.Load
	HasLoad bool // the exit proxy reported Load
	// ServiceTime is the time for which an answered attempt held a slot, or 0 if it is not known.
	ServiceTime time.Duration
}

// Do sends one attempt to the exit proxy at addr. The outcome is NotRun only if the
// exit proxy reports it or nothing was sent.
func (c *Client) Do(ctx context.Context, addr string, req *pipeline.Request) Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	acked := make(chan struct{})
	done := make(chan Answer, 1)
	go func() { done <- c.exchange(ctx, addr, req, acked) }()
	sent := time.Now()
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case answer := <-done:
		return answer
	case <-acked:
		return <-done
	case <-timer.C:
	}
	return c.resolveUnacknowledged(ctx, cancel, addr, req, sent, acked, done)
}

// resolveUnacknowledged withdraws an attempt that was not acknowledged in time. It
// gives up the attempt if the exit proxy confirms the withdrawal or if the attempt is
// idempotent; otherwise it waits for the answer.
func (c *Client) resolveUnacknowledged(ctx context.Context, cancel func(), addr string, req *pipeline.Request, sent time.Time, acked chan struct{}, done chan Answer) Answer {
	withdrawn := make(chan bool, 1)
	go func() { withdrawn <- c.Withdraw(ctx, addr, req.ID, sent) == Withdrawn }()
	select {
	case answer := <-done:
		return answer
	case <-acked:
		return <-done
	case confirmed := <-withdrawn:
		if confirmed {
			cancel()
			return Answer{Result: pipeline.Refuse(pipeline.CodePathBroken, "the exit withdrew the request")}
		}
	}
	if req.Class.Idempotent {
		cancel()
		return Answer{Result: pipeline.Refuse(pipeline.CodeSilent, "")}
	}
	return <-done
}

// exchange sends an attempt and waits for its answer. It closes acked when the exit
// proxy acknowledges the attempt.
func (c *Client) exchange(ctx context.Context, addr string, req *pipeline.Request, acked chan struct{}) Answer {
	out := newRequest(req, addr)
	out.Header[headerRequest] = []string{encodeRequest(req, time.Until(req.Deadline))}
	acknowledged := false
	answer, err := c.conns.Do(ctx, &httpconn.Exchange{
		Addr:    addr,
		Request: out,
		Body:    req.Payload,
		MatchResponse: func(h http.Header, _ bool) bool {
			o, err := decodeResult(h)
			return err == nil && o.id == req.ID
		},
		OnInterim: func() {
			if !acknowledged {
				acknowledged = true
				close(acked)
			}
		},
	})
	if err != nil {
		return errorAnswer(ctx, err)
	}
	return decodeAnswer(answer)
}

// newRequest returns the HTTP request for an attempt, without its body.
func newRequest(req *pipeline.Request, addr string) *http.Request {
	header := make(http.Header, len(req.Header)+2)
	for name, values := range req.Header {
		header[name] = values
	}
	return httpconn.NewRequest(req.Method, addr, req.Host, req.Path, req.RawQuery, header)
}

// errorAnswer converts the error of a failed exchange. Once a connection was obtained,
// bytes may have been sent, so the outcome is unknown.
func errorAnswer(ctx context.Context, err error) Answer {
	var exchange *httpconn.Error
	switch {
	case errors.As(err, &exchange) && exchange.Kind == httpconn.NotConnected:
		return Answer{Result: pipeline.Refuse(pipeline.CodePathBroken, "")}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Answer{Result: pipeline.Refuse(pipeline.CodeDeadlineInRun, "")}
	case ctx.Err() != nil:
		return Answer{Result: pipeline.Refuse(pipeline.CodeCanceled, ""), Reached: true}
	}
	return Answer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, "")}
}

// decodeAnswer converts the HTTP answer of an exit proxy.
func decodeAnswer(answer *httpconn.Response) Answer {
	o, err := decodeResult(answer.Header)
	if err != nil {
		return Answer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, "the exit sent an unreadable result")}
	}
	if o.code != pipeline.CodeOK {
		result := pipeline.Refuse(o.code, "")
		result.RetryAfter = o.retryAfter
		return Answer{Result: result, Reached: true, Load: o.load, HasLoad: true}
	}
	header := pipeline.Header(answer.Header)
	delete(header, headerResult)
	return Answer{Result: CompleteResult(answer.Status, header, answer.Body), Reached: true, Load: o.load, HasLoad: true, ServiceTime: o.serviceTime}
}

// CompleteResult returns the result for a backend server's answer that has been read
// completely. It removes the header fields that described the connection and length.
func CompleteResult(status int, header pipeline.Header, body []byte) *pipeline.Result {
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer"} {
		delete(header, name)
	}
	return &pipeline.Result{
		Outcome:       pipeline.Answered,
		Status:        status,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}

// WithdrawResult is the result of a withdrawal.
type WithdrawResult uint8

// The results of a withdrawal.
const (
	Unanswered   WithdrawResult = iota // the exit proxy did not answer
	Withdrawn                          // the attempt has not run and never will
	NotWithdrawn                       // the attempt runs, has run, or may have run before the exit proxy started
)

// Withdraw asks the exit proxy at addr, over a new connection, not to run an attempt.
func (c *Client) Withdraw(ctx context.Context, addr, id string, sent time.Time) WithdrawResult {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	// The age is rounded up, because an exit proxy that started after the attempt was
	// sent cannot confirm the withdrawal.
	age := began.Sub(sent).Milliseconds() + 1
	query := url.Values{keyID: {id}, keyAge: {strconv.FormatInt(age, 10)}}.Encode()
	out := newRequest(&pipeline.Request{Method: http.MethodPost, Path: withdrawPath, RawQuery: query, Host: addr}, addr)
	fresh := httpconn.NewClient(httpconn.Options{Dial: httpsend.Dial})
	defer fresh.Close()
	answer, err := fresh.Do(ctx, &httpconn.Exchange{Addr: addr, Request: out})
	switch {
	case err != nil, time.Since(began) > withdrawTimeout: // late after a pause of this process
		return Unanswered
	case answer.Status == http.StatusOK:
		return Withdrawn
	}
	return NotWithdrawn
}
