package fleet

import (
	"net/http"
	"time"

	"github.com/ragwortyard/ragwortyard/httpfront"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// HopHandler serves requests from other processes.
type HopHandler struct {
	// Chain returns the exit chain of a local backend server, or false if there is no
	// backend server with that name.
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
		h.writeRefusal(w, refusal, r.Header.Get(headerAttemptID), Load{})
		return
	}
	chain, ok := h.Chain(hop.Backend)
	if !ok {
		h.writeRefusal(w, pipeline.Refuse(pipeline.CodeWrongExit, ""), hop.Request.ID, Load{})
		return
	}
	defer completeAfterPanic(hop.Request)
	result := chain.Run(r.Context(), hop.Request)
	load := h.Load(hop.Backend)
	if result.Code != pipeline.CodeOK {
		h.writeRefusal(w, result, hop.Request.ID, load)
		hop.Request.Complete(completion(hop.Request, result, 0))
		return
	}
	h.writeAnswer(w, hop.Request, result, load)
}

func (h *HopHandler) writeRefusal(w http.ResponseWriter, result *pipeline.Result, attemptID string, load Load) {
	encodeResult(w.Header(), result, attemptID, load)
	w.Header().Set("Content-Length", "0")
	status := result.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
}

func (h *HopHandler) writeAnswer(w http.ResponseWriter, req *pipeline.Request, result *pipeline.Result, load Load) {
	encodeResult(w.Header(), result, req.ID, load)
	w.WriteHeader(result.Status)
	n, err := httpfront.StreamBody(w, result)
	c := completion(req, result, n)
	if err != nil {
		c.Outcome = pipeline.Unknown
		c.Code = httpfront.StreamErrorCode(err)
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

// NewHopServer returns the HTTP/2 server for requests from other processes.
func NewHopServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		MaxHeaderBytes:    maxHopHeaderBytes,
		ReadHeaderTimeout: readHopHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			SendPingTimeout:      time.Second,
			PingTimeout:          time.Second,
		},
	}
}

// Limits of the traffic listener.
const (
	maxHopHeaderBytes    = 64 << 10 // up to 32 KiB from the caller, plus the fleet's own fields
	readHopHeaderTimeout = 2 * time.Second
	maxConcurrentStreams = 1000 // per peer; slots and queues reject requests long before this limit
)

// completeAfterPanic completes a request whose handler panicked, so that its slot is
// released. It panics again, which makes net/http reset the stream.
func completeAfterPanic(req *pipeline.Request) {
	if p := recover(); p != nil {
		req.Complete(pipeline.Completion{Outcome: pipeline.Unknown, Code: pipeline.CodeInternal})
		panic(p)
	}
}
