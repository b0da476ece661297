package fleet

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against a crashing request that its exit cannot recognize, and against
// peers of a build without fingerprints whose requests are refused.
func TestFingerprintCrossesTheHop(t *testing.T) {
	sent := &pipeline.Request{ID: "a-1", Service: "sealing", Fingerprint: 0xfedcba9876543210, CrashSuspect: true}
	for _, c := range []struct {
		name    string
		edit    func(http.Header)
		print   uint64
		suspect bool
	}{
		{"same build", func(http.Header) {}, sent.Fingerprint, true},
		{"older build", func(h http.Header) { delete(h, headerPrint); delete(h, headerSuspect) }, 0, false},
		{"malformed", func(h http.Header) { h.Set(headerPrint, "capsule") }, 0, true},
	} {
		r := httptest.NewRequest("POST", "/capsules", nil)
		encodeRequest(r.Header, sent, "sealing-1", time.Second)
		c.edit(r.Header)
		hop, refusal := decodeRequest(r, time.Unix(0, 0))
		if refusal != nil {
			t.Errorf("%s: refused with %v", c.name, refusal.Code)
			continue
		}
		if hop.Request.Fingerprint != c.print || hop.Request.CrashSuspect != c.suspect {
			t.Errorf("%s: fingerprint %x, suspect %t", c.name, hop.Request.Fingerprint, hop.Request.CrashSuspect)
		}
	}
}
