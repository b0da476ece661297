// Package blocked refuses requests whose fingerprint crashed several backend
// servers. It is part of both chains: the entry proxy saves the hop to the exit
// proxy, and the exit proxy enforces the block for all entry proxies.
package blocked

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter refuses requests with a blocked fingerprint.
type Filter struct {
	Snapshot func() *mesh.Snapshot
}

// Name returns "blocked".
func (f *Filter) Name() string { return "blocked" }

// Handle refuses a request with a blocked fingerprint. RetryAfter is the remaining
// time of the block.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	until, ok := f.Snapshot().Blocked[crashcount.Fingerprint(req.Fingerprint)]
	if !ok || !time.Now().Before(until) {
		return nil
	}
	result := pipeline.Refuse(pipeline.CodeQuarantined, "")
	result.RetryAfter = time.Until(until)
	return result
}
