// Package routing matches requests to routes, routes to services and keys to
// teams. A Table is one version of the operators' configuration.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Document is one version of the configuration as an adapter decoded it.
type Document struct {
	Version  uint64
	Limits   Limits
	Services []Service
	Routes   []Route
	Teams    []Team
	// HasTeams says that requests on routes that are not open need a key. A
	// document may list no team and still require keys.
	HasTeams bool
}

// Limits bound what a caller may send and how long it may stay idle.
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
	MaxConnections int // that one backend server accepts from all callers
}

// Route maps the paths below a prefix of one host to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Split       []Part // at least one
	Idempotent  bool   // a request may run more than once
	Open        bool   // needs no key
	Timeout     time.Duration
	Target      time.Duration // latency within which an answer has its full worth
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // backend servers that one request may be sent to
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service string
	Weight  float64
}

// Team is a tenant with its keys and its rate over all hosts together.
type Team struct {
	Name     string
	Keys     []string
	Priority int     // 0 is the most urgent
	Rate     float64 // requests per second; 0 means no limit
	Burst    float64 // requests beyond the rate
}

// Table is an indexed document. It is immutable.
type Table struct {
	document Document
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Team
	teams    map[string]*Team
	services map[string]*Service
}

// NewTable indexes a document. It returns an error for a document that no
// request could be served by as meant; such a document is refused whole.
func NewTable(doc Document) (*Table, error) {
	t := &Table{
		document: doc,
		hosts:    make(map[string][]*Route),
		keys:     make(map[string]*Team),
		teams:    make(map[string]*Team),
		services: make(map[string]*Service),
	}
	for i := range doc.Services {
		t.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Routes {
		if err := t.addRoute(&doc.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range doc.Teams {
		if err := t.addTeam(&doc.Teams[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q has no host", r.Name)
	case len(r.Prefix) < 1 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout < 0 || r.Target < 0 || r.MaxAttempts < 0 || r.Priority < 0:
		return fmt.Errorf("route %q has a negative bound", r.Name)
	case len(r.Split) == 0 || r.weights() <= 0:
		return fmt.Errorf("route %q leads to no service", r.Name)
	}
	for _, part := range r.Split {
		if part.Weight < 0 {
			return fmt.Errorf("route %q has a negative weight", r.Name)
		}
		if t.services[part.Service] == nil {
			return fmt.Errorf("route %q leads to the unknown service %q", r.Name, part.Service)
		}
	}
	host := strings.ToLower(r.Host)
	for _, other := range t.hosts[host] {
		if other.Prefix == r.Prefix {
			return fmt.Errorf("routes %q and %q serve the same prefix", other.Name, r.Name)
		}
	}
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

func (t *Table) addTeam(team *Team) error {
	if team.Name == "" {
		return fmt.Errorf("a team has no name")
	}
	if team.Rate < 0 || team.Burst < 0 {
		return fmt.Errorf("team %q has a negative rate", team.Name)
	}
	t.teams[team.Name] = team
	for _, key := range team.Keys {
		if other := t.keys[key]; other != nil && other != team {
			return fmt.Errorf("teams %q and %q share a key", other.Name, team.Name)
		}
		t.keys[key] = team
	}
	return nil
}

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.document.Version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.document.Limits }

// Teams returns the teams. The caller must not change them.
func (t *Table) Teams() []Team { return t.document.Teams }

// NeedsKeys tells whether requests on routes that are not open need a key.
func (t *Table) NeedsKeys() bool { return t.document.HasTeams }

// Match finds the route of a host and an escaped path: the one with the longest
// prefix. The port of the host does not count.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// TeamOf returns the team that holds a key.
func (t *Table) TeamOf(key string) (*Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// Team finds a team by name.
func (t *Table) Team(name string) (*Team, bool) {
	team, ok := t.teams[name]
	return team, ok
}

func (r *Route) weights() float64 {
	sum := 0.0
	for _, part := range r.Split {
		sum += part.Weight
	}
	return sum
}

// Pick returns the service for a request. A u that is uniform in [0, 1) divides
// the requests in proportion to the weights.
func (r *Route) Pick(u float64) string {
	at := u * r.weights()
	for _, part := range r.Split {
		at -= part.Weight
		if at < 0 {
			return part.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
