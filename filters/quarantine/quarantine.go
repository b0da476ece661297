// Package quarantine refuses requests that crash backend servers. It is part of
// both chains: the entry proxy saves the hop to the exit proxy, and the exit proxy
// enforces the quarantine for all entry proxies.
package quarantine

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter refuses requests with a blocked fingerprint and marks suspects. Refused
// requests have not run.
type Filter struct {
	Snapshot func() *control.Snapshot
}

// Name returns "quarantine".
func (f *Filter) Name() string { return "quarantine" }

// Handle checks the current standing of the fingerprint. The dispatcher of the exit
// proxy checks it again when the request starts.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	subject := f.Snapshot().Quarantine.Lookup(time.Now(), quarantine.Fingerprint(req.Fingerprint))
	switch subject.Standing {
	case quarantine.Blocked:
		refusal := pipeline.Refuse(pipeline.CodeQuarantined, "")
		refusal.RetryAfter = subject.RejectedFor
		return refusal
	case quarantine.Suspect:
		req.CrashSuspect = true
	}
	return nil
}
