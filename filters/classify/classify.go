// Package classify determines the route, service and request class of a request.
package classify

import (
	"context"
	"strings"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter finds the route of a request in the current configuration.
type Filter struct {
	Snapshot func() *control.Snapshot
}

// Name returns "classify".
func (f *Filter) Name() string { return "classify" }

// Handle sets the route, the service and the class. If the caller set no deadline,
// the deadline of the class applies.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	cfg := f.Snapshot().Config
	if cfg == nil {
		return pipeline.Refuse(pipeline.CodeNotReady, "")
	}
	route, match := cfg.Route(req.Method, req.Path)
	switch match {
	case config.UnknownPath:
		return pipeline.Refuse(pipeline.CodeUnknownRoute, "")
	case config.PathNotNormal:
		return pipeline.Refuse(pipeline.CodeMalformed, "the path has more than one reading")
	case config.MethodNotServed:
		return refuseMethod(cfg, req.Path)
	}
	class, ok := cfg.Class(route.Class)
	if !ok {
		return pipeline.Refuse(pipeline.CodeUnknownRoute, "the route has no class")
	}
	req.Route = route.Name
	req.Service = route.Service
	req.Class = class.PipelineClass()
	if req.Deadline.IsZero() {
		req.Deadline = req.Received.Add(class.DefaultDeadline)
	}
	return checkLimits(req)
}

func refuseMethod(cfg *config.Config, path string) *pipeline.Result {
	result := pipeline.Refuse(pipeline.CodeMethodNotServed, "")
	result.Header = pipeline.Header{"Allow": {strings.Join(cfg.Methods(path), ", ")}}
	return result
}

func checkLimits(req *pipeline.Request) *pipeline.Result {
	if req.Class.MaxBody > 0 && req.ContentLength > req.Class.MaxBody {
		return pipeline.Refuse(pipeline.CodeBodyTooLarge, "")
	}
	if !time.Now().Before(req.Deadline) {
		return pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
	return nil
}
