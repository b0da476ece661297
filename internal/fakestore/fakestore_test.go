package fakestore

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
)

// get returns the answer to a call; the status is 0 if its connection was cut.
func get(s *Store, target string) (answer *httptest.ResponseRecorder) {
	answer = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			answer.Code = 0
		}
	}()
	s.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, target, nil))
	return answer
}

// Guards against a fake that keeps what was written after the copy, or that serves a watch
// from a revision that it no longer has.
func TestRestoreGoesBackInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.Put("a", "old")
		c := s.TakeCopy()
		s.Put("a", "new")
		s.Evacuate("zone-1")
		var cut *httptest.ResponseRecorder
		go func() { cut = get(s, "/api/kv-watch?prefix=a&after=4&wait_ms=9000") }()
		synctest.Wait()
		lost := s.Restore(c)
		synctest.Wait()
		if cut == nil || cut.Code != 0 {
			t.Errorf("a waiting watch was answered: %+v", cut)
		}
		for target, want := range map[string]int{
			"/api/kv-watch?prefix=a&after=4&wait_ms=0": http.StatusGone,
			"/api/kv-watch?prefix=a&after=2&wait_ms=0": http.StatusOK,
			"/api/kv-key?key=op/evacuate/zone-1":       http.StatusNotFound,
		} {
			if answer := get(s, target); answer.Code != want || answer.Header().Get(HeaderEra) != "2" {
				t.Errorf("%s: status %d in era %q, want %d in 2", target, answer.Code, answer.Header().Get(HeaderEra), want)
			}
		}
		s.Put("a", "newest")
		s.WriteAgain(lost)
		if value := string(s.items["a"].Value); value != "newest" || s.items[evacuationPrefix+"zone-1"].Revision != 4 {
			t.Errorf("after the writes were repeated: %q, %+v", value, s.items)
		}
	})
}
