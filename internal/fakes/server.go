package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Outage is the way in which a service is away.
type Outage int

// The ways of being away.
const (
	Available Outage = iota
	Failing          // answers each call with status 503
	Silent           // accepts calls and never answers
)

// service is the part that the configuration service and the host list share.
type service struct {
	server *http.Server
	base   string
	closed chan struct{}
	once   sync.Once // closes closed

	mu     sync.Mutex
	outage Outage
}

func (s *service) start(handler http.Handler) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.base = "http://" + listener.Addr().String()
	s.closed = make(chan struct{})
	s.server = &http.Server{Handler: s.whenAvailable(handler), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// URL returns the base address.
func (s *service) URL() string { return s.base }

// Close ends all calls and connections. Further calls do nothing.
func (s *service) Close() {
	s.once.Do(func() { close(s.closed) })
	_ = s.server.Close()
}

// SetOutage takes the service away or brings it back. Calls that a silent
// service holds stay unanswered.
func (s *service) SetOutage(outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

func (s *service) availability() Outage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *service) whenAvailable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.availability() {
		case Failing:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Silent:
			s.stayUnanswered(r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// stayUnanswered holds a call until its caller gives up, and then ends it
// without an answer.
func (s *service) stayUnanswered(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
