package config

import (
	"fmt"
	"slices"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// indexRoutes builds the route tree. Two routes for the same method and path are
// rejected, since neither takes precedence.
func indexRoutes(d *draft) {
	fleet := d.changedFleet()
	if fleet == nil {
		return
	}
	fleet.routes = &routeNode{}
	for i := range fleet.document.Routes {
		route := &fleet.document.Routes[i]
		for j, method := range route.Methods {
			if existing := fleet.routes.add(route, method); existing != nil {
				at := d.fleetField("routes[%d].methods[%d]", i, j)
				at.report(pipeline.CodeConfigDuplicate, "route %q already serves %s at this path", existing.Name, method)
			}
		}
		route.allowed = slices.Sorted(slices.Values(route.Teams))
	}
}

// indexKeys updates the key index with the changed team parts. Its problems depend
// only on the documents, not on the previous configuration.
func indexKeys(d *draft) {
	original := &keyIndex{}
	if d.previous != nil && len(d.previous.teams) == len(d.teams) {
		original = d.previous.keys
	}
	replaced := make([]bool, len(d.teams))
	for i, part := range d.teams {
		replaced[i] = part == nil
	}
	var entries []keyEntry
	for _, part := range d.changedTeamParts() {
		for i := range part.teams {
			d.indexKeyIDs(part, i)
		}
		replaced[part.number] = true
		entries = append(entries, part.keyEntries()...)
	}
	index, repeated := original.replaceParts(replaced, entries, d.teams)
	for _, entry := range repeated {
		d.reportDuplicateKey(index, entry)
	}
	d.keys = index
}

func (d *draft) reportDuplicateKey(index *keyIndex, entry keyEntry) {
	_, key := entry.resolve(d.teams)
	first, _ := index.find(d.teams, &key.Digest)
	at := fieldLocation{d, TeamPartName(int(entry.part)), fmt.Sprintf("teams[%d].keys[%d].digest", entry.team, entry.key)}
	at.report(pipeline.CodeConfigDuplicate, "same digest as key %q of team %q", first.KeyID, first.Team)
}

// indexKeyIDs sorts the key IDs of a team for lookups and reports duplicates.
func (d *draft) indexKeyIDs(part *teamPart, i int) {
	team := &part.teams[i]
	team.keyIDs = make([]string, len(team.Keys))
	seen := make(map[string]bool, len(team.Keys))
	for j, key := range team.Keys {
		if seen[key.ID] {
			fieldLocation{d, part.name, fmt.Sprintf("teams[%d].keys[%d].id", i, j)}.reportDuplicate(key.ID)
		}
		seen[key.ID] = true
		team.keyIDs[j] = key.ID
	}
	slices.Sort(team.keyIDs)
}
