package measure

import (
	"time"
)

func init() {
	Register(Case{Name: "balance", Run: runBalance})
}

const (
	balanceUtilization = 0.5
	balanceMeasureTime = 10 * time.Second
	// slowFactor is the slowdown of a gray failure: the targets assume 10 times
	// slower.
	slowFactor = 10
	// farZoneDelay is added to the one-way delay to and from the distant zone.
	farZoneDelay = 10 * time.Millisecond
)

// runBalance measures latency with one backend server 10 times slower, before it is
// ejected, and with one distant zone.
func runBalance(seed uint64) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, p := range []trafficPolicy{systemPolicy, roundRobin, withoutRetries} {
			rows = append(rows, balanceRows(d, p, "none", func(*trafficSim) {}, seed)...)
			rows = append(rows, balanceRows(d, p, "one exit 10x slow", injectSlowExit, seed)...)
			rows = append(rows, balanceRows(d, p, "one zone 10 ms farther", injectFarZone, seed)...)
		}
	}
	return rows
}

func injectSlowExit(t *trafficSim) { t.exits[0].backend.slowdown = slowFactor }

func injectFarZone(t *trafficSim) { t.lastZoneDelay = farZoneDelay }

// balanceRows reports the worst value over all services. Latencies are in multiples of
// the mean service time so that services can be compared.
func balanceRows(d trafficDeployment, p trafficPolicy, fault string, inject func(*trafficSim), seed uint64) []Row {
	var p50, p99, unanswered float64
	for _, s := range d.services {
		t := newTrafficSim(d, s, p, seed)
		t.offerAll(balanceUtilization)
		t.clock.runUntil(trafficStart.Add(overloadWarmUp))
		inject(t)
		t.measure(balanceMeasureTime)
		unit := float64(s.meanServiceTime) / float64(time.Millisecond)
		p50 = max(p50, percentileMillis(t.stats.latencies, 0.50)/unit)
		p99 = max(p99, percentileMillis(t.stats.latencies, 0.99)/unit)
		unanswered = max(unanswered, 1-total(t.stats.answeredInTime)/total(t.stats.offered))
	}
	row := Row{Case: "balance", Deployment: d.name, Fault: fault, Policy: p.name, Unit: "mean service times", Pass: true}
	median, tail, failed := row, row, row
	median.Metric, median.Value = "p50 latency", p50
	tail.Metric, tail.Value = "p99 latency", p99
	failed.Metric, failed.Value, failed.Unit = "not answered in time", unanswered, "ratio"
	return []Row{median, tail, failed}
}
