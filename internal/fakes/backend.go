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

// ServiceTime draws the time that one request takes.
type ServiceTime func(r *rand.Rand) time.Duration

// FixedTime takes the same time for each request.
func FixedTime(d time.Duration) ServiceTime {
	return func(*rand.Rand) time.Duration { return d }
}

// LogNormalTime has the given median; sigma 0.5 puts the 99th percentile at
// about 3.2 times the median.
func LogNormalTime(median time.Duration, sigma float64) ServiceTime {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*r.NormFloat64()))
	}
}

// BackendOptions are the fixed properties of a backend server.
type BackendOptions struct {
	ID           string
	Slots        int           // default 7
	Time         ServiceTime   // default 0
	Seed         uint64        // of every random choice
	ProbeTime    time.Duration // time to answer health and load endpoints
	ColdStart    time.Duration // after a start, work is slower for this time
	ColdFactor   float64       // slowness at the start, falling to 1; default 10
	RestartAfter time.Duration // time from a crash to the next start
	NoLog        bool          // keep no request log, for long runs at high rates
}

// Behavior is what a test changes while the server runs. The zero value is a
// healthy server.
type Behavior struct {
	FailShare   float64       // share of requests answered with status 500
	SlowFactor  float64       // multiplies service times; 0 means 1
	Silent      bool          // requests run and are never answered
	CutShare    float64       // share of answers cut in the middle
	ShedShare   float64       // share of requests refused with status 503, not run
	Draining    bool          // claims to be draining; requests are refused with status 503, not run
	Unhealthy   bool          // the health endpoint answers with status 503
	SisterSlots int           // slots that the sister firm uses; not part of the reported load
	LoadLag     time.Duration // the load endpoint repeats an answer for this time
	CrashMark   string        // a request with this text in its URI or body crashes the server
}

func (b *Behavior) slowness() float64 {
	if b.SlowFactor == 0 {
		return 1
	}
	return b.SlowFactor
}

// Headers that the server answers with or reads.
const (
	headerRequestID   = "X-Request-Id"
	headerIdempotency = "Idempotency-Key"
	headerAnswerSize  = "X-Answer-Bytes"   // asks for an answer with that many bytes more
	headerChunked     = "X-Answer-Chunked" // asks for an answer without a stated length
	headerShed        = "X-Shed"           // marks a refusal of work that was not run
	headerDeadline    = "X-Deadline-Ms"    // time left for the request; work stops after it
)

// Record is one received request.
type Record struct {
	At         time.Time
	Connection uint64 // number of the connection
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Executed   bool // work on it began
}

// Backend stands in for a backend server.
type Backend struct {
	options BackendOptions
	network *network
	slots   *slots

	mu         sync.Mutex
	behavior   Behavior
	random     *rand.Rand
	log        []*Record
	executions map[string]int // by header name and value
	started    time.Time
	crashes    int
	load       loadAnswer
	loadAt     time.Time
}

// NewBackend starts a backend server.
func NewBackend(options BackendOptions) (*Backend, error) {
	setDefaults(&options)
	b := &Backend{
		options:    options,
		slots:      newSlots(options.Slots),
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		executions: make(map[string]int),
		started:    time.Now(),
	}
	var err error
	b.network, err = listen(http.HandlerFunc(b.serve))
	return b, err
}

// serve takes paths as they come; http.ServeMux would redirect those that are
// not clean.
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
	if o.Time == nil {
		o.Time = FixedTime(0)
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = 10
	}
}

// Address returns the IP:port, which stays the same over crashes.
func (b *Backend) Address() string { return b.network.address }

// ID returns the identifier from the options.
func (b *Backend) ID() string { return b.options.ID }

// Close ends all requests and connections. Further calls do nothing.
func (b *Backend) Close() { b.network.close() }

// Change edits the behavior of later requests.
func (b *Backend) Change(edit func(*Behavior)) {
	b.mu.Lock()
	edit(&b.behavior)
	sister := b.behavior.SisterSlots
	b.mu.Unlock()
	b.slots.occupy(sister)
}

