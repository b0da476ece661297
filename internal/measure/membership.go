package measure

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

func init() {
	Register(Case{Name: "membership", Run: runMembership})
}

const (
	// leavingWithin is the target of design section 1.3 for a leaving backend
	// server, in seconds.
	leavingWithin = 2.0
	// memberSettle is the time for a change to reach all processes.
	memberSettle = 12 * time.Second
	// memberWatch is how long false suspicions are counted.
	memberWatch = 10 * time.Minute
)

// memberWorld is a fleet whose suspicions and messages are noted.
type memberWorld struct {
	fleet    coordinationFleet
	net      *simnet.Net
	members  *simnet.MemberFleet
	messages int
	excused  string // a process that is rightly suspected

	since     time.Time
	suspected []time.Duration // from since until a process suspects the excused one
	leaving   []time.Duration // from since until a process knows that the excused one leaves
	falsely   int             // suspicions of any other process

	pings   map[uint64]time.Time // of the process with the broken link
	relayed []time.Duration      // from such a ping until the relay passes the Ack on
}

func newMemberWorld(f coordinationFleet, seed uint64) *memberWorld {
	w := &memberWorld{fleet: f, net: f.network(seed), pings: make(map[uint64]time.Time)}
	w.net.Lose = func(_, _ string) bool {
		w.messages++
		return false
	}
	w.members = simnet.NewMemberFleet(w.net, simnet.HostListOf(1, f.members))
	w.members.OnAction = w.note
	for _, m := range f.members {
		w.members.Start(m.ID)
	}
	w.net.Run(memberSettle)
	w.messages, w.falsely = 0, 0
	return w
}

func (w *memberWorld) note(_ string, action membership.Action) {
	elapsed := w.net.Now().Sub(w.since)
	switch a := action.(type) {
	case membership.MemberSuspected:
		if a.ID == w.excused {
			w.suspected = append(w.suspected, elapsed)
		} else {
			w.falsely++
		}
	case membership.MemberLeaving:
		if a.ID == w.excused {
			w.leaving = append(w.leaving, elapsed)
		}
	}
}

func runMembership(seed uint64) []Row {
	var jobs []func() []Row
	for _, f := range append(coordinationFleets(), largerFleet) {
		jobs = append(jobs,
			func() []Row { return deadRows(f, seed) },
			func() []Row { return leavingRows(f, seed) },
		)
		if len(f.members) > 100 {
			continue
		}
		jobs = append(jobs, func() []Row { return relayRows(f, seed) })
		for _, fault := range memberFaults {
			jobs = append(jobs, func() []Row { return falseRows(f, fault, seed) })
		}
	}
	return runJobs(jobs)
}

// memberTrials bounds the trials; each process of a deployment is in one.
const (
	memberTrials      = 28
	largeMemberTrials = 3
)

func (f coordinationFleet) trials() []rendezvous.Member {
	if len(f.members) > 100 {
		return f.members[:largeMemberTrials]
	}
	return f.members[:min(memberTrials, len(f.members))]
}

// deadRows lets one process after another die and start again.
func deadRows(f coordinationFleet, seed uint64) []Row {
	w := newMemberWorld(f, seed)
	var worst []time.Duration
	for _, m := range f.trials() {
		w.excused, w.since, w.suspected = m.ID, w.net.Now(), nil
		w.members.Stop(m.ID)
		w.net.Run(memberSettle)
		if len(w.suspected) < len(f.members)-1 {
			w.suspected = append(w.suspected, memberSettle)
		}
		_, last := medianAndWorst(w.suspected)
		worst = append(worst, time.Duration(last*float64(time.Second)))
		w.members.Start(m.ID)
		w.net.Run(memberSettle)
	}
	row := Row{Case: "membership", Deployment: f.name, Fault: "process dies", Policy: ownPolicy, Unit: "s", Pass: true}
	median, last := row, row
	median.Metric, last.Metric = "tried last by every process, median", "tried last by every process, worst"
	median.Value, last.Value = medianAndWorst(worst)
	return []Row{median, last}
}

