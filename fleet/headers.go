package fleet

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpconn"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Headers of requests and answers between processes. The front end removes headers
// with this prefix from callers' requests, so that only fleet members can set them.
const (
	headerPrefix      = "Ragwort-"
	headerHop         = "Ragwort-Hop" // protocol version
	headerProbe       = "Ragwort-Probe"
	headerAttemptID   = "Ragwort-Attempt-Id"
	headerTeam        = "Ragwort-Team"
	headerKeyID       = "Ragwort-Key-Id"
	headerRoute       = "Ragwort-Route"
	headerService     = "Ragwort-Service"
	headerClass       = "Ragwort-Class"
	headerBackend     = "Ragwort-Backend"
	headerTimeout     = "Ragwort-Timeout-Us"
	headerFingerprint = "Ragwort-Fingerprint" // hexadecimal; older builds do not send it
	headerSuspect     = "Ragwort-Suspect"     // "1": must run alone on its backend server
	headerOutcome     = "Ragwort-Outcome"
	headerCode        = "Ragwort-Code"
	headerDetail      = "Ragwort-Detail"
	headerRetryAfter  = "Ragwort-Retry-After-Ms"
	headerLoad        = "Ragwort-Load" // "<queued requests> <expected wait in microseconds>"
)

// hopVersion is the protocol version that this build sends. It accepts this version
// and the previous one.
const hopVersion = 1

// Load is the load of a backend server, which its exit proxy reports with each answer.
type Load struct {
	Queued       int           // requests that are waiting or running
	ExpectedWait time.Duration // expected wait in the queue
}

// encodeRequest sets the fleet headers of a request for a backend server.
func encodeRequest(h http.Header, req *pipeline.Request, backend string, timeout time.Duration) {
	set := func(name, value string) { h[name] = []string{value} }
	set(headerHop, strconv.Itoa(hopVersion))
	set(headerAttemptID, req.ID)
	set(headerTeam, req.Principal.Team)
	set(headerKeyID, req.Principal.KeyID)
	set(headerRoute, req.Route)
	set(headerService, req.Service)
	set(headerClass, req.Class.Name)
	set(headerBackend, backend)
	set(headerTimeout, strconv.FormatInt(timeout.Microseconds(), 10))
	set(headerFingerprint, strconv.FormatUint(req.Fingerprint, 16))
	if req.CrashSuspect {
		set(headerSuspect, "1")
	}
}

// HopRequest is a request that arrived from another process.
type HopRequest struct {
	Request *pipeline.Request
	Backend string // the backend server that the entry proxy selected
}

// decodeRequest converts an HTTP request from another process. It returns nil and a
// refusal if a required field is missing or the protocol version is not supported.
func decodeRequest(r *http.Request, now time.Time) (*HopRequest, *pipeline.Result) {
	version, err := strconv.Atoi(r.Header.Get(headerHop))
	if err != nil {
		return nil, pipeline.Refuse(pipeline.CodeBadHop, "")
	}
	if version != hopVersion && version != hopVersion-1 {
		return nil, pipeline.Refuse(pipeline.CodeBadHop, "unsupported protocol version")
	}
	timeout, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || timeout <= 0 {
		return nil, pipeline.Refuse(pipeline.CodeDeadlinePassed, "")
	}
	hop := &HopRequest{Backend: r.Header.Get(headerBackend)}
	hop.Request = &pipeline.Request{
		ID:            r.Header.Get(headerAttemptID),
		Method:        r.Method,
		Path:          r.URL.EscapedPath(),
		RawQuery:      r.URL.RawQuery,
		Host:          r.Host,
		ContentLength: r.ContentLength,
		Received:      now,
		Deadline:      now.Add(time.Duration(timeout) * time.Microsecond),
		Principal:     pipeline.Principal{Team: r.Header.Get(headerTeam), KeyID: r.Header.Get(headerKeyID)},
		Route:         r.Header.Get(headerRoute),
		Service:       r.Header.Get(headerService),
		Class:         pipeline.Class{Name: r.Header.Get(headerClass)},
		Header:        applicationHeader(r.Header),
		Fingerprint:   decodeFingerprint(r.Header.Get(headerFingerprint)),
		CrashSuspect:  r.Header.Get(headerSuspect) == "1",
	}
	if hop.Request.ID == "" || hop.Request.Service == "" || hop.Backend == "" {
		return nil, pipeline.Refuse(pipeline.CodeBadHop, "")
	}
	setRequestBody(r, hop.Request)
	return hop, nil
}

