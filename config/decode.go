package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"
)

var (
	manifestFields = objectFields{required: []string{"version", "teamParts", "parts"}}
	partFields     = objectFields{required: []string{"name", "digest"}}
	fleetFields    = objectFields{required: []string{"services", "classes", "routes"}}
	serviceFields  = objectFields{required: []string{"name", "floor", "class"}}
	classFields    = objectFields{
		required: []string{"name", "idempotent", "target", "worth", "deadline"},
		optional: []string{"maxBody"},
	}
	routeFields = objectFields{
		required: []string{"name", "methods", "service"},
		optional: []string{"prefix", "path", "class", "open", "teams"},
	}
	teamsFields = objectFields{required: []string{"teams"}}
	teamFields  = objectFields{required: []string{"name", "rate", "burst", "keys"}}
	keyFields   = objectFields{required: []string{"id", "digest"}}
)

func newJSONReader(part string, data []byte, problems *problemCollector) *jsonReader {
	return &jsonReader{data: data, part: part, problems: problems}
}

func (r *jsonReader) manifest() (m Manifest) {
	r.object(&manifestFields, func(name string) {
		switch name {
		case "version":
			m.Version = r.uint()
		case "teamParts":
			m.TeamParts = int(r.int(math.MaxInt32))
		case "parts":
			r.array(func(int) { m.Parts = append(m.Parts, r.manifestPart()) })
		}
	})
	return m
}

func (r *jsonReader) manifestPart() (p ManifestEntry) {
	r.object(&partFields, func(name string) {
		switch name {
		case "name":
			p.Name = r.string()
		case "digest":
			p.Digest = r.digest()
		}
	})
	return p
}

func (r *jsonReader) fleet() (f Fleet) {
	r.object(&fleetFields, func(name string) {
		switch name {
		case "services":
			r.array(func(int) { f.Services = append(f.Services, r.service()) })
		case "classes":
			r.array(func(int) { f.Classes = append(f.Classes, r.class()) })
		case "routes":
			r.array(func(int) { f.Routes = append(f.Routes, r.route()) })
		}
	})
	return f
}

func (r *jsonReader) service() (s Service) {
	r.object(&serviceFields, func(name string) {
		switch name {
		case "name":
			s.Name = r.string()
		case "floor":
			s.CapacityFloor = r.float()
		case "class":
			s.Class = r.string()
		}
	})
	return s
}

func (r *jsonReader) class() (c Class) {
	r.object(&classFields, func(name string) {
		switch name {
		case "name":
			c.Name = r.string()
		case "idempotent":
			c.Idempotent = r.bool()
		case "target":
			c.TargetLatency = r.duration()
		case "worth":
			c.Worth = r.float()
		case "maxBody":
			c.MaxBody = r.int(math.MaxInt64)
		case "deadline":
			c.DefaultDeadline = r.duration()
		}
	})
	return c
}

func (r *jsonReader) route() (route Route) {
	r.object(&routeFields, func(name string) {
		switch name {
		case "name":
			route.Name = r.string()
		case "methods":
			route.Methods = r.strings()
		case "prefix":
			route.Prefix = r.string()
		case "path":
			route.Path = r.string()
		case "service":
			route.Service = r.string()
		case "class":
			route.Class = r.string()
		case "open":
			route.Open = r.bool()
		case "teams":
			route.Teams = r.teamNames()
		}
	})
	return route
}

// teamNames returns an empty, non-nil list for "[]". Validation rejects that list,
// which would otherwise allow all teams.
func (r *jsonReader) teamNames() []string {
	if names := r.strings(); names != nil {
		return names
	}
	return []string{}
}

func (r *jsonReader) teams() (teams []Team) {
	r.object(&teamsFields, func(string) {
		r.array(func(int) { teams = append(teams, r.team()) })
	})
	return teams
}

func (r *jsonReader) team() (t Team) {
	r.object(&teamFields, func(name string) {
		switch name {
		case "name":
			t.Name = r.string()
		case "rate":
			t.Rate = r.float()
		case "burst":
			t.Burst = r.float()
		case "keys":
			r.array(func(int) { t.Keys = append(t.Keys, r.key()) })
		}
	})
	return t
}

func (r *jsonReader) key() (k Key) {
	r.object(&keyFields, func(name string) {
		switch name {
		case "id":
			k.ID = r.string()
		case "digest":
			k.Digest = r.digest()
		}
	})
	return k
}

// decodeHex decodes a digest. It accepts lower-case digits only, so that each
// digest has exactly one encoding.
func decodeHex(digest []byte, text string) bool {
	if len(text) != 2*sha256.Size || strings.ToLower(text) != text {
		return false
	}
	_, err := hex.Decode(digest, []byte(text))
	return err == nil
}
