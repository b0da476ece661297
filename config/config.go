package config

import "slices"

// Config is one valid configuration. It is immutable and safe for concurrent
// use. Lookups do not allocate.
type Config struct {
	manifest value // in canonical encoding, so that equal manifests have equal digests
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

// fleetPart is the decoded fleet value with its indexes.
type fleetPart struct {
	value
	document Fleet
	services map[string]*Service
	classes  map[string]*Class
	routes   *routeNode

	routesByName map[string]*Route
}

// teamPart is one decoded team value with its index.
type teamPart struct {
	value
	number int
	teams  []Team
	byName map[string]*Team
}

// KeyRef identifies an API key without containing it.
type KeyRef struct {
	Team  string
	KeyID string
}

// Version returns the version of the manifest.
func (c *Config) Version() uint64 { return c.version }

// TeamParts returns the number of team values.
func (c *Config) TeamParts() int { return len(c.teams) }

// Value returns the encoded value with the given name, to be sent to a peer: the
// manifest in the encoding of Build, the others as published. It returns nil for
// unknown names. The caller must not modify the result.
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

// Route returns the route for a method and an escaped path. It selects the most
// specific path first: the longest prefix, and an exact path before a prefix of
// the same length. It then looks for the method among the routes of that path
// only.
func (c *Config) Route(method, path string) (*Route, MatchResult) {
	return c.fleet.routes.find(method, path)
}

// RouteByName returns the route with the given name.
func (c *Config) RouteByName(name string) (*Route, bool) {
	route, ok := c.fleet.routesByName[name]
	return route, ok
}

// Methods returns the sorted methods served at a path, for the Allow header.
// Unlike the other lookups it allocates.
func (c *Config) Methods(path string) []string {
	entries, _ := c.fleet.routes.match(path)
	methods := make([]string, len(entries))
	for i := range entries {
		methods[i] = entries[i].method
	}
	slices.Sort(methods)
	return methods
}

// KeyByDigest returns the key with the given SHA-256 digest.
func (c *Config) KeyByDigest(digest Digest) (KeyRef, bool) {
	return c.keys.find(c.teams, &digest)
}

// HasKey reports whether the team has a key with the given ID. Callers use it to
// check that a key accepted earlier has not been withdrawn since.
func (c *Config) HasKey(team, keyID string) bool {
	t, ok := c.Team(team)
	if !ok {
		return false
	}
	_, found := slices.BinarySearch(t.keyIDs, keyID)
	return found
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (*Team, bool) {
	part := c.teams[TeamPartOf(name, len(c.teams))]
	team, ok := part.byName[name]
	return team, ok
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	service, ok := c.fleet.services[name]
	return service, ok
}

// Class returns the class with the given name.
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

// EachTeam calls visit for every team, one team part after the other, until
// visit returns false.
func (c *Config) EachTeam(visit func(*Team) bool) {
	for _, part := range c.teams {
		for i := range part.teams {
			if !visit(&part.teams[i]) {
				return
			}
		}
	}
}

// ChangedTeams calls visit for every team in the team parts that differ between
// previous and c, so that an update does not need to visit all teams. Teams that
// exist only in previous are not visited.
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

// teamPart returns the team part with the given number, or nil if c is nil or
// has another number of team parts.
func (c *Config) teamPart(number, parts int) *teamPart {
	if c == nil || len(c.teams) != parts {
		return nil
	}
	return c.teams[number]
}
