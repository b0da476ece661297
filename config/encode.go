package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

type manifestJSON struct {
	Version   uint64     `json:"version"`
	TeamParts int        `json:"teamParts"`
	Parts     []partJSON `json:"parts"`
}

type partJSON struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

type fleetJSON struct {
	Services []serviceJSON `json:"services"`
	Classes  []classJSON   `json:"classes"`
	Routes   []routeJSON   `json:"routes"`
}

type serviceJSON struct {
	Name          string  `json:"name"`
	CapacityFloor float64 `json:"floor"`
	Class         string  `json:"class"`
}

type classJSON struct {
	Name       string  `json:"name"`
	Idempotent bool    `json:"idempotent"`
	Target     string  `json:"target"`
	Worth      float64 `json:"worth"`
	MaxBody    int64   `json:"maxBody,omitempty"`
	Deadline   string  `json:"deadline"`
}

type routeJSON struct {
	Name    string   `json:"name"`
	Methods []string `json:"methods"`
	Prefix  string   `json:"prefix,omitempty"`
	Path    string   `json:"path,omitempty"`
	Service string   `json:"service"`
	Class   string   `json:"class,omitempty"`
	Open    bool     `json:"open,omitempty"`
	Teams   []string `json:"teams,omitempty"`
}

type teamsJSON struct {
	Teams []teamJSON `json:"teams"`
}

type teamJSON struct {
	Name  string    `json:"name"`
	Rate  float64   `json:"rate"`
	Burst float64   `json:"burst"`
	Keys  []keyJSON `json:"keys"`
}

type keyJSON struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// Build encodes documents as the manifest value and the values that it lists.
// It does not validate them; Parse does. It fails only if teamParts is out of range
// or a number cannot be represented in JSON.
func Build(version uint64, teamParts int, fleet Fleet, teams []Team) (manifest []byte, parts map[string][]byte, err error) {
	if teamParts < 1 || teamParts > MaxTeamParts {
		return nil, nil, errTeamParts
	}
	parts = make(map[string][]byte, teamParts+1)
	if parts[FleetName], err = json.Marshal(encodeFleet(fleet)); err != nil {
		return nil, nil, err
	}
	groups := make([]teamsJSON, teamParts)
	for i := range groups {
		groups[i].Teams = []teamJSON{}
	}
	for _, team := range teams {
		group := &groups[TeamPartOf(team.Name, teamParts)]
		group.Teams = append(group.Teams, encodeTeam(team))
	}
	for i := range groups {
		if parts[TeamPartName(i)], err = json.Marshal(groups[i]); err != nil {
			return nil, nil, err
		}
	}
	return marshalManifest(digestParts(version, teamParts, parts)), parts, nil
}

func digestParts(version uint64, teamParts int, parts map[string][]byte) Manifest {
	m := Manifest{Version: version, TeamParts: teamParts}
	for _, name := range partNames(teamParts) {
		m.Parts = append(m.Parts, ManifestEntry{name, sha256.Sum256(parts[name])})
	}
	return m
}

// marshalManifest encodes a manifest with its parts in the given order. Its fields
// have only types that always marshal to JSON without error.
func marshalManifest(m Manifest) []byte {
	out := manifestJSON{Version: m.Version, TeamParts: m.TeamParts}
	for _, part := range m.Parts {
		out.Parts = append(out.Parts, partJSON{part.Name, hex.EncodeToString(part.Digest[:])})
	}
	data, _ := json.Marshal(out)
	return data
}

// partNames returns the names of the values that a manifest must list.
func partNames(teamParts int) []string {
	names := []string{FleetName}
	for i := range teamParts {
		names = append(names, TeamPartName(i))
	}
	return names
}

func encodeFleet(f Fleet) fleetJSON {
	out := fleetJSON{Services: []serviceJSON{}, Classes: []classJSON{}, Routes: []routeJSON{}}
	for _, s := range f.Services {
		out.Services = append(out.Services, serviceJSON(s))
	}
	for _, c := range f.Classes {
		out.Classes = append(out.Classes, encodeClass(c))
	}
	for _, r := range f.Routes {
		out.Routes = append(out.Routes, encodeRoute(r))
	}
	return out
}

func encodeClass(c Class) classJSON {
	return classJSON{
		Name:       c.Name,
		Idempotent: c.Idempotent,
		Target:     encodeDuration(c.TargetLatency),
		Worth:      c.Worth,
		MaxBody:    c.MaxBody,
		Deadline:   encodeDuration(c.DefaultDeadline),
	}
}

func encodeRoute(r Route) routeJSON {
	return routeJSON{
		Name:    r.Name,
		Methods: r.Methods,
		Prefix:  r.Prefix,
		Path:    r.Path,
		Service: r.Service,
		Class:   r.Class,
		Open:    r.Open,
		Teams:   r.Teams,
	}
}

func encodeDuration(d time.Duration) string { return d.String() }

func encodeTeam(t Team) teamJSON {
	out := teamJSON{Name: t.Name, Rate: t.Rate, Burst: t.Burst, Keys: []keyJSON{}}
	for _, k := range t.Keys {
		out.Keys = append(out.Keys, keyJSON{k.ID, hex.EncodeToString(k.Digest[:])})
	}
	return out
}
