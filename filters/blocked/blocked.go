// Package blocked refuses requests that crashed several backend servers. It
// stands in both chains: at the entry it spares the hop, at the exit it holds for
// every entry.
package blocked

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter compares fingerprints with the blocked ones.
type Filter struct {
	Snapshot func() *mesh.Snapshot
}

// Name returns "blocked".
func (f *Filter) Name() string { return "blocked" }

// Handle refuses a blocked fingerprint as not run.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	until, ok := f.Snapshot().Blocked[crashcount.Fingerprint(req.Fingerprint)]
	if !ok || !time.Now().Before(until) {
		return nil
	}
	result := pipeline.Refuse(pipeline.CodeQuarantined, "")
	result.RetryAfter = time.Until(until)
	return result
}
