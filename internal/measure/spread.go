package measure

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

func init() {
	Register(Case{Name: "spread", Run: runSpread})
}

// Targets of design section 1.3, in seconds.
const (
	inForceToday    = 2.0
	inForceAtScale  = 14.0
	withdrawnWithin = 2.0
)

const (
	spreadVersions   = 28 // as many as the larger deployment has processes
	baselineVersions = 8
	// spreadSettle is the time between the end of a fault and the next.
	spreadSettle = 3 * time.Second
	// spreadWatch is how long each fault lasts; a process that accepts a withdrawn
	// key again later would show.
	spreadWatch = 10 * time.Second
	// spreadPause is how long a process pauses.
	spreadPause = 30 * time.Second
	// outageTime and oldCopyTime are how long the service is away and then serves
	// an old copy.
	outageTime  = time.Hour
	oldCopyTime = 10 * time.Minute
	// outageSample keeps the hour's samples few.
	outageSample = 100 * time.Millisecond
)

// largerFleet is for the trend towards the goal's size.
var largerFleet = coordinationFleet{"400 processes", simnet.Members(400, 16), 16, 5 * time.Millisecond}

// spreadFault is a fault that is there while a version is published.
type spreadFault struct {
	name  string
	lasts time.Duration
	// strike brings the fault about and returns the processes that cannot learn of
	// the version while it lasts.
	strike func(w *spreadWorld, i int) []string
}

var spreadFaults = []spreadFault{
	{"none", spreadWatch, func(*spreadWorld, int) []string { return nil }},
	{"zone cannot send to other zones", spreadWatch, func(w *spreadWorld, i int) []string {
		w.fleet.cutZoneOut(w.net, w.fleet.zone(i))
		return nil
	}},
	{"zone cannot hear other zones", spreadWatch, func(w *spreadWorld, i int) []string {
		w.fleet.cutZoneIn(w.net, w.fleet.zone(i))
		return nil
	}},
	{"zone cannot hear other zones or the service", spreadWatch, func(w *spreadWorld, i int) []string {
		w.fleet.cutZoneIn(w.net, w.fleet.zone(i))
		zone := w.fleet.inZone(w.fleet.zone(i))
		for _, id := range zone {
			w.net.SetLinkCut(simnet.ConfigServiceName, id, true)
		}
		return zone
	}},
	{"process hears nobody", spreadWatch, func(w *spreadWorld, i int) []string {
		id := w.fleet.members[i%len(w.fleet.members)].ID
		for _, m := range w.fleet.members {
			w.net.SetLinkCut(m.ID, id, true)
		}
		w.net.SetLinkCut(simnet.ConfigServiceName, id, true)
		return []string{id}
	}},
	{"process pauses for 30 s", spreadPause, func(w *spreadWorld, i int) []string {
		id := w.fleet.members[i%len(w.fleet.members)].ID
		w.net.Pause(id, spreadPause)
		return []string{id}
	}},
}

func runSpread(seed uint64) []Row {
	var jobs []func() []Row
	for _, f := range coordinationFleets() {
		for _, p := range spreadPolicies {
			for _, fault := range spreadFaults {
				jobs = append(jobs, func() []Row { return spreadRows(f, p, fault, p.versions, inForceToday, seed) })
			}
			jobs = append(jobs, func() []Row { return outageRows(f, p, seed) })
			jobs = append(jobs, func() []Row { return lostZoneRows(f, p, seed) })
		}
	}
	for _, p := range spreadPolicies {
		jobs = append(jobs, func() []Row {
			return spreadRows(largerFleet, p, spreadFaults[0], baselineVersions, inForceAtScale, seed)
		})
	}
	return runJobs(jobs)
}

// spreadTimes are the times of several versions under one fault.
type spreadTimes struct {
	inForce   []time.Duration // at the processes that can learn of the version
	caughtUp  []time.Duration // at the others, from the end of the fault
	withdrawn []time.Duration // last use of the withdrawn key anywhere
}

// spreadRows publishes versions under a fault, one after another.
func spreadRows(f coordinationFleet, p spreadPolicy, fault spreadFault, versions int, target float64, seed uint64) []Row {
	w := newSpreadWorld(f, p, seed)
	began, reads := w.net.Now(), w.processes.reads()
	var times spreadTimes
	for i := range versions {
		w.publishUnder(fault, i, &times)
	}
	row := Row{Case: "spread", Deployment: f.name, Fault: fault.name, Policy: p.name, Unit: "s"}
	rows := times.rows(row, target)
	row.Metric, row.Unit, row.Value = "versions that went back", "", float64(w.reverted)
	rows = append(rows, judged(row, "0", w.reverted == 0))
	row.Metric, row.Unit = "reads of the service", "/s"
	row.Value = float64(w.processes.reads()-reads) / w.net.Now().Sub(began).Seconds()
	rows = append(rows, judged(row, "", true))
	row.Metric, row.Unit, row.Value = "requests with a key refused as stale", "ratio", w.refused()
	if fault.name == "none" {
		return append(rows, judged(row, "<= 0.0001", row.Value <= 0.0001))
	}
	return append(rows, judged(row, "", true))
}

