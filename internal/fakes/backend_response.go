package fakes

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

type loadReport struct {
	Slots  int `json:"slots"`
	Used   int `json:"used"`
	Queued int `json:"queued"`
}

func (b *Backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	simulateWork(r.Context(), b.options.ProbeLatency)
	status, reported := b.health()
	writeJSON(w, status, map[string]string{"status": reported})
}

func (b *Backend) health() (status int, reported string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.behavior.Unhealthy:
		return http.StatusServiceUnavailable, "failing"
	case b.behavior.Draining:
		return http.StatusOK, "draining"
	case time.Since(b.started) < b.options.ColdStart:
		return http.StatusOK, "starting"
	default:
		return http.StatusOK, "ok"
	}
}

func (b *Backend) serveLoad(w http.ResponseWriter, r *http.Request) {
	simulateWork(r.Context(), b.options.ProbeLatency)
	writeJSON(w, http.StatusOK, b.reportedLoad())
}

func (b *Backend) reportedLoad() loadReport {
	used, queued := b.slots.usage()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.loadReportedAt) >= b.behavior.LoadReportInterval {
		b.load = loadReport{b.options.Slots, used, queued}
		b.loadReportedAt = now
	}
	return b.load
}

// withDeadline returns a context that ends at the deadline of the request, or when the
// client cancels it.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// respond echoes the server identifier, the request line and the body, so that a caller
// can check that it got the complete response to its own request.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, body []byte, plan requestPlan) {
	if plan.neverRespond {
		b.network.blockUntilCanceled(r)
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if plan.fail {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "failed"})
		return
	}
	response := fmt.Appendf(nil, "%s %s %s %s\n%s", b.options.ID, id, r.Method, r.RequestURI, body)
	extra, _ := strconv.Atoi(r.Header.Get(headerExtraBytes))
	response = append(response, bytes.Repeat([]byte("x"), max(extra, 0))...)
	w.Header().Set("Content-Type", "text/plain")
	if r.Header.Get(headerChunked) == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	}
	if !plan.truncate {
		_, _ = w.Write(response)
		return
	}
	_, _ = w.Write(response[:len(response)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
