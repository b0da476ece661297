package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Outage is the kind of outage that a fake service simulates.
type Outage int

// Kinds of outage.
const (
	Available    Outage = iota
	Failing             // responds to each request with status 503
	Unresponsive        // accepts requests and never responds
)

// fakeService is the HTTP server that ConfigService and HostList embed. It can simulate
// outages.
type fakeService struct {
	server  *http.Server
	baseURL string
	closed  chan struct{}
	once    sync.Once // closes closed

	mu     sync.Mutex
	outage Outage
}

func (s *fakeService) start(handler http.Handler) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.baseURL = "http://" + listener.Addr().String()
	s.closed = make(chan struct{})
	s.server = &http.Server{Handler: s.withOutage(handler), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// URL returns the base URL.
func (s *fakeService) URL() string { return s.baseURL }

// Close aborts all requests and closes all connections. Further calls do nothing.
func (s *fakeService) Close() {
	s.once.Do(func() { close(s.closed) })
	_ = s.server.Close()
}

// SetOutage starts or ends an outage. Requests that arrived while the service was
// Unresponsive never get a response.
func (s *fakeService) SetOutage(outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

func (s *fakeService) availability() Outage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *fakeService) withOutage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.availability() {
		case Failing:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Unresponsive:
			s.blockUntilCanceled(r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// blockUntilCanceled blocks until the client cancels the request or the service closes,
// and then aborts it without a response.
func (s *fakeService) blockUntilCanceled(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}
