package config

import (
	"fmt"
	"strings"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// maxNameBytes is the maximum length of names, which are used in headers and metric
// labels.
const maxNameBytes = 100

// maxPathBytes is the maximum length of route paths, well below the header limits of
// front ends.
const maxPathBytes = 1024

// maxNumber is the maximum of rates, bursts and worths. Sums and products of
// numbers up to it remain sufficiently precise in a float64.
const maxNumber = 1e9

// fieldLocation identifies a field of a value, so that checks can report problems
// with it.
type fieldLocation struct {
	draft *draft
	part  string
	path  string
}

func (f fieldLocation) report(code pipeline.Code, format string, args ...any) {
	f.draft.add(code, f.part, f.path, fmt.Sprintf(format, args...))
}

func (f fieldLocation) checkName(name string) {
	if name == "" || len(name) > maxNameBytes || !isName(name) {
		f.report(pipeline.CodeConfigRange, "must be 1 to %d letters, digits, dots, hyphens or underscores", maxNameBytes)
	}
}

func isName(name string) bool {
	for i := range len(name) {
		if !isUnreserved(name[i]) || name[i] == '~' {
			return false
		}
	}
	return true
}

func (f fieldLocation) checkRange(value, low, high float64) {
	if !(value >= low && value <= high) {
		f.report(pipeline.CodeConfigRange, "must be from %g to %g", low, high)
	}
}

func (f fieldLocation) checkPositive(value float64) {
	if !(value > 0 && value <= maxNumber) {
		f.report(pipeline.CodeConfigRange, "must be above 0 and at most %g", maxNumber)
	}
}

func (d *draft) fleetField(format string, args ...any) fieldLocation {
	return fieldLocation{d, FleetName, fmt.Sprintf(format, args...)}
}

// changedFleet returns the fleet part if this draft decoded it, or nil if it was
// reused from the previous configuration and needs no validation.
func (d *draft) changedFleet() *fleetPart {
	if d.previous != nil && d.fleet == d.previous.fleet {
		return nil
	}
	return d.fleet
}

// changedTeamParts returns the team parts that this draft decoded, not those reused
// from the previous configuration.
func (d *draft) changedTeamParts() []*teamPart {
	var fresh []*teamPart
	for i, part := range d.teams {
		if part != nil && part != d.previous.teamPart(i, len(d.teams)) {
			fresh = append(fresh, part)
		}
	}
	return fresh
}

func checkFleet(d *draft) {
	fleet := d.changedFleet()
	if fleet == nil {
		return
	}
	for i := range fleet.document.Services {
		service := &fleet.document.Services[i]
		d.fleetField("services[%d].name", i).checkName(service.Name)
		d.fleetField("services[%d].floor", i).checkRange(service.CapacityFloor, 0, 1)
	}
	for i := range fleet.document.Classes {
		d.checkClass(i, &fleet.document.Classes[i])
	}
	for i := range fleet.document.Routes {
		d.checkRoute(i, &fleet.document.Routes[i])
	}
}

func (d *draft) checkClass(i int, class *Class) {
	d.fleetField("classes[%d].name", i).checkName(class.Name)
	d.fleetField("classes[%d].worth", i).checkPositive(class.Worth)
	if class.TargetLatency <= 0 {
		d.fleetField("classes[%d].target", i).report(pipeline.CodeConfigRange, "must be above 0")
	}
	if class.DefaultDeadline <= 0 {
		d.fleetField("classes[%d].deadline", i).report(pipeline.CodeConfigRange, "must be above 0")
	}
}

func (d *draft) checkRoute(i int, route *Route) {
	d.fleetField("routes[%d].name", i).checkName(route.Name)
	d.checkMethods(i, route.Methods)
	d.checkPaths(i, route)
	if route.Teams == nil {
		return
	}
	teams := d.fleetField("routes[%d].teams", i)
	switch {
	case route.Open:
		teams.report(pipeline.CodeConfigRange, "an open route must not list teams")
	case len(route.Teams) == 0:
		teams.report(pipeline.CodeConfigRange, "must list at least one team; omit the field to allow all teams")
	}
}

func (d *draft) checkMethods(i int, methods []string) {
	if len(methods) == 0 {
		d.fleetField("routes[%d].methods", i).report(pipeline.CodeConfigMissing, "must list at least one method")
	}
	for j, method := range methods {
		if !isMethod(method) {
			d.fleetField("routes[%d].methods[%d]", i, j).report(pipeline.CodeConfigRange, "must be 1 to %d upper-case letters or hyphens", maxNameBytes)
		}
	}
}

func isMethod(method string) bool {
	for i := range len(method) {
		if c := method[i]; c != '-' && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return method != "" && len(method) <= maxNameBytes
}

func (d *draft) checkPaths(i int, route *Route) {
	switch {
	case route.Prefix == "" && route.Path == "":
		d.fleetField("routes[%d].prefix", i).report(pipeline.CodeConfigMissing, "a prefix or a path is required")
	case route.Prefix != "" && route.Path != "":
		d.fleetField("routes[%d].path", i).report(pipeline.CodeConfigRange, "a route has either a prefix or a path")
	case route.Prefix != "":
		d.fleetField("routes[%d].prefix", i).checkRoutePath(route.Prefix)
	default:
		d.fleetField("routes[%d].path", i).checkRoutePath(route.Path)
	}
}

// checkRoutePath accepts "/" and normalized paths of unreserved characters without a
// trailing slash.
func (f fieldLocation) checkRoutePath(path string) {
	plain := path != "" && len(path) <= maxPathBytes
	for i := range len(path) {
		plain = plain && (path[i] == '/' || isUnreserved(path[i]))
	}
	trailing := len(path) > 1 && strings.HasSuffix(path, "/")
	if !plain || trailing || !isNormalizedPath(path) {
		f.report(pipeline.CodeConfigRange, "must start with a slash, not end in one, and have segments of letters, digits and -._~ (at most %d bytes, no dot segments)", maxPathBytes)
	}
}

func checkTeams(d *draft) {
	for _, part := range d.changedTeamParts() {
		for i := range part.teams {
			d.checkTeam(part.name, i, &part.teams[i])
		}
	}
}

func (d *draft) checkTeam(part string, i int, team *Team) {
	at := func(name string) fieldLocation { return fieldLocation{d, part, fmt.Sprintf("teams[%d].%s", i, name)} }
	if team.Name == "" || len(team.Name) > maxNameBytes || !isName(team.Name) {
		at("name").checkName(team.Name)
	}
	if !(team.Rate >= 0 && team.Rate <= maxNumber) {
		at("rate").checkRange(team.Rate, 0, maxNumber)
	}
	if !(team.Burst >= 1 && team.Burst <= maxNumber) {
		at("burst").checkRange(team.Burst, 1, maxNumber)
	}
	for j := range team.Keys {
		if id := team.Keys[j].ID; !isName(id) || id == "" || len(id) > maxNameBytes {
			at(fmt.Sprintf("keys[%d].id", j)).checkName(id)
		}
	}
}
