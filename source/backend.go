package source

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ProbeTimeout bounds a health or load read. A backend server answers a probe
// in about 25 ms; both endpoints lag or mislead, so nothing waits long for them.
const ProbeTimeout = 500 * time.Millisecond

// maxProbe bounds a health or load answer in bytes.
const maxProbe = 64 << 10

// Health is what a backend server says of itself. It is a hint only: a gray
// failure passes health checks.
type Health struct {
	Status HealthStatus `json:"status"`
}

// HealthStatus is the state that a backend server claims.
type HealthStatus string

// The claimed states. HealthFailing also stands for every HTTP status but 200.
const (
	HealthOK       HealthStatus = "ok"
	HealthStarting HealthStatus = "starting" // in its cold start
	HealthDraining HealthStatus = "draining" // wants no new work
	HealthFailing  HealthStatus = "failing"
)

// Load is the load that a backend server reports.
type Load struct {
	Slots  int `json:"slots"`  // concurrent requests that it can run
	Used   int `json:"used"`   // slots in use by all its callers
	Queued int `json:"queued"` // requests that wait for a slot
}

// Backend reads the endpoints of one backend server.
type Backend struct {
	endpoint endpoint
}

// NewBackend reads from a backend server at an IP:port. A nil client means
// NewClient().
func NewBackend(address string, client *http.Client) *Backend {
	return &Backend{newEndpoint("http://"+address, client, maxProbe)}
}

// Health asks for the claimed state. An error means that no answer came.
func (b *Backend) Health(ctx context.Context) (Health, error) {
	var health Health
	err := b.probe(ctx, "/health", &health)
	var refused *StatusError
	if errors.As(err, &refused) {
		return Health{HealthFailing}, nil
	}
	return health, err
}

// Load asks for the reported load.
func (b *Backend) Load(ctx context.Context) (Load, error) {
	var load Load
	err := b.probe(ctx, "/load", &load)
	return load, err
}

func (b *Backend) probe(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	_, err := b.endpoint.get(ctx, path, nil, nil, answer)
	return err
}
