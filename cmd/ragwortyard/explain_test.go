package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ragwortyard/ragwortyard/sidecar/explain"
)

// Guards against an unclear error for a process that is not there, is no sidecar or knows
// no route, and against a request that differs from the flags.
func TestExplainCommand(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+explain.Path, func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue(explain.ParamPath) != "/a b/" {
			http.Error(w, "no route matches", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(explain.Report{Method: r.FormValue("method"), Team: r.FormValue("team"), Bytes: 12})
	})
	server, other, gone := httptest.NewServer(mux), httptest.NewServer(http.NotFoundHandler()), httptest.NewServer(mux)
	defer server.Close()
	defer other.Close()
	gone.Close()
	command := explainCommand{Host: "a.example", Path: "/a b/", Method: "PUT", Team: "blue", Bytes: 12}
	for name, c := range map[string]struct {
		server *httptest.Server
		path   string
		json   bool
		want   string // of the output or the error
	}{
		"text":       {server, "/a b/", false, "request: PUT"},
		"JSON":       {server, "/a b/", true, `"team":"blue"`},
		"no route":   {server, "/", false, "404 Not Found: no route matches"},
		"no sidecar": {other, "/a b/", false, "404 Not Found"},
		"no process": {gone, "/a b/", false, "no process answers at"},
	} {
		command.Addr, command.Path, command.JSON = strings.TrimPrefix(c.server.URL, "http://"), c.path, c.json
		var out bytes.Buffer
		if err := command.write(&out); err != nil {
			out.WriteString(err.Error())
		}
		if !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %s", name, &out)
		}
	}
}
