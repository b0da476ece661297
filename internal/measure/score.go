package measure

import (
	"sort"
)

func init() {
	Register(Case{Name: "score", Run: runScore})
}

// serviceWorth is what a completed request counts, as in the demo.
var serviceWorth = map[string]float64{"roster": 1, "bookings": 5, "invoicing": 8}

// scoreOnsets is the number of gray failures for the detection time.
const scoreOnsets = 60

// runScore states what each of the two firms looks at, from the models of the
// traffic and ejection cases.
func runScore(seed uint64) []Row {
	var rows []Row
	for _, p := range []trafficPolicy{realPolicy, roundRobin} {
		rows = append(rows, cooperativeRows(trafficDeployments[0], p, seed)...)
		rows = append(rows, worstTeamRow(trafficDeployments[1], p, seed))
	}
	return append(rows, headOfficeRows(ejectionDeployments[1], seed)...)
}

// cooperativeRows give the completed requests weighted by worth, without faults and
// with one exit of each service 10 times slower that nothing ejects.
func cooperativeRows(d trafficDeployment, p trafficPolicy, seed uint64) []Row {
	row := Row{Case: "score", Deployment: d.name, Policy: p.name, Metric: "completed, weighted by worth", Unit: "ratio", Pass: true}
	usual, slow := row, row
	usual.Fault, usual.Value = "none", weightedShare(d, p, func(*trafficSim) {}, seed)
	slow.Fault, slow.Value = "one exit of each service 10x slow", weightedShare(d, p, slowExit, seed)
	return []Row{usual, slow}
}

func weightedShare(d trafficDeployment, p trafficPolicy, strike func(*trafficSim), seed uint64) float64 {
	good, offered := 0.0, 0.0
	for _, s := range d.services {
		t := newTrafficSim(d, s, p, seed)
		t.offerAll(usualLoad)
		t.clock.runUntil(trafficStart.Add(overloadWarmUp))
		strike(t)
		t.measure(overloadSpan)
		good += serviceWorth[s.name] * total(t.stats.good)
		offered += serviceWorth[s.name] * total(t.stats.offered)
	}
	return good / offered
}

// worstTeamRow gives the least served team while another sends 5 times its rate.
func worstTeamRow(d trafficDeployment, p trafficPolicy, seed uint64) Row {
	row := Row{Case: "score", Deployment: d.name, Fault: "one team sends 5x", Policy: p.name, Metric: "worst other team over demand", Unit: "ratio"}
	row.Value = leastOf(d, func(s trafficService) float64 { return noisyRun(d, s, p, seed) })
	return judged(row, ">= 0.99", row.Value >= 0.99)
}

// headOfficeRows give the detection time over the kinds of gray failures that the
// targets name.
func headOfficeRows(d deploymentSpec, seed uint64) []Row {
	load := ejectionLoads[0]
	kinds := []grayKind{grayHalf, graySlow}
	row := Row{Case: "score", Deployment: d.name, Fault: "gray failure, " + load.name, Unit: "s"}
	var rows []Row
	for _, policy := range ejectionPolicies {
		times := parallel(scoreOnsets, func(i int) float64 {
			spec := d.services[i%len(d.services)]
			return detectOnce(ejectionRand(seed, i), spec, load, kinds[i%len(kinds)], policy.make(spec, load.settings))
		})
		sort.Float64s(times)
		row.Policy = policy.name
		row.Metric, row.Value = "detection median", quantileOf(times, 0.5)
		rows = append(rows, judged(row, "<= 1 s", row.Value <= detectionMedian))
		row.Metric, row.Value = "detection p99", quantileOf(times, 0.99)
		rows = append(rows, judged(row, "<= 3 s", row.Value <= detectionToday))
	}
	return rows
}
