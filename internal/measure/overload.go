package measure

import (
	"fmt"
	"math"
	"time"
)

func init() {
	Register(Case{Name: "overload", Run: runOverload})
	Register(Case{Name: "noisy-team", Run: runNoisyTeam})
	Register(Case{Name: "sister-firm", Run: runColocatedLoad})
}

const (
	overloadWarmUp      = 2 * time.Second
	overloadMeasureTime = 5 * time.Second
	// normalUtilization is the share of the capacity that demand within the rates
	// uses.
	normalUtilization = 0.7
	// noisyFactor and noisyTeam: the largest team sends 5 times its rate.
	noisyFactor = 5
	noisyTeam   = 0
)

var overloadFactors = []float64{1, 2, 3}

// overloadPolicies are the system's policy, simple baselines and rejected designs.
var overloadPolicies = []trafficPolicy{systemPolicy, fifoBounded, fifoUnbounded, fixedSlots, roundRobin, serialQueueBackoff}

// withTarget returns the row with its target for the system's policy, and without one
// for baselines.
func withTarget(r Row, target string, pass bool) Row {
	r.Pass = true
	if r.Policy == systemPolicy.name && target != "" {
		r.Target, r.Pass = target, pass
	}
	return r
}

// runOverload measures goodput and the worst-served team at 1, 2 and 3 times the
// capacity. Services are measured separately; rows report the worst value.
func runOverload(seed uint64) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, p := range overloadPolicies {
			rows = append(rows, overloadRows(d, p, seed)...)
		}
	}
	return rows
}

func overloadRows(d trafficDeployment, p trafficPolicy, seed uint64) []Row {
	goodput := make([]float64, len(overloadFactors)) // lowest goodput over capacity of any service
	worst := make([]float64, len(overloadFactors))   // lowest share of its fair share that any team gets
	goodputOverPeak := math.Inf(1)                   // lowest ratio of the goodput at 3x to the peak
	for i := range overloadFactors {
		goodput[i], worst[i] = math.Inf(1), math.Inf(1)
	}
	for _, s := range d.services {
		peak, last := 0.0, 0.0
		for i, factor := range overloadFactors {
			part, share := overloadRun(d, s, p, factor, seed)
			goodput[i] = min(goodput[i], part)
			worst[i] = min(worst[i], share)
			peak, last = max(peak, part), part
		}
		goodputOverPeak = min(goodputOverPeak, last/peak)
	}
	row := Row{Case: "overload", Deployment: d.name, Fault: "3x overload", Policy: p.name, Metric: "goodput over peak", Value: goodputOverPeak, Unit: "ratio"}
	rows := []Row{withTarget(row, ">= 0.95", goodputOverPeak >= 0.95)}
	for i, factor := range overloadFactors {
		row.Fault = fmt.Sprintf("%.0fx overload", factor)
		row.Metric, row.Value = "goodput over capacity", goodput[i]
		rows = append(rows, withTarget(row, "", true))
		row.Metric, row.Value = "worst team over fair share", worst[i]
		target := ">= 0.95"
		if factor <= 1 {
			target = ""
		}
		rows = append(rows, withTarget(row, target, worst[i] >= 0.95))
	}
	return rows
}

// overloadRun returns the goodput over capacity and the worst-served team's answers
// over its fair share.
func overloadRun(d trafficDeployment, s trafficService, p trafficPolicy, factor float64, seed uint64) (float64, float64) {
	t := newTrafficSim(d, s, p, seed)
	t.offerAll(factor)
	t.clock.runUntil(trafficStart.Add(overloadWarmUp))
	t.measure(overloadMeasureTime)
	possible := s.capacity() * overloadMeasureTime.Seconds()
	return total(t.stats.answeredInTime) / possible, t.stats.worstTeamShare(possible)
}

// runNoisyTeam measures the other teams while the largest team sends 5 times its rate
// and no quota limits it, and the requests lost without any fault.
func runNoisyTeam(seed uint64) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, p := range overloadPolicies {
			row := Row{Case: "noisy-team", Deployment: d.name, Fault: "one team sends 5x", Policy: p.name, Metric: "worst other team over demand", Unit: "ratio"}
			row.Value = minOverServices(d, func(s trafficService) float64 { return noisyRun(d, s, p, seed) })
			rows = append(rows, withTarget(row, ">= 0.99", row.Value >= 0.99))
			row.Fault, row.Metric = "none", "lost within the rate"
			row.Value = 1 - minOverServices(d, func(s trafficService) float64 { return normalLoadRun(d, s, p, seed) })
			rows = append(rows, withTarget(row, "<= 0.0001", row.Value <= 0.0001))
		}
	}
	return rows
}

