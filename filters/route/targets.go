package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// generators hands out random generators, since one is not safe for use by
// several goroutines.
var generators = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// targets chooses the attempts of one request, each on another backend server.
type targets struct {
	service *control.Service
	subset  *balance.Subset
	tried   balance.IndexSet
	count   int
}

func newTargets(service *control.Service, team string) *targets {
	return &targets{service: service, subset: service.Subset(team)}
}

// Next returns the target of the next attempt and counts it as in flight.
func (t *targets) Next() (pipeline.Target, bool) {
	r := generators.Get().(*rand.Rand)
	index, ok := balance.Choose(time.Now(), r, t.subset, t.tried)
	generators.Put(r)
	if !ok {
		return pipeline.Target{}, false
	}
	t.tried = t.tried.With(index)
	t.count++
	m := t.subset.Members[index]
	m.Begin()
	return pipeline.Target{
		Backend: m.ID,
		Host:    m.Host,
		Addr:    t.service.TrafficAddrs[m.Host],
		Stats:   m,
	}, true
}

// Untried returns how many members were not chosen yet.
func (t *targets) Untried() int {
	return len(t.subset.Members) - t.count
}
