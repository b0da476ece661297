package sidecar

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Guards against attempts at a backend server that said in an answer that it is leaving,
// before the platform's list says so, and against refusing its successor.
func TestServerThatSaysItLeavesGetsNoMoreAttempts(t *testing.T) {
	var arrived atomic.Int64
	exit := exitBeside(t, func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set(platform.HeaderAttemptID, r.Header.Get(platform.HeaderAttemptID))
		w.Header().Set(platform.HeaderResponseSignature, "s")
		w.Header().Set(platform.HeaderServerLeaving, "1")
	})
	list := func(revision uint64, startUnixMS int64) {
		server := mesh.Server{ID: "i-1", Service: "roster", Host: "127.0.0.1", Addr: "127.0.0.1:4", Slots: 7, CreateRevision: revision, Revision: revision, StartUnixMS: startUnixMS}
		exit.loop.Step(time.Now(), mesh.ServerListRead{Complete: true, Put: []mesh.Server{server}})
	}
	list(1, 1)
	first := exit.run(t.Context(), attempt("1"))
	second := exit.run(t.Context(), attempt("2"))
	if first.Status != http.StatusOK || second.Code != pipeline.CodeBackendLeaving || arrived.Load() != 1 || !exit.load().Leaving {
		t.Errorf("first %+v, second %+v, %d arrived", first, second, arrived.Load())
	}
	list(2, 2)
	if third := exit.run(t.Context(), attempt("3")); third.Status != http.StatusOK {
		t.Errorf("the server that started again under its identifier: %+v", third)
	}
}
