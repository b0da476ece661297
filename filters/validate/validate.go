// Package validate checks the results of the entry proxy against the current
// configuration of the exit proxy. It runs before and after the queue, so that a
// request whose key is withdrawn while it waits is refused.
package validate

import (
	"context"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter checks the principal, the class and the deadline.
type Filter struct {
	Snapshot func() *control.Snapshot
	Backend  string // the local backend server that the chain serves
}

// Name returns "validate".
func (f *Filter) Name() string { return "validate" }

// Handle refuses a request that the entry proxy should not have sent, or that is no
// longer permitted by the current configuration.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	snap := f.Snapshot()
	now := time.Now()
	if snap.Config == nil {
		return pipeline.Refuse(pipeline.CodeNotReady, "")
	}
	if !now.Before(req.Deadline) {
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
	if refusal := f.checkBackend(snap, req); refusal != nil {
		return refusal
	}
	class, ok := snap.Config.Class(req.Class.Name)
	if !ok {
		return pipeline.Refuse(pipeline.CodeBadHop, "unknown class")
	}
	req.Class = class.PipelineClass()
	return checkPrincipal(snap, req, now)
}

func (f *Filter) checkBackend(snap *control.Snapshot, req *pipeline.Request) *pipeline.Result {
	local, ok := snap.LocalBackends[f.Backend]
	if !ok || local.Service != req.Service {
		return pipeline.Refuse(pipeline.CodeWrongExit, "")
	}
	if local.Leaving {
		return pipeline.Refuse(pipeline.CodeBackendLeaving, "")
	}
	return nil
}

func checkPrincipal(snap *control.Snapshot, req *pipeline.Request, now time.Time) *pipeline.Result {
	route, ok := snap.Config.RouteByName(req.Route)
	if !ok {
		return pipeline.Refuse(pipeline.CodeUnknownRoute, "")
	}
	if route.Open {
		return nil
	}
	if !now.Before(snap.KeysTrustedUntil) {
		return pipeline.Refuse(pipeline.CodeKeysUnconfirmed, "")
	}
	if !snap.Config.HasKey(req.Principal.Team, req.Principal.KeyID) {
		return pipeline.Refuse(pipeline.CodeKeyWithdrawn, "")
	}
	if !route.Allows(req.Principal.Team) {
		return pipeline.Refuse(pipeline.CodeKeyNotAllowed, "")
	}
	return nil
}
