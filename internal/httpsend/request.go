// Package httpsend builds outgoing HTTP requests that net/http never resends by itself,
// and the transports that send them.
package httpsend

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// idempotencyKeys maps the header names that make http.Transport treat any method as
// idempotent to a spelling that it does not recognize: it looks them up in canonical
// form only. On the wire, header names are case-insensitive.
var idempotencyKeys = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// NewRequest returns the HTTP request that sends req to addr ("ip:port"). The
// header map is a copy. http.Transport resends a request by itself if a reused
// connection fails and the request looks replayable: a GET, HEAD, OPTIONS or TRACE, or
// any method with an idempotency key, whose body is nil or rewindable. A body that
// cannot be rewound and the lower-case header names prevent that.
func NewRequest(ctx context.Context, req *pipeline.Request, addr string) *http.Request {
	out := (&http.Request{
		Method: req.Method,
		URL:    targetURL(req, addr),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: copyHeader(req.Header),
		Host:   req.Host,
	}).WithContext(ctx)
	setBody(out, req)
	return out
}

func targetURL(req *pipeline.Request, addr string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr, RawQuery: req.RawQuery}
	path, err := url.PathUnescape(req.Path)
	if err != nil {
		path = req.Path
	}
	u.Path = path
	u.RawPath = req.Path
	return u
}

func copyHeader(h pipeline.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if lower, ok := idempotencyKeys[name]; ok {
			name = lower
		}
		out[name] = values
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil // prevents net/http from adding its own
	}
	return out
}

func setBody(out *http.Request, req *pipeline.Request) {
	if req.Body == nil {
		if isReplayableMethod(req.Method) {
			out.Body = nonReplayableEmptyBody{}
		}
		return
	}
	body := &nonReplayableBody{body: req.Body}
	out.Body = body
	out.ContentLength = req.ContentLength
	if len(req.TrailerNames) == 0 || req.Trailer == nil {
		return
	}
	out.Trailer = make(http.Header, len(req.TrailerNames))
	for _, name := range req.TrailerNames {
		out.Trailer[name] = nil
	}
	body.onEOF = func() {
		for name, values := range req.Trailer() {
			out.Trailer[name] = values
		}
	}
}

// isReplayableMethod reports whether http.Transport resends requests with this method
// even without an idempotency key.
func isReplayableMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// nonReplayableEmptyBody is an empty body that http.Transport cannot recognize as empty.
type nonReplayableEmptyBody struct{}

// Read reports the end of the body.
func (nonReplayableEmptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (nonReplayableEmptyBody) Close() error { return nil }

// nonReplayableBody wraps a body that cannot be rewound.
type nonReplayableBody struct {
	body  io.Reader
	onEOF func()
}

// Read reads from the body and calls onEOF at its end.
func (b *nonReplayableBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF && b.onEOF != nil {
		b.onEOF()
		b.onEOF = nil
	}
	return n, err
}

// Close does not close the body; the front end that created it does.
func (b *nonReplayableBody) Close() error { return nil }
