// Package eject keeps work from a local backend server that is ejected. The
// exit enforces the ejection, so that it holds for every entry at once.
package eject

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter refuses requests as not run while the backend server is ejected, and a
// share of them during its return.
type Filter struct {
	Snapshot func() *control.Snapshot
	Backend  string
}

// Name returns "eject".
func (f *Filter) Name() string { return "eject" }

// Handle checks the lease at the moment of use, so that one that ran out while
// the process was paused has no effect.
func (f *Filter) Handle(_ context.Context, _ *pipeline.Request) *pipeline.Result {
	lease, ok := f.Snapshot().Ejections[f.Backend]
	if !ok || lease.Admits(time.Now(), rand.Float64()) {
		return nil
	}
	return pipeline.Refuse(pipeline.CodeEjected, "")
}
