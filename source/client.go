// Package source reads from the platform's services: the configuration service, the host
// list, and the health and load endpoints of backend servers. It never writes, since the
// proxies do not write shared state. docs/SOURCES.md specifies the expected interfaces.
//
// Each read is a single call without retries or caching. The caller decides when to read
// again.
package source

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"
)

// Timeouts of calls to the platform.
const (
	// DialTimeout limits the opening of a connection, which takes about 1 ms. It is
	// shorter than ReadTimeout, so that an unreachable address can be distinguished from
	// a slow answer.
	DialTimeout = 500 * time.Millisecond

	// ReadTimeout limits one read. The services answer in milliseconds. A process's data
	// is treated as current for 1.5 s after a read, so a later answer would be useless.
	ReadTimeout = time.Second

	// idleTimeout is how long unused connections are kept open.
	idleTimeout = 30 * time.Second
)

// ErrTooLarge means that an answer exceeds the size limit of its endpoint.
var ErrTooLarge = eris.New("the answer exceeds its size limit")

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
	Path   string // path of the request
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("GET %s: status %d", e.Path, e.Status)
}

// maxHeaderBytes limits the memory for a server that sends a header without end.
const maxHeaderBytes = 64 << 10

// NewClient returns an HTTP/1.1 client for the readers of this package. It uses no proxy
// and follows no redirects, so that it only connects to the addresses in the settings.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: 4, // allows a few concurrent reads

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// endpoint is a service at a base URL with a limit on the size of its answers.
type endpoint struct {
	client   *http.Client
	baseURL  string
	maxBytes int64 // of an answer
}

// getDecoded reads a path and decodes the answer into dst, whose type the decoder must
// support. If decoder is nil, the answer is decoded as JSON. An answer without content
// leaves dst unchanged.
func (e endpoint) getDecoded(ctx context.Context, path string, query any, decoder sling.ResponseDecoder, dst any) (status int, err error) {
	request := sling.New().Base(e.baseURL).Get(path).Set("Accept", "application/json").ResponseDecoder(decoder)
	if query != nil {
		request = request.QueryStruct(query)
	}
	req, err := request.Request()
	if err != nil {
		return 0, eris.Wrapf(err, "cannot create the request for %s", path)
	}
	response, err := request.Doer(limitedDoer(e)).Do(req.WithContext(ctx), dst, nil)
	if err != nil {
		return 0, wrapReadError(err, path)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		return response.StatusCode, &StatusError{Status: response.StatusCode, Path: path}
	}
	return response.StatusCode, nil
}

// wrapReadError adds the path to an error and converts a size error to ErrTooLarge.
func wrapReadError(err error, path string) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return eris.Wrapf(ErrTooLarge, "GET %s", path)
	}
	return eris.Wrapf(err, "GET %s", path)
}

// limitedDoer limits the size of each answer's body. The limit cannot be applied in the
// decoder because sling reads the rest of the body after decoding.
type limitedDoer endpoint

// Do implements sling.Doer.
func (d limitedDoer) Do(req *http.Request) (*http.Response, error) {
	response, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, d.maxBytes)
	return response, nil
}
