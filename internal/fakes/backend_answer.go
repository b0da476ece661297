package fakes

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

type loadAnswer struct {
	Slots  int `json:"slots"`
	Used   int `json:"used"`
	Queued int `json:"queued"`
}

func (b *Backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	work(r.Context(), b.options.ProbeTime)
	status, claimed := b.health()
	writeJSON(w, status, map[string]string{"status": claimed})
}

func (b *Backend) health() (status int, claimed string) {
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
	work(r.Context(), b.options.ProbeTime)
	writeJSON(w, http.StatusOK, b.reportedLoad())
}

func (b *Backend) reportedLoad() loadAnswer {
	used, queued := b.slots.state()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.loadAt) >= b.behavior.LoadLag {
		b.load = loadAnswer{b.options.Slots, used, queued}
		b.loadAt = now
	}
	return b.load
}

// withDeadline bounds a request by its deadline header and by its caller.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// answer writes the server, the request and its body back, so that a caller can
// tell whether it got the whole answer to its own request.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, body []byte, plan plan) {
	if plan.silent {
		b.network.stayUnanswered(r)
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if plan.fail {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "failed"})
		return
	}
	answer := fmt.Appendf(nil, "%s %s %s %s\n%s", b.options.ID, id, r.Method, r.RequestURI, body)
	extra, _ := strconv.Atoi(r.Header.Get(headerAnswerSize))
	answer = append(answer, bytes.Repeat([]byte("x"), max(extra, 0))...)
	w.Header().Set("Content-Type", "text/plain")
	if r.Header.Get(headerChunked) == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	if !plan.cut {
		_, _ = w.Write(answer)
		return
	}
	_, _ = w.Write(answer[:len(answer)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
