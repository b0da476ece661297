package measure

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

// coordinationFleet describes the processes of one deployment: one on each backend
// server's host, assigned to the zones round-robin.
type coordinationFleet struct {
	name           string
	members        []rendezvous.Member
	zones          int
	interZoneDelay time.Duration // one way between zones
}

// coordinationFleets returns the fleets of the two deployments.
func coordinationFleets() []coordinationFleet {
	var fleets []coordinationFleet
	for _, d := range trafficDeployments {
		hosts := 0
		for _, s := range d.services {
			hosts += s.backends
		}
		fleets = append(fleets, coordinationFleet{d.name, simnet.Members(hosts, d.zones), d.zones, d.interZoneDelay})
	}
	return fleets
}

// One-way delays within a zone and to the configuration service.
const (
	intraZoneDelay     = 100 * time.Microsecond
	configServiceDelay = 2 * time.Millisecond // the service answers in milliseconds
)

// network returns a network with the fleet's delays, each 1 to 1.5 times its base
// value.
func (f coordinationFleet) network(seed uint64) *simnet.Net {
	zone := make(map[string]string)
	for _, m := range f.members {
		zone[m.ID] = m.Zone
	}
	n := simnet.New(seed)
	n.Delay = func(from, to string) time.Duration {
		base := intraZoneDelay
		switch {
		case from == simnet.ConfigServiceName || to == simnet.ConfigServiceName:
			base = configServiceDelay
		case zone[from] != zone[to]:
			base = f.interZoneDelay
		}
		return base + time.Duration(n.Rand.Int64N(int64(base)/2))
	}
	return n
}

// cutOutboundLinks cuts the links from a zone to the processes of other zones.
func (f coordinationFleet) cutOutboundLinks(n *simnet.Net, zone string) {
	f.cutLinks(n, func(from, to rendezvous.Member) bool { return from.Zone == zone && to.Zone != zone })
}

// cutInboundLinks cuts the links from the processes of other zones to a zone.
func (f coordinationFleet) cutInboundLinks(n *simnet.Net, zone string) {
	f.cutLinks(n, func(from, to rendezvous.Member) bool { return from.Zone != zone && to.Zone == zone })
}

func (f coordinationFleet) cutLinks(n *simnet.Net, broken func(from, to rendezvous.Member) bool) {
	for _, from := range f.members {
		for _, to := range f.members {
			if broken(from, to) {
				n.SetLinkCut(from.ID, to.ID, true)
			}
		}
	}
}

// zoneAt returns the i-th zone, modulo the number of zones.
func (f coordinationFleet) zoneAt(i int) string { return f.members[i%f.zones].Zone }

// idsInZone returns the processes of a zone.
func (f coordinationFleet) idsInZone(zone string) []string {
	var ids []string
	for _, m := range f.members {
		if m.Zone == zone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// medianAndMaxSeconds returns the median and the maximum of values in seconds, or zeros
// if there are none.
func medianAndMaxSeconds(values []time.Duration) (median, worst float64) {
	if len(values) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2].Seconds(), sorted[len(sorted)-1].Seconds()
}

// runJobs runs independent jobs in parallel and returns their rows in the order of the
// jobs.
func runJobs(jobs []func() []Row) []Row {
	return slices.Concat(parallelMap(len(jobs), func(i int) []Row { return jobs[i]() })...)
}
