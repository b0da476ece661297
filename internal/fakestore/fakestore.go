// Package fakestore is a small fake of the platform's metadata store, for tests and for
// the soak.
package fakestore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a fake metadata store that serves its HTTP interface.
type Store struct {
	mu                sync.Mutex
	era               uint64 // 0 if answers name none
	revision          uint64
	compactedRevision uint64 // revision of the last compaction; older events are gone
	items             map[string]item
	events            []event
	changed           chan struct{} // closed and replaced at each change
	down              bool
	// rewritten are the keys that were written since the store came back from a copy.
	rewritten map[string]bool
}

// HeaderEra names the era of the store in all its answers.
const HeaderEra = "Store-Era"

// evacuationPrefix begins the keys of the operator's requests to evacuate a zone.
const evacuationPrefix = "op/evacuate/"

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
	return &Store{era: 1, revision: 1, items: make(map[string]item), changed: make(chan struct{}), rewritten: make(map[string]bool)}
}

// Put creates or replaces an item.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value)
}

func (s *Store) put(key, value string) {
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
	s.delete(key)
}

func (s *Store) delete(key string) {
	s.revision++
	delete(s.items, key)
	s.appendEvent(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) appendEvent(e event) {
	s.events = append(s.events, e)
	s.rewritten[e.Key] = true
	s.wakeWatches()
}

// wakeWatches makes the waiting watches look for events. The caller holds the lock.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Evacuate writes the operator's request to evacuate an availability zone.
func (s *Store) Evacuate(zone string) { s.Put(evacuationPrefix+zone, "{}") }

// EndEvacuation takes the request to evacuate an availability zone back.
func (s *Store) EndEvacuation(zone string) { s.Delete(evacuationPrefix + zone) }

// SetEra sets the era that answers name; 0 for none.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
	s.wakeWatches()
}

// Copy is the content of a store at one revision.
type Copy struct {
	revision, compactedRevision uint64
	items                       map[string]item
	events                      []event
}

// LostWrite is the newest value of a key that a store lost when it came back from a copy.
type LostWrite struct {
	Key, Value string
	Deleted    bool
}

// TakeCopy returns a copy of the store.
func (s *Store) TakeCopy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.revision, s.compactedRevision, maps.Clone(s.items), slices.Clone(s.events)}
}

// Restore makes the store come back from a copy, in the next era. Its revisions are given
// out again, and waiting watches are cut. It returns what was lost, in the order of keys.
func (s *Store) Restore(c *Copy) []LostWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []LostWrite
	for key, known := range s.items {
		if old, ok := c.items[key]; !ok || old.Revision != known.Revision {
			lost = append(lost, LostWrite{Key: key, Value: string(known.Value)})
		}
	}
	for key := range c.items {
		if _, ok := s.items[key]; !ok {
			lost = append(lost, LostWrite{Key: key, Deleted: true})
		}
	}
	slices.SortFunc(lost, func(a, b LostWrite) int { return strings.Compare(a.Key, b.Key) })
	s.era++
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.items, s.events = maps.Clone(c.items), slices.Clone(c.events)
	clear(s.rewritten)
	s.wakeWatches()
	return lost
}

// WriteAgain repeats lost writes, except of keys that were written since the store came
// back.
func (s *Store) WriteAgain(lost []LostWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range lost {
		switch {
		case s.rewritten[write.Key]:
		case write.Deleted:
			s.delete(write.Key)
		default:
			s.put(write.Key, write.Value)
		}
	}
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
	s.nameEra(w)
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

// nameEra names the era in an answer. Callers hold the lock with which they read what they
// answer.
func (s *Store) nameEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set(HeaderEra, strconv.FormatUint(s.era, 10))
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	found, ok := s.items[key]
	at := s.revision
	s.nameEra(w)
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
	s.nameEra(w)
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
	era := uint64(0)
	for first := true; ; first = false {
		found := s.eventsSince(w, query.Get("prefix"), after)
		if first {
			era = found.era
		}
		switch {
		case found.era != era:
			panic(http.ErrAbortHandler) // closes the connection
		case found.gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(found.events) > 0:
			writeJSON(w, map[string]any{"events": found.events, "at_rev": found.at})
			return
		}
		select {
		case <-found.changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []event{}, "at_rev": found.at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// watchedChanges is what a watch finds at one moment.
type watchedChanges struct {
	events  []event
	gone    bool // the store does not have the history since the revision of the watch
	at, era uint64
	changed chan struct{} // closed at the next change
}

// eventsSince returns the events after a revision and names the era in the answer.
func (s *Store) eventsSince(w http.ResponseWriter, prefix string, after uint64) watchedChanges {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	found := watchedChanges{at: s.revision, era: s.era, changed: s.changed, gone: after < s.compactedRevision || after > s.revision}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			found.events = append(found.events, e)
		}
	}
	return found
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
