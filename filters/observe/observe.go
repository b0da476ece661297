// Package observe records metrics of all requests of an entry proxy.
package observe

import (
	"context"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// maxLabeledTeams is the maximum number of teams with their own histogram. A
// histogram takes a few KB, and 72,000 teams must fit in 128 MB together with all
// other state. The remaining teams share the label "other".
const maxLabeledTeams = 256

// otherTeamsLabel is the label of teams without their own histogram.
const otherTeamsLabel = "other"

// Filter records the duration and the result code of requests.
type Filter struct {
	Set *metrics.Set

	mu           sync.Mutex // guards the maps below, which the goroutines of requests share
	classes      map[classKey]*metrics.Histogram
	teams        map[teamKey]*metrics.Histogram
	labeledTeams map[string]bool // teams with their own label
	codes        map[pipeline.Code]*metrics.Counter
}

// classKey and teamKey identify cached metrics, so that the metric name need not be
// formatted for each request.
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
		Set:          set,
		classes:      make(map[classKey]*metrics.Histogram),
		teams:        make(map[teamKey]*metrics.Histogram),
		labeledTeams: make(map[string]bool),
		codes:        make(map[pipeline.Code]*metrics.Counter),
	}
}

// Name returns "observe".
func (f *Filter) Name() string { return "observe" }

// Handle registers a completion hook that records the metrics.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	req.OnComplete(func(c pipeline.Completion) { f.record(req, c) })
	return nil
}

func (f *Filter) record(req *pipeline.Request, c pipeline.Completion) {
	seconds := c.Duration.Seconds()
	f.mu.Lock()
	class := f.classHistogram(classKey{req.Service, req.Class.Name, c.Outcome})
	team := f.teamHistogram(teamKey{f.teamLabel(req.Principal.Team), c.Outcome})
	code := f.codeCounter(c.Code)
	f.mu.Unlock()
	class.Update(seconds)
	team.Update(seconds)
	code.Inc()
}

func (f *Filter) classHistogram(key classKey) *metrics.Histogram {
	if known, ok := f.classes[key]; ok {
		return known
	}
	created := f.Set.GetOrCreateHistogram(fmt.Sprintf(`ragwortyard_request_duration_seconds{service=%q,class=%q,outcome=%q}`,
		key.service, key.class, key.outcome))
	f.classes[key] = created
	return created
}

func (f *Filter) teamHistogram(key teamKey) *metrics.Histogram {
	if known, ok := f.teams[key]; ok {
		return known
	}
	created := f.Set.GetOrCreateHistogram(fmt.Sprintf(`ragwortyard_team_duration_seconds{team=%q,outcome=%q}`, key.team, key.outcome))
	f.teams[key] = created
	return created
}

func (f *Filter) codeCounter(code pipeline.Code) *metrics.Counter {
	if known, ok := f.codes[code]; ok {
		return known
	}
	created := f.Set.GetOrCreateCounter(fmt.Sprintf(`ragwortyard_requests_total{code="%d",name=%q}`, code, code.Info().Name))
	f.codes[code] = created
	return created
}

// teamLabel returns the metric label of a team. At most maxLabeledTeams teams get
// their own label. The caller must hold the lock.
func (f *Filter) teamLabel(team string) string {
	if f.labeledTeams[team] {
		return team
	}
	if len(f.labeledTeams) >= maxLabeledTeams {
		return otherTeamsLabel
	}
	f.labeledTeams[team] = true
	return team
}
