package pipeline

import (
	"context"
	"fmt"
	"runtime/debug"
)

// Filter is one step of a chain. Handle returns the final result, or nil to pass the
// request to the next filter. It may register completion hooks on the request. A
// filter does not depend on the state of other filters.
type Filter interface {
	Name() string
	Handle(ctx context.Context, req *Request) *Result
}

// Chain is an ordered list of filters; the last one must produce a result.
type Chain []Filter

// Run calls the filters in order until one returns a result. If none does, or if one
// panics, the result is CodeInternal.
func (c Chain) Run(ctx context.Context, req *Request) *Result {
	for _, f := range c {
		if result := handle(ctx, f, req); result != nil {
			return result
		}
	}
	return Refuse(CodeInternal, "no filter produced a result")
}

// handle calls one filter. A panic ends the request and not the process.
func handle(ctx context.Context, f Filter, req *Request) (result *Result) {
	defer func() {
		if cause := recover(); cause != nil {
			result = Refuse(CodeInternal, "")
			result.Fault = fmt.Sprintf("filter %s panicked: %v\n%s", f.Name(), cause, debug.Stack())
		}
	}()
	return f.Handle(ctx, req)
}

// Names returns the names of the filters in order.
func (c Chain) Names() []string {
	names := make([]string, len(c))
	for i, f := range c {
		names[i] = f.Name()
	}
	return names
}
