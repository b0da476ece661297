// Package fakebackend is a fake backend server of the users' platform that can inject
// faults.
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

// Execution is one request that a backend server began to execute.
type Execution struct {
	Attempt string
	Team    string
	Backend string
	Began   time.Time
	KeySeen bool // the request contained the caller's key
	// NamedRate is the rate limit that the server names, in requests per second, since
	// NamedSince; 0 for none.
	NamedRate  float64
	NamedSince time.Time
}

// Faults are the faults that a backend server injects. The zero value is a healthy
// server.
type Faults struct {
	Fail       bool    // responds with status 500 at once
	Hang       bool    // executes requests and never responds
	Reset      bool    // executes requests and resets the connection
	SlowFactor float64 // multiplies service times; 0 means 1
	NamedRate  float64 // rate limit named in all responses, in requests per second; 0 for none
}

// Backend is a fake backend server that implements the platform's protocol.
type Backend struct {
	Slots           int
	MeanServiceTime time.Duration
	OnExecution     func(Execution)
	// Call makes the calls of the server to other services that a request needs, and
	// reports whether they succeeded; nil for none.
	Call func(ctx context.Context, attempt string) bool
	// OnColdRequest is told of the requests for a cold server; nil for none.
	OnColdRequest func(id string, at time.Time)
	// OnMisdirected is told of the attempts that expect another server; nil for none.
	OnMisdirected func(attempt, expected string)

	mu         sync.Mutex
	id         string
	random     *rand.Rand
	faults     Faults
	coldUntil  time.Time
	namedSince time.Time // when the first response named the current rate limit; zero before
	running    atomic.Int32
	server     *http.Server
	serverDone chan struct{} // closed when server has released the listener
}

// NewBackend returns a backend server whose service times are drawn from a generator
// with the given seed.
func NewBackend(seed uint64, slots int, meanServiceTime time.Duration, onExecution func(Execution)) *Backend {
	return &Backend{Slots: slots, MeanServiceTime: meanServiceTime, OnExecution: onExecution, random: rand.New(rand.NewPCG(seed, seed))}
}

// Serve serves requests from a listener under the given identifier until Close.
func (b *Backend) Serve(id string, listener net.Listener) {
	b.mu.Lock()
	b.id = id
	b.server = &http.Server{Handler: b}
	server, serverDone := b.server, make(chan struct{})
	b.serverDone = serverDone
	b.mu.Unlock()
	go func() {
		defer close(serverDone)
		_ = server.Serve(listener)
	}()
}

// Close stops the server and closes its connections.
func (b *Backend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		_ = b.server.Close()
		<-b.serverDone
		b.server = nil
	}
}

// SetFaults replaces the faults that apply to later requests.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults, b.namedSince = f, time.Time{}
}

// coldSlowFactor multiplies the service times of a cold server.
const coldSlowFactor = 3

// MakeCold makes the server cold for a duration.
func (b *Backend) MakeCold(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(d)
}

// ColdLeft returns how much longer the server is cold.
func (b *Backend) ColdLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(time.Until(b.coldUntil), 0)
}

// Body returns the response body for a request.
func Body(attempt string) string { return "answer to " + attempt + "\n" }

// Signature returns the signature with which backend server id signs a response body.
func Signature(id, body string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id+"|"+body)
	return fmt.Sprintf("%s.%x", id, sum.Sum64())
}

// ServeHTTP executes one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(platform.HeaderAttemptID)
	b.mu.Lock()
	id, faults := b.id, b.faults
	if faults.NamedRate > 0 {
		w.Header().Set(platform.HeaderServerLimit, strconv.FormatFloat(faults.NamedRate, 'f', -1, 64))
		if b.namedSince.IsZero() {
			b.namedSince = time.Now()
		}
	}
	namedSince, now := b.namedSince, time.Now()
	cold := now.Before(b.coldUntil)
	serviceTime := time.Duration((0.5 + b.random.ExpFloat64()*0.5) * float64(b.MeanServiceTime))
	b.mu.Unlock()
	w.Header().Set(platform.HeaderAttemptID, attempt)
	if want := r.Header.Get(platform.HeaderExpectedInstance); want != "" && want != id {
		if b.OnMisdirected != nil {
			b.OnMisdirected(attempt, want)
		}
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if cold {
		serviceTime *= coldSlowFactor
		if b.OnColdRequest != nil {
			b.OnColdRequest(id, now)
		}
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
	b.OnExecution(Execution{
		Attempt: attempt, Team: r.Header.Get(platform.HeaderTeam), Backend: id, Began: time.Now(),
		KeySeen: r.Header.Get(platform.HeaderAPIKey) != "", NamedRate: faults.NamedRate, NamedSince: namedSince,
	})
	if faults.SlowFactor > 0 {
		serviceTime = time.Duration(faults.SlowFactor * float64(serviceTime))
	}
	b.respond(w, r, id, attempt, faults, serviceTime)
}

// respond waits for the service time and writes the response, or injects a fault.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, id, attempt string, faults Faults, serviceTime time.Duration) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	if b.Call != nil && !b.Call(ctx, attempt) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
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

// withDeadline returns a context that ends at the deadline of the request.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}
