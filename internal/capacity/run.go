package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Run measures all slopes.
func Run() ([]Slope, error) {
	slopes, err := configSlopes()
	if err != nil {
		return nil, err
	}
	changes, err := changeSlope()
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, changes...)
	slopes = append(slopes, nodeSlopes()...)
	slopes = append(slopes, routingSlopes()...)
	slopes = append(slopes, ledgerSlope(), ledgerMessages())
	slopes = append(slopes, quotaSlope()...)
	rpc, err := rpcSlopes()
	if err != nil {
		return nil, err
	}
	return append(slopes, rpc...), nil
}

// configSlopes measures the configuration with all routes and a growing number of
// teams.
func configSlopes() ([]Slope, error) {
	heap := Slope{Name: "configuration: heap with the values kept for peers", Per: "teams", Unit: "MB"}
	parse := Slope{Name: "configuration: whole parse at a start", Per: "teams", Unit: "ms"}
	update := Slope{Name: "configuration: one changed team value", Per: "teams", Unit: "ms"}
	size := Slope{Name: "configuration: all values, fetched at a start", Per: "teams", Unit: "MB"}
	for _, teams := range teamCounts {
		manifest, parts, err := buildDocuments(teams, 1)
		if err != nil {
			return nil, err
		}
		nextManifest, nextParts, err := buildDocuments(teams, 2)
		if err != nil {
			return nil, err
		}
		var current *config.Config
		parse.add(teams, measureMinMicros(func() { current, _ = config.Parse(manifest, parts) })/1e3)
		update.add(teams, measureMinMicros(func() { current.Update(nextManifest, nextParts) })/1e3)
		size.add(teams, float64(totalSize(parts)+len(manifest))/1e6)
		current = nil
		heap.add(teams, measureHeapMB(func() any {
			cfg, _ := config.Parse(manifest, parts)
			return cfg
		})+float64(totalSize(parts))/1e6)
	}
	return []Slope{size, heap, parse, update}, nil
}

func (s *Slope) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: size, Value: value})
}

func totalSize(parts map[string][]byte) int {
	total := 0
	for _, p := range parts {
		total += len(p)
	}
	return total
}

// measuredVirtualSeconds is the virtual time over which a process is measured.
const measuredVirtualSeconds = 60

// nodeSlopes measures the control loop of one process in fleets of growing size.
func nodeSlopes() []Slope {
	processor := Slope{Name: "control loop, idle: processor time", Per: "hosts", Unit: "us/s"}
	change := Slope{Name: "control loop: one host replaced", Per: "hosts", Unit: "ms"}
	heap := Slope{Name: "control loop: heap for hosts and backend servers", Per: "hosts", Unit: "MB"}
	traffic := make(map[string]*Slope)
	total := Slope{Name: "control messages, idle: all kinds", Per: "hosts", Unit: "B/s"}
	perShard := Slope{Name: "lease messages of one kept shard", Per: "hosts", Unit: "B/s"}
	for _, n := range hostCounts {
		cost := measureNode(n, measuredVirtualSeconds)
		processor.add(n, float64(cost.ProcessorTime.Microseconds()))
		heap.add(n, cost.HeapMB)
		change.add(n, cost.HostChangeMillis)
		if cost.HeldShards > 0 {
			perShard.add(n, float64(cost.Traffic[leaseMessageKind].Bytes)/float64(cost.VirtualSeconds)/float64(cost.HeldShards))
		}
		sum := 0.0
		for kind := range cost.Traffic {
			s := traffic[kind]
			if s == nil {
				s = &Slope{Name: "control messages, idle: " + kind, Per: "hosts", Unit: "B/s"}
				traffic[kind] = s
			}
			rate := cost.meanBytesPerSecond(kind, n)
			s.add(n, rate)
			sum += rate
		}
		total.add(n, sum)
	}
	slopes := []Slope{processor, change, heap, total, perShard}
	return append(slopes, sortedByName(traffic)...)
}

