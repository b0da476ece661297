package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

// step handles an event and executes the commands to the queue.
func (s *Sidecar) step(ev control.Event) {
	s.loop.Step(time.Now(), ev)
	for len(s.commands.commands) > 0 {
		if cmd, ok := (<-s.commands.commands).(mesh.EvacuationsChanged); ok {
			s.commands.execute(cmd)
		}
	}
}

// Guards against an exit proxy in an evacuated zone that runs attempts of entry proxies which
// do not know of the evacuation, cuts those that run, or refuses attempts after its end.
func TestExitOfAnEvacuatedZoneRunsNoAttempt(t *testing.T) {
	arrived, release := make(chan string, 8), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platform.HeaderAttemptID)
		arrived <- id
		<-release
		w.Header().Set(platform.HeaderAttemptID, id)
		w.Header().Set(platform.HeaderResponseSignature, "s")
	}))
	t.Cleanup(backend.Close)
	settings := settings()
	settings.BackendAddr, settings.EvacuationTime = strings.TrimPrefix(backend.URL, "http://"), 5*time.Second
	exit := New(settings, zap.NewNop())
	server := mesh.Server{ID: "i-1", Service: "roster", Zone: "a", Host: settings.IP, Addr: settings.BackendAddr, Slots: 1}
	exit.step(mesh.ServerListRead{Complete: true, Put: []mesh.Server{server}})
	exit.step(mesh.EvacuationsRead{Position: mesh.StorePosition{Revision: 1}})
	go exit.queue.Run(t.Context(), exit.backend)

	results := map[string]chan *pipeline.Result{"runs": make(chan *pipeline.Result, 1), "waits": make(chan *pipeline.Result, 1)}
	send := func(id string) {
		req := attempt(id)
		req.MaxQueueWait = 5 * time.Second
		go func() { results[id] <- exit.run(t.Context(), req) }()
	}
	send("runs")
	<-arrived
	send("waits")
	for exit.queue.Load().Waiting == 0 {
		<-time.After(time.Millisecond)
	}
	began := time.Now()
	exit.step(mesh.EvacuationsRead{Position: mesh.StorePosition{Revision: 2}, Zones: []string{"a"}})
	if result := <-results["waits"]; result.Code != pipeline.CodeZoneEvacuated || result.Outcome != pipeline.NotRun || time.Since(began) > 2*time.Second {
		t.Errorf("waiting, after %v: %+v", time.Since(began), result)
	}
	if result := exit.run(t.Context(), attempt("arrives")); result.Code != pipeline.CodeZoneEvacuated {
		t.Errorf("arriving: %+v", result)
	}
	if result := (admission{exit}).Handle(t.Context(), attempt("granted")); result == nil || result.Code != pipeline.CodeZoneEvacuated {
		t.Errorf("with a slot: %+v", result)
	}
	close(release)
	if result := <-results["runs"]; result.Status != http.StatusOK {
		t.Errorf("running: %+v", result)
	}
	exit.step(mesh.EvacuationsRead{Position: mesh.StorePosition{Revision: 3}})
	if result := exit.run(t.Context(), attempt("later")); result.Status != http.StatusOK {
		t.Errorf("after the end: %+v", result)
	}
	if len(arrived) != 1 {
		t.Errorf("%d requests at the backend server beside the first", len(arrived))
	}
}

// Guards against a process without a configuration that sends the attempts of its peers to a
// cold backend server at any rate.
func TestProcessWithoutConfigurationRefusesAttemptsWhereColdServersAreLimited(t *testing.T) {
	for limited, want := range map[bool]pipeline.Code{false: pipeline.CodeOK, true: pipeline.CodeNotReady} {
		settings := settings()
		settings.ColdServersLimited = limited
		got := pipeline.CodeOK
		if result := (admission{New(settings, zap.NewNop())}).Handle(t.Context(), attempt("early")); result != nil {
			got = result.Code
		}
		if got != want {
			t.Errorf("limited %v: %v, want %v", limited, got, want)
		}
	}
}
