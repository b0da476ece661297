package pipeline

import (
	"io"
	"time"
)

// Header maps canonical header names to their values. Its underlying type is
// that of net/http.Header, so that front ends convert without copying.
type Header map[string][]string

// Get returns the first value of the canonical name, or "".
func (h Header) Get(name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// Class is what a filter needs to know of the class of work of a request.
type Class struct {
	Name       string
	Idempotent bool          // a request may run more than once without harm
	Worth      float64       // relative weight in queues and in the score
	Target     time.Duration // target latency for 99 in 100 requests
	MaxBody    int64         // bytes; 0 means no limit
}

// Principal is the verified sender of a request.
type Principal struct {
	Team  string // empty on routes open to all
	KeyID string // the operator's label of the key, never the key
}

// Request is one request on its way through a chain. One goroutine at a time
// owns it.
type Request struct {
	ID       string // unique for each attempt that an entry sends
	Method   string
	Path     string // escaped path
	RawQuery string
	Host     string
	Header   Header
	// Trailer returns the trailer fields that may be passed on. It is valid
	// after Body has returned io.EOF; nil means none were declared.
	Trailer func() Header
	// TrailerNames lists the declared trailer fields that may be passed on.
	TrailerNames  []string
	Body          io.Reader // nil when there is no body
	ContentLength int64     // -1 when unknown
	// Payload is the whole body once the buffer filter has read it, so that the
	// request can be sent more than once.
	Payload []byte

	Received time.Time
	Deadline time.Time

	// Credentials holds the keys shown by the caller. The authenticate filter
	// clears it; nothing after that filter sees a key.
	Credentials []string

	Principal      Principal
	Route          string
	Service        string
	Class          Class
	IdempotencyKey string
	FirstSend      bool    // the caller states that it never sent this idempotency key before
	Targets        Targets // set by the route filter
	Fingerprint    uint64  // identifies requests with the same effect on a backend server; 0 when unknown
	// Suspect says that the request must run alone on its backend server, since
	// it or one like it may have crashed another.
	Suspect bool
	// RunEnd is how the backend server ended the request, set by the filter that
	// sent it.
	RunEnd RunEnd

	// Caller is the service of the host at which the request began.
	Caller string
	// Rank orders requests that wait for the same backend server; 0 is the most
	// urgent.
	Rank int
	// MaxAttempts bounds the backend servers that the request may be sent to; 0
	// means one.
	MaxAttempts int
	// Backend is the backend server that an attempt is for.
	Backend string
	// Repeat says that the request has reached a backend server before.
	Repeat bool
	// Parent identifies the request that a backend server runs and that made this
	// one, as far as it can be told; empty otherwise.
	Parent string
	// MaxWait is how long the attempt may wait for a slot; it is refused at once
	// when the wait would be longer, so that it can go elsewhere.
	MaxWait time.Duration

	hooks     []func(Completion)
	hookSpace [hookCount]func(Completion) // first storage of hooks
}

// hookCount is the number of hooks that a request keeps without allocating; the
// filters of a chain register at most four.
const hookCount = 4

// Copy returns a copy without the hooks, which run once for the original.
func (r *Request) Copy() *Request {
	c := *r
	c.hooks, c.hookSpace = nil, [hookCount]func(Completion){}
	return &c
}

// RunEnd is how a backend server ended a request that was sent to it.
type RunEnd uint8

// The ends of a run.
const (
	RunNone  RunEnd = iota // not sent, refused because of load, timed out or canceled
	RunWhole               // the whole answer, whatever its status
	RunCut                 // the connection was lost before the end of the answer
	RunDied                // as RunCut, and the backend server refused a new connection
)

// Completion describes how a request ended, after the last byte of its answer
// was delivered or given up.
type Completion struct {
	Outcome  Outcome
	Code     Code
	Status   int
	Duration time.Duration // from Received to the end
	Bytes    int64         // body bytes delivered
}

// OnComplete registers a hook that runs once when the request has ended. Hooks
// run in the reverse order of registration.
func (r *Request) OnComplete(hook func(Completion)) {
	if r.hooks == nil {
		r.hooks = r.hookSpace[:0]
	}
	r.hooks = append(r.hooks, hook)
}

// Complete runs the registered hooks. Only the front end that made the request
// calls it; further calls do nothing.
func (r *Request) Complete(c Completion) {
	hooks := r.hooks
	r.hooks = nil
	for i := len(hooks) - 1; i >= 0; i-- {
		hooks[i](c)
	}
}

// Replayable tells whether the request carries no body, so that a second
// attempt needs nothing of the first.
func (r *Request) Replayable() bool {
	return r.Body == nil || r.Payload != nil
}