// SilenceConnections makes the connections that are open now silent for good:
// what arrives on them is lost and nothing is sent. New ones work.
func (b *Backend) SilenceConnections() { b.network.silence() }

// Crash resets all connections and refuses new ones until the server has
// restarted.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.crashes++
	b.mu.Unlock()
	b.network.reset(b.options.RestartAfter, b.restarted)
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

// Log returns a copy of the request log, without health and load calls.
func (b *Backend) Log() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	log := make([]Record, len(b.log))
	for i, record := range b.log {
		log[i] = *record
	}
	return log
}

// ClearLog forgets the request log and keeps the counts of executions.
func (b *Backend) ClearLog() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = nil
}

// Executions returns how often work began on a request with this X-Request-Id.
func (b *Backend) Executions(requestID string) int {
	return b.count(headerRequestID, requestID)
}

// KeyExecutions returns how often work began on a request with this
// Idempotency-Key.
func (b *Backend) KeyExecutions(idempotencyKey string) int {
	return b.count(headerIdempotency, idempotencyKey)
}

func (b *Backend) count(header, value string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[header+":"+value]
}

// InUse returns the slots in use by requests, and the requests that wait.
func (b *Backend) InUse() (used, queued int) { return b.slots.state() }

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	record := b.record(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	plan := b.plan()
	if plan.refuse {
		w.Header().Set(headerShed, "1")
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "shed"})
		return
	}
	if b.marked(r, body) {
		b.execute(record)
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !b.slots.take(ctx) {
		panic(http.ErrAbortHandler)
	}
	defer b.slots.give()
	b.execute(record)
	if !work(ctx, plan.time) {
		panic(http.ErrAbortHandler)
	}
	b.answer(w, r, body, plan)
}

// plan is what will happen to one request.
type plan struct {
	refuse, fail, cut, silent bool
	time                      time.Duration
}

// plan draws the same random numbers for each request, so that a change of
// behavior does not shift later draws.
func (b *Backend) plan() plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	shed, fail, cut := b.random.Float64(), b.random.Float64(), b.random.Float64()
	base := float64(b.options.Time(b.random))
	behavior := b.behavior
	return plan{
		refuse: behavior.Draining || shed < behavior.ShedShare,
		fail:   fail < behavior.FailShare,
		cut:    cut < behavior.CutShare,
		silent: behavior.Silent,
		time:   time.Duration(base * behavior.slowness() * b.coldFactor()),
	}
}

// coldFactor falls from ColdFactor to 1 over the cold start. The caller holds
// the lock.
func (b *Backend) coldFactor() float64 {
	left := 1 - float64(time.Since(b.started))/float64(b.options.ColdStart)
	if b.options.ColdStart == 0 || left <= 0 {
		return 1
	}
	return 1 + (b.options.ColdFactor-1)*left
}

func (b *Backend) record(r *http.Request, body []byte) *Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	record := &Record{
		At:         time.Now(),
		Connection: connectionNumber(r.Context()),
		Method:     r.Method,
		URI:        r.RequestURI,
		Host:       r.Host,
		Header:     r.Header.Clone(),
		Body:       body,
	}
	if !b.options.NoLog {
		b.log = append(b.log, record)
	}
	return record
}

func (b *Backend) execute(record *Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record.Executed = true
	for _, name := range []string{headerRequestID, headerIdempotency} {
		if value := record.Header.Get(name); value != "" {
			b.executions[name+":"+value]++
		}
	}
}

func (b *Backend) marked(r *http.Request, body []byte) bool {
	b.mu.Lock()
	mark := b.behavior.CrashMark
	b.mu.Unlock()
	return mark != "" && (strings.Contains(r.RequestURI, mark) || strings.Contains(string(body), mark))
}

// work takes the time of the request and tells whether it came to its end: a
// canceled request stops.
func work(ctx context.Context, d time.Duration) bool {
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
