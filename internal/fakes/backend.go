package fakes

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ServiceTime returns the service time of one request, drawn from r if it is random.
type ServiceTime func(r *rand.Rand) time.Duration

// FixedTime returns the same service time for each request.
func FixedTime(d time.Duration) ServiceTime {
	return func(*rand.Rand) time.Duration { return d }
}

// LogNormalTime returns log-normally distributed service times with the given median.
// With sigma 0.5 the 99th percentile is about 3.2 times the median.
func LogNormalTime(median time.Duration, sigma float64) ServiceTime {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*r.NormFloat64()))
	}
}

// BackendOptions are the fixed properties of a backend server.
type BackendOptions struct {
	ID                string
	Slots             int           // default 7
	ServiceTime       ServiceTime   // default 0
	Seed              uint64        // seeds every random choice
	ProbeLatency      time.Duration // response time of the health and load endpoints
	ColdStart         time.Duration // how long service times are longer after a start
	ColdFactor        float64       // factor on service times at the start, falling to 1; default 10
	RestartDelay      time.Duration // time from a crash to the next start
	DisableRequestLog bool          // saves memory in long runs at high rates
}

// Behavior is the part of the server that tests change while it runs. The zero value is
// a healthy server.
type Behavior struct {
	FailShare          float64       // share of requests that get status 500
	SlowFactor         float64       // multiplies service times; 0 means 1
	NeverRespond       bool          // requests are executed but get no response
	TruncateShare      float64       // share of responses truncated in the middle
	RejectShare        float64       // share of requests rejected with status 503, not executed
	Draining           bool          // reports draining and rejects requests with status 503, not executed
	Unhealthy          bool          // the health endpoint returns status 503
	ExternalSlots      int           // slots in use by requests from outside the fleet; not part of the reported load
	LoadReportInterval time.Duration // how long the load endpoint repeats a report
	CrashPattern       string        // a request with this text in its URI or body crashes the server; empty for none
}

func (b *Behavior) slowFactor() float64 {
	if b.SlowFactor == 0 {
		return 1
	}
	return b.SlowFactor
}

// Headers of requests and responses.
const (
	headerRequestID   = "X-Request-Id"
	headerIdempotency = "Idempotency-Key"
	headerExtraBytes  = "X-Answer-Bytes"   // request: append this many bytes to the response body
	headerChunked     = "X-Answer-Chunked" // request: send the response without Content-Length
	headerShed        = "X-Shed"           // response: rejected without execution
	headerDeadline    = "X-Deadline-Ms"    // request: remaining time, after which execution stops
)

// RequestRecord is an entry of the request log: one received request.
type RequestRecord struct {
	At         time.Time
	Connection uint64 // sequence number of the connection, from 1
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Executed   bool // execution began
}

// Backend is a fake backend server.
type Backend struct {
	options BackendOptions
	network *network
	slots   *slotQueue

	mu             sync.Mutex
	behavior       Behavior
	random         *rand.Rand
	log            []*RequestRecord
	executions     map[string]int // by "header name:value"
	started        time.Time
	crashes        int
	load           loadReport
	loadReportedAt time.Time
}

// NewBackend starts a backend server.
func NewBackend(options BackendOptions) (*Backend, error) {
	setDefaults(&options)
	b := &Backend{
		options:    options,
		slots:      newSlotQueue(options.Slots),
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		executions: make(map[string]int),
		started:    time.Now(),
	}
	var err error
	b.network, err = listen(http.HandlerFunc(b.serve))
	return b, err
}

// serve dispatches by path. http.ServeMux is not used, since it redirects paths that
// are not clean.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		b.serveHealth(w, r)
	case "/load":
		b.serveLoad(w, r)
	default:
		b.serveWork(w, r)
	}
}

func setDefaults(o *BackendOptions) {
	if o.Slots == 0 {
		o.Slots = 7
	}
	if o.ServiceTime == nil {
		o.ServiceTime = FixedTime(0)
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = 10
	}
}

// Address returns the IP:port, which stays the same across crashes.
func (b *Backend) Address() string { return b.network.address }

// ID returns the identifier from the options.
func (b *Backend) ID() string { return b.options.ID }

// Close aborts all requests and closes all connections. Further calls do nothing.
func (b *Backend) Close() { b.network.close() }

// UpdateBehavior changes the behavior for later requests.
func (b *Backend) UpdateBehavior(edit func(*Behavior)) {
	b.mu.Lock()
	edit(&b.behavior)
	external := b.behavior.ExternalSlots
	b.mu.Unlock()
	b.slots.setExternal(external)
}