func minOverServices(d trafficDeployment, measure func(trafficService) float64) float64 {
	least := math.Inf(1)
	for _, s := range d.services {
		least = min(least, measure(s))
	}
	return least
}

func noisyRun(d trafficDeployment, s trafficService, p trafficPolicy, seed uint64) float64 {
	t := newTrafficSim(d, s, p, seed)
	t.offerAll(normalUtilization)
	t.offer(noisyTeam, (noisyFactor-1)*normalUtilization*teamDemandShares[noisyTeam]*s.capacity())
	t.clock.runUntil(trafficStart.Add(overloadWarmUp))
	t.measure(overloadMeasureTime)
	worst := math.Inf(1)
	for team, n := range t.stats.offered {
		if team != noisyTeam {
			worst = min(worst, float64(t.stats.answeredInTime[team])/float64(n))
		}
	}
	return worst
}

func normalLoadRun(d trafficDeployment, s trafficService, p trafficPolicy, seed uint64) float64 {
	t := newTrafficSim(d, s, p, seed)
	t.offerAll(normalUtilization)
	t.clock.runUntil(trafficStart.Add(overloadWarmUp))
	t.measure(4 * overloadMeasureTime)
	return total(t.stats.answeredInTime) / total(t.stats.offered)
}

const (
	colocatedLoadTime = 10 * time.Second
)

// colocatedLoads are the shares of the slots that the colocated load needs. Together
// with normalUtilization, the first fits the slots and the second exceeds them.
var colocatedLoads = []float64{0.2, 0.6}

// runColocatedLoad measures a sudden load of another company that uses the same
// backend servers. The load bypasses the exits and ends after 10 s.
func runColocatedLoad(seed uint64) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, p := range []trafficPolicy{systemPolicy, fixedSlots, fifoBounded, roundRobin} {
			for _, load := range colocatedLoads {
				rows = append(rows, colocatedLoadRows(d, p, load, seed)...)
			}
		}
	}
	return rows
}

func colocatedLoadRows(d trafficDeployment, p trafficPolicy, load float64, seed uint64) []Row {
	answeredDuring, worst, answeredAfter, p99 := math.Inf(1), math.Inf(1), math.Inf(1), 0.0
	for _, s := range d.services {
		t := newTrafficSim(d, s, p, seed)
		t.offerAll(normalUtilization)
		t.clock.runUntil(trafficStart.Add(overloadWarmUp))
		stop := t.startColocatedLoad(load)
		t.measure(colocatedLoadTime)
		answeredDuring = min(answeredDuring, total(t.stats.answeredInTime)/total(t.stats.offered))
		worst = min(worst, t.stats.worstTeamShare(total(t.stats.answeredInTime)))
		p99 = max(p99, percentileMillis(t.stats.latencies, 0.99)/(float64(s.meanServiceTime)/float64(time.Millisecond)))
		*stop = true
		t.clock.runUntil(t.clock.now.Add(overloadMeasureTime))
		t.stats.reset()
		t.measure(overloadMeasureTime)
		answeredAfter = min(answeredAfter, total(t.stats.answeredInTime)/total(t.stats.offered))
	}
	fault := fmt.Sprintf("sister firm asks for %.0f%% of the slots", load*100)
	row := Row{Case: "sister-firm", Deployment: d.name, Fault: fault, Policy: p.name, Unit: "ratio", Pass: true}
	answered, fair, tail, recovered := row, row, row, row
	answered.Metric, answered.Value = "answered in time", answeredDuring
	fair.Metric, fair.Value = "worst team over fair share of the answered", worst
	fair = withTarget(fair, ">= 0.95", worst >= 0.95)
	tail.Metric, tail.Value, tail.Unit = "p99 latency", p99, "mean service times"
	recovered.Metric, recovered.Value = "answered in time, 5 s after it left", answeredAfter
	return []Row{answered, fair, tail, recovered}
}

// startColocatedLoad sends requests directly to all backend servers, bypassing the
// exits, until the returned flag is set.
func (t *trafficSim) startColocatedLoad(load float64) *bool {
	stop := false
	rate := load * slotsPerBackend / t.service.meanServiceTime.Seconds()
	for _, x := range t.exits {
		var arrive func()
		arrive = func() {
			if stop {
				return
			}
			x.backend.run(func(bool) {})
			t.clock.after(exponential(t.rng, rate), arrive)
		}
		t.clock.after(exponential(t.rng, rate), arrive)
	}
	return &stop
}
