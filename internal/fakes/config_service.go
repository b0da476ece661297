package fakes

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
)

// watchHold is the time after which a watch is answered without news, as
// docs/PLATFORM.md states it.
const watchHold = 10 * time.Second

// ConfigService stands in for the configuration service.
type ConfigService struct {
	service

	mu        sync.Mutex
	history   []publication
	stale     int           // publications that are held back
	published chan struct{} // closed when the visible publication changes
	reads     map[string]int
	watches   int
	waiting   int
}

// publication is one published configuration. The manifest is among its values.
type publication struct {
	version uint64
	values  map[string][]byte
}

// NewConfigService starts a service without any value.
func NewConfigService() (*ConfigService, error) {
	s := &ConfigService{published: make(chan struct{}), reads: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", s.serveValue)
	mux.HandleFunc("GET /v1/watch/manifest", s.serveWatch)
	return s, s.start(mux)
}

// Publish makes a configuration visible, with the version that its manifest
// states. It checks nothing, so that bad documents can be published.
func (s *ConfigService) Publish(version uint64, manifest []byte, parts map[string][]byte) {
	values := maps.Clone(parts)
	values[config.ManifestName] = manifest
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, publication{version, values})
	s.announce()
}

// PublishDocuments builds and publishes a configuration.
func (s *ConfigService) PublishDocuments(version uint64, teamParts int, fleet config.Fleet, teams []config.Team) error {
	manifest, parts, err := config.Build(version, teamParts, fleet, teams)
	if err != nil {
		return err
	}
	s.Publish(version, manifest, parts)
	return nil
}

// ServeStale makes the service answer with the publication that came the given
// number of publications before the newest. 0 ends it.
func (s *ConfigService) ServeStale(publications int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = publications
	s.announce()
}

// Reads returns how often a value was read. Watches count as reads of the
// manifest only when they are answered with it.
func (s *ConfigService) Reads(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[name]
}

// Watches returns how many watches were begun, and how many wait now.
func (s *ConfigService) Watches() (begun, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches, s.waiting
}

// announce wakes the watches. The caller holds the lock.
func (s *ConfigService) announce() {
	close(s.published)
	s.published = make(chan struct{})
}

// visible returns the publication in sight. The caller holds the lock.
func (s *ConfigService) visible() publication {
	i := len(s.history) - 1 - s.stale
	if i < 0 {
		return publication{}
	}
	return s.history[i]
}

func (s *ConfigService) serveValue(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	s.reads[name]++
	data, ok := s.visible().values[name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeValue(w, data)
}

func writeValue(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (s *ConfigService) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.beginWatch()
	defer s.endWatch()
	timeout := time.NewTimer(watchHold)
	defer timeout.Stop()
	for {
		over := s.abortIfAway(r)
		data, next := s.newer(after)
		if data != nil {
			writeValue(w, data)
			return
		}
		select {
		case <-next:
		case <-over:
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

func (s *ConfigService) beginWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	s.waiting++
}

func (s *ConfigService) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// newer returns the visible manifest if its version is above after, and
// otherwise the channel that closes on the next publication.
func (s *ConfigService) newer(after uint64) ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.visible()
	if now.version <= after {
		return nil, s.published
	}
	s.reads[config.ManifestName]++
	return now.values[config.ManifestName], nil
}

// abortIfAway ends a watch that waits when an outage begins: at once if the
// service fails, never if it is silent. Otherwise it returns the channel that
// closes when the outage changes.
func (s *ConfigService) abortIfAway(r *http.Request) (over <-chan struct{}) {
	outage, over := s.availability()
	switch outage {
	case Failing:
		panic(http.ErrAbortHandler)
	case Silent:
		s.stayUnanswered(r)
	}
	return over
}
