package node

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/source"
)

// probeInterval is the time between two reads of a health endpoint. What a
// backend server says of itself only raises suspicion, so more would buy little.
const probeInterval = time.Second

// probe reads the health endpoint of a local backend server until ctx is done.
func (n *Node) probe(ctx context.Context, local control.LocalBackend) {
	backend := source.NewBackend(local.Addr, n.probes)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.loop.Post(readHealth(ctx, backend, local.ID))
	}
}

// readHealth asks once. No answer counts as failing.
func readHealth(ctx context.Context, backend *source.Backend, id string) control.BackendProbed {
	health, err := backend.Health(ctx)
	return control.BackendProbed{
		Backend:  id,
		Failing:  err != nil || health.Status == source.HealthFailing,
		Starting: err == nil && health.Status == source.HealthStarting,
		Draining: err == nil && health.Status == source.HealthDraining,
	}
}