// leavingRows lets one process after another announce that it leaves, with one
// link from it cut. The others have to know within the time in which a leaving
// backend server gets quiet.
func leavingRows(f coordinationFleet, seed uint64) []Row {
	w := newMemberWorld(f, seed)
	last := time.Duration(0)
	for i, m := range f.trials() {
		w.net.SetLinkCut(m.ID, f.members[(i+1)%len(f.members)].ID, true)
		w.excused, w.since, w.leaving = m.ID, w.net.Now(), nil
		w.members.Perform(m.ID, w.members.Tables[m.ID].Leave(w.net.Now()))
		w.net.Run(memberSettle)
		if len(w.leaving) < len(f.members)-1 {
			w.leaving = append(w.leaving, memberSettle)
		}
		for _, d := range w.leaving {
			last = max(last, d)
		}
		w.members.Stop(m.ID)
		w.net.RestoreLinks()
		w.members.Start(m.ID)
		w.net.Run(memberSettle)
	}
	row := Row{
		Case: "membership", Deployment: f.name, Fault: "process leaves, one link from it cut", Policy: ownPolicy,
		Metric: "known to every process, worst", Value: last.Seconds(), Unit: "s",
	}
	return []Row{judged(row, "<= 2 s", row.Value <= leavingWithin)}
}

// relayRows cuts the link from one process to another and measures how long a ping
// takes round it.
func relayRows(f coordinationFleet, seed uint64) []Row {
	w := newMemberWorld(f, seed)
	from, to := f.members[0].ID, f.members[1].ID
	w.net.SetLinkCut(from, to, true)
	w.members.OnAction = func(id string, action membership.Action) {
		w.note(id, action)
		switch a := action.(type) {
		case membership.SendPing:
			if id == from && a.To == to {
				w.pings[a.Ping.Seq] = w.net.Now()
			}
		case membership.ForwardAck:
			if sent, ok := w.pings[a.Ack.Seq]; ok && a.To == from {
				delete(w.pings, a.Ack.Seq)
				w.relayed = append(w.relayed, w.net.Now().Sub(sent))
			}
		}
	}
	w.net.Run(10 * time.Minute)
	row := Row{Case: "membership", Deployment: f.name, Fault: "one link cut one way", Policy: ownPolicy, Pass: true}
	median, last, lost := row, row, row
	median.Metric, last.Metric = "ping answered round the link, median", "ping answered round the link, worst"
	median.Value, last.Value = medianAndWorst(w.relayed)
	median.Unit, last.Unit = "s", "s"
	lost.Metric, lost.Value = "false suspicions", float64(w.falsely)
	return []Row{median, last, judged(lost, "0", w.falsely == 0)}
}

// memberFault lasts while false suspicions are counted.
type memberFault struct {
	name   string
	target bool // no process may be suspected but the excused one
	strike func(w *memberWorld)
}

var memberFaults = []memberFault{
	{"none", true, func(*memberWorld) {}},
	{"one process pauses for 2 s every 10 s", true, pauseOften},
	{"1 in 100 messages lost", true, func(w *memberWorld) { loseMessages(w, 1) }},
	{"10 in 100 messages lost", false, func(w *memberWorld) { loseMessages(w, 10) }},
	{"zone cannot send to other zones", false, func(w *memberWorld) { w.fleet.cutZoneOut(w.net, cutZone) }},
}

func pauseOften(w *memberWorld) {
	w.excused = w.fleet.members[0].ID
	w.net.Pause(w.excused, 2*time.Second)
	w.net.RunAfter(10*time.Second, func() { pauseOften(w) })
}

func loseMessages(w *memberWorld, percent int) {
	w.net.Lose = func(_, _ string) bool {
		w.messages++
		return w.net.Rand.IntN(100) < percent
	}
}

// falseRows counts suspicions of processes that run, and messages.
func falseRows(f coordinationFleet, fault memberFault, seed uint64) []Row {
	w := newMemberWorld(f, seed)
	fault.strike(w)
	w.net.Run(memberWatch)
	row := Row{Case: "membership", Deployment: f.name, Fault: fault.name, Policy: ownPolicy, Metric: "false suspicions", Value: float64(w.falsely)}
	target := ""
	if fault.target {
		target = "0"
	}
	rows := []Row{judged(row, target, w.falsely == 0)}
	row.Metric, row.Unit = "messages of a process", "/s"
	row.Value = float64(w.messages) / memberWatch.Seconds() / float64(len(f.members))
	return append(rows, judged(row, "", true))
}
