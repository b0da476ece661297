// Package hop carries requests between processes over HTTP/1.1. A request keeps
// its method, path, host, body and end-to-end header fields; what an exit needs
// besides stands in one field in compact form, since bytes between availability
// zones are priced.
//
// An exit acknowledges each request at once with an interim answer. An entry that
// gets none in time withdraws the request over a new connection: an exit that has
// not sent it to its backend server then never will, and says so.
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

// Header fields between processes.
const (
	fieldRequest = "Ragwort-Hop"
	fieldResult  = "Ragwort-Result"
)

// withdrawPath is the path of withdrawals. Requests of callers carry fieldRequest
// and are told apart by it.
const withdrawPath = "/ragwort/withdraw"

// keys of the compact form.
const (
	keyID       = "i"
	keyBackend  = "b"
	keyLeft     = "d"
	keyCaller   = "c"
	keyTeam     = "t"
	keyService  = "s"
	keyRank     = "r"
	keyWait     = "w"
	keyRepeat   = "e"
	keyPrint    = "f"
	keyRepeated = "p"
	keyTarget   = "g"
	keyCode     = "c"
	keyRetry    = "a"
	keyRunning  = "r"
	keyWaiting  = "q"
	keyUrgent   = "u"
	keySlots    = "s"
	keyAnswerID = "i"
	keyAge      = "o" // milliseconds since an attempt was sent
)

// encodeRequest writes what the exit needs to know of an attempt.
func encodeRequest(req *pipeline.Request, left time.Duration) string {
	v := url.Values{}
	v.Set(keyID, req.ID)
	v.Set(keyBackend, req.Backend)
	v.Set(keyLeft, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	v.Set(keyCaller, req.CallerService)
	v.Set(keyService, req.Service)
	v.Set(keyPrint, strconv.FormatUint(req.Fingerprint, 36))
	if req.Principal.Team != "" {
		v.Set(keyTeam, req.Principal.Team)
	}
	if req.Class.TargetLatency > 0 {
		v.Set(keyTarget, strconv.FormatInt(req.Class.TargetLatency.Milliseconds(), 10))
	}
	if req.Rank != 0 {
		v.Set(keyRank, strconv.Itoa(req.Rank))
	}
	if req.MaxQueueWait > 0 {
		v.Set(keyWait, strconv.FormatInt(req.MaxQueueWait.Milliseconds(), 10))
	}
	if req.Class.Idempotent {
		v.Set(keyRepeat, "1")
	}
	if req.ReachedBackend {
		v.Set(keyRepeated, "1")
	}
	return v.Encode()
}

// decodeRequest reads an attempt.
func decodeRequest(r *http.Request, payload []byte, now time.Time) (*pipeline.Request, error) {
	v, err := url.ParseQuery(r.Header.Get(fieldRequest))
	if err != nil {
		return nil, err
	}
	left, err := strconv.ParseInt(v.Get(keyLeft), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("time left: %w", err)
	}
	print, err := strconv.ParseUint(v.Get(keyPrint), 36, 64)
	if err != nil {
		return nil, fmt.Errorf("fingerprint: %w", err)
	}
	rank, err := optionalInt(v, keyRank)
	if err != nil {
		return nil, fmt.Errorf("rank: %w", err)
	}
	wait, err := optionalInt(v, keyWait)
	if err != nil {
		return nil, fmt.Errorf("wait: %w", err)
	}
	target, err := optionalInt(v, keyTarget)
	if err != nil {
		return nil, fmt.Errorf("target latency: %w", err)
	}
	if v.Get(keyID) == "" || v.Get(keyBackend) == "" {
		return nil, errors.New("the attempt or its backend server is not named")
	}
	header := pipeline.Header(r.Header)
	delete(header, fieldRequest)
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
		Class:          pipeline.Class{Idempotent: v.Get(keyRepeat) == "1", TargetLatency: time.Duration(target) * time.Millisecond},
		Fingerprint:    print,
		CallerService:  v.Get(keyCaller),
		Rank:           rank,
		Backend:        v.Get(keyBackend),
		MaxQueueWait:   time.Duration(wait) * time.Millisecond,
		ReachedBackend: v.Get(keyRepeated) == "1",
	}, nil
}

// encodeResult writes how an exit ended an attempt.
func encodeResult(id string, result *pipeline.Result, load pipeline.Load) string {
	v := url.Values{}
	v.Set(keyAnswerID, id)
	v.Set(keyCode, strconv.Itoa(int(result.Code)))
	if result.RetryAfter > 0 {
		v.Set(keyRetry, strconv.FormatInt(result.RetryAfter.Milliseconds(), 10))
	}
	v.Set(keyRunning, strconv.Itoa(load.Running))
	v.Set(keyWaiting, strconv.Itoa(load.Waiting))
	v.Set(keyUrgent, strconv.Itoa(load.Urgent))
	v.Set(keySlots, strconv.Itoa(load.Slots))
	return v.Encode()
}

// outcome is the decoded field of an answer.
type outcome struct {
	id         string
	code       pipeline.Code
	retryAfter time.Duration
	load       pipeline.Load
}

func decodeResult(h http.Header) (outcome, error) {
	v, err := url.ParseQuery(h.Get(fieldResult))
	if err != nil {
		return outcome{}, err
	}
	code, err := strconv.ParseUint(v.Get(keyCode), 10, 16)
	if err != nil {
		return outcome{}, fmt.Errorf("result code: %w", err)
	}
	o := outcome{id: v.Get(keyAnswerID), code: pipeline.Code(code)}
	numbers := []struct {
		key string
		to  *int
	}{{keyRunning, &o.load.Running}, {keyWaiting, &o.load.Waiting}, {keyUrgent, &o.load.Urgent}, {keySlots, &o.load.Slots}}
	for _, n := range numbers {
		if *n.to, err = strconv.Atoi(v.Get(n.key)); err != nil {
			return outcome{}, fmt.Errorf("load: %w", err)
		}
	}
	millis, err := optionalInt(v, keyRetry)
	if err != nil {
		return outcome{}, fmt.Errorf("retry after: %w", err)
	}
	o.retryAfter = time.Duration(millis) * time.Millisecond
	return o, nil
}

// optionalInt reads a number that is 0 when left out.
func optionalInt(v url.Values, key string) (int, error) {
	if text := v.Get(key); text != "" {
		return strconv.Atoi(text)
	}
	return 0, nil
}
