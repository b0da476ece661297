package sidecar

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/internal/bootclock"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/sidecar/explain"
)

const explainedKey = "key-of-the-blue-team"

// explaining returns a process with a configuration, a free, a draining and no other
// backend server of the service roster, and its log.
func explaining(t *testing.T) (*Sidecar, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.DebugLevel)
	s := New(settings(), zap.New(core))
	services := func(name string) []routing.WeightedService {
		return []routing.WeightedService{{Service: name, Weight: 3}}
	}
	table, err := routing.NewTable(routing.Config{
		Version: 7, RequireKeys: true, Limits: routing.Limits{BodyBytes: 1000},
		Services: []routing.Service{{Name: "roster"}, {Name: "empty"}},
		Routes: []routing.Route{
			{Name: "read", Host: "a.example", Prefix: "/read/", WeightedServices: services("roster"), Idempotent: true, MaxAttempts: 3, Timeout: 2 * time.Second},
			{Name: "empty", Host: "a.example", Prefix: "/empty/", WeightedServices: services("empty"), AllowAnonymous: true},
		},
		Teams: []routing.Team{{Name: "blue", Keys: []string{explainedKey}, Rate: 10, Burst: 20}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.step(mesh.TableRead{Table: table})
	s.step(mesh.TableConfirmed{BootTime: bootclock.Now()})
	s.step(mesh.ServerListRead{Complete: true, Put: []mesh.Server{
		{ID: "i-1", Service: "roster", Zone: "a", Host: "10.0.0.2", Addr: "10.0.0.2:80", Slots: 7},
		{ID: "i-2", Service: "roster", Zone: "a", Host: "10.0.0.3", Addr: "10.0.0.3:80", Slots: 7, Draining: true},
	}})
	return s, logs
}

func (s *Sidecar) get(query url.Values) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.Path+"?"+query.Encode(), nil))
	return w
}

func query(path string, more ...string) url.Values {
	q := url.Values{explain.ParamHost: {"a.example"}, explain.ParamPath: {path}}
	for i := 0; i < len(more); i += 2 {
		q.Set(more[i], more[i+1])
	}
	return q
}

// Guards against an explanation that names another server or refusal than a request gets,
// shows a key, or has an effect.
func TestExplanationOfARequest(t *testing.T) {
	s, logs := explaining(t)
	logged, before := logs.Len(), s.loop.Stats().Events.Load()
	for name, c := range map[string]struct {
		query   url.Values
		refusal pipeline.Code // before a server is chosen
		service pipeline.Code
		chosen  string
	}{
		"chosen":           {query: query("/read/1", explain.ParamTeam, "blue"), chosen: "i-1"},
		"no key":           {query: query("/read/1"), refusal: pipeline.CodeKeyMissing},
		"body too large":   {query: query("/read/1", explain.ParamTeam, "blue", explain.ParamBytes, "1001"), refusal: pipeline.CodeBodyTooLarge},
		"no server listed": {query: query("/empty/1"), service: pipeline.CodeNoBackend},
	} {
		w := s.get(c.query)
		if strings.Contains(w.Body.String(), explainedKey) {
			t.Errorf("%s: the response holds a key", name)
		}
		var report explain.Report
		if err := json.Unmarshal(w.Body.Bytes(), &report); err != nil || w.Code != http.StatusOK {
			t.Fatalf("%s: status %d, %s, error %v", name, w.Code, w.Body, err)
		}
		if c.refusal != 0 {
			if report.Refusal == nil || report.Refusal.Code != uint16(c.refusal) || report.Services != nil {
				t.Errorf("%s: %+v", name, report)
			}
			continue
		}
		if report.Refusal != nil || len(report.Services) != 1 || report.Services[0].Share != 1 || report.ConfigVersion != 7 {
			t.Fatalf("%s: %+v", name, report)
		}
		service := report.Services[0]
		if service.Chosen != c.chosen || (c.service != 0) != (service.Refusal != nil) {
			t.Errorf("%s: %+v", name, service)
		}
		if c.chosen != "" && (len(service.Servers) != 2 || service.Servers[0].Cost <= 0 || service.Servers[1].Excluded != "draining") {
			t.Errorf("%s: %+v", name, service.Servers)
		}
	}
	if logs.Len() != logged || s.loop.Stats().Events.Load() != before {
		t.Errorf("%d log lines and %d events", logs.Len()-logged, s.loop.Stats().Events.Load()-before)
	}
}

// Guards against an unclear answer to a request that cannot be explained, and against a key
// among the parameters that is repeated.
func TestExplanationErrors(t *testing.T) {
	s, _ := explaining(t)
	for name, c := range map[string]struct {
		query  url.Values
		status int
		reason string
	}{
		"no route":          {query("/other/1"), http.StatusNotFound, `no route matches host "a.example" and path "/other/1"`},
		"unknown team":      {query("/read/1", explain.ParamTeam, explainedKey), http.StatusNotFound, "the configuration has no team of this name"},
		"unknown parameter": {query("/read/1", "key", explainedKey), http.StatusBadRequest, "the parameters are"},
		"no host":           {url.Values{explain.ParamPath: {"/read/1"}}, http.StatusBadRequest, "parameters host and path are required"},
		"size":              {query("/read/1", explain.ParamBytes, "-1"), http.StatusBadRequest, "parameter bytes must be a number"},
	} {
		w := s.get(c.query)
		if w.Code != c.status || !strings.HasPrefix(w.Body.String(), c.reason) || strings.Contains(w.Body.String(), explainedKey) {
			t.Errorf("%s: status %d, %s", name, w.Code, w.Body)
		}
	}
	if w := New(settings(), zap.NewNop()).get(query("/read/1")); w.Code != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d, %s", w.Code, w.Body)
	}
}
