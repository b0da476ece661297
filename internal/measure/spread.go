package measure

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

func init() {
	Register(Case{Name: "spread", Run: runSpread})
}

// Targets of design section 1.3.
const (
	maxInForceTodaySeconds   = 2.0
	maxInForceAtScaleSeconds = 14.0
	maxWithdrawnKeySeconds   = 2.0
)

const (
	spreadVersions   = 28 // the number of processes of the larger deployment
	baselineVersions = 8
	// spreadSettleTime is the time from the end of a fault to the next.
	spreadSettleTime = 3 * time.Second
	// spreadFaultTime is the duration of a fault, long enough to see a process that
	// accepts a withdrawn key again.
	spreadFaultTime = 10 * time.Second
	// spreadPauseTime is how long a process pauses.
	spreadPauseTime = 30 * time.Second
	// The service is down for outageTime and then serves a stale copy for
	// staleCopyTime.
	outageTime    = time.Hour
	staleCopyTime = 10 * time.Minute
	// outageSampleInterval limits the number of samples of the one-hour outage.
	outageSampleInterval = 100 * time.Millisecond
)

// largerFleet shows the trend towards the target fleet size.
var largerFleet = coordinationFleet{"400 processes", simnet.Members(400, 16), 16, 5 * time.Millisecond}

// spreadFault is a fault that is active while a version is published.
type spreadFault struct {
	name     string
	duration time.Duration
	// inject starts the fault and returns the processes that cannot learn of the
	// version until it ends.
	inject func(sim *spreadSim, i int) []string
}

var spreadFaults = []spreadFault{
	{"none", spreadFaultTime, func(*spreadSim, int) []string { return nil }},
	{"zone cannot send to other zones", spreadFaultTime, func(sim *spreadSim, i int) []string {
		sim.fleet.cutOutboundLinks(sim.net, sim.fleet.zoneAt(i))
		return nil
	}},
	{"zone cannot hear other zones", spreadFaultTime, func(sim *spreadSim, i int) []string {
		sim.fleet.cutInboundLinks(sim.net, sim.fleet.zoneAt(i))
		return nil
	}},
	{"zone cannot hear other zones or the service", spreadFaultTime, func(sim *spreadSim, i int) []string {
		sim.fleet.cutInboundLinks(sim.net, sim.fleet.zoneAt(i))
		zone := sim.fleet.idsInZone(sim.fleet.zoneAt(i))
		for _, id := range zone {
			sim.net.SetLinkCut(simnet.ConfigServiceName, id, true)
		}
		return zone
	}},
	{"process hears nobody", spreadFaultTime, func(sim *spreadSim, i int) []string {
		id := sim.fleet.members[i%len(sim.fleet.members)].ID
		for _, m := range sim.fleet.members {
			sim.net.SetLinkCut(m.ID, id, true)
		}
		sim.net.SetLinkCut(simnet.ConfigServiceName, id, true)
		return []string{id}
	}},
	{"process pauses for 30 s", spreadPauseTime, func(sim *spreadSim, i int) []string {
		id := sim.fleet.members[i%len(sim.fleet.members)].ID
		sim.net.Pause(id, spreadPauseTime)
		return []string{id}
	}},
}

func runSpread(seed uint64) []Row {
	var jobs []func() []Row
	for _, f := range coordinationFleets() {
		for _, p := range spreadPolicies {
			for _, fault := range spreadFaults {
				jobs = append(jobs, func() []Row { return spreadRows(f, p, fault, p.versions, maxInForceTodaySeconds, seed) })
			}
			jobs = append(jobs, func() []Row { return outageRows(f, p, seed) })
			jobs = append(jobs, func() []Row { return lostZoneRows(f, p, seed) })
		}
	}
	for _, p := range spreadPolicies {
		jobs = append(jobs, func() []Row {
			return spreadRows(largerFleet, p, spreadFaults[0], baselineVersions, maxInForceAtScaleSeconds, seed)
		})
	}
	return runJobs(jobs)
}

// spreadTimes are the propagation times of the versions published under one fault.
type spreadTimes struct {
	inForce   []time.Duration // at the reachable processes, from the publication
	caughtUp  []time.Duration // at the unreachable processes, from the end of the fault
	withdrawn []time.Duration // last use of the withdrawn key at any process
}

// spreadRows publishes versions one after another under a fault.
func spreadRows(f coordinationFleet, p spreadPolicy, fault spreadFault, versions int, target float64, seed uint64) []Row {
	sim := newSpreadSim(f, p, seed)
	began, reads := sim.net.Now(), sim.processes.reads()
	var times spreadTimes
	for i := range versions {
		sim.publishUnderFault(fault, i, &times)
	}
	row := Row{Case: "spread", Deployment: f.name, Fault: fault.name, Policy: p.name, Unit: "s"}
	rows := times.rows(row, target)
	row.Metric, row.Unit, row.Value = "versions that went back", "", float64(sim.regressions)
	rows = append(rows, withTarget(row, "0", sim.regressions == 0))
	row.Metric, row.Unit = "reads of the service", "/s"
	row.Value = float64(sim.processes.reads()-reads) / sim.net.Now().Sub(began).Seconds()
	rows = append(rows, withTarget(row, "", true))
	row.Metric, row.Unit, row.Value = "requests with a key refused as stale", "ratio", sim.refusedRatio()
	if fault.name == "none" {
		return append(rows, withTarget(row, "<= 0.0001", row.Value <= 0.0001))
	}
	return append(rows, withTarget(row, "", true))
}

