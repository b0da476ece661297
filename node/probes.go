package node

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/source"
)

// healthProbeInterval is the time between two reads of a health endpoint. The health that
// a backend server reports is only a hint, so more frequent reads would add little.
const healthProbeInterval = time.Second

// probeHealth reads the health endpoint of a local backend server until ctx is done.
func (n *Node) probeHealth(ctx context.Context, local control.LocalBackend) {
	backend := source.NewBackendReader(local.Addr, n.healthClient)
	ticker := time.NewTicker(healthProbeInterval)
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

// readHealth reads the health endpoint once. A failed read counts as a failing backend
// server.
func readHealth(ctx context.Context, backend *source.BackendReader, id string) control.BackendProbed {
	health, err := backend.Health(ctx)
	return control.BackendProbed{
		Backend:  id,
		Failing:  err != nil || health.Status == source.HealthFailing,
		Starting: err == nil && health.Status == source.HealthStarting,
		Draining: err == nil && health.Status == source.HealthDraining,
	}
}
