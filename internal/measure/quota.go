package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/fleetsim"
)

func init() {
	Register(Case{Name: "quota", Run: func(seed uint64) []Row { return runQuota(seed, quotaShortFaultRuns) }})
}

// Assumptions about demand that the deployments do not state.
const (
	quotaTotalRatePerSecond = 400.0 // of all teams together
	quotaBurstSeconds       = 0.5   // burst of a team, in seconds at its rate
	quotaDemandRatio        = 0.8   // demand over rate of the other teams, before bursts are cut off
	quotaHomeZoneShare      = 0.6   // share of first attempts in the team's home zone; the others go to any zone
)

const (
	quotaWarmUp          = 10 * time.Second // buckets are full by then
	quotaFaultFreeTime   = 60 * time.Second
	quotaFaultTime       = 10 * time.Second // from the onset of a fault
	quotaSettleTime      = 2 * time.Second  // waiting requests are decided by then
	quotaShortFaultRuns  = 6                // runs of each short fault
	quotaMaxAttempts     = 3                // exits that a request tries
	quotaRestartInterval = 5 * time.Second  // between two hosts of a rolling restart
	quotaRestartDowntime = time.Second      // from a planned stop to the next start
	quotaReadyDelay      = 3 * time.Second  // from a start until callers use the process
)

// quotaFault is a fault that begins at the end of the warm-up.
type quotaFault struct {
	name            string
	maxRefusedRatio float64
	duration        func(hosts int) time.Duration
	runCount        func(short int) int
	inject          func(*quotaSim)
}

func shortFaultDuration(int) time.Duration { return quotaFaultTime }

var quotaFaults = []quotaFault{
	{"none", 0.0001, func(int) time.Duration { return quotaFaultFreeTime }, func(int) int { return 1 }, func(*quotaSim) {}},
	{"loss of a keeper", 0.01, shortFaultDuration, func(short int) int { return short }, (*quotaSim).loseLeader},
	{"zone cut one way", 0.01, shortFaultDuration, func(short int) int { return short }, (*quotaSim).cutZoneOutbound},
	{
		"rolling restart", 0.01, func(hosts int) time.Duration { return time.Duration(hosts) * quotaRestartInterval },
		func(int) int { return 1 }, (*quotaSim).rollingRestart,
	},
}

// arrival is one request. Only the noisy team sends requests beyond its rate.
type arrival struct {
	at         time.Duration
	team       int
	withinRate bool
}

// quotaTally counts the outcomes of the requests under one policy.
type quotaTally struct {
	sent, refused [8]int // of teams within their rate
	excess        float64
}

func (q *quotaTally) add(other quotaTally) {
	for team := range q.sent {
		q.sent[team] += other.sent[team]
		q.refused[team] += other.refused[team]
	}
	q.excess = max(q.excess, other.excess)
}

func (q *quotaTally) refusedRatio() float64 {
	sent, refused := 0, 0
	for team := range q.sent {
		sent += q.sent[team]
		refused += q.refused[team]
	}
	return float64(refused) / float64(sent)
}

func (q *quotaTally) worstTeamRatio() float64 {
	worst := 0.0
	for team, sent := range q.sent {
		if sent > 0 {
			worst = max(worst, float64(q.refused[team])/float64(sent))
		}
	}
	return worst
}

// runQuota measures the requests refused although within the rate, and the excess over
// the rate while the largest team sends 5 times its rate.
func runQuota(seed uint64, shortFaultRuns int) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, fault := range quotaFaults {
			runs := fault.runCount(shortFaultRuns)
			results := parallelMap(runs, func(i int) [3]quotaTally { return quotaRun(d, fault, seed+uint64(i)) })
			for policy, name := range []string{systemPolicy.name, "equal static split", "check at each process alone"} {
				var tally quotaTally
				for _, r := range results {
					tally.add(r[policy])
				}
				rows = append(rows, quotaRows(d, fault, name, tally)...)
			}
		}
	}
	return rows
}

func quotaRows(d trafficDeployment, fault quotaFault, policy string, tally quotaTally) []Row {
	row := Row{Case: "quota", Deployment: d.name, Fault: fault.name, Policy: policy, Unit: "ratio", Pass: true}
	refused, worst, excess := row, row, row
	refused.Metric, refused.Value = "refused within the rate", tally.refusedRatio()
	target := "<= 0.01"
	if fault.maxRefusedRatio < 0.01 {
		target = "<= 0.0001"
	}
	refused = withTarget(refused, target, refused.Value <= fault.maxRefusedRatio)
	worst.Metric, worst.Value = "refused within the rate, worst team", tally.worstTeamRatio()
	excess.Metric, excess.Unit, excess.Value = "excess over rate * w + burst", "requests", tally.excess
	excess = withTarget(excess, "<= 0", tally.excess <= 0)
	return []Row{refused, worst, excess}
}

