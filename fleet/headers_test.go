package fleet

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against fingerprints that are lost between processes, so that the exit proxy
// cannot recognize a crashing request, and against refusing requests from older builds
// that send no fingerprint.
func TestFingerprintCrossesTheHop(t *testing.T) {
	sent := &pipeline.Request{ID: "a-1", Service: "sealing", Fingerprint: 0xfedcba9876543210, CrashSuspect: true}
	for _, c := range []struct {
		name        string
		edit        func(http.Header)
		fingerprint uint64
		suspect     bool
	}{
		{"same build", func(http.Header) {}, sent.Fingerprint, true},
		{"older build", func(h http.Header) { delete(h, headerFingerprint); delete(h, headerSuspect) }, 0, false},
		{"malformed", func(h http.Header) { h.Set(headerFingerprint, "capsule") }, 0, true},
	} {
		r := httptest.NewRequest("POST", "/capsules", nil)
		encodeRequest(r.Header, sent, "sealing-1", time.Second)
		c.edit(r.Header)
		hop, refusal := decodeRequest(r, time.Unix(0, 0))
		if refusal != nil {
			t.Errorf("%s: refused with %v", c.name, refusal.Code)
			continue
		}
		if hop.Request.Fingerprint != c.fingerprint || hop.Request.CrashSuspect != c.suspect {
			t.Errorf("%s: fingerprint %x, suspect %t", c.name, hop.Request.Fingerprint, hop.Request.CrashSuspect)
		}
	}
}

// Guards against an answer of a peer whose status makes net/http panic at the entry proxy.
func TestAnswerWithInvalidStatusIsUnreadable(t *testing.T) {
	for status, want := range map[int]bool{0: false, 99: false, 101: false, 200: true, 599: true, 600: false} {
		resp := &http.Response{StatusCode: status, Header: http.Header{}}
		encodeResult(resp.Header, &pipeline.Result{Status: status}, "a-1", Load{})
		if _, ok := decodeResult(resp, "a-1"); ok != want {
			t.Errorf("status %d: accepted %t", status, ok)
		}
	}
}
