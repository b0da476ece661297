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

// Timeouts of a hop.
const (
	// ackTimeout is how long an entry waits for the acknowledgement before it
	// withdraws the request. A lost packet is sent again after 200 ms.
	ackTimeout = 500 * time.Millisecond
	// withdrawTimeout bounds a withdrawal, connection included.
	withdrawTimeout = 700 * time.Millisecond
	// idleTimeout closes idle connections between processes.
	idleTimeout = 20 * time.Second
	// idlePerPeer is the number of idle connections kept to one peer.
	idlePerPeer = 4
)

// Client sends attempts to exits.
type Client struct {
	conns *httpconn.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{conns: httpconn.NewClient(httpsend.Dial, idleTimeout, idlePerPeer)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.conns.Close() }

// Answer is the end of one attempt.
type Answer struct {
	Result *pipeline.Result
	// Reached says that the exit took part; otherwise the path to it failed.
	Reached bool
	Load    pipeline.Load
	Loaded  bool // Load was reported
}

// Do sends one attempt to the exit at addr. The outcome is NotRun only when the
// exit says so or nothing was sent.
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
	return c.resolve(ctx, cancel, addr, req, sent, acked, done)
}

// resolve finds out what became of an attempt without an acknowledgement.
func (c *Client) resolve(ctx context.Context, cancel func(), addr string, req *pipeline.Request, sent time.Time, acked chan struct{}, done chan Answer) Answer {
	withdrawn := make(chan bool, 1)
	go func() { withdrawn <- c.withdraw(ctx, addr, req.ID, sent) }()
	select {
	case answer := <-done:
		return answer
	case <-acked:
		return <-done
	case certain := <-withdrawn:
		if certain {
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

func (c *Client) exchange(ctx context.Context, addr string, req *pipeline.Request, acked chan struct{}) Answer {
	out := newRequest(req, addr)
	out.Header[fieldRequest] = []string{encodeRequest(req, time.Until(req.Deadline))}
	informed := false
	answer, err := c.conns.Do(ctx, &httpconn.Exchange{
		Addr:    addr,
		Request: out,
		Body:    req.Payload,
		MatchResponse: func(h http.Header) bool {
			o, err := decodeResult(h)
			return err == nil && o.id == req.ID
		},
		OnInterim: func() {
			if !informed {
				informed = true
				close(acked)
			}
		},
	})
	if err != nil {
		return failed(ctx, err)
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

// failed maps a failed exchange. Once bytes were sent, the outcome is unknown.
func failed(ctx context.Context, err error) Answer {
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

func decodeAnswer(answer *httpconn.Response) Answer {
	o, err := decodeResult(answer.Header)
	if err != nil {
		return Answer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, "the exit sent an unreadable result")}
	}
	if o.code != pipeline.CodeOK {
		result := pipeline.Refuse(o.code, "")
		result.RetryAfter = o.retryAfter
		return Answer{Result: result, Reached: true, Load: o.load, Loaded: true}
	}
	header := pipeline.Header(answer.Header)
	delete(header, fieldResult)
	return Answer{Result: Whole(answer.Status, header, answer.Body), Reached: true, Load: o.load, Loaded: true}
}

// Whole returns the result for a complete answer of a backend server.
func Whole(status int, header pipeline.Header, body []byte) *pipeline.Result {
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

// withdraw asks an exit over a new connection never to run an attempt. It
// reports true only when the exit confirms that it has not and never will.
func (c *Client) withdraw(ctx context.Context, addr, id string, sent time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	// The age is rounded up: an exit that was started since then cannot vouch.
	age := time.Since(sent).Milliseconds() + 1
	query := url.Values{keyID: {id}, keyAge: {strconv.FormatInt(age, 10)}}.Encode()
	out := newRequest(&pipeline.Request{Method: http.MethodPost, Path: withdrawPath, RawQuery: query, Host: addr}, addr)
	fresh := httpconn.NewClient(httpsend.Dial, idleTimeout, 0)
	defer fresh.Close()
	answer, err := fresh.Do(ctx, &httpconn.Exchange{Addr: addr, Request: out})
	return err == nil && answer.Status == http.StatusOK
}
