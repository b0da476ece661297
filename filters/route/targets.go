package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// randPool holds random number generators, which are not safe for concurrent use.
var randPool = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// targets chooses a different backend server for each attempt of a request.
type targets struct {
	service    *control.Service
	subset     *balance.Subset
	tried      balance.IndexSet
	triedCount int
}

func newTargets(service *control.Service, team string) *targets {
	return &targets{service: service, subset: service.Subset(team)}
}

// Next returns the target of the next attempt and counts it as in flight.
func (t *targets) Next() (pipeline.Target, bool) {
	r := randPool.Get().(*rand.Rand)
	index, ok := balance.Choose(time.Now(), r, t.subset, t.tried)
	randPool.Put(r)
	if !ok {
		return pipeline.Target{}, false
	}
	t.tried = t.tried.With(index)
	t.triedCount++
	m := t.subset.Members[index]
	m.Begin()
	return pipeline.Target{
		Backend: m.ID,
		Host:    m.Host,
		Addr:    t.service.TrafficAddrs[m.Host],
		Stats:   m,
	}, true
}

// Untried returns the number of members that have not been chosen yet.
func (t *targets) Untried() int {
	return len(t.subset.Members) - t.triedCount
}
