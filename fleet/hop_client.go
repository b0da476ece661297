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

// HopClient sends requests to other processes.
type HopClient struct {
	transport *http.Transport
	scheme    string
}

// NewHopClient returns a client that uses mutual TLS when config is not nil.
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

// PathError is the reason why a hop got no answer from the peer.
type PathError uint8

// Kinds of path errors.
const (
	PathOK      PathError = iota
	PathRefused           // no connection could be opened
	PathSilent            // no answer and no progress in time
	PathBroken            // the connection broke
	PathCrossed           // the answer belongs to another request
)

// HopAnswer is the result of one hop with what it says of the path.
type HopAnswer struct {
	Result *pipeline.Result
	Path   PathError
	Load   Load
	Loaded bool // Load was reported
}

// Do sends req to the exit at addr for one backend server. The outcome of the
// result is NotRun only when the exit says so or when no connection was
// obtained, since then not a byte was sent.
func (c *HopClient) Do(ctx context.Context, req *pipeline.Request, addr, backend string) HopAnswer {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	out := httpsend.NewRequest(httptrace.WithClientTrace(ctx, trace), req, addr)
	out.URL.Scheme = c.scheme
	encodeRequest(out.Header, req, backend, time.Until(req.Deadline))
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return failedHop(ctx, err, connected)
	}
	result, ok := decodeResult(resp, req.ID)
	if !ok {
		resp.Body.Close()
		return HopAnswer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, "the answer does not belong to the request"), Path: PathCrossed}
	}
	answer := HopAnswer{Result: result}
	answer.Load, answer.Loaded = decodeLoad(resp.Header.Get(headerLoad))
	attachBody(result, resp)
	return answer
}

func attachBody(result *pipeline.Result, resp *http.Response) {
	if result.Code != pipeline.CodeOK {
		resp.Body.Close()
		return
	}
	httpsend.SetResultBody(result, resp)
}

// failedHop classifies a transport error. Once a connection was obtained,
// bytes may have been sent, so the outcome is unknown.
func failedHop(ctx context.Context, err error, connected bool) HopAnswer {
	if !connected {
		return HopAnswer{Result: pipeline.Refuse(pipeline.CodePathBroken, ""), Path: dialError(ctx, err)}
	}
	if ctx.Err() != nil {
		return HopAnswer{Result: canceledResult(ctx), Path: PathOK}
	}
	if isTimeout(err) {
		return HopAnswer{Result: pipeline.Refuse(pipeline.CodeSilent, ""), Path: PathSilent}
	}
	return HopAnswer{Result: pipeline.Refuse(pipeline.CodeConnectionLost, ""), Path: PathBroken}
}

// dialError tells a refusal by the peer from the caller giving up first.
func dialError(ctx context.Context, err error) PathError {
	if errors.Is(ctx.Err(), context.Canceled) {
		return PathOK
	}
	if isTimeout(err) {
		return PathSilent
	}
	return PathRefused
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func canceledResult(ctx context.Context) *pipeline.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pipeline.Refuse(pipeline.CodeDeadlineInRun, "")
	}
	return pipeline.Refuse(pipeline.CodeCanceled, "")
}

// Probe asks for a sign of life over a fresh connection.
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
