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
	// maxLeaveSeconds is the target of design section 1.3 for a leaving backend
	// server.
	maxLeaveSeconds = 2.0
	// memberSettleTime is enough for a change to reach all processes.
	memberSettleTime = 12 * time.Second
	// memberObservationTime is how long false suspicions are counted.
	memberObservationTime = 10 * time.Minute
)

// memberSim simulates a fleet and records its suspicions and messages.
type memberSim struct {
	fleet           coordinationFleet
	net             *simnet.Net
	members         *simnet.MemberFleet
	messages        int
	expectedSuspect string // process whose suspicion is correct

	changedAt       time.Time
	suspicionTimes  []time.Duration // from changedAt until a process suspects expectedSuspect
	leaveTimes      []time.Duration // from changedAt until a process knows that expectedSuspect leaves
	falseSuspicions int             // suspicions of other processes

	pingSentAt map[uint64]time.Time // by sequence number, over the cut link
	relayTimes []time.Duration      // from such a ping until a relay forwards the Ack
}

func newMemberSim(f coordinationFleet, seed uint64) *memberSim {
	sim := &memberSim{fleet: f, net: f.network(seed), pingSentAt: make(map[uint64]time.Time)}
	sim.net.Lose = func(_, _ string) bool {
		sim.messages++
		return false
	}
	sim.members = simnet.NewMemberFleet(sim.net, simnet.HostListOf(1, f.members))
	sim.members.OnAction = sim.recordAction
	for _, m := range f.members {
		sim.members.Start(m.ID)
	}
	sim.net.Run(memberSettleTime)
	sim.messages, sim.falseSuspicions = 0, 0
	return sim
}

func (sim *memberSim) recordAction(_ string, action membership.Action) {
	elapsed := sim.net.Now().Sub(sim.changedAt)
	switch a := action.(type) {
	case membership.MemberSuspected:
		if a.ID == sim.expectedSuspect {
			sim.suspicionTimes = append(sim.suspicionTimes, elapsed)
		} else {
			sim.falseSuspicions++
		}
	case membership.MemberLeaving:
		if a.ID == sim.expectedSuspect {
			sim.leaveTimes = append(sim.leaveTimes, elapsed)
		}
	}
}

func runMembership(seed uint64) []Row {
	var jobs []func() []Row
	for _, f := range append(coordinationFleets(), largerFleet) {
		jobs = append(jobs,
			func() []Row { return deadProcessRows(f, seed) },
			func() []Row { return leavingRows(f, seed) },
		)
		if len(f.members) > 100 {
			continue
		}
		jobs = append(jobs, func() []Row { return relayRows(f, seed) })
		for _, fault := range memberFaults {
			jobs = append(jobs, func() []Row { return falseSuspicionRows(f, fault, seed) })
		}
	}
	return runJobs(jobs)
}

// Maximum numbers of trials. memberTrials covers each process of the two deployments
// once.
const (
	memberTrials      = 28
	largeMemberTrials = 3
)

func (f coordinationFleet) trialMembers() []rendezvous.Member {
	if len(f.members) > 100 {
		return f.members[:largeMemberTrials]
	}
	return f.members[:min(memberTrials, len(f.members))]
}

// deadProcessRows stops one process after another and starts it again.
func deadProcessRows(f coordinationFleet, seed uint64) []Row {
	sim := newMemberSim(f, seed)
	var worst []time.Duration
	for _, m := range f.trialMembers() {
		sim.expectedSuspect, sim.changedAt, sim.suspicionTimes = m.ID, sim.net.Now(), nil
		sim.members.Stop(m.ID)
		sim.net.Run(memberSettleTime)
		if len(sim.suspicionTimes) < len(f.members)-1 {
			sim.suspicionTimes = append(sim.suspicionTimes, memberSettleTime)
		}
		_, last := medianAndMaxSeconds(sim.suspicionTimes)
		worst = append(worst, time.Duration(last*float64(time.Second)))
		sim.members.Start(m.ID)
		sim.net.Run(memberSettleTime)
	}
	row := Row{Case: "membership", Deployment: f.name, Fault: "process dies", Policy: systemPolicyName, Unit: "s", Pass: true}
	median, last := row, row
	median.Metric, last.Metric = "tried last by every process, median", "tried last by every process, worst"
	median.Value, last.Value = medianAndMaxSeconds(worst)
	return []Row{median, last}
}