func (w *spreadWorld) publishUnder(fault spreadFault, i int, times *spreadTimes) {
	w.net.Run(2*time.Second + w.wait(time.Second))
	deaf := fault.strike(w, i)
	end := w.net.Now().Add(fault.lasts)
	w.net.Run(w.wait(time.Second))
	w.publish()
	w.net.Run(end.Sub(w.net.Now()))
	w.net.RestoreLinks()
	w.net.Run(spreadSettle)
	w.note(w.ids(deaf...), w.published, &times.inForce)
	w.note(deaf, end, &times.caughtUp)
	times.withdrawn = append(times.withdrawn, w.oldUse.Sub(w.published))
}

// note adds the time from a moment until the latest version was in force at all of
// the processes; a version that was not counts with the time until now.
func (w *spreadWorld) note(ids []string, from time.Time, times *[]time.Duration) {
	if len(ids) == 0 {
		return
	}
	var d time.Duration
	for _, id := range ids {
		at, has := w.inForce[id]
		if !has {
			at = w.net.Now()
		}
		d = max(d, at.Sub(from))
	}
	*times = append(*times, d)
}

func (w *spreadWorld) refused() float64 { return float64(w.refusing) / float64(w.samples) }

func (t *spreadTimes) rows(row Row, target float64) []Row {
	median, worst := medianAndWorst(t.inForce)
	row.Metric, row.Value = "in force everywhere, median", median
	rows := []Row{judged(row, "", true)}
	row.Metric, row.Value = "in force everywhere, worst", worst
	rows = append(rows, judged(row, fmt.Sprintf("<= %.0f s", target), worst <= target))
	if len(t.caughtUp) > 0 {
		_, worst = medianAndWorst(t.caughtUp)
		row.Metric, row.Value = "in force after the fault, worst", worst
		rows = append(rows, judged(row, fmt.Sprintf("<= %.0f s", target), worst <= target))
	}
	_, worst = medianAndWorst(t.withdrawn)
	row.Metric, row.Value = "withdrawn key stops everywhere, worst", worst
	return append(rows, judged(row, fmt.Sprintf("<= %.0f s", withdrawnWithin), worst <= withdrawnWithin))
}

// outageRows lets the service be away for an hour and return with an old copy. In
// each of the two phases one process starts and one pauses.
func outageRows(f coordinationFleet, p spreadPolicy, seed uint64) []Row {
	w := newSpreadWorld(f, p, seed)
	old := w.latest
	w.publish()
	w.net.Run(spreadWatch)
	w.every = outageSample
	w.samples, w.refusing = 0, 0
	w.served = nil
	awayStart := w.phase(outageTime, 0)
	refused := w.refused()
	w.served = &old
	oldStart := w.phase(oldCopyTime, 2)
	w.every = spreadSample
	w.net.Run(time.Second)
	w.publish()
	w.net.Run(spreadWatch)
	var after []time.Duration
	w.note(w.ids(), w.published, &after)
	row := Row{Case: "spread", Deployment: f.name, Fault: "service away for 1 h, then an old copy", Policy: p.name, Unit: "s"}
	return w.outageResult(row, refused, max(awayStart, oldStart), after[0].Seconds())
}

func (w *spreadWorld) outageResult(row Row, refused, start, after float64) []Row {
	row.Metric, row.Value = "in force everywhere once the service is back, worst", after
	rows := []Row{judged(row, "<= 2 s", after <= inForceToday)}
	row.Metric, row.Value = "start of a process until it serves, worst", start
	rows = append(rows, judged(row, "", true))
	row.Metric, row.Unit, row.Value = "versions that went back", "", float64(w.reverted)
	rows = append(rows, judged(row, "0", w.reverted == 0))
	row.Metric, row.Unit, row.Value = "requests with a key refused as stale while away", "ratio", refused
	return append(rows, judged(row, "", true))
}

// lostZoneRows measures the other zones while the service is away.
func lostZoneRows(f coordinationFleet, p spreadPolicy, seed uint64) []Row {
	w := newSpreadWorld(f, p, seed)
	w.served = nil
	w.net.Run(spreadSettle)
	w.samples, w.refusing = 0, 0
	for _, id := range f.inZone(f.zone(0)) {
		w.processes.stop(id)
	}
	w.net.Run(time.Minute)
	row := Row{
		Case: "spread", Deployment: f.name, Fault: "service away, zone lost", Policy: p.name,
		Metric: "requests with a key refused as stale", Value: w.refused(), Unit: "ratio",
	}
	return []Row{judged(row, "<= 0.01", row.Value <= 0.01)}
}

// phase runs for a time in which a process starts anew and another pauses. It
// returns the seconds until the started one served, the whole time if it did not.
func (w *spreadWorld) phase(d time.Duration, first int) float64 {
	w.net.Run(d / 3)
	w.net.Pause(w.fleet.members[first].ID, spreadPause)
	w.net.Run(d / 3)
	id := w.fleet.members[first+1].ID
	w.processes.stop(id)
	w.net.Run(time.Second)
	w.processes.start(id)
	began := w.net.Now()
	for !w.processes.serves(id) && w.net.Now().Sub(began) < d/3 {
		w.net.Run(spreadSample)
	}
	ready := w.net.Now().Sub(began)
	w.net.Run(d/3 - ready)
	return ready.Seconds()
}
