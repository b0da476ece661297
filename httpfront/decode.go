// Package httpfront converts between net/http and the pipeline types for
// callers: it decodes requests, writes results, and runs the callers' server.
package httpfront

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Headers of the callers' interface. docs/CALLERS.md describes them.
const (
	HeaderKey         = "Ragwort-Key"
	HeaderTimeout     = "Ragwort-Timeout-Ms"
	HeaderAttempt     = "Ragwort-Attempt"
	HeaderOutcome     = "Ragwort-Outcome"
	HeaderCode        = "Ragwort-Code"
	HeaderFirstStatus = "Ragwort-First-Status"
	HeaderIdempotency = "Idempotency-Key"
)

// HeaderPrefix starts every header name that is reserved for the fleet.
const HeaderPrefix = "Ragwort-"

// maxIdempotencyKey bounds the length in bytes of an idempotency key, so that a
// ledger entry stays small.
const maxIdempotencyKey = 255

// maxTimeout bounds the deadline that a caller may ask for.
const maxTimeout = time.Hour

// bearerPrefix starts an Authorization value that carries a key.
const bearerPrefix = "Bearer "

// hopByHop lists the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Decode converts a caller's HTTP request. It returns either a request or the
// refusal for what is malformed. The returned request holds no key outside of
// Credentials.
func Decode(r *http.Request, now time.Time) (*pipeline.Request, *pipeline.Result) {
	credentials, refusal := takeCredentials(r)
	if refusal != nil {
		return nil, refusal
	}
	deadline, refusal := takeDeadline(r.Header, now)
	if refusal != nil {
		return nil, refusal
	}
	idempotencyKey, refusal := takeIdempotencyKey(r.Header)
	if refusal != nil {
		return nil, refusal
	}
	req := &pipeline.Request{
		Method:         r.Method,
		Path:           r.URL.EscapedPath(),
		RawQuery:       r.URL.RawQuery,
		Host:           r.Host,
		ContentLength:  r.ContentLength,
		Received:       now,
		Deadline:       deadline,
		Credentials:    credentials,
		IdempotencyKey: idempotencyKey,
		FirstSend:      r.Header.Get(HeaderAttempt) == "1",
	}
	if r.Body != nil && r.Body != http.NoBody {
		req.Body = r.Body
		takeTrailer(r, req, credentials)
	}
	req.Header = forwardable(r.Header, credentials)
	return req, nil
}

// takeCredentials collects the distinct keys that the caller shows and refuses
// a request whose URL contains one of them.
func takeCredentials(r *http.Request) ([]string, *pipeline.Result) {
	var keys []string
	for _, value := range r.Header.Values(HeaderKey) {
		keys = appendDistinct(keys, strings.TrimSpace(value))
	}
	for _, value := range r.Header.Values("Authorization") {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			keys = appendDistinct(keys, strings.TrimSpace(value[len(bearerPrefix):]))
		}
	}
	for _, key := range keys {
		if urlContains(r.URL, key) {
			return nil, pipeline.Refuse(pipeline.CodeKeyInURL, "")
		}
	}
	return keys, nil
}

// urlContains looks for the key as written and behind percent escapes.
func urlContains(u *url.URL, key string) bool {
	if strings.Contains(u.EscapedPath(), key) || strings.Contains(u.Path, key) || strings.Contains(u.RawQuery, key) {
		return true
	}
	plain, err := url.QueryUnescape(u.RawQuery)
	return err == nil && strings.Contains(plain, key)
}

func appendDistinct(keys []string, key string) []string {
	if key == "" {
		return keys
	}
	for _, k := range keys {
		if k == key {
			return keys
		}
	}
	return append(keys, key)
}

func takeDeadline(h http.Header, now time.Time) (time.Time, *pipeline.Result) {
	value := h.Get(HeaderTimeout)
	if value == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return time.Time{}, pipeline.Refuse(pipeline.CodeBadDeadline, "")
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

func takeIdempotencyKey(h http.Header) (string, *pipeline.Result) {
	values := h.Values(HeaderIdempotency)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKey {
		return "", pipeline.Refuse(pipeline.CodeBadIdempotency, "")
	}
	return values[0], nil
}

// forwardable copies the headers that may reach a backend server: without
// hop-by-hop fields, without fleet headers, without credentials, and without
// any field in which the caller repeats its key.
func forwardable(h http.Header, credentials []string) pipeline.Header {
	out := EndToEnd(h, credentials)
	for name := range out {
		if blockedName(name) {
			delete(out, name)
		}
	}
	return out
}

// EndToEnd copies the header fields that concern more than one connection,
// without any field that repeats one of the credentials.
func EndToEnd(h http.Header, credentials []string) pipeline.Header {
	out := make(pipeline.Header, len(h))
	named := connectionNames(h)
	for name, values := range h {
		if !isHopByHop(name) && !named[name] && !containsAny(values, credentials) {
			out[name] = values
		}
	}
	return out
}

func blockedName(name string) bool {
	return name == "Authorization" || strings.HasPrefix(name, HeaderPrefix) || isHopByHop(name)
}

func isHopByHop(name string) bool {
	for _, hop := range hopByHop {
		if name == hop {
			return true
		}
	}
	return false
}

// connectionNames returns the header names that the Connection field lists.
func connectionNames(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func containsAny(values, secrets []string) bool {
	for _, value := range values {
		for _, secret := range secrets {
			if strings.Contains(value, secret) {
				return true
			}
		}
	}
	return false
}

// takeTrailer declares the trailer fields that may be passed on. Undeclared
// fields are dropped, as their names are unknown when the header is sent.
func takeTrailer(r *http.Request, req *pipeline.Request, credentials []string) {
	for name := range r.Trailer {
		if !blockedName(name) {
			req.TrailerNames = append(req.TrailerNames, name)
		}
	}
	if len(req.TrailerNames) == 0 {
		return
	}
	req.Trailer = func() pipeline.Header {
		return selectTrailer(r.Trailer, req.TrailerNames, credentials)
	}
}

func selectTrailer(trailer http.Header, names, credentials []string) pipeline.Header {
	out := make(pipeline.Header, len(names))
	for _, name := range names {
		values := trailer[name]
		if len(values) > 0 && !containsAny(values, credentials) {
			out[name] = values
		}
	}
	return out
}