// leavingRows makes one process after another announce that it leaves, with one link
// from it cut. The others must know within the time limit after which a leaving backend
// server gets no more work.
func leavingRows(f coordinationFleet, seed uint64) []Row {
	sim := newMemberSim(f, seed)
	last := time.Duration(0)
	for i, m := range f.trialMembers() {
		sim.net.SetLinkCut(m.ID, f.members[(i+1)%len(f.members)].ID, true)
		sim.expectedSuspect, sim.changedAt, sim.leaveTimes = m.ID, sim.net.Now(), nil
		sim.members.Perform(m.ID, sim.members.Tables[m.ID].Leave(sim.net.Now()))
		sim.net.Run(memberSettleTime)
		if len(sim.leaveTimes) < len(f.members)-1 {
			sim.leaveTimes = append(sim.leaveTimes, memberSettleTime)
		}
		for _, d := range sim.leaveTimes {
			last = max(last, d)
		}
		sim.members.Stop(m.ID)
		sim.net.RestoreLinks()
		sim.members.Start(m.ID)
		sim.net.Run(memberSettleTime)
	}
	row := Row{
		Case: "membership", Deployment: f.name, Fault: "process leaves, one link from it cut", Policy: systemPolicyName,
		Metric: "known to every process, worst", Value: last.Seconds(), Unit: "s",
	}
	return []Row{withTarget(row, "<= 2 s", row.Value <= maxLeaveSeconds)}
}

// relayRows cuts the link from one process to another and measures how long a ping
// takes through a relay.
func relayRows(f coordinationFleet, seed uint64) []Row {
	sim := newMemberSim(f, seed)
	from, to := f.members[0].ID, f.members[1].ID
	sim.net.SetLinkCut(from, to, true)
	sim.members.OnAction = func(id string, action membership.Action) {
		sim.recordAction(id, action)
		switch a := action.(type) {
		case membership.SendPing:
			if id == from && a.To == to {
				sim.pingSentAt[a.Ping.Seq] = sim.net.Now()
			}
		case membership.ForwardAck:
			if sent, ok := sim.pingSentAt[a.Ack.Seq]; ok && a.To == from {
				delete(sim.pingSentAt, a.Ack.Seq)
				sim.relayTimes = append(sim.relayTimes, sim.net.Now().Sub(sent))
			}
		}
	}
	sim.net.Run(10 * time.Minute)
	row := Row{Case: "membership", Deployment: f.name, Fault: "one link cut one way", Policy: systemPolicyName, Pass: true}
	median, last, lost := row, row, row
	median.Metric, last.Metric = "ping answered round the link, median", "ping answered round the link, worst"
	median.Value, last.Value = medianAndMaxSeconds(sim.relayTimes)
	median.Unit, last.Unit = "s", "s"
	lost.Metric, lost.Value = "false suspicions", float64(sim.falseSuspicions)
	return []Row{median, last, withTarget(lost, "0", sim.falseSuspicions == 0)}
}

// memberFault is a fault that is active while false suspicions are counted.
type memberFault struct {
	name      string
	hasTarget bool // only expectedSuspect may be suspected
	inject    func(sim *memberSim)
}

var memberFaults = []memberFault{
	{"none", true, func(*memberSim) {}},
	{"one process pauses for 2 s every 10 s", true, pauseRepeatedly},
	{"1 in 100 messages lost", true, func(sim *memberSim) { loseMessages(sim, 1) }},
	{"10 in 100 messages lost", false, func(sim *memberSim) { loseMessages(sim, 10) }},
	{"zone cannot send to other zones", false, func(sim *memberSim) { sim.fleet.cutOutboundLinks(sim.net, isolatedZone) }},
}

func pauseRepeatedly(sim *memberSim) {
	sim.expectedSuspect = sim.fleet.members[0].ID
	sim.net.Pause(sim.expectedSuspect, 2*time.Second)
	sim.net.RunAfter(10*time.Second, func() { pauseRepeatedly(sim) })
}

func loseMessages(sim *memberSim, percent int) {
	sim.net.Lose = func(_, _ string) bool {
		sim.messages++
		return sim.net.Rand.IntN(100) < percent
	}
}

// falseSuspicionRows counts the suspicions of running processes, and the messages.
func falseSuspicionRows(f coordinationFleet, fault memberFault, seed uint64) []Row {
	sim := newMemberSim(f, seed)
	fault.inject(sim)
	sim.net.Run(memberObservationTime)
	row := Row{Case: "membership", Deployment: f.name, Fault: fault.name, Policy: systemPolicyName, Metric: "false suspicions", Value: float64(sim.falseSuspicions)}
	target := ""
	if fault.hasTarget {
		target = "0"
	}
	rows := []Row{withTarget(row, target, sim.falseSuspicions == 0)}
	row.Metric, row.Unit = "messages of a process", "/s"
	row.Value = float64(sim.messages) / memberObservationTime.Seconds() / float64(len(f.members))
	return append(rows, withTarget(row, "", true))
}
