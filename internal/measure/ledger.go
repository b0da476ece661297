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

// Targets of design section 1.3.
const (
	refusedWithoutFaults = 0.0001
	refusedUnderFaults   = 0.01
)

// ledgerFault strikes at the beginning of the traffic.
type ledgerFault struct {
	name   string
	limit  float64 // of wrongful refusals, 0 for no target
	cuts   bool    // cutZone is cut off from all others
	strike func(w *ledgerWorld)
}

// ledgerRestartEvery is the time between the stops of a rolling restart, stopTime that
// until the process starts again.
const (
	ledgerRestartEvery = 4 * time.Second
	stopTime           = time.Second
	// replaceEvery is the time between replacements; two list changes fit in.
	replaceEvery = 10 * time.Second
)

var ledgerFaults = []ledgerFault{
	{"none", refusedWithoutFaults, false, func(*ledgerWorld) {}},
	{"holder lost", refusedUnderFaults, false, loseHolder},
	{"zone cannot send to one other zone", refusedUnderFaults, false, cutOneZoneFromAnother},
	{"zone cannot send to other zones", refusedUnderFaults, true, func(w *ledgerWorld) { w.fleet.cutZoneOut(w.net, cutZone) }},
	{"zone cannot hear other zones", refusedUnderFaults, true, func(w *ledgerWorld) { w.fleet.cutZoneIn(w.net, cutZone) }},
	{"rolling restart", refusedUnderFaults, false, rollingRestart},
	{"rolling replacement, a host every 10 s", 0, false, rollingReplacement},
}

// cutZone is the zone that is cut off.
const cutZone = "zone-0"

func cutOneZoneFromAnother(w *ledgerWorld) {
	other := w.fleet.zone(1)
	w.fleet.cut(w.net, func(from, to rendezvous.Member) bool { return from.Zone == cutZone && to.Zone == other })
}

// loseHolder stops a process for good. The host list leaves it out 10 s later, and
// has a new host in its place 30 s after that.
func loseHolder(w *ledgerWorld) {
	lost := w.fleet.members[0]
	w.processes.stop(lost.ID)
	w.net.RunAfter(10*time.Second, func() { w.removeHost(lost) })
	w.net.RunAfter(40*time.Second, func() { w.addHost(lost.Zone) })
}

func rollingRestart(w *ledgerWorld) {
	for i, m := range w.fleet.members {
		w.net.RunAfter(time.Duration(i)*ledgerRestartEvery, func() {
			w.processes.stop(m.ID)
			w.net.RunAfter(stopTime, func() { w.processes.start(m.ID, w.list) })
		})
	}
}

// rollingReplacement takes each host off the list, stops it when all processes use
// that list, and adds a new one.
func rollingReplacement(w *ledgerWorld) {
	for i, m := range w.fleet.members {
		at := time.Duration(i) * replaceEvery
		if at >= ledgerSpan {
			return
		}
		w.net.RunAfter(at, func() { w.removeHost(m) })
		w.net.RunAfter(at+listLag, func() { w.processes.stop(m.ID) })
		w.net.RunAfter(at+replaceEvery/2, func() { w.addHost(m.Zone) })
	}
}

func runLedger(seed uint64) []Row {
	var jobs []func() []Row
	for _, f := range coordinationFleets() {
		for _, p := range ledgerPolicies {
			for _, fault := range ledgerFaults {
				jobs = append(jobs, func() []Row { return ledgerRows(f, p, fault, seed) })
			}
			jobs = append(jobs, func() []Row { return crossingRows(f, p, seed) })
		}
	}
	return runJobs(jobs)
}

func ledgerRows(f coordinationFleet, p ledgerPolicy, fault ledgerFault, seed uint64) []Row {
	w := newLedgerWorld(f, p, seed)
	fault.strike(w)
	w.traffic(ledgerSpan)
	w.net.Run(ledgerSpan + resendDelays[len(resendDelays)-1] + 2*time.Second)
	row := Row{Case: "ledger", Deployment: f.name, Fault: fault.name, Policy: p.name}
	rows := w.refusedRows(row, fault)
	row.Metric, row.Value = "runs of a key after its first", float64(w.twice)
	rows = append(rows, judged(row, "0", w.twice == 0))
	row.Metric, row.Unit, row.Value = "time to claim, 99 in 100", "ms", percentileMillis(w.claims, 0.99)
	return append(rows, judged(row, "", true))
}

// Metrics of wrongful refusals.
const (
	refusedMetric = "refused although it could run"
	outsideMetric = "the same at entries outside the cut zone"
)

// refusedRows states the share of wrongful refusals over all entries, and that of
// entries outside a zone that is cut off: inside, no claim can reach two zones.
func (w *ledgerWorld) refusedRows(row Row, fault ledgerFault) []Row {
	target := ""
	if fault.limit > 0 {
		target = fmt.Sprintf("<= %g", fault.limit)
	}
	row.Metric, row.Unit, row.Value = refusedMetric, "ratio", w.refusedShare("")
	rows := []Row{judged(row, target, row.Value <= fault.limit)}
	if fault.cuts {
		row.Metric, row.Value = outsideMetric, w.refusedShare(cutZone)
		rows = append(rows, judged(row, target, row.Value <= fault.limit))
	}
	return rows
}

func (w *ledgerWorld) refusedShare(without string) float64 {
	sent, refused := 0, 0
	for zone, n := range w.sent {
		if zone != without {
			sent += n
			refused += w.refused[zone]
		}
	}
	return float64(refused) / float64(sent)
}

// crossingGap is the time between two sends of a key whose claims cross.
const crossingGap = time.Millisecond

// crossingRows sends every key twice at once while a holder is lost. Each send may
// then get one of the two grants that are left, and neither runs.
func crossingRows(f coordinationFleet, p ledgerPolicy, seed uint64) []Row {
	w := newLedgerWorld(f, p, seed)
	w.processes.stop(f.members[0].ID)
	const keys = 2000
	for i := range keys {
		r := simnet.KeyedRequest{Team: "t", Key: fmt.Sprintf("key-%d", i), Digest: 1}
		at := time.Duration(i) * 10 * time.Millisecond
		w.net.RunAfter(at, func() { w.send(r) })
		w.net.RunAfter(at+crossingGap, func() { w.send(r) })
	}
	w.net.Run(keys*10*time.Millisecond + 2*ledger.ClaimTimeout)
	row := Row{
		Case: "ledger", Deployment: f.name, Fault: "holder lost, each key sent twice within 1 ms", Policy: p.name,
		Metric: "keys of which no send ran", Value: 1 - float64(len(w.runs))/keys, Unit: "ratio",
	}
	rows := []Row{judged(row, "", true)}
	row.Metric, row.Unit, row.Value = "runs of a key after its first", "", float64(w.twice)
	return append(rows, judged(row, "0", w.twice == 0))
}
