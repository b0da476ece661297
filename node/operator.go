package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ragwortyard/ragwortyard/control"
)

// operatorHandler serves the metrics, health, readiness and status endpoints.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", n.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /status", n.serveStatus)
	return mux
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Ready reports whether the process has a configuration that is confirmed to be current
// and accepts new requests.
func (n *Node) Ready() bool {
	return n.loop.Snapshot().Ready(time.Now())
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := n.loop.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

func (n *Node) registerMetrics() {
	stats := n.loop.Stats()
	gauges := map[string]func() float64{
		"ragwortyard_control_events_total":           func() float64 { return float64(stats.Events.Load()) },
		"ragwortyard_control_events_dropped_total":   func() float64 { return float64(stats.DroppedEvents.Load()) },
		"ragwortyard_control_commands_dropped_total": func() float64 { return float64(stats.DroppedCommands.Load()) },
		"ragwortyard_control_bytes_sent_total":       func() float64 { return float64(n.controlStats.SentBytes.Load()) },
		"ragwortyard_control_bytes_received_total":   func() float64 { return float64(n.controlStats.ReceivedBytes.Load()) },
		"ragwortyard_control_calls_total":            func() float64 { return float64(n.controlStats.Calls.Load()) },
		"ragwortyard_control_calls_failed_total":     func() float64 { return float64(n.controlStats.FailedCalls.Load()) },
		"ragwortyard_config_version":                 func() float64 { return float64(configVersion(n.loop.Snapshot())) },
		"ragwortyard_keys_trusted":                   func() float64 { return boolGauge(n.Ready()) },
		"ragwortyard_quarantine_suspects":            func() float64 { suspects, _ := n.fingerprintCounts(); return float64(suspects) },
		"ragwortyard_quarantine_condemned":           func() float64 { _, blocked := n.fingerprintCounts(); return float64(blocked) },
	}
	for name, value := range gauges {
		n.metrics.NewGauge(name, value)
	}
}

// fingerprintCounts returns the numbers of suspect and blocked fingerprints.
func (n *Node) fingerprintCounts() (suspects, blocked int) {
	return n.loop.Snapshot().Quarantine.Counts(time.Now())
}

func configVersion(s *control.Snapshot) uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version()
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
