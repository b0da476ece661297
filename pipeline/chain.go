package pipeline

import "context"

// Filter is one step of a chain. Handle either returns nil, which passes the
// request on, or the final result. A filter keeps no state of other filters.
// Handle may register completion hooks on the request.
type Filter interface {
	Name() string
	Handle(ctx context.Context, req *Request) *Result
}

// Chain is an ordered list of filters; the last one must produce a result.
type Chain []Filter

// Run passes the request through the filters until one returns a result. A
// chain whose filters all pass the request on returns CodeInternal.
func (c Chain) Run(ctx context.Context, req *Request) *Result {
	for _, f := range c {
		if result := f.Handle(ctx, req); result != nil {
			return result
		}
	}
	return Refuse(CodeInternal, "no filter produced a result")
}

// Names returns the names of the filters in order.
func (c Chain) Names() []string {
	names := make([]string, len(c))
	for i, f := range c {
		names[i] = f.Name()
	}
	return names
}
