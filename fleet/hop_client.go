package fleet

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// HopClient sends requests to the exit proxies of other processes.
type HopClient struct {
	transport *http.Transport
	scheme    string
}

// NewHopClient returns a client. It uses mutual TLS if config is not nil.
func NewHopClient(config *tls.Config) *HopClient {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &HopClient{transport: httpsend.NewHopTransport(config), scheme: scheme}
}

// Close closes the idle connections.
func (c *HopClient) Close() {
	c.transport.CloseIdleConnections()
}

// PathError is the reason why a request got no valid answer from a peer.
type PathError uint8

// The kinds of path errors.
const (
	PathOK       PathError = iota // the path worked, or the caller gave up first
	PathRefused                   // no connection could be opened
	PathTimeout                   // no answer and no progress before a timeout
	PathConnLost                  // the connection was lost
	PathMismatch                  // the answer is for another attempt or unreadable
)

// HopAnswer is the result of a request to another process, with the state of the
// network path and the reported load.
type HopAnswer struct {
	Result  *pipeline.Result
	Path    PathError
	Load    Load
	HasLoad bool // the exit proxy reported Load
}

// Do sends req to the exit proxy at addr for the given backend server. The outcome of
// the result is NotRun only if the exit proxy reports it or if no connection was
// obtained, so that nothing was sent.
func (c *HopClient) Do(ctx context.Context, req *pipeline.Request, addr, backend string) HopAnswer {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	out := httpsend.NewRequest(httptrace.WithClientTrace(ctx, trace), req, addr)
	out.URL.Scheme = c.scheme
	encodeRequest(out.Header, req, backend, time.Until(req.Deadline))
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return classifyHopError(ctx, err, connected)
	}
	result, ok := decodeResult(resp, req.ID)
	if !ok {
		resp.Body.Close()
		return HopAnswer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, "the answer does not belong to the request"), Path: PathMismatch}
	}
	answer := HopAnswer{Result: result}
	answer.Load, answer.HasLoad = decodeLoad(resp.Header.Get(headerLoad))
	attachBody(result, resp)
	return answer
}

// attachBody passes the body of an answer from a backend server to the result and
// closes the body of a refusal.
func attachBody(result *pipeline.Result, resp *http.Response) {
	if result.Code != pipeline.CodeOK {
		resp.Body.Close()
		return
	}
	httpsend.SetResultBody(result, resp)
}

// classifyHopError classifies a transport error. Once a connection was obtained,
// bytes may have been sent, so the outcome is unknown.
func classifyHopError(ctx context.Context, err error, connected bool) HopAnswer {
	if !connected {
		return HopAnswer{Result: pipeline.Refuse(pipeline.CodePathBroken, ""), Path: classifyDialError(ctx, err)}
	}
	if ctx.Err() != nil {
		return HopAnswer{Result: canceledResult(ctx), Path: PathOK}
	}
	if isTimeout(err) {
		return HopAnswer{Result: pipeline.Refuse(pipeline.CodeSilent, ""), Path: PathTimeout}
	}
	return HopAnswer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, ""), Path: PathConnLost}
}

// classifyDialError classifies an error that occurred before a connection was
// obtained. It returns PathOK if the caller canceled the request first.
func classifyDialError(ctx context.Context, err error) PathError {
	if errors.Is(ctx.Err(), context.Canceled) {
		return PathOK
	}
	if isTimeout(err) {
		return PathTimeout
	}
	return PathRefused
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// canceledResult returns the result for a context that expired or was canceled.
func canceledResult(ctx context.Context) *pipeline.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pipeline.Refuse(pipeline.CodeDeadlineInRun, "")
	}
	return pipeline.Refuse(pipeline.CodeCanceled, "")
}

// Probe checks over a new connection whether the peer at addr responds.
func (c *HopClient) Probe(ctx context.Context, addr string) error {
	fresh := c.transport.Clone()
	defer fresh.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+addr+"/", nil)
	if err != nil {
		return err
	}
	req.Header.Set(headerProbe, "1")
	resp, err := fresh.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
