// Package fakestore is a small fake of the platform's metadata store, for tests and for
// the soak.
package fakestore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a fake metadata store that serves its HTTP interface.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	compactedRevision uint64 // revision of the last compaction; older events are gone
	items             map[string]item
	events            []event
	changed           chan struct{} // closed and replaced at each change
	down              bool
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"creation_rev"`
}

type event struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// Put creates or replaces an item.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	old, ok := s.items[key]
	written := item{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
	if ok {
		written.Created = old.Created
	}
	s.items[key] = written
	s.appendEvent(event{item: written})
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.appendEvent(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) appendEvent(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown controls whether every request fails with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Compact discards the event history, so that watches from older revisions get status
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.events = nil
}

// ServeHTTP serves the HTTP interface of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, r.URL.Query().Get("key"))
	case "/api/kv-range":
		s.serveRange(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	found, ok := s.items[key]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		At uint64 `json:"at_rev"`
	}{found, at})
}

// pageSize is small so that tests have to read several pages.
const pageSize = 2

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var found []item
	for key, known := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, known)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	writeJSON(w, map[string]any{"items": found, "has_more": more, "at_rev": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, changed, ok := s.eventsSince(query.Get("prefix"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []event{}, "at_rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events after a revision, the current revision and a channel
// that is closed at the next change. It returns false if the events were compacted.
func (s *Store) eventsSince(prefix string, after uint64) ([]event, uint64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRevision {
		return nil, 0, nil, false
	}
	var events []event
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
