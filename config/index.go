package config

import (
	"fmt"
	"slices"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// indexRoutes builds the route tree. Two routes for the same method and the same
// path overlap without an order between them, so they are refused.
func indexRoutes(d *draft) {
	fleet := d.freshFleet()
	if fleet == nil {
		return
	}
	fleet.routes = &routeNode{}
	for i := range fleet.document.Routes {
		route := &fleet.document.Routes[i]
		for j, method := range route.Methods {
			if taken := fleet.routes.add(route, method); taken != nil {
				at := d.fleetField("routes[%d].methods[%d]", i, j)
				at.report(pipeline.CodeConfigDuplicate, "route %q serves %s at the same path", taken.Name, method)
			}
		}
		route.allowed = slices.Sorted(slices.Values(route.Teams))
	}
}

// indexKeys brings the key index up to date with the parts that changed. What it
// reports depends on the documents alone, not on the previous configuration.
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
	for _, part := range d.freshTeams() {
		for i := range part.teams {
			d.listKeyIDs(part, i)
		}
		replaced[part.number] = true
		entries = append(entries, part.entries()...)
	}
	index, repeated := original.replaceParts(replaced, entries, d.teams)
	for _, entry := range repeated {
		d.reportRepeated(index, entry)
	}
	d.accepted = index
}

func (d *draft) reportRepeated(index *keyIndex, entry keyEntry) {
	_, key := entry.in(d.teams)
	first, _ := index.find(d.teams, &key.Digest)
	at := field{d, TeamPartName(int(entry.part)), fmt.Sprintf("teams[%d].keys[%d].digest", entry.team, entry.key)}
	at.report(pipeline.CodeConfigDuplicate, "key %q of team %q has the same digest", first.KeyID, first.Team)
}

// listKeyIDs sorts the key identifiers of a team for lookups and reports those
// that appear twice.
func (d *draft) listKeyIDs(part *teamPart, i int) {
	team := &part.teams[i]
	team.keyIDs = make([]string, len(team.Keys))
	seen := make(map[string]bool, len(team.Keys))
	for j, key := range team.Keys {
		if seen[key.ID] {
			field{d, part.name, fmt.Sprintf("teams[%d].keys[%d].id", i, j)}.duplicate(key.ID)
		}
		seen[key.ID] = true
		team.keyIDs[j] = key.ID
	}
	slices.Sort(team.keyIDs)
}
