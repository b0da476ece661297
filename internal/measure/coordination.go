package measure

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

// coordinationFleet is the processes of one deployment: one for each backend
// server's host, over the zones in turn.
type coordinationFleet struct {
	name     string
	members  []rendezvous.Member
	zones    int
	distance time.Duration // one way between zones
}

// coordinationFleets returns the fleets of the two deployments.
func coordinationFleets() []coordinationFleet {
	var fleets []coordinationFleet
	for _, d := range trafficDeployments {
		hosts := 0
		for _, s := range d.services {
			hosts += s.backends
		}
		fleets = append(fleets, coordinationFleet{d.name, simnet.Members(hosts, d.zones), d.zones, d.distance})
	}
	return fleets
}

// Delays besides the distance between zones.
const (
	localDelay   = 100 * time.Microsecond
	serviceDelay = 2 * time.Millisecond // one way; the service answers in milliseconds
)

// network returns a network with the fleet's delays, each up to 1.5 times its base.
func (f coordinationFleet) network(seed uint64) *simnet.Net {
	zone := make(map[string]string)
	for _, m := range f.members {
		zone[m.ID] = m.Zone
	}
	n := simnet.New(seed)
	n.Delay = func(from, to string) time.Duration {
		base := localDelay
		switch {
		case from == simnet.ConfigServiceName || to == simnet.ConfigServiceName:
			base = serviceDelay
		case zone[from] != zone[to]:
			base = f.distance
		}
		return base + time.Duration(n.Rand.Int64N(int64(base)/2))
	}
	return n
}

// cutZoneOut breaks the links from a zone to the processes of other zones.
func (f coordinationFleet) cutZoneOut(n *simnet.Net, zone string) {
	f.cut(n, func(from, to rendezvous.Member) bool { return from.Zone == zone && to.Zone != zone })
}

// cutZoneIn breaks the links from the processes of other zones to a zone.
func (f coordinationFleet) cutZoneIn(n *simnet.Net, zone string) {
	f.cut(n, func(from, to rendezvous.Member) bool { return from.Zone != zone && to.Zone == zone })
}

func (f coordinationFleet) cut(n *simnet.Net, broken func(from, to rendezvous.Member) bool) {
	for _, from := range f.members {
		for _, to := range f.members {
			if broken(from, to) {
				n.SetLinkCut(from.ID, to.ID, true)
			}
		}
	}
}

// zone returns the zones in turn.
func (f coordinationFleet) zone(i int) string { return f.members[i%f.zones].Zone }

// inZone returns the processes of a zone.
func (f coordinationFleet) inZone(zone string) []string {
	var ids []string
	for _, m := range f.members {
		if m.Zone == zone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// medianAndWorst returns the median and the largest of some durations, in seconds.
func medianAndWorst(values []time.Duration) (median, worst float64) {
	if len(values) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2].Seconds(), sorted[len(sorted)-1].Seconds()
}

// runJobs runs independent jobs at once and returns their rows in order.
func runJobs(jobs []func() []Row) []Row {
	return slices.Concat(parallel(len(jobs), func(i int) []Row { return jobs[i]() })...)
}
