package hop

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/httpfront"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Handler serves attempts, withdrawals and documents to other processes.
type Handler struct {
	Chain pipeline.Chain
	Load  func() pipeline.Load
	// Withdraw ensures that an attempt, which was sent the duration age ago at most,
	// never runs. It returns false if the attempt may have been sent to the backend server.
	Withdraw func(ctx context.Context, id string, age time.Duration) bool
	// Documents returns, by path, the documents that this process offers to others; nil
	// means that it has none.
	Documents map[string]func() []byte
	Log       *zap.Logger
}

// ServeHTTP acknowledges an attempt, runs the exit chain and writes the result. A
// request without headerRequest is a withdrawal or asks for a document.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerRequest) == "" {
		if document := h.Documents[r.URL.Path]; document != nil {
			serveDocument(w, document())
			return
		}
		h.serveWithdrawal(w, r)
		return
	}
	w.WriteHeader(http.StatusProcessing)
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		h.Log.Info("cannot read body of attempt", zap.String("peer", r.RemoteAddr), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	req, err := decodeRequest(r, payload, time.Now())
	if err != nil {
		h.Log.Warn("cannot decode attempt", zap.String("peer", r.RemoteAddr), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	result := h.Chain.Run(r.Context(), req)
	if result.Fault != "" {
		h.Log.Error("attempt ended by a fault", zap.String("attempt", req.ID), zap.String("fault", result.Fault))
	}
	// The complete answer is in memory, so the slot is released before delivery.
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status, Duration: time.Since(req.Received)})
	writeResult(w, req, result, h.Load())
}

// serveWithdrawal answers 200 if the attempt never runs, and 409 if it may have been
// sent to the backend server.
func (h *Handler) serveWithdrawal(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get(keyID)
	age, err := strconv.ParseInt(r.URL.Query().Get(keyAge), 10, 64)
	if r.URL.Path != withdrawPath || id == "" || err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// The stated age does not include the transit of the withdrawal.
	if h.Withdraw(r.Context(), id, time.Duration(age)*time.Millisecond+withdrawTimeout) {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// writeResult writes a result with the headerResult field.
func writeResult(w http.ResponseWriter, req *pipeline.Request, result *pipeline.Result, load pipeline.Load) {
	header := w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	header["Date"] = nil // omitted, because traffic between availability zones is billed per byte
	header.Set(headerResult, encodeResult(req, result, load))
	header.Set("Content-Length", strconv.FormatInt(max(result.ContentLength, 0), 10))
	status := result.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	if _, err := httpfront.StreamBody(w, result); err != nil {
		panic(http.ErrAbortHandler)
	}
}
