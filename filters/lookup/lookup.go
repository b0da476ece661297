// Package lookup finds the route, the service and the team of a request in the
// current routing table.
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

// Filter routes and authenticates requests.
type Filter struct {
	Snapshot      func() *mesh.Snapshot
	CallerService string // service of this host, which sends the requests
}

// Name returns "lookup".
func (f *Filter) Name() string { return "lookup" }

// defaultTimeout applies to requests on routes without a timeout.
const defaultTimeout = 30 * time.Second

// Ranks of requests in the queue for a slot; a lower rank is more urgent. The
// priority of the team counts more than that of the route. Calls by backend servers
// rank right after the most urgent requests: if such a call fails, the request that
// made it fails too, and the work done for it is lost.
const (
	ranksPerTeamPriority = 3 // ranks for each level of a team's priority
	backendCallRank      = pipeline.MaxUrgentRank
	leastUrgentRank      = 9
)

// Handle sets the route, the service, the principal, the rank, the attempt limit and
// the deadline of the request.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	snap := f.Snapshot()
	if snap.Table == nil {
		return pipeline.Refuse(pipeline.CodeNotReady, "")
	}
	route, ok := snap.Table.Match(req.Host, req.Path)
	if !ok {
		return pipeline.Refuse(pipeline.CodeUnknownRoute, "")
	}
	keys := req.Credentials
	req.Credentials = nil
	refusal := authorize(snap, route, req, len(keys), func() (*routing.Team, bool) { return snap.Table.TeamByKey(keys[0]) })
	if refusal != nil {
		return refusal
	}
	f.apply(route, req)
	req.Service = route.PickService(rand.Float64())
	return nil
}

// Describe sets what Handle sets for a request with a key of a team, except the service. An
// empty name means a request without a key. The team must exist.
func (f *Filter) Describe(team string, req *pipeline.Request) (*routing.Route, *pipeline.Result) {
	snap := f.Snapshot()
	if snap.Table == nil {
		return nil, pipeline.Refuse(pipeline.CodeNotReady, "")
	}
	route, ok := snap.Table.Match(req.Host, req.Path)
	if !ok {
		return nil, pipeline.Refuse(pipeline.CodeUnknownRoute, "")
	}
	keys := 0
	if team != "" {
		keys = 1
	}
	refusal := authorize(snap, route, req, keys, func() (*routing.Team, bool) { return snap.Table.TeamByName(team) })
	f.apply(route, req)
	return route, refusal
}

// apply sets the properties that follow from the route.
func (f *Filter) apply(route *routing.Route, req *pipeline.Request) {
	req.Route = route.Name
	req.CallerService = f.CallerService
	req.IsCall = req.Principal.Team == "" && req.ParentID != ""
	req.MaxAttempts = max(route.MaxAttempts, 1)
	req.Class = pipeline.Class{Name: route.Name, Idempotent: route.Idempotent, TargetLatency: route.TargetLatency}
	limitDeadline(req, route.Timeout)
}

// authorize sets the team that owns the key and the rank of the request. It returns a
// refusal if the route requires a key and the request has no valid one. findTeam returns
// the team of the key of a request with one key.
func authorize(snap *mesh.Snapshot, route *routing.Route, req *pipeline.Request, keys int, findTeam func() (*routing.Team, bool)) *pipeline.Result {
	req.Rank = min(route.Priority, leastUrgentRank)
	if route.AllowAnonymous || !snap.Table.RequiresKeys() {
		if keys == 0 {
			req.Rank = backendCallRank
		}
		return nil
	}
	switch {
	case keys == 0:
		return pipeline.Refuse(pipeline.CodeKeyMissing, "")
	case keys > 1:
		return pipeline.Refuse(pipeline.CodeKeyAmbiguous, "")
	case !snap.KeysValid(bootclock.Now()):
		return pipeline.Refuse(pipeline.CodeKeysUnconfirmed, "")
	}
	team, ok := findTeam()
	if !ok {
		return pipeline.Refuse(pipeline.CodeKeyUnknown, "")
	}
	req.Principal = pipeline.Principal{Team: team.Name}
	req.Rank = min(ranksPerTeamPriority*team.Priority+route.Priority, leastUrgentRank)
	return nil
}

// limitDeadline sets the deadline to the earlier of the caller's deadline and the
// route's timeout.
func limitDeadline(req *pipeline.Request, timeout time.Duration) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if end := req.Received.Add(timeout); req.Deadline.IsZero() || end.Before(req.Deadline) {
		req.Deadline = end
	}
}
