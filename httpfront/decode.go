// Package httpfront is the HTTP front end for callers: it decodes requests into pipeline
// types, writes results, and provides the HTTP server.
package httpfront

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Headers that callers send and receive. docs/CALLERS.md describes them.
const (
	HeaderAPIKey         = "Ragwort-Key"
	HeaderTimeout        = "Ragwort-Timeout-Ms"
	HeaderAttempt        = "Ragwort-Attempt"
	HeaderOutcome        = "Ragwort-Outcome"
	HeaderCode           = "Ragwort-Code"
	HeaderFirstStatus    = "Ragwort-First-Status"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderPrefix is the prefix of header names that are reserved for the fleet.
const HeaderPrefix = "Ragwort-"

// maxIdempotencyKeyBytes is the maximum length of an idempotency key. It keeps ledger
// entries small.
const maxIdempotencyKeyBytes = 255

// maxCallerTimeout is the longest timeout that a caller may request.
const maxCallerTimeout = time.Hour

// bearerPrefix is the prefix of an Authorization value that contains an API key.
const bearerPrefix = "Bearer "

// hopByHopHeaders lists the headers that apply to a single connection only (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Decode converts a caller's HTTP request. It returns either a request, or a refusal if
// the HTTP request is malformed. The returned request contains the caller's API keys only
// in Credentials.
func Decode(r *http.Request, now time.Time) (*pipeline.Request, *pipeline.Result) {
	credentials, refusal := extractCredentials(r)
	if refusal != nil {
		return nil, refusal
	}
	deadline, refusal := parseDeadline(r.Header, now)
	if refusal != nil {
		return nil, refusal
	}
	idempotencyKey, refusal := parseIdempotencyKey(r.Header)
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
		attachTrailer(r, req, credentials)
	}
	req.Header = forwardableHeader(r.Header, credentials)
	return req, nil
}

// extractCredentials returns the distinct API keys that the caller sent. It refuses a
// request whose URL contains one of them.
func extractCredentials(r *http.Request) ([]string, *pipeline.Result) {
	var keys []string
	for _, value := range r.Header.Values(HeaderAPIKey) {
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

// urlContains reports whether the URL contains the key, either literally or
// percent-encoded.
func urlContains(u *url.URL, key string) bool {
	if strings.Contains(u.EscapedPath(), key) || strings.Contains(u.Path, key) || strings.Contains(u.RawQuery, key) {
		return true
	}
	unescaped, err := url.QueryUnescape(u.RawQuery)
	return err == nil && strings.Contains(unescaped, key)
}

// appendDistinct appends key unless it is empty or already present.
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

// parseDeadline returns the deadline that the caller requested, or the zero time if it
// requested none.
func parseDeadline(h http.Header, now time.Time) (time.Time, *pipeline.Result) {
	value := h.Get(HeaderTimeout)
	if value == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis <= 0 || millis > maxCallerTimeout.Milliseconds() {
		return time.Time{}, pipeline.Refuse(pipeline.CodeBadDeadline, "")
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// parseIdempotencyKey returns the idempotency key, or "" if the caller sent none.
func parseIdempotencyKey(h http.Header) (string, *pipeline.Result) {
	values := h.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyBytes {
		return "", pipeline.Refuse(pipeline.CodeBadIdempotency, "")
	}
	return values[0], nil
}

// forwardableHeader copies the headers that may be forwarded to a backend server. It
// omits hop-by-hop headers, fleet headers, credentials, and any other field that contains
// one of the caller's API keys.
func forwardableHeader(h http.Header, credentials []string) pipeline.Header {
	out := EndToEnd(h, credentials)
	for name := range out {
		if isBlockedHeader(name) {
			delete(out, name)
		}
	}
	return out
}

// EndToEnd copies the header without hop-by-hop fields, fields that the Connection header
// lists, and fields that contain one of the credentials.
func EndToEnd(h http.Header, credentials []string) pipeline.Header {
	out := make(pipeline.Header, len(h))
	listed := connectionHeaders(h)
	for name, values := range h {
		if !isHopByHop(name) && !listed[name] && !containsAny(values, credentials) {
			out[name] = values
		}
	}
	return out
}

// isBlockedHeader reports whether a header must not be forwarded to a backend server.
func isBlockedHeader(name string) bool {
	return name == "Authorization" || strings.HasPrefix(name, HeaderPrefix) || isHopByHop(name)
}

func isHopByHop(name string) bool {
	for _, header := range hopByHopHeaders {
		if name == header {
			return true
		}
	}
	return false
}

// connectionHeaders returns the header names that the Connection header lists.
func connectionHeaders(h http.Header) map[string]bool {
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

// containsAny reports whether any value contains any of the secrets.
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

// attachTrailer sets the trailer fields of req that may be forwarded. Trailer fields that
// the caller did not declare are dropped, because their names are unknown when the header
// is sent.
func attachTrailer(r *http.Request, req *pipeline.Request, credentials []string) {
	for name := range r.Trailer {
		if !isBlockedHeader(name) {
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

// selectTrailer returns the named trailer fields, without any that contain one of the
// credentials.
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
