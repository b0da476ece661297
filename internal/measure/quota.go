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
	Register(Case{Name: "quota", Run: func(seed uint64) []Row { return runQuota(seed, quotaRuns) }})
}

// Assumptions about demand that the deployments do not state.
const (
	quotaTotalRate = 400.0 // requests per second of all teams together
	quotaBurst     = 0.5   // burst of a team, in seconds of its rate
	quotaUse       = 0.8   // demand of teams within their rate, before bursts are cut
	quotaHome      = 0.6   // share of first attempts in the team's home zone; others go anywhere
)

const (
	quotaWarmUp       = 10 * time.Second // buckets are full by then
	quotaQuiet        = 60 * time.Second // span without faults
	quotaFaulty       = 10 * time.Second // span from the onset of a fault
	quotaSettle       = 2 * time.Second  // requests that wait are decided by then
	quotaRuns         = 6                // runs of each short fault
	quotaAttempts     = 3                // exits that a request tries
	quotaRestartEvery = 5 * time.Second  // between two hosts of a rolling restart
	restartDown       = time.Second      // from a planned stop to the next start
	readyAfter        = 3 * time.Second  // from a start until callers use the process
)

// quotaFault is a fault that begins at the end of the warm-up.
type quotaFault struct {
	name   string
	target float64
	span   func(hosts int) time.Duration
	runs   func(short int) int
	bring  func(*quotaSim)
}

func shortSpan(int) time.Duration { return quotaFaulty }

var quotaFaults = []quotaFault{
	{"none", 0.0001, func(int) time.Duration { return quotaQuiet }, func(int) int { return 1 }, func(*quotaSim) {}},
	{"loss of a keeper", 0.01, shortSpan, func(short int) int { return short }, (*quotaSim).loseKeeper},
	{"zone cut one way", 0.01, shortSpan, func(short int) int { return short }, (*quotaSim).cutZone},
	{
		"rolling restart", 0.01, func(hosts int) time.Duration { return time.Duration(hosts) * quotaRestartEvery },
		func(int) int { return 1 }, (*quotaSim).restartAll,
	},
}

// arrival is one request. The noisy team also sends beyond its rate.
type arrival struct {
	at     time.Duration
	team   int
	inRate bool
}

// quotaTally is what came of the requests of one policy.
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

func (q *quotaTally) ratio() float64 {
	sent, refused := 0, 0
	for team := range q.sent {
		sent += q.sent[team]
		refused += q.refused[team]
	}
	return float64(refused) / float64(sent)
}

func (q *quotaTally) worst() float64 {
	worst := 0.0
	for team, sent := range q.sent {
		if sent > 0 {
			worst = max(worst, float64(q.refused[team])/float64(sent))
		}
	}
	return worst
}

