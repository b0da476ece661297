// Package route finds the backend servers that may serve a request.
package route

import (
	"context"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter attaches the team's subset of the backend servers to the request.
type Filter struct {
	Snapshot func() *control.Snapshot
}

// Name returns "route".
func (f *Filter) Name() string { return "route" }

// Handle refuses a request whose service has no backend server.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	service, ok := f.Snapshot().Services[req.Service]
	if !ok || len(service.Members) == 0 {
		return pipeline.Refuse(pipeline.CodeNoBackend, "")
	}
	req.Targets = newTargets(service, req.Principal.Team)
	return nil
}
