package measure

import (
	"sort"
)

func init() {
	Register(Case{Name: "score", Run: runScore})
}

// serviceWeights are the values of a completed request of each service, as in the demo.
var serviceWeights = map[string]float64{"roster": 1, "bookings": 5, "invoicing": 8}

// scoreOnsets is the number of gray failures for the detection times.
const scoreOnsets = 60

// runScore reports the key figures of each of the two deployments, using the
// simulations of the traffic and ejection cases.
func runScore(seed uint64) []Row {
	var rows []Row
	for _, p := range []trafficPolicy{systemPolicy, roundRobin} {
		rows = append(rows, weightedCompletionRows(trafficDeployments[0], p, seed)...)
		rows = append(rows, worstTeamRow(trafficDeployments[1], p, seed))
	}
	return append(rows, detectionScoreRows(ejectionDeployments[1], seed)...)
}

// weightedCompletionRows reports the completed requests weighted by value, without
// faults and with one exit of each service 10 times slower and not ejected.
func weightedCompletionRows(d trafficDeployment, p trafficPolicy, seed uint64) []Row {
	row := Row{Case: "score", Deployment: d.name, Policy: p.name, Metric: "completed, weighted by worth", Unit: "ratio", Pass: true}
	faultFree, slow := row, row
	faultFree.Fault, faultFree.Value = "none", weightedCompletionRatio(d, p, func(*trafficSim) {}, seed)
	slow.Fault, slow.Value = "one exit of each service 10x slow", weightedCompletionRatio(d, p, injectSlowExit, seed)
	return []Row{faultFree, slow}
}

func weightedCompletionRatio(d trafficDeployment, p trafficPolicy, inject func(*trafficSim), seed uint64) float64 {
	good, offered := 0.0, 0.0
	for _, s := range d.services {
		t := newTrafficSim(d, s, p, seed)
		t.offerAll(normalUtilization)
		t.clock.runUntil(trafficStart.Add(overloadWarmUp))
		inject(t)
		t.measure(overloadMeasureTime)
		good += serviceWeights[s.name] * total(t.stats.answeredInTime)
		offered += serviceWeights[s.name] * total(t.stats.offered)
	}
	return good / offered
}

// worstTeamRow reports the worst-served team while another sends 5 times its rate.
func worstTeamRow(d trafficDeployment, p trafficPolicy, seed uint64) Row {
	row := Row{Case: "score", Deployment: d.name, Fault: "one team sends 5x", Policy: p.name, Metric: "worst other team over demand", Unit: "ratio"}
	row.Value = minOverServices(d, func(s trafficService) float64 { return noisyRun(d, s, p, seed) })
	return withTarget(row, ">= 0.99", row.Value >= 0.99)
}

// detectionScoreRows reports the detection times over the kinds of gray failures that
// the targets name.
func detectionScoreRows(d deploymentSpec, seed uint64) []Row {
	load := ejectionLoads[0]
	kinds := []grayFailureKind{grayHalf, graySlow}
	row := Row{Case: "score", Deployment: d.name, Fault: "gray failure, " + load.name, Unit: "s"}
	var rows []Row
	for _, policy := range ejectionPolicies {
		times := parallelMap(scoreOnsets, func(i int) float64 {
			spec := d.services[i%len(d.services)]
			return simulateDetection(ejectionRand(seed, i), spec, load, kinds[i%len(kinds)], policy.make(spec, load.settings))
		})
		sort.Float64s(times)
		row.Policy = policy.name
		row.Metric, row.Value = "detection median", quantileOf(times, 0.5)
		rows = append(rows, withTarget(row, "<= 1 s", row.Value <= maxMedianDetectionSeconds))
		row.Metric, row.Value = "detection p99", quantileOf(times, 0.99)
		rows = append(rows, withTarget(row, "<= 3 s", row.Value <= maxP99DetectionTodaySeconds))
	}
	return rows
}