// runQuota measures requests refused although within the rate, and the excess
// over the rate while the largest team sends 5 times its rate.
func runQuota(seed uint64, short int) []Row {
	var rows []Row
	for _, d := range trafficDeployments {
		for _, fault := range quotaFaults {
			runs := fault.runs(short)
			results := parallel(runs, func(i int) [3]quotaTally { return quotaRun(d, fault, seed+uint64(i)) })
			for policy, name := range []string{realPolicy.name, "equal static split", "check at each process alone"} {
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
	refused.Metric, refused.Value = "refused within the rate", tally.ratio()
	target := "<= 0.01"
	if fault.target < 0.01 {
		target = "<= 0.0001"
	}
	refused = judged(refused, target, refused.Value <= fault.target)
	worst.Metric, worst.Value = "refused within the rate, worst team", tally.worst()
	excess.Metric, excess.Unit, excess.Value = "excess over rate * w + burst", "requests", tally.excess
	excess = judged(excess, "<= 0", tally.excess <= 0)
	return []Row{refused, worst, excess}
}

// quotaLimits divides the total rate among the teams.
func quotaLimits() []quota.Limit {
	limits := make([]quota.Limit, len(trafficShares))
	for i, share := range trafficShares {
		rate := share * quotaTotalRate
		limits[i] = quota.Limit{Rate: rate, Burst: rate * quotaBurst, Version: 1}
	}
	return limits
}

func teamName(team int) string { return string(rune('a' + team)) }

// idealBucket is one token bucket that sees all requests.
type idealBucket struct {
	limit quota.Limit
	level float64
	at    time.Duration
}

func (b *idealBucket) take(at time.Duration) bool {
	b.level = min(b.limit.Burst, b.level+b.limit.Rate*(at-b.at).Seconds())
	b.at = at
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// quotaArrivals draws the requests in the order of time. Requests beyond a
// team's rate are kept for the noisy team only.
func quotaArrivals(r *rand.Rand, limits []quota.Limit, end time.Duration) []arrival {
	var all []arrival
	next := make([]time.Duration, len(limits))
	ideal := make([]idealBucket, len(limits))
	use := make([]float64, len(limits))
	for team, l := range limits {
		ideal[team] = idealBucket{limit: l, level: l.Burst, at: quotaWarmUp / 2}
		use[team] = quotaUse * l.Rate
		if team == noisyTeam {
			use[team] = noisyFactor * l.Rate
		}
		next[team] = quotaWarmUp/2 + exponential(r, use[team])
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
		next[team] += exponential(r, use[team])
		inRate := ideal[team].take(at)
		if inRate || team == noisyTeam {
			all = append(all, arrival{at: at, team: team, inRate: inRate && team != noisyTeam})
		}
	}
}

// quotaRun runs one fault under the real decisions and under the baselines.
func quotaRun(d trafficDeployment, fault quotaFault, seed uint64) [3]quotaTally {
	zones := []string{"a", "b", "c", "d"}[:d.zones]
	n := 0
	for _, s := range d.services {
		n += s.backends
	}
	limits := quotaLimits()
	end := quotaWarmUp + fault.span(n)
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

// chooseHost picks a host: in the zone for a share of the requests, else anywhere.
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
			buckets[m.ID] = append(buckets[m.ID], idealBucket{limit: l, level: l.Burst})
		}
	}
	var tally quotaTally
	var admitted []fleetsim.Admission
	for _, a := range arrivals {
		host, _ := chooseHost(r, hosts, zones[a.team%len(zones)], quotaHome, func(string) bool { return true })
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
	if !a.inRate || a.at < quotaWarmUp {
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

// quotaSim runs the real decisions.
type quotaSim struct {
	fleet   *fleetsim.Fleet
	hosts   []rendezvous.Member
	zones   []string
	limits  []quota.Limit
	r       *rand.Rand
	unusual map[string]bool // hosts that callers avoid: down, stopping or starting
	decided []quota.Decision
}

func newQuotaSim(d trafficDeployment, hosts []rendezvous.Member, zones []string, limits []quota.Limit, seed uint64) *quotaSim {
	named := make(map[string]quota.Limit)
	for team, l := range limits {
		named[teamName(team)] = l
	}
	cfg := fleetsim.Config{
		Seed: seed, Hosts: hosts, SameZoneLatency: d.distance / 4, CrossZoneLatency: d.distance,
		Jitter: d.distance / 2, MaxClockSlowdown: 0.0196,
	}
	return &quotaSim{
		fleet: fleetsim.New(cfg, named), hosts: hosts, zones: zones, limits: limits,
		r: rand.New(rand.NewPCG(seed, 22)), unusual: make(map[string]bool),
	}
}

func (s *quotaSim) run(fault quotaFault, arrivals []arrival, end time.Duration) quotaTally {
	s.decided = make([]quota.Decision, len(arrivals))
	for i, a := range arrivals {
		s.decided[i] = quota.Unavailable
		s.fleet.At(a.at, func() { s.try(i, a.team, nil) })
	}
	s.fleet.At(quotaWarmUp, func() { fault.bring(s) })
	s.fleet.Run(end + quotaSettle)
	var tally quotaTally
	for i, a := range arrivals {
		tally.count(a, s.decided[i] == quota.Admit)
	}
	tally.excess = worstExcess(s.fleet.Admissions, s.limits)
	return tally
}

// try sends a request to one exit and to others when no keeper answered there.
func (s *quotaSim) try(request, team int, tried []string) {
	share := quotaHome
	if len(tried) > 0 {
		share = 0
	}
	usable := func(id string) bool { return !s.unusual[id] && !slices.Contains(tried, id) }
	host, ok := chooseHost(s.r, s.hosts, s.zones[team%len(s.zones)], share, usable)
	if !ok {
		return
	}
	tried = append(slices.Clone(tried), host)
	s.fleet.Request(host, teamName(team), func(d quota.Decision) {
		s.decided[request] = d
		if d == quota.Unavailable && len(tried) < quotaAttempts {
			s.try(request, team, tried)
		}
	})
}

// loseKeeper crashes the process that keeps a part of the largest team within
// its rate.
func (s *quotaSim) loseKeeper() {
	host := s.fleet.Keeper(quota.Key{Team: teamName(noisyTeam + 1)}.Shard())
	s.unusual[host] = true
	s.fleet.Crash(host)
}

// cutZone drops all messages from one zone to the others.
func (s *quotaSim) cutZone() {
	zone := s.zones[s.r.IntN(len(s.zones))]
	s.fleet.CutLinks(func(from, to rendezvous.Member) bool { return from.Zone == zone && to.Zone != zone })
}

// restartAll stops and starts one host after the other.
func (s *quotaSim) restartAll() {
	for i, m := range s.hosts {
		stop := quotaWarmUp + time.Duration(i)*quotaRestartEvery
		s.fleet.At(stop, func() {
			s.unusual[m.ID] = true
			s.fleet.Stop(m.ID, restartDown)
		})
		s.fleet.At(stop+restartDown+time.Millisecond, func() { s.fleet.Start(m.ID) })
		s.fleet.At(stop+restartDown+readyAfter, func() { delete(s.unusual, m.ID) })
	}
}
