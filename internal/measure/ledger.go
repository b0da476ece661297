package measure

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

func init() {
	Register(Case{Name: "ledger", Run: runLedger})
}

// Targets of design section 1.3 for wrongful refusals.
const (
	maxRefusedRatioNoFault    = 0.0001
	maxRefusedRatioUnderFault = 0.01
)

// ledgerFault is a fault injected at the start of the traffic.
type ledgerFault struct {
	name            string
	maxRefusedRatio float64 // target for wrongful refusals, 0 for no target
	isolatesZone    bool    // isolatedZone is cut off from all others in one direction
	inject          func(sim *ledgerSim)
}

// A rolling restart stops a process every ledgerRestartInterval and starts it again
// after ledgerRestartDowntime.
const (
	ledgerRestartInterval = 4 * time.Second
	ledgerRestartDowntime = time.Second
	// replacementInterval is the time between host replacements, enough for two
	// changes of the host list.
	replacementInterval = 10 * time.Second
)

var ledgerFaults = []ledgerFault{
	{"none", maxRefusedRatioNoFault, false, func(*ledgerSim) {}},
	{"holder lost", maxRefusedRatioUnderFault, false, stopReplica},
	{"zone cannot send to one other zone", maxRefusedRatioUnderFault, false, cutZoneFromAnother},
	{"zone cannot send to other zones", maxRefusedRatioUnderFault, true, func(sim *ledgerSim) { sim.fleet.cutOutboundLinks(sim.net, isolatedZone) }},
	{"zone cannot hear other zones", maxRefusedRatioUnderFault, true, func(sim *ledgerSim) { sim.fleet.cutInboundLinks(sim.net, isolatedZone) }},
	{"rolling restart", maxRefusedRatioUnderFault, false, rollingRestart},
	{"rolling replacement, a host every 10 s", 0, false, rollingReplacement},
}

// isolatedZone is the zone whose links to or from other zones are cut.
const isolatedZone = "zone-0"

func cutZoneFromAnother(sim *ledgerSim) {
	other := sim.fleet.zoneAt(1)
	sim.fleet.cutLinks(sim.net, func(from, to rendezvous.Member) bool { return from.Zone == isolatedZone && to.Zone == other })
}

// stopReplica stops a process permanently. The host list omits it 10 s later and has a
// new host in its place 30 s after that.
func stopReplica(sim *ledgerSim) {
	lost := sim.fleet.members[0]
	sim.processes.stop(lost.ID)
	sim.net.RunAfter(10*time.Second, func() { sim.removeHost(lost) })
	sim.net.RunAfter(40*time.Second, func() { sim.addHost(lost.Zone) })
}

func rollingRestart(sim *ledgerSim) {
	for i, m := range sim.fleet.members {
		sim.net.RunAfter(time.Duration(i)*ledgerRestartInterval, func() {
			sim.processes.stop(m.ID)
			sim.net.RunAfter(ledgerRestartDowntime, func() { sim.processes.start(m.ID, sim.hostList) })
		})
	}
}

// rollingReplacement removes each host from the list, stops it when all processes use
// that list, and adds a new host.
func rollingReplacement(sim *ledgerSim) {
	for i, m := range sim.fleet.members {
		at := time.Duration(i) * replacementInterval
		if at >= ledgerTrafficTime {
			return
		}
		sim.net.RunAfter(at, func() { sim.removeHost(m) })
		sim.net.RunAfter(at+hostListLag, func() { sim.processes.stop(m.ID) })
		sim.net.RunAfter(at+replacementInterval/2, func() { sim.addHost(m.Zone) })
	}
}

func runLedger(seed uint64) []Row {
	var jobs []func() []Row
	for _, f := range coordinationFleets() {
		for _, p := range ledgerPolicies {
			for _, fault := range ledgerFaults {
				jobs = append(jobs, func() []Row { return ledgerRows(f, p, fault, seed) })
			}
			jobs = append(jobs, func() []Row { return concurrentSendRows(f, p, seed) })
		}
	}
	return runJobs(jobs)
}

func ledgerRows(f coordinationFleet, p ledgerPolicy, fault ledgerFault, seed uint64) []Row {
	sim := newLedgerSim(f, p, seed)
	fault.inject(sim)
	sim.startTraffic(ledgerTrafficTime)
	sim.net.Run(ledgerTrafficTime + resendDelays[len(resendDelays)-1] + 2*time.Second)
	row := Row{Case: "ledger", Deployment: f.name, Fault: fault.name, Policy: p.name}
	rows := sim.refusedRows(row, fault)
	row.Metric, row.Value = "runs of a key after its first", float64(sim.reruns)
	rows = append(rows, withTarget(row, "0", sim.reruns == 0))
	row.Metric, row.Unit, row.Value = "time to claim, 99 in 100", "ms", percentileMillis(sim.claimTimes, 0.99)
	return append(rows, withTarget(row, "", true))
}

// Metrics of wrongful refusals.
const (
	refusedMetric        = "refused although it could run"
	refusedOutsideMetric = "the same at entries outside the cut zone"
)

// refusedRows reports the ratio of wrongful refusals over all entries and, if a zone is
// isolated, over the entries outside it: no claim from inside can reach two zones.
func (sim *ledgerSim) refusedRows(row Row, fault ledgerFault) []Row {
	target := ""
	if fault.maxRefusedRatio > 0 {
		target = fmt.Sprintf("<= %g", fault.maxRefusedRatio)
	}
	row.Metric, row.Unit, row.Value = refusedMetric, "ratio", sim.refusedShare("")
	rows := []Row{withTarget(row, target, row.Value <= fault.maxRefusedRatio)}
	if fault.isolatesZone {
		row.Metric, row.Value = refusedOutsideMetric, sim.refusedShare(isolatedZone)
		rows = append(rows, withTarget(row, target, row.Value <= fault.maxRefusedRatio))
	}
	return rows
}

func (sim *ledgerSim) refusedShare(excludedZone string) float64 {
	sent, refused := 0, 0
	for zone, n := range sim.sent {
		if zone != excludedZone {
			sent += n
			refused += sim.refused[zone]
		}
	}
	return float64(refused) / float64(sent)
}

// concurrentSendGap is the time between two sends of a key with concurrent claims.
const concurrentSendGap = time.Millisecond

// concurrentSendRows sends every key twice within concurrentSendGap while a replica is
// down. Each send may then get one of the two remaining grants, so that neither is
// executed.
func concurrentSendRows(f coordinationFleet, p ledgerPolicy, seed uint64) []Row {
	sim := newLedgerSim(f, p, seed)
	sim.processes.stop(f.members[0].ID)
	const keys = 2000
	for i := range keys {
		r := simnet.KeyedRequest{Team: "t", Key: fmt.Sprintf("key-%d", i), Digest: 1}
		at := time.Duration(i) * 10 * time.Millisecond
		sim.net.RunAfter(at, func() { sim.send(r) })
		sim.net.RunAfter(at+concurrentSendGap, func() { sim.send(r) })
	}
	sim.net.Run(keys*10*time.Millisecond + 2*ledger.ClaimTimeout)
	row := Row{
		Case: "ledger", Deployment: f.name, Fault: "holder lost, each key sent twice within 1 ms", Policy: p.name,
		Metric: "keys of which no send ran", Value: 1 - float64(len(sim.runCounts))/keys, Unit: "ratio",
	}
	rows := []Row{withTarget(row, "", true)}
	row.Metric, row.Unit, row.Value = "runs of a key after its first", "", float64(sim.reruns)
	return append(rows, withTarget(row, "0", sim.reruns == 0))
}
