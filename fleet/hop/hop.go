// Package hop sends requests between processes over HTTP/1.1. A request keeps its
// method, path, host, body and end-to-end header fields. The other data that an exit
// proxy needs is encoded compactly in a single header field, because traffic between
// availability zones is billed per byte.
//
// An exit proxy acknowledges each request immediately with an interim response. An
// entry proxy that gets no acknowledgement in time withdraws the request over a new
// connection. If the exit proxy has not sent the request to its backend server yet, it
// discards the request and confirms the withdrawal.
package hop

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Header fields of requests and answers between processes.
const (
	headerRequest = "Ragwort-Hop"
	headerResult  = "Ragwort-Result"
)

// withdrawPath is the path of withdrawals. Attempts may have any path; they are
// distinguished by headerRequest, which withdrawals do not have.
const withdrawPath = "/ragwort/withdraw"

// Keys of the values in headerRequest and headerResult and in the query of a
// withdrawal. They are short to save bytes; headerRequest and headerResult use some
// letters for different values.
const (
	keyID              = "i"
	keyBackend         = "b"
	keyTimeLeft        = "d"
	keyCallerService   = "c"
	keyTeam            = "t"
	keyService         = "s"
	keyRoute           = "n"
	keyRank            = "r"
	keyMaxQueueWait    = "w"
	keyIdempotent      = "e"
	keyFingerprint     = "f"
	keyReachedBackend  = "p"
	keyIsCall          = "k"
	keyTargetLatency   = "g"
	keyCode            = "c"
	keyRetryAfter      = "a"
	keyRunning         = "r"
	keyWaiting         = "q"
	keyUrgent          = "u"
	keySlots           = "s"
	keyResultAttemptID = "i"
	keyAge             = "o" // milliseconds since an attempt was sent
	keyRateLimit       = "l" // requests per second that the backend server accepts; only while it limits them
	keyLeaving         = "x" // the backend server is leaving
	keyServiceTime     = "h" // milliseconds for which the attempt held a slot
	keyStartWait       = "p" // milliseconds until another request may start within the rate limit
)

// maxRouteBytes limits the name of the route in an attempt, which bounds the header. Routes
// whose longer names begin alike share an estimate of their service time.
const maxRouteBytes = 64