// decodeFingerprint parses a fingerprint. It returns 0, which is not tracked, if the
// value is missing or malformed, so that requests from other builds are still served.
func decodeFingerprint(value string) uint64 {
	fingerprint, err := strconv.ParseUint(value, 16, 64)
	if err != nil {
		return 0
	}
	return fingerprint
}

// setRequestBody copies the body and the declared trailer names of r to req.
func setRequestBody(r *http.Request, req *pipeline.Request) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return
	}
	req.Body = r.Body
	for name := range r.Trailer {
		req.TrailerNames = append(req.TrailerNames, name)
	}
	req.Trailer = func() pipeline.Header { return pipeline.Header(r.Trailer) }
}

// applicationHeader returns the header without the fleet's own fields.
func applicationHeader(h http.Header) pipeline.Header {
	out := make(pipeline.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	return out
}

// encodeResult sets the headers of an answer: those of the result and the fleet
// headers.
func encodeResult(h http.Header, result *pipeline.Result, attemptID string, load Load) {
	for name, values := range result.Header {
		h[name] = values
	}
	for _, name := range result.TrailerNames {
		h.Add("Trailer", name)
	}
	h.Set(headerAttemptID, attemptID)
	h.Set(headerOutcome, result.Outcome.String())
	h.Set(headerCode, strconv.Itoa(int(result.Code)))
	h.Set(headerLoad, strconv.Itoa(load.Queued)+" "+strconv.FormatInt(load.ExpectedWait.Microseconds(), 10))
	if result.Code != pipeline.CodeOK {
		h.Set(headerDetail, result.Detail)
	}
	if result.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(result.RetryAfter.Milliseconds(), 10))
	}
}

// decodeResult converts the answer of an exit proxy. It returns false if the answer is
// for another attempt or has no valid status or result code.
func decodeResult(resp *http.Response, attemptID string) (*pipeline.Result, bool) {
	if resp.Header.Get(headerAttemptID) != attemptID || !httpconn.IsFinal(resp.StatusCode) {
		return nil, false
	}
	code, err := strconv.ParseUint(resp.Header.Get(headerCode), 10, 16)
	if err != nil {
		return nil, false
	}
	result := &pipeline.Result{
		Outcome:       parseOutcome(resp.Header.Get(headerOutcome)),
		Code:          pipeline.Code(code),
		Status:        resp.StatusCode,
		Header:        applicationHeader(resp.Header),
		ContentLength: resp.ContentLength,
		Detail:        resp.Header.Get(headerDetail),
	}
	if millis, err := strconv.ParseInt(resp.Header.Get(headerRetryAfter), 10, 64); err == nil {
		result.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return result, true
}

// parseOutcome parses an outcome. An unrecognized value is treated as Unknown.
func parseOutcome(value string) pipeline.Outcome {
	switch value {
	case pipeline.Answered.String():
		return pipeline.Answered
	case pipeline.NotRun.String():
		return pipeline.NotRun
	default:
		return pipeline.Unknown
	}
}

// decodeLoad parses the headerLoad value. It returns false if the value is malformed.
func decodeLoad(value string) (Load, bool) {
	queued, wait, ok := strings.Cut(value, " ")
	if !ok {
		return Load{}, false
	}
	q, err := strconv.Atoi(queued)
	if err != nil {
		return Load{}, false
	}
	w, err := strconv.ParseInt(wait, 10, 64)
	if err != nil {
		return Load{}, false
	}
	return Load{Queued: q, ExpectedWait: time.Duration(w) * time.Microsecond}, true
}
