// Package eject refuses requests to a local backend server that is ejected. The
// exit proxy enforces the ejection, so that it applies to all entry proxies at once.
package eject

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter refuses all requests while the backend server is ejected, and a fraction
// of them while it is gradually readmitted. Refused requests have not run.
type Filter struct {
	Snapshot func() *control.Snapshot
	Backend  string
}

// Name returns "eject".
func (f *Filter) Name() string { return "eject" }

// Handle checks the ejection lease when the request arrives, so that a lease that
// expired while the process was paused has no effect.
func (f *Filter) Handle(_ context.Context, _ *pipeline.Request) *pipeline.Result {
	lease, ok := f.Snapshot().Ejections[f.Backend]
	if !ok || lease.Admits(time.Now(), rand.Float64()) {
		return nil
	}
	return pipeline.Refuse(pipeline.CodeEjected, "")
}
