package config

import (
	"fmt"
	"strings"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// maxName bounds names in bytes: they travel in headers and label metrics.
const maxName = 100

// maxPath bounds the paths of routes in bytes, well below the header limits of
// front ends.
const maxPath = 1024

// maxNumber bounds rates, bursts and worths. Sums and products of numbers below
// it stay exact enough in a float64.
const maxNumber = 1e9

// field is a place in a value that a check can report on.
type field struct {
	draft *draft
	part  string
	path  string
}

func (f field) report(code pipeline.Code, format string, args ...any) {
	f.draft.add(code, f.part, f.path, fmt.Sprintf(format, args...))
}

func (f field) name(name string) {
	if name == "" || len(name) > maxName || !isName(name) {
		f.report(pipeline.CodeConfigRange, "must be 1 to %d letters, digits, dots, hyphens or underscores", maxName)
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

func (f field) within(value, low, high float64) {
	if !(value >= low && value <= high) {
		f.report(pipeline.CodeConfigRange, "must be from %g to %g", low, high)
	}
}

func (f field) positive(value float64) {
	if !(value > 0 && value <= maxNumber) {
		f.report(pipeline.CodeConfigRange, "must be above 0 and at most %g", maxNumber)
	}
}

func (d *draft) fleetField(format string, args ...any) field {
	return field{d, FleetName, fmt.Sprintf(format, args...)}
}

// freshFleet returns the fleet if this draft decoded it; a fleet that is reused
// has been checked before.
func (d *draft) freshFleet() *fleetPart {
	if d.previous != nil && d.fleet == d.previous.fleet {
		return nil
	}
	return d.fleet
}

// freshTeams returns the team parts that this draft decoded.
func (d *draft) freshTeams() []*teamPart {
	var fresh []*teamPart
	for i, part := range d.teams {
		if part != nil && part != d.previous.teamPart(i, len(d.teams)) {
			fresh = append(fresh, part)
		}
	}
	return fresh
}

func checkFleet(d *draft) {
	fleet := d.freshFleet()
	if fleet == nil {
		return
	}
	for i := range fleet.document.Services {
		service := &fleet.document.Services[i]
		d.fleetField("services[%d].name", i).name(service.Name)
		d.fleetField("services[%d].floor", i).within(service.Floor, 0, 1)
	}
	for i := range fleet.document.Classes {
		d.checkClass(i, &fleet.document.Classes[i])
	}
	for i := range fleet.document.Routes {
		d.checkRoute(i, &fleet.document.Routes[i])
	}
}

func (d *draft) checkClass(i int, class *Class) {
	d.fleetField("classes[%d].name", i).name(class.Name)
	d.fleetField("classes[%d].worth", i).positive(class.Worth)
	if class.Target <= 0 {
		d.fleetField("classes[%d].target", i).report(pipeline.CodeConfigRange, "must be above 0")
	}
	if class.Deadline <= 0 {
		d.fleetField("classes[%d].deadline", i).report(pipeline.CodeConfigRange, "must be above 0")
	}
}

func (d *draft) checkRoute(i int, route *Route) {
	d.fleetField("routes[%d].name", i).name(route.Name)
	d.checkMethods(i, route.Methods)
	d.checkPaths(i, route)
	if route.Teams == nil {
		return
	}
	teams := d.fleetField("routes[%d].teams", i)
	switch {
	case route.Open:
		teams.report(pipeline.CodeConfigRange, "a route open to all names no teams")
	case len(route.Teams) == 0:
		teams.report(pipeline.CodeConfigRange, "names no team; without this field all teams are allowed")
	}
}

func (d *draft) checkMethods(i int, methods []string) {
	if len(methods) == 0 {
		d.fleetField("routes[%d].methods", i).report(pipeline.CodeConfigMissing, "names no method")
	}
	for j, method := range methods {
		if !isMethod(method) {
			d.fleetField("routes[%d].methods[%d]", i, j).report(pipeline.CodeConfigRange, "must be 1 to %d upper-case letters or hyphens", maxName)
		}
	}
}

func isMethod(method string) bool {
	for i := range len(method) {
		if c := method[i]; c != '-' && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return method != "" && len(method) <= maxName
}

func (d *draft) checkPaths(i int, route *Route) {
	switch {
	case route.Prefix == "" && route.Path == "":
		d.fleetField("routes[%d].prefix", i).report(pipeline.CodeConfigMissing, "a prefix or a path is required")
	case route.Prefix != "" && route.Path != "":
		d.fleetField("routes[%d].path", i).report(pipeline.CodeConfigRange, "a route has either a prefix or a path")
	case route.Prefix != "":
		d.fleetField("routes[%d].prefix", i).routePath(route.Prefix)
	default:
		d.fleetField("routes[%d].path", i).routePath(route.Path)
	}
}

// routePath accepts "/" and normal paths of unreserved characters without a
// slash at the end.
func (f field) routePath(path string) {
	plain := path != "" && len(path) <= maxPath
	for i := range len(path) {
		plain = plain && (path[i] == '/' || isUnreserved(path[i]))
	}
	trailing := len(path) > 1 && strings.HasSuffix(path, "/")
	if !plain || trailing || !isNormal(path) {
		f.report(pipeline.CodeConfigRange, "must start with a slash, not end in one, and have segments of letters, digits and -._~ (at most %d bytes, no dot segments)", maxPath)
	}
}

func checkTeams(d *draft) {
	for _, part := range d.freshTeams() {
		for i := range part.teams {
			d.checkTeam(part.name, i, &part.teams[i])
		}
	}
}

func (d *draft) checkTeam(part string, i int, team *Team) {
	at := func(name string) field { return field{d, part, fmt.Sprintf("teams[%d].%s", i, name)} }
	if team.Name == "" || len(team.Name) > maxName || !isName(team.Name) {
		at("name").name(team.Name)
	}
	if !(team.Rate >= 0 && team.Rate <= maxNumber) {
		at("rate").within(team.Rate, 0, maxNumber)
	}
	if !(team.Burst >= 1 && team.Burst <= maxNumber) {
		at("burst").within(team.Burst, 1, maxNumber)
	}
	for j := range team.Keys {
		if id := team.Keys[j].ID; !isName(id) || id == "" || len(id) > maxName {
			at(fmt.Sprintf("keys[%d].id", j)).name(id)
		}
	}
}