// quotaLimits divides the total rate among the teams.
func quotaLimits() []quota.Limit {
	limits := make([]quota.Limit, len(teamDemandShares))
	for i, share := range teamDemandShares {
		rate := share * quotaTotalRatePerSecond
		limits[i] = quota.Limit{Rate: rate, Burst: rate * quotaBurstSeconds, Version: 1}
	}
	return limits
}

func teamName(team int) string { return string(rune('a' + team)) }

// idealBucket is one token bucket that sees all requests.
type idealBucket struct {
	limit  quota.Limit
	tokens float64
	at     time.Duration
}

func (b *idealBucket) take(at time.Duration) bool {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*(at-b.at).Seconds())
	b.at = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// quotaArrivals draws the requests in time order. Requests beyond a team's rate are
// kept only for the noisy team.
func quotaArrivals(r *rand.Rand, limits []quota.Limit, end time.Duration) []arrival {
	var all []arrival
	next := make([]time.Duration, len(limits))
	ideal := make([]idealBucket, len(limits))
	demand := make([]float64, len(limits))
	for team, l := range limits {
		ideal[team] = idealBucket{limit: l, tokens: l.Burst, at: quotaWarmUp / 2}
		demand[team] = quotaDemandRatio * l.Rate
		if team == noisyTeam {
			demand[team] = noisyFactor * l.Rate
		}
		next[team] = quotaWarmUp/2 + exponential(r, demand[team])
	}
	for {
		team := 0
		for i := range next {
			if next[i] < next[team] {
				team = i
			}
		}
		at := next[team]
		if at >= end {
			return all
		}
		next[team] += exponential(r, demand[team])
		withinRate := ideal[team].take(at)
		if withinRate || team == noisyTeam {
			all = append(all, arrival{at: at, team: team, withinRate: withinRate && team != noisyTeam})
		}
	}
}

// quotaRun runs one fault under the system's policy and the two baselines.
func quotaRun(d trafficDeployment, fault quotaFault, seed uint64) [3]quotaTally {
	zones := []string{"a", "b", "c", "d"}[:d.zones]
	n := 0
	for _, s := range d.services {
		n += s.backends
	}
	limits := quotaLimits()
	end := quotaWarmUp + fault.duration(n)
	arrivals := quotaArrivals(rand.New(rand.NewPCG(seed, 21)), limits, end)
	hosts := fleetsim.Hosts(n, zones...)
	sim := newQuotaSim(d, hosts, zones, limits, seed)
	split := make([]quota.Limit, len(limits))
	for team, l := range limits {
		split[team] = quota.Limit{Rate: l.Rate / float64(n), Burst: max(1, l.Burst/float64(n))}
	}
	return [3]quotaTally{
		sim.run(fault, arrivals, end),
		runBuckets(arrivals, hosts, zones, split, limits, seed),
		runBuckets(arrivals, hosts, zones, limits, limits, seed),
	}
}

// chooseHost returns a random usable host, restricted to the zone for a share of the
// requests. It returns false if it finds none.
func chooseHost(r *rand.Rand, hosts []rendezvous.Member, zone string, share float64, usable func(string) bool) (string, bool) {
	home := r.Float64() < share
	for range 8 * len(hosts) {
		m := hosts[r.IntN(len(hosts))]
		if (!home || m.Zone == zone) && usable(m.ID) {
			return m.ID, true
		}
	}
	return "", false
}

// runBuckets gives each host its own token bucket for each team.
func runBuckets(arrivals []arrival, hosts []rendezvous.Member, zones []string, each, limits []quota.Limit, seed uint64) quotaTally {
	r := rand.New(rand.NewPCG(seed, 22))
	buckets := make(map[string][]idealBucket)
	for _, m := range hosts {
		for _, l := range each {
			buckets[m.ID] = append(buckets[m.ID], idealBucket{limit: l, tokens: l.Burst})
		}
	}
	var tally quotaTally
	var admitted []fleetsim.Admission
	for _, a := range arrivals {
		host, _ := chooseHost(r, hosts, zones[a.team%len(zones)], quotaHomeZoneShare, func(string) bool { return true })
		ok := buckets[host][a.team].take(a.at)
		if ok {
			admitted = append(admitted, fleetsim.Admission{At: a.at, Team: teamName(a.team)})
		}
		tally.count(a, ok)
	}
	tally.excess = worstExcess(admitted, limits)
	return tally
}

