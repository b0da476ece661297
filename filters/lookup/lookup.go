// Package lookup finds the route, the service and the team of a request in the
// routing table in force.
package lookup

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/internal/bootclock"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter classifies and authenticates requests.
type Filter struct {
	Snapshot func() *mesh.Snapshot
	Caller   string // service of this host, at which the requests begin
}

// Name returns "lookup".
func (f *Filter) Name() string { return "lookup" }

// defaultTimeout bounds a request whose route and caller state no bound.
const defaultTimeout = 30 * time.Second

// Ranks of requests that wait for a slot. The priority of the team weighs more
// than that of the route. Calls of backend servers come right after the most
// urgent requests: when one fails, the request that made it fails, too, and its
// work is lost.
const (
	teamRank = 3 // steps of a team's priority
	rankCall = pipeline.MaxUrgentRank
	rankLast = 9
)

// Handle sets what the other filters need to know of the request.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	snap := f.Snapshot()
	if snap.Table == nil {
		return pipeline.Refuse(pipeline.CodeNotReady, "")
	}
	route, ok := snap.Table.Match(req.Host, req.Path)
	if !ok {
		return pipeline.Refuse(pipeline.CodeUnknownRoute, "")
	}
	if refusal := f.authenticate(snap, route, req); refusal != nil {
		return refusal
	}
	req.Route = route.Name
	req.Service = route.PickService(rand.Float64())
	req.CallerService = f.Caller
	req.MaxAttempts = max(route.MaxAttempts, 1)
	req.Class = pipeline.Class{Name: route.Name, Idempotent: route.Idempotent, TargetLatency: route.TargetLatency}
	limitTime(req, route.Timeout)
	return nil
}

// authenticate finds the team that holds the key and the rank of the request.
func (f *Filter) authenticate(snap *mesh.Snapshot, route *routing.Route, req *pipeline.Request) *pipeline.Result {
	keys := req.Credentials
	req.Credentials = nil
	req.Rank = min(route.Priority, rankLast)
	if route.AllowAnonymous || !snap.Table.RequiresKeys() {
		if len(keys) == 0 {
			req.Rank = rankCall
		}
		return nil
	}
	switch {
	case len(keys) == 0:
		return pipeline.Refuse(pipeline.CodeKeyMissing, "")
	case len(keys) > 1:
		return pipeline.Refuse(pipeline.CodeKeyAmbiguous, "")
	case !snap.KeysValid(bootclock.Now()):
		return pipeline.Refuse(pipeline.CodeKeysUnsure, "")
	}
	team, ok := snap.Table.TeamByKey(keys[0])
	if !ok {
		return pipeline.Refuse(pipeline.CodeKeyUnknown, "")
	}
	req.Principal = pipeline.Principal{Team: team.Name}
	req.Rank = min(teamRank*team.Priority+route.Priority, rankLast)
	return nil
}

// limitTime ends the request at the earlier of the caller's deadline and the
// route's timeout.
func limitTime(req *pipeline.Request, timeout time.Duration) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if end := req.Received.Add(timeout); req.Deadline.IsZero() || end.Before(req.Deadline) {
		req.Deadline = end
	}
}
