package fleet

import (
	"net/http"
	"time"

	"github.com/ragwortyard/ragwortyard/httpfront"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// HopHandler serves the requests of other processes.
type HopHandler struct {
	// Chain returns the exit chain for a local backend server; false when there
	// is none of that name.
	Chain func(backend string) (pipeline.Chain, bool)
	// Load returns the load of a local backend server.
	Load func(backend string) Load
}

// ServeHTTP decodes the request, runs the exit chain and writes the result.
func (h *HopHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerProbe) != "" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	hop, refusal := decodeRequest(r, time.Now())
	if refusal != nil {
		h.refuse(w, refusal, r.Header.Get(headerAttemptID), Load{})
		return
	}
	chain, ok := h.Chain(hop.Backend)
	if !ok {
		h.refuse(w, pipeline.Refuse(pipeline.CodeWrongExit, ""), hop.Request.ID, Load{})
		return
	}
	defer completeAfterPanic(hop.Request)
	result := chain.Run(r.Context(), hop.Request)
	load := h.Load(hop.Backend)
	if result.Code != pipeline.CodeOK {
		h.refuse(w, result, hop.Request.ID, load)
		hop.Request.Complete(completion(hop.Request, result, 0))
		return
	}
	h.answer(w, hop.Request, result, load)
}

func (h *HopHandler) refuse(w http.ResponseWriter, result *pipeline.Result, attemptID string, load Load) {
	encodeResult(w.Header(), result, attemptID, load)
	w.Header().Set("Content-Length", "0")
	status := result.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
}

func (h *HopHandler) answer(w http.ResponseWriter, req *pipeline.Request, result *pipeline.Result, load Load) {
	encodeResult(w.Header(), result, req.ID, load)
	w.WriteHeader(result.Status)
	n, err := httpfront.Stream(w, result)
	c := completion(req, result, n)
	if err != nil {
		c.Outcome = pipeline.Unknown
		c.Code = httpfront.CutCode(err)
		req.Complete(c)
		panic(http.ErrAbortHandler)
	}
	httpfront.CopyTrailer(w.Header(), result)
	req.Complete(c)
}

func completion(req *pipeline.Request, result *pipeline.Result, n int64) pipeline.Completion {
	return pipeline.Completion{
		Outcome:  result.Outcome,
		Code:     result.Code,
		Status:   result.Status,
		Duration: time.Since(req.Received),
		Bytes:    n,
	}
}

// NewHopServer returns the HTTP/2 server for requests of other processes.
func NewHopServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		MaxHeaderBytes:    maxHopHeader,
		ReadHeaderTimeout: hopHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      time.Second,
			PingTimeout:          time.Second,
		},
	}
}

// Limits of the traffic listener.
const (
	maxHopHeader     = 64 << 10 // the callers' 32 KiB and the fleet's own fields
	hopHeaderTimeout = 2 * time.Second
	maxStreams       = 1000 // open requests of one peer; slots and queues refuse far below
)

// completeAfterPanic ends a request whose handling panicked, so that its slot is
// given back. The panic goes on: net/http resets the stream.
func completeAfterPanic(req *pipeline.Request) {
	if p := recover(); p != nil {
		req.Complete(pipeline.Completion{Outcome: pipeline.Unknown, Code: pipeline.CodeInternal})
		panic(p)
	}
}
