package capacity

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// The size that the design aims for.
const (
	goalHosts    = 2_700
	goalBackends = 31_000
	goalServices = 780
	goalRoutes   = 8_900
	goalTeams    = 72_000
	goalZones    = 16
	goalParts    = 1_024
	goalRequests = 280_000 // requests per second of the fleet
)

// hostSizes are the fleet sizes of the slopes.
var hostSizes = []int{300, 1_000, goalHosts}

// teamSizes are the numbers of teams of the slopes.
var teamSizes = []int{9_000, 36_000, goalTeams}

// hostsOf returns a fleet of the given size with its share of backend servers.
func hostsOf(n int) []control.Host {
	hosts := make([]control.Host, n)
	backends := goalBackends * n / goalHosts
	for i := range hosts {
		hosts[i] = control.Host{
			ID:          hostID(i),
			Zone:        fmt.Sprintf("zone-%d", i%goalZones),
			TrafficAddr: fmt.Sprintf("10.%d.%d.%d:8081", i>>16, i>>8&255, i&255),
			ControlAddr: fmt.Sprintf("10.%d.%d.%d:8082", i>>16, i>>8&255, i&255),
		}
	}
	for b := range backends {
		h := &hosts[b%n]
		h.Backends = append(h.Backends, control.Backend{
			ID:      fmt.Sprintf("backend-%d", b),
			Service: serviceName(b * goalServices / goalBackends),
			Addr:    fmt.Sprintf("127.0.0.1:%d", 9000+b/n),
			Slots:   7,
		})
	}
	return hosts
}

// membersOf returns the members of the fleet that hostsOf describes.
func membersOf(n int) []rendezvous.Member {
	members := make([]rendezvous.Member, n)
	for i := range members {
		members[i] = rendezvous.Member{ID: hostID(i), Zone: fmt.Sprintf("zone-%d", i%goalZones)}
	}
	return members
}

func hostID(i int) string { return fmt.Sprintf("host-%04d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// documentsOf returns the configuration with the given number of teams, and all
// routes and services.
func documentsOf(teams int, version uint64) (manifest []byte, parts map[string][]byte, err error) {
	fleet := config.Fleet{Classes: []config.Class{{
		Name: "read", Idempotent: true, TargetLatency: time.Second, Worth: 1, DefaultDeadline: time.Second,
	}}}
	for i := range goalServices {
		fleet.Services = append(fleet.Services, config.Service{Name: serviceName(i), CapacityFloor: 0.5, Class: "read"})
	}
	for i := range goalRoutes {
		service := serviceName(i % goalServices)
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
	return config.Build(version, goalParts, fleet, list)
}

// teamOf returns a team with two keys. The first team changes with the version.
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
