package httpfront

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against an API key that is forwarded in a header, a trailer, the path or the
// query because the caller sent it in more than one place.
func FuzzDecodeRemovesKeys(f *testing.F) {
	f.Add("secret", "X-Copy", "Bearer secret", "/a", "q=1")
	f.Add("secret", "Cookie", "session=secret", "/a/secret", "")
	f.Add("k", "Ragwort-Key", "other", "/", "k=v")
	f.Fuzz(func(t *testing.T, key, name, value, path, query string) {
		key = strings.TrimSpace(key)
		if key == "" || strings.ContainsAny(key, "\r\n") {
			return
		}
		r := httptest.NewRequest("POST", "/", strings.NewReader("body"))
		r.URL.Path, r.URL.RawQuery = "/"+path, query
		r.Header = http.Header{"Authorization": {"Bearer " + key}, http.CanonicalHeaderKey(name): {value}}
		r.Trailer = http.Header{"X-Sum": {key}}
		req, refusal := Decode(r, time.Unix(0, 0))
		if refusal != nil {
			return
		}
		if _, sent := r.Header["Authorization"]; !sent || len(req.Credentials) == 0 {
			return
		}
		for _, credential := range req.Credentials {
			assertAbsent(t, req, credential)
		}
	})
}

func assertAbsent(t *testing.T, req *pipeline.Request, key string) {
	t.Helper()
	for name, values := range req.Header {
		if strings.Contains(strings.Join(values, " "), key) {
			t.Errorf("header %s contains the key", name)
		}
	}
	if strings.Contains(req.Path, key) || strings.Contains(req.RawQuery, key) {
		t.Errorf("the URL contains the key")
	}
	if req.Trailer == nil {
		return
	}
	for name, values := range req.Trailer() {
		if strings.Contains(strings.Join(values, " "), key) {
			t.Errorf("trailer %s contains the key", name)
		}
	}
}

// Guards against malformed timeouts and idempotency keys that are accepted.
func TestDecodeRefusesMalformedFields(t *testing.T) {
	for _, c := range []struct {
		name, value string
		code        pipeline.Code
	}{
		{HeaderTimeout, "0", pipeline.CodeBadDeadline},
		{HeaderTimeout, "-5", pipeline.CodeBadDeadline},
		{HeaderTimeout, "soon", pipeline.CodeBadDeadline},
		{HeaderTimeout, "99999999999", pipeline.CodeBadDeadline},
		{HeaderIdempotencyKey, "", pipeline.CodeBadIdempotency},
		{HeaderIdempotencyKey, strings.Repeat("k", 256), pipeline.CodeBadIdempotency},
	} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set(c.name, c.value)
		_, refusal := Decode(r, time.Unix(0, 0))
		if refusal == nil || refusal.Code != c.code || refusal.Outcome != pipeline.NotRun {
			t.Errorf("%s %q: %+v", c.name, c.value, refusal)
		}
	}
}
