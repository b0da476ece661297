// Package httpsend builds outgoing HTTP requests that net/http never sends
// twice by itself, and the transports that carry them.
package httpsend

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// replayKeys are the header names that make http.Transport treat any method as
// idempotent. It looks them up in canonical form only, so they are sent under
// a lower-case map key; on the wire, header names are case-insensitive.
var replayKeys = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// NewRequest returns the HTTP request for req towards addr ("ip:port"). The
// header map is a copy. http.Transport resends a request by itself when a
// reused connection breaks and the request looks replayable: a GET, HEAD,
// OPTIONS or TRACE, or any method with an idempotency key, whose body is nil or
// rewindable. A one-shot body and the lower-case keys rule that out.
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
		if lower, ok := replayKeys[name]; ok {
			name = lower
		}
		out[name] = values
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil // keeps net/http from adding its own
	}
	return out
}

func setBody(out *http.Request, req *pipeline.Request) {
	if req.Body == nil {
		if replayedWithoutKey(req.Method) {
			out.Body = emptyOnce{}
		}
		return
	}
	body := &onceBody{body: req.Body}
	out.Body = body
	out.ContentLength = req.ContentLength
	if len(req.TrailerNames) == 0 || req.Trailer == nil {
		return
	}
	out.Trailer = make(http.Header, len(req.TrailerNames))
	for _, name := range req.TrailerNames {
		out.Trailer[name] = nil
	}
	body.atEOF = func() {
		for name, values := range req.Trailer() {
			out.Trailer[name] = values
		}
	}
}

// replayedWithoutKey lists the methods that http.Transport resends without an
// idempotency key.
func replayedWithoutKey(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// emptyOnce is an empty body that http.Transport cannot recognize as empty.
type emptyOnce struct{}

// Read reports the end of the body.
func (emptyOnce) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyOnce) Close() error { return nil }

// onceBody passes on a body that cannot be read again.
type onceBody struct {
	body  io.Reader
	atEOF func()
}

// Read reads from the body and fills in the trailer at its end.
func (b *onceBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF && b.atEOF != nil {
		b.atEOF()
		b.atEOF = nil
	}
	return n, err
}

// Close leaves the body open: the front end that made it closes it.
func (b *onceBody) Close() error { return nil }
