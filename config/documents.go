package config

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// MaxValueSize is the maximum size in bytes of a value in the configuration
// service.
const MaxValueSize = 1_000_000

// MaxTeamParts is the maximum number of team parts. The manifest needs about 100
// bytes for each, so its size stays well below MaxValueSize.
const MaxTeamParts = 4096

// ManifestName and FleetName are the names of the values that are not numbered.
const (
	ManifestName = "manifest"
	FleetName    = "fleet"
)

const teamPartPrefix = "teams-"

// Digest is the SHA-256 digest of a value or of an API key.
type Digest = [sha256.Size]byte

// Manifest lists the values of one version of the configuration.
type Manifest struct {
	Version   uint64          // strictly increasing, at least 1
	TeamParts int             // number of team parts
	Parts     []ManifestEntry // the fleet value and every team value, in any order
}

// ManifestEntry lists one value by name and digest.
type ManifestEntry struct {
	Name   string
	Digest Digest
}

// Fleet is the document of the value "fleet".
type Fleet struct {
	Services []Service
	Classes  []Class
	Routes   []Route
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name          string
	CapacityFloor float64 // fraction of capacity, 0 to 1, that ejections must leave in service
	Class         string  // default class of routes to this service
}

// Class holds the properties of a kind of request, such as latency target and
// deadline.
type Class struct {
	Name            string
	Idempotent      bool
	TargetLatency   time.Duration // for the 99th percentile
	Worth           float64       // relative value of a request; its weight in queues and in the score
	MaxBody         int64         // bytes; 0 means no limit
	DefaultDeadline time.Duration // time limit for requests that do not set a deadline
}

// PipelineClass returns the properties of the class that filters use.
func (c *Class) PipelineClass() pipeline.Class {
	return pipeline.Class{
		Name:          c.Name,
		Idempotent:    c.Idempotent,
		Worth:         c.Worth,
		TargetLatency: c.TargetLatency,
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
	Class   string   // if empty, replaced by the default class of the service
	Open    bool     // requests need no API key
	Teams   []string // allowed teams; empty allows all teams

	allowed []string // sorted copy of Teams
}

// Allows reports whether a team may use the route. The route must come from a
// Config.
func (r *Route) Allows(team string) bool {
	if r.Open || len(r.Teams) == 0 {
		return true
	}
	_, found := slices.BinarySearch(r.allowed, team)
	return found
}

// Team is a tenant with its rate limit and API keys.
type Team struct {
	Name  string
	Rate  float64 // requests per second across the whole fleet
	Burst float64 // requests, at least 1
	Keys  []Key

	keyIDs []string // sorted IDs of Keys
}

// Key identifies one API key of a team. The configuration contains only the
// digest of the key, never the key itself.
type Key struct {
	ID     string // label chosen by the operator, unique within the team
	Digest Digest // SHA-256 of the key
}

// TeamPartName returns the name of the team part with the given number.
func TeamPartName(number int) string {
	return teamPartPrefix + strconv.Itoa(number)
}

// TeamPartOf returns the number of the team part that holds a team, given the number
// of team parts.
func TeamPartOf(team string, parts int) int {
	return int(xxhash.Sum64String(team) % uint64(parts))
}
