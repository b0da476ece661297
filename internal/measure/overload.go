package measure

import (
	"fmt"
	"math"
	"time"
)

func init() {
	Register(Case{Name: "overload", Run: runOverload})
	Register(Case{Name: "noisy-team", Run: runNoisyTeam})
	Register(Case{Name: "sister-firm", Run: runSisterFirm})
}

const (
	overloadWarmUp = 2 * time.Second
	overloadSpan   = 5 * time.Second
	// usualLoad is the part of the capacity that in-rate demand uses.
	usualLoad = 0.7
	// noisyFactor and noisyTeam: the largest team sends 5 times its rate.
	noisyFactor = 5
	noisyTeam   = 0
)

var overloadFactors = []float64{1, 2, 3}

// overloadPolicies are the real decisions and the plain or rejected ways.
var overloadPolicies = []trafficPolicy{realPolicy, fifoBounded, fifoUnbounded, fixedSlots, roundRobin, serialDelayed}

// judged returns a row of the real policy with its target, or a baseline's row.
func judged(r Row, target string, pass bool) Row {
	r.Pass = true
	if r.Policy == realPolicy.name && target != "" {
		r.Target, r.Pass = target, pass
	}
	return r
}

// runOverload measures goodput and the worst-served team at 1, 2 and 3 times the
// capacity. Services are measured one by one; rows state the worst.
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
	goodput := make([]float64, len(overloadFactors)) // least part of the capacity of any service
	worst := make([]float64, len(overloadFactors))   // least part of a fair share of any team
	kept := math.Inf(1)                              // least goodput at 3x over the peak
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
		kept = min(kept, last/peak)
	}
	row := Row{Case: "overload", Deployment: d.name, Fault: "3x overload", Policy: p.name, Metric: "goodput over peak", Value: kept, Unit: "ratio"}
	rows := []Row{judged(row, ">= 0.95", kept >= 0.95)}
	for i, factor := range overloadFactors {
		row.Fault = fmt.Sprintf("%.0fx overload", factor)
		row.Metric, row.Value = "goodput over capacity", goodput[i]
		rows = append(rows, judged(row, "", true))
		row.Metric, row.Value = "worst team over fair share", worst[i]
		target := ">= 0.95"
		if factor <= 1 {
			target = ""
		}
		rows = append(rows, judged(row, target, worst[i] >= 0.95))
	}
	return rows
}

// overloadRun returns the goodput as a part of the capacity and the least part
// of its fair share that a team received.
func overloadRun(d trafficDeployment, s trafficService, p trafficPolicy, factor float64, seed uint64) (float64, float64) {
	t := newTrafficSim(d, s, p, seed)
	t.offerAll(factor)
	t.clock.runUntil(trafficStart.Add(overloadWarmUp))
	t.measure(overloadSpan)
	possible := s.capacity() * overloadSpan.Seconds()
	return total(t.stats.good) / possible, t.stats.worstTeam(possible)
}

// runNoisyTeam measures the other teams while the largest sends 5 times its rate,
// before any quota takes the excess away, and requests lost without any fault.
func runNoisyTeam(seed uint64) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, p := range overloadPolicies {
			row := Row{Case: "noisy-team", Deployment: d.name, Fault: "one team sends 5x", Policy: p.name, Metric: "worst other team over demand", Unit: "ratio"}
			row.Value = leastOf(d, func(s trafficService) float64 { return noisyRun(d, s, p, seed) })
			rows = append(rows, judged(row, ">= 0.99", row.Value >= 0.99))
			row.Fault, row.Metric = "none", "lost within the rate"
			row.Value = 1 - leastOf(d, func(s trafficService) float64 { return usualRun(d, s, p, seed) })
			rows = append(rows, judged(row, "<= 0.0001", row.Value <= 0.0001))
		}
	}
	return rows
}

func leastOf(d trafficDeployment, measure func(trafficService) float64) float64 {
	least := math.Inf(1)
	for _, s := range d.services {
		least = min(least, measure(s))
	}
	return least
}

