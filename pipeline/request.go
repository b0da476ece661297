package pipeline

import (
	"io"
	"time"
)

// Header maps canonical header names to their values. It has the underlying type of
// net/http.Header, so that front ends can convert it without copying.
type Header map[string][]string

// Get returns the first value for the canonical name, or "".
func (h Header) Get(name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// Class holds the properties of a request class that filters use.
type Class struct {
	Name          string
	Idempotent    bool          // requests may run more than once
	Worth         float64       // relative value of a request; its weight in queues and in the score
	TargetLatency time.Duration // for the 99th percentile
	MaxBody       int64         // bytes; 0 means no limit
}

// Principal is the authenticated sender of a request.
type Principal struct {
	Team  string // empty on routes that need no key
	KeyID string // the operator's label of the key, not the key itself
}

// Request is a request that a chain processes. It is not safe for concurrent use.
type Request struct {
	ID       string // unique per attempt that an entry proxy sends
	Method   string
	Path     string // escaped path
	RawQuery string
	Host     string
	Header   Header
	// Trailer returns the trailer fields that may be forwarded. It may be called
	// after Body has returned io.EOF; it is nil if none were declared.
	Trailer func() Header
	// TrailerNames lists the declared trailer fields that may be forwarded.
	TrailerNames  []string
	Body          io.Reader // nil when there is no body
	ContentLength int64     // -1 when unknown
	// Payload is the complete body after the buffer filter has read it, so that the
	// request can be resent.
	Payload []byte

	Received time.Time
	Deadline time.Time

	// Credentials holds the API keys that the caller sent. The authenticate filter
	// clears it, so that no later filter sees a key.
	Credentials []string

	Principal      Principal
	Route          string
	Service        string
	Class          Class
	IdempotencyKey string
	FirstSend      bool           // the caller declares that it has not sent this idempotency key before
	Targets        TargetSelector // set by the route filter
	Fingerprint    uint64         // identifies requests with the same effect on a backend server; 0 when unknown
	// CrashSuspect means that the request, or one with the same fingerprint, may have
	// crashed a backend server. It must run alone on its backend server.
	CrashSuspect bool
	// RunResult is set by the filter that sent the request to the backend server.
	RunResult RunResult

	// CallerService is the service of the host where the request entered the fleet.
	CallerService string
	// Rank is the priority among the requests that wait for the same backend server;
	// 0 is the most urgent.
	Rank int
	// MaxAttempts is the maximum number of backend servers that the request is sent
	// to; 0 means one.
	MaxAttempts int
	// Backend is the backend server that the attempt is sent to.
	Backend string
	// BackendLimit is the rate limit of Backend that the entry proxy knows. An exit proxy
	// that has just started keeps to it until an answer of the server names one.
	BackendLimit RateLimit
	// ReachedBackend means that an earlier attempt of the request has reached a
	// backend server.
	ReachedBackend bool
	// ParentID identifies the request that a backend server was running when it made
	// this one; empty if unknown or if no backend server made it.
	ParentID string
	// IsCall means that a backend server makes the request while another one holds a slot
	// there.
	IsCall bool
	// ServiceTime is the time for which an attempt that was answered held a slot. It is set when the
	// attempt completes.
	ServiceTime time.Duration
	// MaxQueueWait is the maximum time that the attempt may wait for a slot. It is
	// refused immediately if the expected wait is longer, so that it can be sent to
	// another backend server.
	MaxQueueWait time.Duration

	hooks       []func(Completion)
	inlineHooks [inlineHookCount]func(Completion) // initial storage of hooks
}

// inlineHookCount is the number of hooks that a request stores without a heap
// allocation. The filters of a chain register at most four.
const inlineHookCount = 4

// Copy returns a copy without the hooks, which run only for the original.
func (r *Request) Copy() *Request {
	c := *r
	c.hooks, c.inlineHooks = nil, [inlineHookCount]func(Completion){}
	return &c
}

// RunResult is how the run of a request on a backend server ended.
type RunResult uint8

// The results of a run.
const (
	RunNotObserved    RunResult = iota // not sent, refused because of load, timed out or canceled
	RunCompleted                       // the complete answer arrived, whatever its status
	RunConnectionLost                  // the connection was lost before the end of the answer
	RunBackendCrashed                  // as RunConnectionLost, and the backend server refused a new connection
)

// Completion describes how a request ended, after its answer was delivered or
// abandoned.
type Completion struct {
	Outcome  Outcome
	Code     Code
	Status   int
	Duration time.Duration // from Received to the end
	Bytes    int64         // of the body, delivered to the caller
}

// OnComplete registers a hook that runs once after the request has ended. Hooks run
// in reverse order of registration.
func (r *Request) OnComplete(hook func(Completion)) {
	if r.hooks == nil {
		r.hooks = r.inlineHooks[:0]
	}
	r.hooks = append(r.hooks, hook)
}

// Complete runs the registered hooks. It is called by the front end that created the
// request. Further calls do nothing.
func (r *Request) Complete(c Completion) {
	hooks := r.hooks
	r.hooks = nil
	for i := len(hooks) - 1; i >= 0; i-- {
		hooks[i](c)
	}
}

// Replayable reports whether the request can be sent again: it has no body, or the
// body is buffered in Payload.
func (r *Request) Replayable() bool {
	return r.Body == nil || r.Payload != nil
}
