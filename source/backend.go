package source

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// BackendReadTimeout limits a read of the health or load endpoint. A backend server
// answers in about 25 ms. The timeout is short because both endpoints may be outdated or
// wrong, so their answers are not worth a long wait.
const BackendReadTimeout = 500 * time.Millisecond

// maxBackendAnswerBytes limits the size of a health or load answer.
const maxBackendAnswerBytes = 64 << 10

// Health is the health that a backend server reports. It is only a hint, since backend
// servers with gray failures pass health checks.
type Health struct {
	Status HealthStatus `json:"status"`
}

// HealthStatus is the state that a backend server reports.
type HealthStatus string

// The reported states. HealthFailing is also used for any HTTP status other than 200 and
// 204.
const (
	HealthOK       HealthStatus = "ok"
	HealthStarting HealthStatus = "starting" // in its cold start
	HealthDraining HealthStatus = "draining" // wants no new work
	HealthFailing  HealthStatus = "failing"
)

// Load is the load that a backend server reports.
type Load struct {
	Slots  int `json:"slots"`  // maximum number of concurrent requests
	Used   int `json:"used"`   // slots in use by all callers
	Queued int `json:"queued"` // requests waiting for a slot
}

// BackendReader reads the health and load endpoints of one backend server.
type BackendReader struct {
	endpoint endpoint
}

// NewBackendReader returns a reader for the backend server at an IP:port. If client is
// nil, NewClient() is used.
func NewBackendReader(address string, client *http.Client) *BackendReader {
	return &BackendReader{newEndpoint("http://"+address, client, maxBackendAnswerBytes)}
}

// Health reads the reported health. An error means that there was no valid answer.
func (b *BackendReader) Health(ctx context.Context) (Health, error) {
	var health Health
	err := b.read(ctx, "/health", &health)
	var refused *StatusError
	if errors.As(err, &refused) {
		return Health{HealthFailing}, nil
	}
	return health, err
}

// Load reads the reported load.
func (b *BackendReader) Load(ctx context.Context) (Load, error) {
	var load Load
	err := b.read(ctx, "/load", &load)
	return load, err
}

func (b *BackendReader) read(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, BackendReadTimeout)
	defer cancel()
	_, err := b.endpoint.getDecoded(ctx, path, nil, nil, answer)
	return err
}
