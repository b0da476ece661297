// Package fakebackend is a stand-in of a backend server of the users' platform, with
// faults of its own.
package fakebackend

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/platform"
)

// Run is one request that a backend server began to work on.
type Run struct {
	Attempt string
	Team    string
	Backend string
	Began   time.Time
	KeySeen bool // the caller's key was passed on
}

// Faults of a backend server. The zero value is a server in order.
type Faults struct {
	Fail  bool    // answers 500 at once
	Hang  bool    // works and never answers
	Reset bool    // works and resets the connection
	Slow  float64 // factor on the time of work; 0 means 1
}

// Backend is a backend server that speaks the platform's protocol.
type Backend struct {
	Slots int
	Work  time.Duration // mean
	OnRun func(Run)

	mu      sync.Mutex
	id      string
	random  *rand.Rand
	faults  Faults
	running atomic.Int32
	server  *http.Server
	served  chan struct{} // closed once the listener is released
}

// NewBackend returns a backend server whose times follow a seed.
func NewBackend(seed uint64, slots int, work time.Duration, onRun func(Run)) *Backend {
	return &Backend{Slots: slots, Work: work, OnRun: onRun, random: rand.New(rand.NewPCG(seed, seed))}
}

// Serve takes requests of a listener under an identifier until Close.
func (b *Backend) Serve(id string, listener net.Listener) {
	b.mu.Lock()
	b.id = id
	b.server = &http.Server{Handler: b}
	server, served := b.server, make(chan struct{})
	b.served = served
	b.mu.Unlock()
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
}

// Close ends the server and cuts its connections.
func (b *Backend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		_ = b.server.Close()
		<-b.served
		b.server = nil
	}
}

// SetFaults changes how the server fails.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Body returns the answer that belongs to a request.
func Body(attempt string) string { return "answer to " + attempt + "\n" }

// Signature returns the proof that a body is the answer of a backend server.
func Signature(id, body string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id+"|"+body)
	return fmt.Sprintf("%s.%x", id, sum.Sum64())
}

// ServeHTTP runs one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(platform.HeaderAttemptID)
	b.mu.Lock()
	id, faults := b.id, b.faults
	work := time.Duration((0.5 + b.random.ExpFloat64()*0.5) * float64(b.Work))
	b.mu.Unlock()
	w.Header().Set(platform.HeaderAttemptID, attempt)
	if want := r.Header.Get(platform.HeaderExpectedInstance); want != "" && want != id {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(b.running.Add(1)) > b.Slots {
		b.running.Add(-1)
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	b.OnRun(Run{
		Attempt: attempt, Team: r.Header.Get(platform.HeaderTeam), Backend: id, Began: time.Now(),
		KeySeen: r.Header.Get(platform.HeaderAPIKey) != "",
	})
	if faults.Slow > 0 {
		work = time.Duration(faults.Slow * float64(work))
	}
	b.answer(w, r, id, attempt, faults, work)
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, id, attempt string, faults Faults, work time.Duration) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	if faults.Reset {
		panic(http.ErrAbortHandler)
	}
	body := Body(attempt)
	w.Header().Set(platform.HeaderResponseSignature, Signature(id, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// withDeadline ends the work at the time that the request states.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}
