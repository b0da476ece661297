package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"
)

var (
	manifestFields = fields{required: []string{"version", "teamParts", "parts"}}
	partFields     = fields{required: []string{"name", "digest"}}
	fleetFields    = fields{required: []string{"services", "classes", "routes"}}
	serviceFields  = fields{required: []string{"name", "floor", "class"}}
	classFields    = fields{
		required: []string{"name", "idempotent", "target", "worth", "deadline"},
		optional: []string{"maxBody"},
	}
	routeFields = fields{
		required: []string{"name", "methods", "service"},
		optional: []string{"prefix", "path", "class", "open", "teams"},
	}
	teamsFields = fields{required: []string{"teams"}}
	teamFields  = fields{required: []string{"name", "rate", "burst", "keys"}}
	keyFields   = fields{required: []string{"id", "digest"}}
)

func newReader(part string, data []byte, report *report) *reader {
	return &reader{data: data, part: part, report: report}
}

func (r *reader) manifest() (m Manifest) {
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

func (r *reader) manifestPart() (p Part) {
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

func (r *reader) fleet() (f Fleet) {
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

func (r *reader) service() (s Service) {
	r.object(&serviceFields, func(name string) {
		switch name {
		case "name":
			s.Name = r.string()
		case "floor":
			s.Floor = r.float()
		case "class":
			s.Class = r.string()
		}
	})
	return s
}

func (r *reader) class() (c Class) {
	r.object(&classFields, func(name string) {
		switch name {
		case "name":
			c.Name = r.string()
		case "idempotent":
			c.Idempotent = r.bool()
		case "target":
			c.Target = r.duration()
		case "worth":
			c.Worth = r.float()
		case "maxBody":
			c.MaxBody = r.int(math.MaxInt64)
		case "deadline":
			c.Deadline = r.duration()
		}
	})
	return c
}

func (r *reader) route() (route Route) {
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

// teamNames returns an empty, non-nil list for "[]", which validation refuses:
// it would otherwise mean all teams.
func (r *reader) teamNames() []string {
	if names := r.strings(); names != nil {
		return names
	}
	return []string{}
}

func (r *reader) teams() (teams []Team) {
	r.object(&teamsFields, func(string) {
		r.array(func(int) { teams = append(teams, r.team()) })
	})
	return teams
}

func (r *reader) team() (t Team) {
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

func (r *reader) key() (k Key) {
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

// decodeHex accepts lower case only, so that each digest has one spelling.
func decodeHex(digest []byte, text string) bool {
	if len(text) != 2*sha256.Size || strings.ToLower(text) != text {
		return false
	}
	_, err := hex.Decode(digest, []byte(text))
	return err == nil
}
