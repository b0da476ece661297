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

// indexKeys brings the key index up to date. It follows the parts that changed;
// if a digest is taken, it indexes all parts afresh, so that the report is the
// same whatever the previous configuration was.
func indexKeys(d *draft) {
	for _, part := range d.freshTeams() {
		for i := range part.teams {
			d.listKeyIDs(part, i)
		}
	}
	index, ok := d.followKeys()
	if !ok {
		index = d.indexAllKeys()
	}
	d.accepted = index
}

// followKeys starts from the previous index. All removals come before the
// additions, since a key may move between parts.
func (d *draft) followKeys() (*keyIndex, bool) {
	if d.previous == nil || len(d.previous.teams) != len(d.teams) {
		return nil, false
	}
	editor := editKeys(d.previous.keys)
	fresh := d.freshTeams()
	changes := make([]keyChange, len(fresh))
	for i, part := range fresh {
		changes[i] = compareKeys(d.previous.teams[part.number], part)
		if changes[i].duplicate {
			return nil, false
		}
		for _, digest := range changes[i].removed {
			editor.remove(digest)
		}
	}
	for _, change := range changes {
		for digest, ref := range change.added {
			if !editor.add(digest, ref) {
				return nil, false
			}
		}
	}
	return editor.index, true
}

func (d *draft) indexAllKeys() *keyIndex {
	editor := editKeys(nil)
	for _, part := range d.teams {
		if part == nil {
			continue
		}
		for i := range part.teams {
			d.addKeys(editor, part, i)
		}
	}
	return editor.index
}

func (d *draft) addKeys(editor *keyEditor, part *teamPart, i int) {
	team := &part.teams[i]
	for j, key := range team.Keys {
		if editor.add(key.Digest, KeyRef{team.Name, key.ID}) {
			continue
		}
		at := field{d, part.name, fmt.Sprintf("teams[%d].keys[%d].digest", i, j)}
		taken, _ := editor.index.find(key.Digest)
		at.report(pipeline.CodeConfigDuplicate, "key %q of team %q has the same digest", taken.KeyID, taken.Team)
	}
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
