package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
	"github.com/ragwortyard/ragwortyard/node"
)

// startSmallFleet starts three processes in two zones.
func startSmallFleet(t *testing.T, adjust func(*node.Settings)) *Fleet {
	t.Helper()
	spec := FleetSpec{
		AdjustSettings: adjust,
		Zones:          []string{"a", "b"},
		Services: []ServiceSpec{
			{Name: "roster", Servers: 2, ServiceTime: fakes.FixedTime(time.Millisecond), Idempotent: true, Worth: 1},
			{Name: "bookings", Servers: 1, ServiceTime: fakes.FixedTime(time.Millisecond), Worth: 5},
		},
		Teams: []config.Team{NewTeam("blue", "blue-secret", 1000, 1000)},
		Floor: 0.5,
	}
	f, err := StartFleet(context.Background(), spec, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func send(t *testing.T, method, url, key, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("X-Request-Id", "request-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(answer)
}

// Guards against requests that are lost between entry and exit, API keys that are
// forwarded to a backend server, and refusals with a wrong status or result code.
func TestRequestCrossesTwoProcesses(t *testing.T) {
	f := startSmallFleet(t, nil)
	for _, m := range f.Members {
		resp, body := send(t, "POST", m.CallersURL()+"/bookings/7", "blue-secret", "two mats")
		if resp.StatusCode != 200 || resp.Header.Get("Ragwort-Outcome") != "answered" {
			t.Fatalf("%s: status %d, headers %v, body %s", m.ID, resp.StatusCode, resp.Header, body)
		}
	}
	for _, c := range []struct {
		path, key, code string
		status          int
	}{
		{"/bookings/7", "", "2001", 401},
		{"/bookings/7", "wrong", "2002", 401},
		{"/nowhere", "blue-secret", "1003", 404},
		{"/bookings/7?k=blue-secret", "blue-secret", "1007", 400},
	} {
		resp, body := send(t, "GET", f.Members[0].CallersURL()+c.path, c.key, "")
		if resp.StatusCode != c.status || resp.Header.Get("Ragwort-Code") != c.code {
			t.Errorf("%s with key %q: status %d, code %s: %s", c.path, c.key, resp.StatusCode, resp.Header.Get("Ragwort-Code"), body)
		}
	}
	for _, m := range f.Members {
		for _, record := range m.Backend.RequestLog() {
			for name, values := range record.Header {
				if strings.Contains(strings.Join(values, " "), "blue-secret") {
					t.Errorf("%s received the key in %s", m.Backend.ID(), name)
				}
			}
		}
	}
}
