// Package observe measures every request of an entry.
package observe

import (
	"context"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// maxTeams bounds the teams that get a histogram of their own. A histogram takes
// a few KB, and 72,000 teams must fit in 128 MB together with all other state;
// teams beyond the bound share the label "other".
const maxTeams = 256

// otherTeams is the label of the teams beyond the bound.
const otherTeams = "other"

// Filter records the duration and the result code of requests.
type Filter struct {
	Set *metrics.Set

	mu    sync.Mutex // guards the table of labels, which metrics need, not control state
	teams map[string]string
}

// New returns a filter that registers its metrics in the set.
func New(set *metrics.Set) *Filter {
	return &Filter{Set: set, teams: make(map[string]string)}
}

// Name returns "observe".
func (f *Filter) Name() string { return "observe" }

// Handle registers the measurement and passes the request on.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	req.OnComplete(func(c pipeline.Completion) { f.record(req, c) })
	return nil
}

func (f *Filter) record(req *pipeline.Request, c pipeline.Completion) {
	seconds := c.Duration.Seconds()
	class := fmt.Sprintf(`ragwortyard_request_duration_seconds{service=%q,class=%q,outcome=%q}`,
		req.Service, req.Class.Name, c.Outcome)
	f.Set.GetOrCreateHistogram(class).Update(seconds)
	team := fmt.Sprintf(`ragwortyard_team_duration_seconds{team=%q,outcome=%q}`, f.label(req.Principal.Team), c.Outcome)
	f.Set.GetOrCreateHistogram(team).Update(seconds)
	if c.Code != pipeline.CodeOK {
		info := c.Code.Info()
		f.Set.GetOrCreateCounter(fmt.Sprintf(`ragwortyard_requests_total{code="%d",name=%q}`, c.Code, info.Name)).Inc()
		return
	}
	f.Set.GetOrCreateCounter(`ragwortyard_requests_total{code="0",name="ok"}`).Inc()
}

// label returns the label of a team, of which there are at most maxTeams.
func (f *Filter) label(team string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if label, ok := f.teams[team]; ok {
		return label
	}
	if len(f.teams) >= maxTeams {
		return otherTeams
	}
	f.teams[team] = team
	return team
}