func sortedByName(byKind map[string]*Slope) []Slope {
	var slopes []Slope
	for _, s := range byKind {
		slopes = append(slopes, *s)
	}
	sort.Slice(slopes, func(i, j int) bool { return slopes[i].Name < slopes[j].Name })
	return slopes
}

// choicesPerRound is the number of backend server choices timed in one round.
const choicesPerRound = 100_000

// routingSlopes measures the choice of a backend server and the construction of a
// subset, for services of growing size.
func routingSlopes() []Slope {
	choose := Slope{Name: "choice of a backend server", Per: "backend servers of the service", Unit: "ns"}
	subset := Slope{Name: "subset of a team, made once for each host list", Per: "backend servers of the service", Unit: "us"}
	now := time.Unix(1_800_000_000, 0)
	for _, n := range []int{8, 40, 1_000, targetBackends} {
		members := make([]*balance.Member, n)
		for i := range members {
			members[i] = balance.NewMember(now, fmt.Sprintf("backend-%d", i), hostID(i%targetHosts), fmt.Sprintf("zone-%d", i%targetZones))
		}
		options := balance.SubsetOptions{Zone: "zone-0"}
		var s *balance.Subset
		subset.add(n, measureMinMicros(func() { s = balance.NewSubset("team", "service", members, options) }))
		r := rand.New(rand.NewPCG(1, 1))
		choose.add(n, measureMinMicros(func() {
			for range choicesPerRound {
				balance.Choose(now, r, s, 0)
			}
		})*1e3/choicesPerRound)
	}
	return []Slope{choose, subset}
}

// ledgerSlope measures the heap of a ledger with a growing number of records.
func ledgerSlope() Slope {
	s := Slope{Name: "ledger: heap", Per: "records", Unit: "MB"}
	now := time.Unix(1_800_000_000, 0)
	members := []rendezvous.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2"}, {ID: "c", Zone: "3"}}
	for _, n := range []int{10_000, 50_000, 200_000} {
		s.add(n, measureHeapMB(func() any {
			replica := ledger.NewReplica(now, ledger.Options{Self: "a"})
			replica.SetMembers(now, members)
			load := func(at time.Time, i int) {
				key := fmt.Sprintf("visit-%d", i)
				shard := ledger.ShardOf("team", key, rendezvous.ShardCount)
				set := ledger.ReplicaSetID(ledger.ReplicasOf(shard, members))
				replica.Claim(at, ledger.Claim{Team: "team", Key: key, Attempt: key, RequestDigest: uint64(i), ReplicaSet: set, First: true})
			}
			for i := range n {
				load(now.Add(10*time.Second), i) // opens the shards; they grant claims only after a delay
			}
			for i := range n {
				load(now.Add(20*time.Second), i)
			}
			if replica.Len() != n {
				panic(fmt.Sprintf("the ledger holds %d of %d records", replica.Len(), n))
			}
			return replica
		}))
		runtime.GC()
	}
	return s
}

// ledgerMessages returns the bytes of the claim and finish messages of one request
// with an idempotency key, for one replica up to ledger.ReplicaCount replicas.
func ledgerMessages() Slope {
	s := Slope{Name: "ledger: messages for one request with a key", Per: "holders", Unit: "B"}
	claim := ledger.Claim{Team: "team-00001", Key: "5f2b6f0e-visit-4711", Attempt: "k3x9-1a2b3c", RequestDigest: 1 << 62, ReplicaSet: 1 << 62}
	finish := ledger.Finish{Team: claim.Team, Key: claim.Key, Attempt: claim.Attempt, RequestDigest: claim.RequestDigest, Status: 200}
	reply := ledger.ClaimReply{Replica: hostID(1), Attempt: claim.Attempt, Result: ledger.Granted}
	for replicas := 1; replicas <= ledger.ReplicaCount; replicas++ {
		s.add(replicas, float64(replicas*(encodedBytes(claim, reply)+encodedBytes(finish, control.Ack{}))))
	}
	return s
}