func (q *quotaTally) count(a arrival, admitted bool) {
	if !a.withinRate || a.at < quotaWarmUp {
		return
	}
	q.sent[a.team]++
	if !admitted {
		q.refused[a.team]++
	}
}

func worstExcess(admitted []fleetsim.Admission, limits []quota.Limit) float64 {
	worst := 0.0
	for team, l := range limits {
		worst = max(worst, fleetsim.Excess(admitted, teamName(team), []fleetsim.LimitChange{{Limit: l}}, 0))
	}
	return worst
}

// quotaSim runs decide/quota on a simulated fleet.
type quotaSim struct {
	fleet     *fleetsim.Fleet
	hosts     []rendezvous.Member
	zones     []string
	limits    []quota.Limit
	rng       *rand.Rand
	avoided   map[string]bool // hosts that callers avoid: down, stopping or starting
	decisions []quota.Decision
}

func newQuotaSim(d trafficDeployment, hosts []rendezvous.Member, zones []string, limits []quota.Limit, seed uint64) *quotaSim {
	named := make(map[string]quota.Limit)
	for team, l := range limits {
		named[teamName(team)] = l
	}
	cfg := fleetsim.Config{
		Seed: seed, Hosts: hosts, SameZoneLatency: d.interZoneDelay / 4, CrossZoneLatency: d.interZoneDelay,
		Jitter: d.interZoneDelay / 2, MaxClockSlowdown: 0.0196,
	}
	return &quotaSim{
		fleet: fleetsim.New(cfg, named), hosts: hosts, zones: zones, limits: limits,
		rng: rand.New(rand.NewPCG(seed, 22)), avoided: make(map[string]bool),
	}
}

func (s *quotaSim) run(fault quotaFault, arrivals []arrival, end time.Duration) quotaTally {
	s.decisions = make([]quota.Decision, len(arrivals))
	for i, a := range arrivals {
		s.decisions[i] = quota.Unavailable
		s.fleet.At(a.at, func() { s.send(i, a.team, nil) })
	}
	s.fleet.At(quotaWarmUp, func() { fault.inject(s) })
	s.fleet.Run(end + quotaSettleTime)
	var tally quotaTally
	for i, a := range arrivals {
		tally.count(a, s.decisions[i] == quota.Admit)
	}
	tally.excess = worstExcess(s.fleet.Admissions, s.limits)
	return tally
}

// send sends a request to an exit, and to further exits while no leader answers.
func (s *quotaSim) send(request, team int, tried []string) {
	share := quotaHomeZoneShare
	if len(tried) > 0 {
		share = 0
	}
	usable := func(id string) bool { return !s.avoided[id] && !slices.Contains(tried, id) }
	host, ok := chooseHost(s.rng, s.hosts, s.zones[team%len(s.zones)], share, usable)
	if !ok {
		return
	}
	tried = append(slices.Clone(tried), host)
	s.fleet.Request(host, teamName(team), func(d quota.Decision) {
		s.decisions[request] = d
		if d == quota.Unavailable && len(tried) < quotaMaxAttempts {
			s.send(request, team, tried)
		}
	})
}

// loseLeader crashes the process that leads a shard of the largest team that stays
// within its rate.
func (s *quotaSim) loseLeader() {
	host := s.fleet.Leader(quota.Key{Team: teamName(noisyTeam + 1)}.Shard())
	s.avoided[host] = true
	s.fleet.Crash(host)
}

// cutZoneOutbound drops all messages from one zone to the others.
func (s *quotaSim) cutZoneOutbound() {
	zone := s.zones[s.rng.IntN(len(s.zones))]
	s.fleet.CutLinks(func(from, to rendezvous.Member) bool { return from.Zone == zone && to.Zone != zone })
}

// rollingRestart stops and starts the hosts one after another.
func (s *quotaSim) rollingRestart() {
	for i, m := range s.hosts {
		stop := quotaWarmUp + time.Duration(i)*quotaRestartInterval
		s.fleet.At(stop, func() {
			s.avoided[m.ID] = true
			s.fleet.Stop(m.ID, quotaRestartDowntime)
		})
		s.fleet.At(stop+quotaRestartDowntime+time.Millisecond, func() { s.fleet.Start(m.ID) })
		s.fleet.At(stop+quotaRestartDowntime+quotaReadyDelay, func() { delete(s.avoided, m.ID) })
	}
}
