// Package quarantine refuses requests that crash backend servers. It stands in
// both chains: at the entry it spares the hop, at the exit it holds for every
// entry.
package quarantine

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter refuses condemned fingerprints as not run and marks suspect requests.
type Filter struct {
	Snapshot func() *control.Snapshot
}

// Name returns "quarantine".
func (f *Filter) Name() string { return "quarantine" }

// Handle checks the standing at the moment of use. The exit's dispatcher checks
// it again when the request starts.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	subject := f.Snapshot().Quarantine.Lookup(time.Now(), quarantine.Fingerprint(req.Fingerprint))
	switch subject.Standing {
	case quarantine.Condemned:
		refusal := pipeline.Refuse(pipeline.CodeQuarantined, "")
		refusal.RetryAfter = subject.RejectedFor
		return refusal
	case quarantine.Suspect:
		req.CrashSuspect = true
	}
	return nil
}
