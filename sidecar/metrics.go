package sidecar

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ragwortyard/ragwortyard/internal/bootclock"
	"github.com/ragwortyard/ragwortyard/sidecar/explain"
)

// registerMetrics registers the gauges of the process.
func (s *Sidecar) registerMetrics() {
	gauges := map[string]func() float64{
		"ragwortyard_slots_running":            func() float64 { return float64(s.queue.Load().Running) },
		"ragwortyard_slots_waiting":            func() float64 { return float64(s.queue.Load().Waiting) },
		"ragwortyard_slots_start_wait_seconds": func() float64 { return s.queue.Load().StartWait.Seconds() },
		"ragwortyard_backend_rate_limit":       func() float64 { return s.queue.Load().Limit.PerSecond },
		"ragwortyard_requests_open":            func() float64 { return float64(s.openRequests.Load()) },
		"ragwortyard_events_total":             func() float64 { return float64(s.loop.Stats().Events.Load()) },
		"ragwortyard_events_dropped_total":     func() float64 { return float64(s.loop.Stats().DroppedEvents.Load()) },
		"ragwortyard_commands_dropped_total": func() float64 {
			return float64(s.loop.Stats().DroppedCommands.Load())
		},
		"ragwortyard_config_version": func() float64 {
			if table := s.loop.Snapshot().Table; table != nil {
				return float64(table.Version())
			}
			return 0
		},
		"ragwortyard_keys_trusted_seconds": func() float64 {
			return (s.loop.Snapshot().KeyTrust.Until() - bootclock.Now()).Seconds()
		},
		"ragwortyard_store_reader": func() float64 {
			if s.loop.Snapshot().StoreReader {
				return 1
			}
			return 0
		},
		"ragwortyard_requests_ahead_total":         func() float64 { return float64(s.ahead.Stats().Started) },
		"ragwortyard_ahead_held_answers":           func() float64 { return float64(s.ahead.Stats().HeldAnswers) },
		"ragwortyard_ahead_bytes":                  func() float64 { return float64(s.ahead.Stats().Bytes) },
		"ragwortyard_ahead_connections_at_a_bound": func() float64 { return float64(s.ahead.Stats().AtBound) },
		"ragwortyard_zones_evacuated":              func() float64 { return float64(len(s.loop.Snapshot().Evacuated)) },
		"ragwortyard_store_era":                    func() float64 { return float64(s.loop.Snapshot().ListPosition.Era) },
		"ragwortyard_store_entries_held_total": func() float64 {
			return float64(s.loop.Snapshot().HeldEntries)
		},
		"ragwortyard_evacuation_refused_attempts_total": func() float64 {
			return float64(s.evacuationRefusals.Load() + s.queue.EvacuationRefusals())
		},
		"ragwortyard_cold_refused_attempts_total": func() float64 { return float64(s.queue.ColdRefusals()) },
		`ragwortyard_deadline_refused_attempts_total{when="arrival"}`: func() float64 {
			onArrival, _ := s.queue.DeadlineRefusals()
			return float64(onArrival)
		},
		`ragwortyard_deadline_refused_attempts_total{when="wait"}`: func() float64 {
			_, afterWait := s.queue.DeadlineRefusals()
			return float64(afterWait)
		},
		`ragwortyard_queue_refused_attempts_total{reason="full"}`: func() float64 {
			full, _ := s.queue.ArrivalRefusals()
			return float64(full)
		},
		`ragwortyard_queue_refused_attempts_total{reason="wait"}`: func() float64 {
			_, tooLong := s.queue.ArrivalRefusals()
			return float64(tooLong)
		},
		"ragwortyard_undecided_withdrawals_total": func() float64 { return float64(s.queue.UndecidedWithdrawals()) },
		"ragwortyard_hosts":                       func() float64 { return float64(s.loop.Snapshot().Hosts) },
	}
	for name, read := range gauges {
		s.metrics.NewGauge(name, read)
	}
}

// RegisterDroppedLogLines registers a metric for the number of log lines that were
// dropped because the log output was too slow.
func (s *Sidecar) RegisterDroppedLogLines(dropped func() uint64) {
	s.metrics.NewGauge("ragwortyard_log_lines_dropped_total", func() float64 { return float64(dropped()) })
}

// operatorHandler serves the metrics of the process and explanations of its choices.
func (s *Sidecar) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.metrics.WritePrometheus(w)
		s.loop.Snapshot().Rooms.Each(func(service, zone string, utilization float64) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf(`ragwortyard_room_utilization{service=%q,zone=%q}`, service, zone), utilization)
		})
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+explain.Path, s.serveExplain)
	return mux
}
