// Package continuation gives priority to the later calls of a request that a backend
// server runs.
//
// A request that makes several calls fails if one of them does. While the called service
// is overloaded, serving later calls before first ones lets the requests finish for which
// the service has already worked, instead of failing most of them halfway.
package continuation

import (
	"context"
	"net/http"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// maxParents is the number of requests whose answered calls are remembered. A backend
// server runs a few dozen requests at once.
const maxParents = 1024

// rank is that of the most urgent requests.
const rank = 0

// Filter raises the rank of calls whose parent request has already had a call answered.
type Filter struct {
	answered *lru.Cache[string, struct{}] // by identifier of the parent request
}

// New returns a Filter that remembers no requests.
func New() *Filter {
	cache, err := lru.New[string, struct{}](maxParents)
	if err != nil {
		panic(err) // maxParents is not positive
	}
	return &Filter{answered: cache}
}

// Name returns "continuation".
func (f *Filter) Name() string { return "continuation" }

// Handle raises the rank of a later call, and remembers the parent once a call has been
// answered. Requests of teams are not calls of a backend server.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	if req.ParentID == "" || req.Principal.Team != "" {
		return nil
	}
	if f.answered.Contains(req.ParentID) {
		req.Rank = rank
	}
	req.OnComplete(func(c pipeline.Completion) {
		if c.Outcome == pipeline.Answered && c.Status < http.StatusInternalServerError {
			f.answered.Add(req.ParentID, struct{}{})
		}
	})
	return nil
}
