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

	mu      sync.Mutex // guards the tables of metrics, which are not control state
	classes map[classKey]*metrics.Histogram
	teams   map[teamKey]*metrics.Histogram
	labels  map[string]bool // teams that have a label of their own
	codes   map[pipeline.Code]*metrics.Counter
}

// classKey and teamKey name the metrics without the cost of writing their labels
// for each request.
type classKey struct {
	service, class string
	outcome        pipeline.Outcome
}

type teamKey struct {
	team    string
	outcome pipeline.Outcome
}

// New returns a filter that registers its metrics in the set.
func New(set *metrics.Set) *Filter {
	return &Filter{
		Set:     set,
		classes: make(map[classKey]*metrics.Histogram),
		teams:   make(map[teamKey]*metrics.Histogram),
		labels:  make(map[string]bool),
		codes:   make(map[pipeline.Code]*metrics.Counter),
	}
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
	f.mu.Lock()
	class := f.class(classKey{req.Service, req.Class.Name, c.Outcome})
	team := f.team(teamKey{f.label(req.Principal.Team), c.Outcome})
	code := f.code(c.Code)
	f.mu.Unlock()
	class.Update(seconds)
	team.Update(seconds)
	code.Inc()
}

func (f *Filter) class(key classKey) *metrics.Histogram {
	if known, ok := f.classes[key]; ok {
		return known
	}
	made := f.Set.GetOrCreateHistogram(fmt.Sprintf(`ragwortyard_request_duration_seconds{service=%q,class=%q,outcome=%q}`,
		key.service, key.class, key.outcome))
	f.classes[key] = made
	return made
}

func (f *Filter) team(key teamKey) *metrics.Histogram {
	if known, ok := f.teams[key]; ok {
		return known
	}
	made := f.Set.GetOrCreateHistogram(fmt.Sprintf(`ragwortyard_team_duration_seconds{team=%q,outcome=%q}`, key.team, key.outcome))
	f.teams[key] = made
	return made
}

func (f *Filter) code(code pipeline.Code) *metrics.Counter {
	if known, ok := f.codes[code]; ok {
		return known
	}
	made := f.Set.GetOrCreateCounter(fmt.Sprintf(`ragwortyard_requests_total{code="%d",name=%q}`, code, code.Info().Name))
	f.codes[code] = made
	return made
}

// label returns the label of a team, of which there are at most maxTeams. The
// caller holds the lock.
func (f *Filter) label(team string) string {
	if f.labels[team] {
		return team
	}
	if len(f.labels) >= maxTeams {
		return otherTeams
	}
	f.labels[team] = true
	return team
}