// SilenceConnections makes the currently open connections silent for good: they stay
// open, but drop all incoming and outgoing bytes. New connections work.
func (b *Backend) SilenceConnections() { b.network.silence() }

// Crash resets all connections and refuses new ones until the server has restarted
// after RestartDelay.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.crashes++
	b.mu.Unlock()
	b.network.reset(b.options.RestartDelay, b.restarted)
}

func (b *Backend) restarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = time.Now()
}

// Crashes returns how often the server has crashed.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// RequestLog returns a copy of the request log, which omits health and load requests.
func (b *Backend) RequestLog() []RequestRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	log := make([]RequestRecord, len(b.log))
	for i, record := range b.log {
		log[i] = *record
	}
	return log
}

// ClearRequestLog empties the request log and keeps the execution counts.
func (b *Backend) ClearRequestLog() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = nil
}

// Executions returns how many times execution of a request with this X-Request-Id began.
func (b *Backend) Executions(requestID string) int {
	return b.count(headerRequestID, requestID)
}

// ExecutionsByKey returns how many times execution of a request with this
// Idempotency-Key began.
func (b *Backend) ExecutionsByKey(idempotencyKey string) int {
	return b.count(headerIdempotency, idempotencyKey)
}

func (b *Backend) count(header, value string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[header+":"+value]
}

// SlotUsage returns the number of slots in use by requests and the number of queued
// requests.
func (b *Backend) SlotUsage() (used, queued int) { return b.slots.usage() }

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	record := b.recordRequest(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	plan := b.planRequest()
	if plan.reject {
		w.Header().Set(headerShed, "1")
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "shed"})
		return
	}
	if b.matchesCrashPattern(r, body) {
		b.recordExecution(record)
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !b.slots.acquire(ctx) {
		panic(http.ErrAbortHandler)
	}
	defer b.slots.release()
	b.recordExecution(record)
	if !simulateWork(ctx, plan.serviceTime) {
		panic(http.ErrAbortHandler)
	}
	b.respond(w, r, body, plan)
}

// requestPlan is how the server handles one request.
type requestPlan struct {
	reject, fail, truncate, neverRespond bool
	serviceTime                          time.Duration
}

// planRequest decides how to handle one request. It always draws the same number of
// random values, so that a change of behavior does not affect later draws.
func (b *Backend) planRequest() requestPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	reject, fail, truncate := b.random.Float64(), b.random.Float64(), b.random.Float64()
	base := float64(b.options.ServiceTime(b.random))
	behavior := b.behavior
	return requestPlan{
		reject:       behavior.Draining || reject < behavior.RejectShare,
		fail:         fail < behavior.FailShare,
		truncate:     truncate < behavior.TruncateShare,
		neverRespond: behavior.NeverRespond,
		serviceTime:  time.Duration(base * behavior.slowFactor() * b.coldFactor()),
	}
}

// coldFactor returns the factor on service times, which falls linearly from ColdFactor
// to 1 during the cold start. The caller holds the lock.
func (b *Backend) coldFactor() float64 {
	left := 1 - float64(time.Since(b.started))/float64(b.options.ColdStart)
	if b.options.ColdStart == 0 || left <= 0 {
		return 1
	}
	return 1 + (b.options.ColdFactor-1)*left
}

func (b *Backend) recordRequest(r *http.Request, body []byte) *RequestRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	record := &RequestRecord{
		At:         time.Now(),
		Connection: connectionNumber(r.Context()),
		Method:     r.Method,
		URI:        r.RequestURI,
		Host:       r.Host,
		Header:     r.Header.Clone(),
		Body:       body,
	}
	if !b.options.DisableRequestLog {
		b.log = append(b.log, record)
	}
	return record
}

func (b *Backend) recordExecution(record *RequestRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record.Executed = true
	for _, name := range []string{headerRequestID, headerIdempotency} {
		if value := record.Header.Get(name); value != "" {
			b.executions[name+":"+value]++
		}
	}
}

func (b *Backend) matchesCrashPattern(r *http.Request, body []byte) bool {
	b.mu.Lock()
	pattern := b.behavior.CrashPattern
	b.mu.Unlock()
	return pattern != "" && (strings.Contains(r.RequestURI, pattern) || strings.Contains(string(body), pattern))
}

// simulateWork waits for the service time and reports whether it elapsed before ctx was
// done.
func simulateWork(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
