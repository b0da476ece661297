// Package source reads what the platform offers: the configuration service,
// the host list, and the health and load endpoints of backend servers. It only
// reads; nothing of the system writes shared state. docs/SOURCES.md states the
// interfaces expected.
//
// A reader makes one call at a time and neither retries nor caches. The caller
// decides when to read again.
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
	// DialTimeout is far above the 1 ms that a connection takes and below
	// ReadTimeout, so that an unreachable address is told from a slow answer.
	DialTimeout = 500 * time.Millisecond

	// ReadTimeout bounds one read. The services answer in milliseconds, and a
	// process counts as current for 1.5 s after a read, so that a later answer
	// would be of no use.
	ReadTimeout = time.Second

	// idleTimeout ends connections that no read uses.
	idleTimeout = 30 * time.Second
)

// ErrTooLarge reports an answer above the size limit of its kind.
var ErrTooLarge = eris.New("the answer exceeds its size limit")

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
	Target string // path of the request
}

// Error names the status and the path.
func (e *StatusError) Error() string {
	return fmt.Sprintf("GET %s: status %d", e.Target, e.Status)
}

// NewClient returns an HTTP/1.1 client for the readers of this package. It uses
// no proxy and follows no redirects: the platform is reached by the addresses in
// the settings only.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: 4, // a few reads at once
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// endpoint is one base address with a limit on the size of its answers.
type endpoint struct {
	client *http.Client
	base   string
	limit  int64 // bytes
}

// get reads a path into success, which the decoder must accept. A nil decoder
// means JSON. An answer without content leaves success as it is.
func (e endpoint) get(ctx context.Context, path string, query any, decoder sling.ResponseDecoder, success any) (status int, err error) {
	request := sling.New().Base(e.base).Get(path).Set("Accept", "application/json").ResponseDecoder(decoder)
	if query != nil {
		request = request.QueryStruct(query)
	}
	req, err := request.Request()
	if err != nil {
		return 0, eris.Wrapf(err, "request for %s", path)
	}
	response, err := request.Doer(boundedDoer(e)).Do(req.WithContext(ctx), success, nil)
	if err != nil {
		return 0, wrapReadError(err, path)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		return response.StatusCode, &StatusError{Status: response.StatusCode, Target: path}
	}
	return response.StatusCode, nil
}

func wrapReadError(err error, path string) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return eris.Wrapf(ErrTooLarge, "GET %s", path)
	}
	return eris.Wrapf(err, "GET %s", path)
}

// boundedDoer limits the body of each answer. sling drains a body after
// decoding, so the limit has to sit below it.
type boundedDoer endpoint

// Do implements sling.Doer.
func (d boundedDoer) Do(req *http.Request) (*http.Response, error) {
	response, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, d.limit)
	return response, nil
}
