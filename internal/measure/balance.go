package measure

import (
	"time"
)

func init() {
	Register(Case{Name: "balance", Run: runBalance})
}

const (
	balanceLoad = 0.5
	balanceSpan = 10 * time.Second
	// slowFactor is the gray failure of the targets: 10 times slower.
	slowFactor = 10
	// farDistance is added one way to a zone that is farther away.
	farDistance = 10 * time.Millisecond
)

// runBalance measures latency with one backend server 10 times slower, before
// anything ejects it, and with one zone farther away.
func runBalance(seed uint64) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, p := range []trafficPolicy{realPolicy, roundRobin, withoutRetries} {
			rows = append(rows, balanceRows(d, p, "none", func(*trafficSim) {}, seed)...)
			rows = append(rows, balanceRows(d, p, "one exit 10x slow", slowExit, seed)...)
			rows = append(rows, balanceRows(d, p, "one zone 10 ms farther", farZone, seed)...)
		}
	}
	return rows
}

func slowExit(t *trafficSim) { t.exits[0].backend.slow = slowFactor }

func farZone(t *trafficSim) { t.far = farDistance }

// balanceRows states the worst service: latencies in mean service times, so that
// services compare.
func balanceRows(d trafficDeployment, p trafficPolicy, fault string, strike func(*trafficSim), seed uint64) []Row {
	var p50, p99, lost float64
	for _, s := range d.services {
		t := newTrafficSim(d, s, p, seed)
		t.offerAll(balanceLoad)
		t.clock.runUntil(trafficStart.Add(overloadWarmUp))
		strike(t)
		t.measure(balanceSpan)
		unit := float64(s.service) / float64(time.Millisecond)
		p50 = max(p50, percentileMillis(t.stats.latencies, 0.50)/unit)
		p99 = max(p99, percentileMillis(t.stats.latencies, 0.99)/unit)
		lost = max(lost, 1-total(t.stats.good)/total(t.stats.offered))
	}
	row := Row{Case: "balance", Deployment: d.name, Fault: fault, Policy: p.name, Unit: "mean service times", Pass: true}
	median, tail, failed := row, row, row
	median.Metric, median.Value = "p50 latency", p50
	tail.Metric, tail.Value = "p99 latency", p99
	failed.Metric, failed.Value, failed.Unit = "not answered in time", lost, "ratio"
	return []Row{median, tail, failed}
}