func noisyRun(d trafficDeployment, s trafficService, p trafficPolicy, seed uint64) float64 {
	t := newTrafficSim(d, s, p, seed)
	t.offerAll(usualLoad)
	t.offer(noisyTeam, (noisyFactor-1)*usualLoad*trafficShares[noisyTeam]*s.capacity())
	t.clock.runUntil(trafficStart.Add(overloadWarmUp))
	t.measure(overloadSpan)
	worst := math.Inf(1)
	for team, n := range t.stats.offered {
		if team != noisyTeam {
			worst = min(worst, float64(t.stats.good[team])/float64(n))
		}
	}
	return worst
}

func usualRun(d trafficDeployment, s trafficService, p trafficPolicy, seed uint64) float64 {
	t := newTrafficSim(d, s, p, seed)
	t.offerAll(usualLoad)
	t.clock.runUntil(trafficStart.Add(overloadWarmUp))
	t.measure(4 * overloadSpan)
	return total(t.stats.good) / total(t.stats.offered)
}

const (
	sisterSpan = 10 * time.Second
)

// sisterLoads are the parts of the slots that the sister firm asks for: with
// usualLoad, the first fits the slots and the second exceeds them.
var sisterLoads = []float64{0.2, 0.6}

// runSisterFirm measures a load of the sister firm that arrives unseen, stays for
// 10 s and leaves.
func runSisterFirm(seed uint64) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, p := range []trafficPolicy{realPolicy, fixedSlots, fifoBounded, roundRobin} {
			for _, load := range sisterLoads {
				rows = append(rows, sisterRows(d, p, load, seed)...)
			}
		}
	}
	return rows
}

func sisterRows(d trafficDeployment, p trafficPolicy, load float64, seed uint64) []Row {
	during, worst, after, p99 := math.Inf(1), math.Inf(1), math.Inf(1), 0.0
	for _, s := range d.services {
		t := newTrafficSim(d, s, p, seed)
		t.offerAll(usualLoad)
		t.clock.runUntil(trafficStart.Add(overloadWarmUp))
		stop := t.sisterFirm(load)
		t.measure(sisterSpan)
		during = min(during, total(t.stats.good)/total(t.stats.offered))
		worst = min(worst, t.stats.worstTeam(total(t.stats.good)))
		p99 = max(p99, percentileMillis(t.stats.latencies, 0.99)/(float64(s.service)/float64(time.Millisecond)))
		*stop = true
		t.clock.runUntil(t.clock.now.Add(overloadSpan))
		t.stats.reset()
		t.measure(overloadSpan)
		after = min(after, total(t.stats.good)/total(t.stats.offered))
	}
	fault := fmt.Sprintf("sister firm asks for %.0f%% of the slots", load*100)
	row := Row{Case: "sister-firm", Deployment: d.name, Fault: fault, Policy: p.name, Unit: "ratio", Pass: true}
	answered, fair, tail, left := row, row, row, row
	answered.Metric, answered.Value = "answered in time", during
	fair.Metric, fair.Value = "worst team over fair share of the answered", worst
	fair = judged(fair, ">= 0.95", worst >= 0.95)
	tail.Metric, tail.Value, tail.Unit = "p99 latency", p99, "mean service times"
	left.Metric, left.Value = "answered in time, 5 s after it left", after
	return []Row{answered, fair, tail, left}
}

// sisterFirm sends requests to all backend servers past the exits until the
// returned flag is set.
func (t *trafficSim) sisterFirm(load float64) *bool {
	stop := false
	rate := load * trafficSlots / t.service.service.Seconds()
	for _, x := range t.exits {
		var arrive func()
		arrive = func() {
			if stop {
				return
			}
			x.backend.run(func(bool) {})
			t.clock.after(exponential(t.r, rate), arrive)
		}
		t.clock.after(exponential(t.r, rate), arrive)
	}
	return &stop
}
