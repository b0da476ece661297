package dispatch

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/selection"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Explanation describes where the first attempt of a request would be sent.
type Explanation struct {
	Servers []ExplainedServer
	// Best is the server with the lowest cost without its random part; nil if none is left.
	Best *ExplainedServer
	// Sampled means that an attempt compares a random sample of the servers.
	Sampled bool
	// Refusal is the result of the request if no server is left or the process stops.
	Refusal *pipeline.Result
}

// ExplainedServer is a backend server of the service of a request.
type ExplainedServer struct {
	*mesh.Target
	selection.Candidate
	Exclusion string // why the server is not a candidate; empty if it is one
	Cost      selection.Cost
	Wait      time.Duration // expected wait for a slot and for the rate limit
	QueueRoom int           // requests that may still wait
}

// Explain returns where the first attempt of a request with a body of the given size would
// be sent now. It sends nothing and takes nothing from any budget.
func (f *Filter) Explain(req *pipeline.Request, requestBytes int) Explanation {
	now, snap := time.Now(), f.Snapshot()
	r := f.newRequestState(req)
	r.requestBytes = requestBytes
	targets, candidates := r.candidates(now, snap)
	choice := selection.Explain(r.properties(now), candidates)
	e := Explanation{Servers: make([]ExplainedServer, len(targets)), Sampled: choice.Sampled}
	for i, target := range targets {
		health, candidate := target.Live.Health(), candidates[i]
		e.Servers[i] = ExplainedServer{
			Target: target, Candidate: candidate, Cost: choice.Costs[i],
			Exclusion: string(r.exclusion(now, snap, target, &health)),
			Wait:      candidate.EstimatedWait(),
			QueueRoom: max(r.queueRoom(target), 0),
		}
	}
	if choice.Best < 0 || r.isLastStartPast() {
		e.Refusal = r.unservedRefusal()
		return e
	}
	e.Best = &e.Servers[choice.Best]
	return e
}