func (sim *spreadSim) publishUnderFault(fault spreadFault, i int, times *spreadTimes) {
	sim.net.Run(2*time.Second + sim.randomDelay(time.Second))
	unreachable := fault.inject(sim, i)
	end := sim.net.Now().Add(fault.duration)
	sim.net.Run(sim.randomDelay(time.Second))
	sim.publish()
	sim.net.Run(end.Sub(sim.net.Now()))
	sim.net.RestoreLinks()
	sim.net.Run(spreadSettleTime)
	sim.recordInForce(sim.idsExcept(unreachable...), sim.published, &times.inForce)
	sim.recordInForce(unreachable, end, &times.caughtUp)
	times.withdrawn = append(times.withdrawn, sim.lastOldKeyUse.Sub(sim.published))
}

// recordInForce appends the time from a given moment until the latest version was in
// force at all of the given processes. Where it is not yet in force, the time until now
// counts.
func (sim *spreadSim) recordInForce(ids []string, from time.Time, times *[]time.Duration) {
	if len(ids) == 0 {
		return
	}
	var d time.Duration
	for _, id := range ids {
		at, has := sim.inForce[id]
		if !has {
			at = sim.net.Now()
		}
		d = max(d, at.Sub(from))
	}
	*times = append(*times, d)
}

func (sim *spreadSim) refusedRatio() float64 {
	return float64(sim.refusingSamples) / float64(sim.samples)
}

func (t *spreadTimes) rows(row Row, target float64) []Row {
	median, worst := medianAndMaxSeconds(t.inForce)
	row.Metric, row.Value = "in force everywhere, median", median
	rows := []Row{withTarget(row, "", true)}
	row.Metric, row.Value = "in force everywhere, worst", worst
	rows = append(rows, withTarget(row, fmt.Sprintf("<= %.0f s", target), worst <= target))
	if len(t.caughtUp) > 0 {
		_, worst = medianAndMaxSeconds(t.caughtUp)
		row.Metric, row.Value = "in force after the fault, worst", worst
		rows = append(rows, withTarget(row, fmt.Sprintf("<= %.0f s", target), worst <= target))
	}
	_, worst = medianAndMaxSeconds(t.withdrawn)
	row.Metric, row.Value = "withdrawn key stops everywhere, worst", worst
	return append(rows, withTarget(row, fmt.Sprintf("<= %.0f s", maxWithdrawnKeySeconds), worst <= maxWithdrawnKeySeconds))
}

// outageRows makes the service unavailable for an hour and then serve a stale copy. In
// each of the two phases one process starts and one pauses.
func outageRows(f coordinationFleet, p spreadPolicy, seed uint64) []Row {
	sim := newSpreadSim(f, p, seed)
	old := sim.latest
	sim.publish()
	sim.net.Run(spreadFaultTime)
	sim.sampleInterval = outageSampleInterval
	sim.samples, sim.refusingSamples = 0, 0
	sim.servedCopy = nil
	outageStart := sim.runOutagePhase(outageTime, 0)
	refused := sim.refusedRatio()
	sim.servedCopy = &old
	staleStart := sim.runOutagePhase(staleCopyTime, 2)
	sim.sampleInterval = defaultSampleInterval
	sim.net.Run(time.Second)
	sim.publish()
	sim.net.Run(spreadFaultTime)
	var after []time.Duration
	sim.recordInForce(sim.idsExcept(), sim.published, &after)
	row := Row{Case: "spread", Deployment: f.name, Fault: "service away for 1 h, then an old copy", Policy: p.name, Unit: "s"}
	return sim.outageResult(row, refused, max(outageStart, staleStart), after[0].Seconds())
}

func (sim *spreadSim) outageResult(row Row, refused, start, after float64) []Row {
	row.Metric, row.Value = "in force everywhere once the service is back, worst", after
	rows := []Row{withTarget(row, "<= 2 s", after <= maxInForceTodaySeconds)}
	row.Metric, row.Value = "start of a process until it serves, worst", start
	rows = append(rows, withTarget(row, "", true))
	row.Metric, row.Unit, row.Value = "versions that went back", "", float64(sim.regressions)
	rows = append(rows, withTarget(row, "0", sim.regressions == 0))
	row.Metric, row.Unit, row.Value = "requests with a key refused as stale while away", "ratio", refused
	return append(rows, withTarget(row, "", true))
}

// lostZoneRows measures the other zones when a zone is lost during an outage of the
// service.
func lostZoneRows(f coordinationFleet, p spreadPolicy, seed uint64) []Row {
	sim := newSpreadSim(f, p, seed)
	sim.servedCopy = nil
	sim.net.Run(spreadSettleTime)
	sim.samples, sim.refusingSamples = 0, 0
	for _, id := range f.idsInZone(f.zoneAt(0)) {
		sim.processes.stop(id)
	}
	sim.net.Run(time.Minute)
	row := Row{
		Case: "spread", Deployment: f.name, Fault: "service away, zone lost", Policy: p.name,
		Metric: "requests with a key refused as stale", Value: sim.refusedRatio(), Unit: "ratio",
	}
	return []Row{withTarget(row, "<= 0.01", row.Value <= 0.01)}
}

// runOutagePhase runs for a duration in which one process pauses and another restarts.
// It returns the seconds until the restarted one served, or a third of the duration if
// it did not serve.
func (sim *spreadSim) runOutagePhase(d time.Duration, first int) float64 {
	sim.net.Run(d / 3)
	sim.net.Pause(sim.fleet.members[first].ID, spreadPauseTime)
	sim.net.Run(d / 3)
	id := sim.fleet.members[first+1].ID
	sim.processes.stop(id)
	sim.net.Run(time.Second)
	sim.processes.start(id)
	began := sim.net.Now()
	for !sim.processes.serves(id) && sim.net.Now().Sub(began) < d/3 {
		sim.net.Run(defaultSampleInterval)
	}
	ready := sim.net.Now().Sub(began)
	sim.net.Run(d/3 - ready)
	return ready.Seconds()
}
