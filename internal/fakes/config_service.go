package fakes

import (
	"maps"
	"net/http"
	"sync"

	"github.com/ragwortyard/ragwortyard/config"
)

// ConfigService is a fake of the configuration service.
type ConfigService struct {
	fakeService

	mu      sync.Mutex
	history []publication
	staleBy int // number of newest publications that are hidden
	reads   map[string]int
}

// publication is one published configuration. Its values include the manifest.
type publication struct {
	version uint64
	values  map[string][]byte
}

// NewConfigService starts a service without values.
func NewConfigService() (*ConfigService, error) {
	s := &ConfigService{reads: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", s.serveValue)
	return s, s.start(mux)
}

// Publish publishes a configuration; version is the one in its manifest. Publish does
// not validate anything, so that tests can publish invalid documents.
func (s *ConfigService) Publish(version uint64, manifest []byte, parts map[string][]byte) {
	values := maps.Clone(parts)
	values[config.ManifestName] = manifest
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, publication{version, values})
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

// ServeStale makes the service return the publication that is the given number of
// publications older than the newest one; 0 returns to the newest.
func (s *ConfigService) ServeStale(publications int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleBy = publications
}

// Reads returns how many times a value was read.
func (s *ConfigService) Reads(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[name]
}

// visible returns the publication that the service currently serves. The caller holds
// the lock.
func (s *ConfigService) visible() publication {
	i := len(s.history) - 1 - s.staleBy
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