// encodeRequest returns the headerRequest value of an attempt, which expires after
// left.
func encodeRequest(req *pipeline.Request, left time.Duration) string {
	v := url.Values{}
	v.Set(keyID, req.ID)
	v.Set(keyBackend, req.Backend)
	v.Set(keyTimeLeft, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	v.Set(keyCallerService, req.CallerService)
	v.Set(keyService, req.Service)
	if req.Route != "" {
		v.Set(keyRoute, req.Route[:min(len(req.Route), maxRouteBytes)])
	}
	v.Set(keyFingerprint, strconv.FormatUint(req.Fingerprint, 36))
	if req.Principal.Team != "" {
		v.Set(keyTeam, req.Principal.Team)
	}
	if req.Class.TargetLatency > 0 {
		v.Set(keyTargetLatency, strconv.FormatInt(req.Class.TargetLatency.Milliseconds(), 10))
	}
	if req.Rank != 0 {
		v.Set(keyRank, strconv.Itoa(req.Rank))
	}
	if req.MaxQueueWait > 0 {
		v.Set(keyMaxQueueWait, strconv.FormatInt(req.MaxQueueWait.Milliseconds(), 10))
	}
	if req.Class.Idempotent {
		v.Set(keyIdempotent, "1")
	}
	if req.ReachedBackend {
		v.Set(keyReachedBackend, "1")
	}
	if req.IsCall {
		v.Set(keyIsCall, "1")
	}
	if req.BackendLimit.Limited {
		v.Set(keyRateLimit, strconv.FormatFloat(req.BackendLimit.PerSecond, 'g', rateLimitDigits, 64))
	}
	return v.Encode()
}

// decodeRequest converts an HTTP request into an attempt.
func decodeRequest(r *http.Request, payload []byte, now time.Time) (*pipeline.Request, error) {
	v, err := url.ParseQuery(r.Header.Get(headerRequest))
	if err != nil {
		return nil, err
	}
	left, err := strconv.ParseInt(v.Get(keyTimeLeft), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("time left: %w", err)
	}
	fingerprint, err := strconv.ParseUint(v.Get(keyFingerprint), 36, 64)
	if err != nil {
		return nil, fmt.Errorf("fingerprint: %w", err)
	}
	rank, err := optionalInt(v, keyRank)
	if err != nil {
		return nil, fmt.Errorf("rank: %w", err)
	}
	wait, err := optionalInt(v, keyMaxQueueWait)
	if err != nil {
		return nil, fmt.Errorf("maximum queue wait: %w", err)
	}
	target, err := optionalInt(v, keyTargetLatency)
	if err != nil {
		return nil, fmt.Errorf("target latency: %w", err)
	}
	limit, err := optionalRateLimit(v)
	if err != nil {
		return nil, err
	}
	if v.Get(keyID) == "" || v.Get(keyBackend) == "" {
		return nil, errors.New("attempt identifier or backend server is missing")
	}
	header := pipeline.Header(r.Header)
	delete(header, headerRequest)
	return &pipeline.Request{
		ID:             v.Get(keyID),
		Method:         r.Method,
		Path:           r.URL.EscapedPath(),
		RawQuery:       r.URL.RawQuery,
		Host:           r.Host,
		Header:         header,
		Payload:        payload,
		ContentLength:  int64(len(payload)),
		Received:       now,
		Deadline:       now.Add(time.Duration(left) * time.Millisecond),
		Principal:      pipeline.Principal{Team: v.Get(keyTeam)},
		Service:        v.Get(keyService),
		Route:          v.Get(keyRoute),
		Class:          pipeline.Class{Idempotent: v.Get(keyIdempotent) == "1", TargetLatency: time.Duration(target) * time.Millisecond},
		Fingerprint:    fingerprint,
		CallerService:  v.Get(keyCallerService),
		Rank:           rank,
		Backend:        v.Get(keyBackend),
		MaxQueueWait:   time.Duration(wait) * time.Millisecond,
		ReachedBackend: v.Get(keyReachedBackend) == "1",
		IsCall:         v.Get(keyIsCall) == "1",
		BackendLimit:   limit,
	}, nil
}

// encodeResult returns the headerResult value for an attempt's result and the load of
// the backend server.
func encodeResult(req *pipeline.Request, result *pipeline.Result, load pipeline.Load) string {
	v := url.Values{}
	v.Set(keyResultAttemptID, req.ID)
	if req.ServiceTime > 0 {
		v.Set(keyServiceTime, strconv.FormatInt(max(req.ServiceTime.Milliseconds(), 1), 10))
	}
	v.Set(keyCode, strconv.Itoa(int(result.Code)))
	if result.RetryAfter > 0 {
		v.Set(keyRetryAfter, strconv.FormatInt(result.RetryAfter.Milliseconds(), 10))
	}
	v.Set(keyRunning, strconv.Itoa(load.Running))
	v.Set(keyWaiting, strconv.Itoa(load.Waiting))
	v.Set(keyUrgent, strconv.Itoa(load.Urgent))
	v.Set(keySlots, strconv.Itoa(load.Slots))
	if load.Limit.Limited {
		v.Set(keyRateLimit, strconv.FormatFloat(load.Limit.PerSecond, 'g', rateLimitDigits, 64))
		v.Set(keyStartWait, strconv.FormatInt(load.StartWait.Milliseconds(), 10))
	}
	if load.Leaving {
		v.Set(keyLeaving, "1")
	}
	return v.Encode()
}

// attemptResult is a decoded headerResult value.
type attemptResult struct {
	id         string // of the attempt
	code       pipeline.Code
	retryAfter time.Duration
	load       pipeline.Load
	// serviceTime is the time for which the attempt held a slot, or 0.
	serviceTime time.Duration
}

func decodeResult(h http.Header) (attemptResult, error) {
	v, err := url.ParseQuery(h.Get(headerResult))
	if err != nil {
		return attemptResult{}, err
	}
	code, err := strconv.ParseUint(v.Get(keyCode), 10, 16)
	if err != nil {
		return attemptResult{}, fmt.Errorf("result code: %w", err)
	}
	o := attemptResult{id: v.Get(keyResultAttemptID), code: pipeline.Code(code)}
	numbers := []struct {
		key string
		to  *int
	}{{keyRunning, &o.load.Running}, {keyWaiting, &o.load.Waiting}, {keyUrgent, &o.load.Urgent}, {keySlots, &o.load.Slots}}
	for _, n := range numbers {
		if *n.to, err = strconv.Atoi(v.Get(n.key)); err != nil {
			return attemptResult{}, fmt.Errorf("load: %w", err)
		}
	}
	millis, err := optionalInt(v, keyRetryAfter)
	if err != nil {
		return attemptResult{}, fmt.Errorf("retry after: %w", err)
	}
	o.retryAfter = time.Duration(millis) * time.Millisecond
	if o.load.Limit, err = optionalRateLimit(v); err != nil {
		return attemptResult{}, err
	}
	if o.code == pipeline.CodeOK {
		o.load.Limit.Known = true // the answer of the backend server has named a limit or none
	}
	if millis, err = optionalInt(v, keyStartWait); err != nil {
		return attemptResult{}, fmt.Errorf("start wait: %w", err)
	}
	o.load.StartWait = time.Duration(millis) * time.Millisecond
	if millis, err = optionalInt(v, keyServiceTime); err != nil {
		return attemptResult{}, fmt.Errorf("service time: %w", err)
	}
	o.serviceTime = time.Duration(millis) * time.Millisecond
	o.load.Leaving = v.Get(keyLeaving) == "1"
	return o, nil
}

// optionalInt parses a number. It returns 0 if the key is missing.
func optionalInt(v url.Values, key string) (int, error) {
	if text := v.Get(key); text != "" {
		return strconv.Atoi(text)
	}
	return 0, nil
}

// rateLimitDigits is the precision of rate limits between processes.
const rateLimitDigits = 4

// optionalRateLimit returns the rate limit of a backend server, or none if it is absent.
func optionalRateLimit(v url.Values) (pipeline.RateLimit, error) {
	text := v.Get(keyRateLimit)
	if text == "" {
		return pipeline.RateLimit{}, nil
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return pipeline.RateLimit{}, fmt.Errorf("rate limit: %w", err)
	}
	return pipeline.NewRateLimit(perSecond)
}
