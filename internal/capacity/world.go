package capacity

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// The fleet size that the design targets.
const (
	targetHosts             = 2_700
	targetBackends          = 31_000
	targetServices          = 780
	targetRoutes            = 8_900
	targetTeams             = 72_000
	targetZones             = 16
	targetConfigParts       = 1_024
	targetRequestsPerSecond = 280_000 // requests per second of the fleet
)

// hostCounts lists the measured fleet sizes.
var hostCounts = []int{300, 1_000, targetHosts}

// teamCounts lists the measured numbers of teams.
var teamCounts = []int{9_000, 36_000, targetTeams}

// hostsOf returns a fleet of n hosts with a proportional number of backend servers.
func hostsOf(n int) []control.Host {
	hosts := make([]control.Host, n)
	backends := targetBackends * n / targetHosts
	for i := range hosts {
		hosts[i] = control.Host{
			ID:          hostID(i),
			Zone:        fmt.Sprintf("zone-%d", i%targetZones),
			TrafficAddr: fmt.Sprintf("10.%d.%d.%d:8081", i>>16, i>>8&255, i&255),
			ControlAddr: fmt.Sprintf("10.%d.%d.%d:8082", i>>16, i>>8&255, i&255),
		}
	}
	for b := range backends {
		h := &hosts[b%n]
		h.Backends = append(h.Backends, control.Backend{
			ID:      fmt.Sprintf("backend-%d", b),
			Service: serviceName(b * targetServices / targetBackends),
			Addr:    fmt.Sprintf("127.0.0.1:%d", 9000+b/n),
			Slots:   7,
		})
	}
	return hosts
}

// membersOf returns the fleet members for the hosts of hostsOf.
func membersOf(n int) []rendezvous.Member {
	members := make([]rendezvous.Member, n)
	for i := range members {
		members[i] = rendezvous.Member{ID: hostID(i), Zone: fmt.Sprintf("zone-%d", i%targetZones)}
	}
	return members
}

func hostID(i int) string { return fmt.Sprintf("host-%04d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// buildDocuments returns a configuration with the given number of teams and all
// routes and services of the target size.
func buildDocuments(teams int, version uint64) (manifest []byte, parts map[string][]byte, err error) {
	fleet := config.Fleet{Classes: []config.Class{{
		Name: "read", Idempotent: true, TargetLatency: time.Second, Worth: 1, DefaultDeadline: time.Second,
	}}}
	for i := range targetServices {
		fleet.Services = append(fleet.Services, config.Service{Name: serviceName(i), CapacityFloor: 0.5, Class: "read"})
	}
	for i := range targetRoutes {
		service := serviceName(i % targetServices)
		fleet.Routes = append(fleet.Routes, config.Route{
			Name:    fmt.Sprintf("route-%d", i),
			Methods: []string{"GET"},
			Prefix:  fmt.Sprintf("/%s/v1/r%d", service, i),
			Service: service,
		})
	}
	list := make([]config.Team, teams)
	for i := range list {
		list[i] = teamOf(i, version)
	}
	return config.Build(version, targetConfigParts, fleet, list)
}

// teamOf returns a team with two keys. The rate of team 0 depends on the version.
func teamOf(i int, version uint64) config.Team {
	name := fmt.Sprintf("team-%05d", i)
	team := config.Team{Name: name, Rate: 4, Burst: 16}
	if i == 0 {
		team.Rate = float64(version)
	}
	for _, id := range []string{"key-1", "key-2"} {
		team.Keys = append(team.Keys, config.Key{ID: id, Digest: sha256.Sum256([]byte(name + id))})
	}
	return team
}
