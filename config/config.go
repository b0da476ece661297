package config

import "slices"

// Config is one accepted configuration. It is immutable and safe for use by
// any number of goroutines. Lookups do not allocate.
type Config struct {
	manifest value // encoded by this package, so that equal manifests have equal digests
	version  uint64
	fleet    *fleetPart
	teams    []*teamPart
	keys     *keyIndex
}

// value is one published value with its digest.
type value struct {
	name   string
	data   []byte
	digest Digest
}

// fleetPart is the fleet value, decoded and indexed.
type fleetPart struct {
	value
	document Fleet
	services map[string]*Service
	classes  map[string]*Class
	routes   *routeNode

	routesByName map[string]*Route
}

// teamPart is one team value, decoded and indexed.
type teamPart struct {
	value
	number int
	teams  []Team
	byName map[string]*Team
}

// KeyRef identifies a key without holding it.
type KeyRef struct {
	Team  string
	KeyID string
}

// Version returns the version of the manifest.
func (c *Config) Version() uint64 { return c.version }

// TeamParts returns the number of team values.
func (c *Config) TeamParts() int { return len(c.teams) }

// Value returns the bytes of a value for passing on to a peer: the manifest in
// the encoding of Build, the others as published. The caller must not change
// them. Unknown names return nil.
func (c *Config) Value(name string) []byte {
	v, _ := c.value(name)
	return v.data
}

func (c *Config) value(name string) (value, bool) {
	if name == ManifestName {
		return c.manifest, true
	}
	if name == FleetName {
		return c.fleet.value, true
	}
	if number, ok := teamPartNumber(name); ok && number < len(c.teams) {
		return c.teams[number].value, true
	}
	return value{}, false
}

// Route finds the route of a method and an escaped path. The most specific path
// decides: the longest prefix, or an exact path before a prefix of the same
// length. Only then is the method compared.
func (c *Config) Route(method, path string) (*Route, MatchResult) {
	return c.fleet.routes.find(method, path)
}

// RouteByName returns the route with a name.
func (c *Config) RouteByName(name string) (*Route, bool) {
	route, ok := c.fleet.routesByName[name]
	return route, ok
}

// Methods returns the methods served at a path, sorted, for the header Allow. It
// allocates.
func (c *Config) Methods(path string) []string {
	entries, _ := c.fleet.routes.match(path)
	methods := make([]string, len(entries))
	for i := range entries {
		methods[i] = entries[i].method
	}
	slices.Sort(methods)
	return methods
}

// KeyByDigest finds the key with the given SHA-256 digest.
func (c *Config) KeyByDigest(digest Digest) (KeyRef, bool) {
	return c.keys.find(c.teams, &digest)
}

// KeyValid tells whether the team has a key with this identifier, that is,
// whether a key accepted earlier has not been withdrawn since.
func (c *Config) KeyValid(team, keyID string) bool {
	t, ok := c.Team(team)
	if !ok {
		return false
	}
	_, found := slices.BinarySearch(t.keyIDs, keyID)
	return found
}

// Team finds a team by name.
func (c *Config) Team(name string) (*Team, bool) {
	part := c.teams[TeamPart(name, len(c.teams))]
	team, ok := part.byName[name]
	return team, ok
}

// Service finds a service by name.
func (c *Config) Service(name string) (*Service, bool) {
	service, ok := c.fleet.services[name]
	return service, ok
}

// Class finds a class by name.
func (c *Config) Class(name string) (*Class, bool) {
	class, ok := c.fleet.classes[name]
	return class, ok
}

// Services returns all services in the order of the document. The caller must
// not change them.
func (c *Config) Services() []Service { return c.fleet.document.Services }

// Classes returns all classes in the order of the document. The caller must not
// change them.
func (c *Config) Classes() []Class { return c.fleet.document.Classes }

// Routes returns all routes in the order of the document. The caller must not
// change them.
func (c *Config) Routes() []Route { return c.fleet.document.Routes }

// EachTeam calls visit for every team, part by part, until it returns false.
func (c *Config) EachTeam(visit func(*Team) bool) {
	for _, part := range c.teams {
		for i := range part.teams {
			if !visit(&part.teams[i]) {
				return
			}
		}
	}
}

// ChangedTeams calls visit for every team of the values in which c differs from
// previous. It lets a user of the configuration follow a change without walking
// all teams. Teams of previous that are gone are not visited.
func (c *Config) ChangedTeams(previous *Config, visit func(*Team)) {
	for number, part := range c.teams {
		if previous != nil && previous.teamPart(number, len(c.teams)) == part {
			continue
		}
		for i := range part.teams {
			visit(&part.teams[i])
		}
	}
}

// teamPart returns the part with the given number if the teams are divided over
// the given number of parts, or nil.
func (c *Config) teamPart(number, parts int) *teamPart {
	if c == nil || len(c.teams) != parts {
		return nil
	}
	return c.teams[number]
}
