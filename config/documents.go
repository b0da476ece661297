package config

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// MaxValueSize is the largest value that the configuration service holds, in
// bytes.
const MaxValueSize = 1_000_000

// MaxTeamParts bounds the number of team values. The manifest needs about 100
// bytes for each, so that it stays well below MaxValueSize.
const MaxTeamParts = 4096

// ManifestName and FleetName are the names of the values that exist once.
const (
	ManifestName = "manifest"
	FleetName    = "fleet"
)

const teamPartPrefix = "teams-"

// Digest is a SHA-256 digest, of a value or of a key.
type Digest = [sha256.Size]byte

// Manifest names the values of one version of the configuration.
type Manifest struct {
	Version   uint64 // strictly increasing, at least 1
	TeamParts int    // number of team values
	Parts     []Part // the fleet value and every team value, in any order
}

// Part is one value listed in a manifest.
type Part struct {
	Name   string
	Digest Digest
}

// Fleet is the document of the value "fleet".
type Fleet struct {
	Services []Service
	Classes  []Class
	Routes   []Route
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name  string
	Floor float64 // share of capacity, 0 to 1, that ejections never cut into
	Class string  // default class of the routes of this service
}

// Class is a kind of work.
type Class struct {
	Name       string
	Idempotent bool
	Target     time.Duration // target latency for 99 in 100 requests
	Worth      float64       // relative weight in queues and in the score
	MaxBody    int64         // bytes; 0 means no limit
	Deadline   time.Duration // deadline of a request that states none
}

// Pipeline returns the class as filters see it.
func (c *Class) Pipeline() pipeline.Class {
	return pipeline.Class{
		Name:          c.Name,
		Idempotent:    c.Idempotent,
		Worth:         c.Worth,
		TargetLatency: c.Target,
		MaxBody:       c.MaxBody,
	}
}

// Route maps methods and paths to a service. Exactly one of Prefix and Path is
// set. A prefix covers its own path and every path below it.
type Route struct {
	Name    string
	Methods []string
	Prefix  string
	Path    string
	Service string
	Class   string   // empty in a document means the default class of the service
	Open    bool     // served without a key
	Teams   []string // teams allowed; empty means all teams

	allowed []string // Teams, sorted for lookups
}

// Allows tells whether a team may use a route of a Config.
func (r *Route) Allows(team string) bool {
	if r.Open || len(r.Teams) == 0 {
		return true
	}
	_, found := slices.BinarySearch(r.allowed, team)
	return found
}

// Team is a tenant with its rate and keys.
type Team struct {
	Name  string
	Rate  float64 // requests per second, over the whole fleet
	Burst float64 // requests, at least 1
	Keys  []Key

	keyIDs []string // identifiers of Keys, sorted for lookups
}

// Key is one key of a team. The key itself is never stated.
type Key struct {
	ID     string // the operator's label of the key, unique within the team
	Digest Digest // SHA-256 of the key
}

// TeamPartName returns the name of the team value with the given number.
func TeamPartName(number int) string {
	return teamPartPrefix + strconv.Itoa(number)
}

// TeamPart returns the number of the value that holds a team.
func TeamPart(team string, parts int) int {
	return int(xxhash.Sum64String(team) % uint64(parts))
}
