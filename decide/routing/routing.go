// Package routing finds the route and the service of a request and the team of an
// API key. A Table is the index of one version of the operators' configuration.
package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Config is one decoded version of the operators' configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Services []Service
	Routes   []Route
	Teams    []Team
	// RequireKeys makes an API key mandatory on routes without AllowAnonymous. A
	// configuration may require keys without listing a team.
	RequireKeys bool
}

// Limits bounds the size of requests and the time that a caller may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // accepted by one backend server from all callers together
	// WarmUpTime is how long a backend server is cold after its start, and WarmUpRate the
	// requests per second that it accepts meanwhile; 0 means no limit.
	WarmUpTime time.Duration
	WarmUpRate float64
}

// Route maps a path prefix of one host to services.
type Route struct {
	Name             string
	Host             string
	Prefix           string            // begins and ends with a slash
	WeightedServices []WeightedService // at least one
	Idempotent       bool              // requests may run more than once
	AllowAnonymous   bool              // no API key is needed
	Timeout          time.Duration
	TargetLatency    time.Duration // answers within this latency have their full value
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // maximum number of backend servers that one request is sent to
}

// WeightedService is a service of a route with its relative share of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Team is a tenant with its API keys and its rate limit over all hosts together.
type Team struct {
	Name     string
	Keys     []string
	Priority int     // 0 is the most urgent
	Rate     float64 // requests per second; 0 means no limit
	Burst    float64 // requests permitted at once beyond the rate
}

// Table is an immutable index of a Config.
type Table struct {
	config         Config
	routesByHost   map[string][]*Route // longest prefix first
	teamsByKey     map[string]*Team
	teamsByName    map[string]*Team
	servicesByName map[string]*Service
}

// NewTable validates and indexes a configuration. One invalid route or team rejects
// the whole configuration.
func NewTable(config Config) (*Table, error) {
	t := &Table{
		config:         config,
		routesByHost:   make(map[string][]*Route),
		teamsByKey:     make(map[string]*Team),
		teamsByName:    make(map[string]*Team),
		servicesByName: make(map[string]*Service),
	}
	for i := range config.Services {
		if err := t.addService(&config.Services[i]); err != nil {
			return nil, err
		}
	}
	for i := range config.Routes {
		if err := t.addRoute(&config.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range config.Teams {
		if err := t.addTeam(&config.Teams[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) addService(s *Service) error {
	if s.WarmUpTime < 0 || !(s.WarmUpRate >= 0) || math.IsInf(s.WarmUpRate, 1) { // also not a number
		return fmt.Errorf("service %q has an impossible warm-up time or rate", s.Name)
	}
	t.servicesByName[s.Name] = s
	return nil
}

func (t *Table) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q has no host", r.Name)
	case len(r.Prefix) < 1 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout < 0 || r.TargetLatency < 0 || r.MaxAttempts < 0 || r.Priority < 0:
		return fmt.Errorf("route %q has a negative timeout, target latency, attempt limit or priority", r.Name)
	case len(r.WeightedServices) == 0 || r.totalWeight() <= 0:
		return fmt.Errorf("route %q has no service with a positive weight", r.Name)
	}
	for _, weighted := range r.WeightedServices {
		if weighted.Weight < 0 {
			return fmt.Errorf("route %q has a service with a negative weight", r.Name)
		}
		if t.servicesByName[weighted.Service] == nil {
			return fmt.Errorf("route %q refers to the unknown service %q", r.Name, weighted.Service)
		}
	}
	host := strings.ToLower(r.Host)
	for _, other := range t.routesByHost[host] {
		if other.Prefix == r.Prefix {
			return fmt.Errorf("routes %q and %q have the same host and prefix", other.Name, r.Name)
		}
	}
	t.routesByHost[host] = append(t.routesByHost[host], r)
	return nil
}

func (t *Table) addTeam(team *Team) error {
	if team.Name == "" {
		return fmt.Errorf("a team has no name")
	}
	if team.Rate < 0 || team.Burst < 0 {
		return fmt.Errorf("team %q has a negative rate or burst", team.Name)
	}
	t.teamsByName[team.Name] = team
	for _, key := range team.Keys {
		if other := t.teamsByKey[key]; other != nil && other != team {
			return fmt.Errorf("teams %q and %q have the same key", other.Name, team.Name)
		}
		t.teamsByKey[key] = team
	}
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits on requests and callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// WarmUp returns the warm-up time of a service's backend servers and the rate that they
// accept meanwhile, in requests per second. The rate is 0 if there is no limit.
func (t *Table) WarmUp(service string) (time.Duration, float64) {
	s := t.servicesByName[service]
	if s == nil || s.WarmUpRate <= 0 {
		return 0, 0
	}
	return s.WarmUpTime, s.WarmUpRate
}

// Teams returns all teams. The caller must not modify the slice.
func (t *Table) Teams() []Team { return t.config.Teams }

// RequiresKeys reports whether routes without AllowAnonymous need an API key.
func (t *Table) RequiresKeys() bool { return t.config.RequireKeys }

// Match returns the route with the longest matching prefix for a host and an
// escaped path. It ignores the port of the host.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, route := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// TeamByKey returns the team that holds a key.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.teamsByKey[key]
	return team, ok
}

// TeamByName finds a team by name.
func (t *Table) TeamByName(name string) (*Team, bool) {
	team, ok := t.teamsByName[name]
	return team, ok
}

func (r *Route) totalWeight() float64 {
	sum := 0.0
	for _, weighted := range r.WeightedServices {
		sum += weighted.Weight
	}
	return sum
}

// Shares returns the services that requests are sent to, with weights whose sum is 1.
func (r *Route) Shares() []WeightedService {
	var shares []WeightedService
	for _, weighted := range r.WeightedServices {
		if weighted.Weight > 0 {
			shares = append(shares, WeightedService{weighted.Service, weighted.Weight / r.totalWeight()})
		}
	}
	return shares
}

// PickService returns the service for a request. If u is uniformly distributed in
// [0, 1), the requests are divided in proportion to the weights.
func (r *Route) PickService(u float64) string {
	remaining := u * r.totalWeight()
	for _, weighted := range r.WeightedServices {
		remaining -= weighted.Weight
		if remaining < 0 {
			return weighted.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
