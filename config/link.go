package config

import (
	"fmt"
	"slices"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// linkFleet indexes services and classes by name and resolves the references of
// the fleet value.
func linkFleet(d *draft) {
	fleet := d.freshFleet()
	if fleet == nil {
		return
	}
	d.indexClasses(fleet)
	d.indexServices(fleet)
	fleet.routesByName = make(map[string]*Route, len(fleet.document.Routes))
	for i := range fleet.document.Routes {
		d.linkRoute(i, &fleet.document.Routes[i], fleet)
	}
}

func (d *draft) indexClasses(fleet *fleetPart) {
	fleet.classes = make(map[string]*Class, len(fleet.document.Classes))
	for i := range fleet.document.Classes {
		class := &fleet.document.Classes[i]
		if _, taken := fleet.classes[class.Name]; taken {
			d.fleetField("classes[%d].name", i).duplicate(class.Name)
			continue
		}
		fleet.classes[class.Name] = class
	}
}

func (d *draft) indexServices(fleet *fleetPart) {
	fleet.services = make(map[string]*Service, len(fleet.document.Services))
	for i := range fleet.document.Services {
		service := &fleet.document.Services[i]
		if fleet.classes[service.Class] == nil {
			d.fleetField("services[%d].class", i).unknown("class", service.Class)
		}
		if _, taken := fleet.services[service.Name]; taken {
			d.fleetField("services[%d].name", i).duplicate(service.Name)
			continue
		}
		fleet.services[service.Name] = service
	}
}

func (d *draft) linkRoute(i int, route *Route, fleet *fleetPart) {
	if fleet.routesByName[route.Name] != nil {
		d.fleetField("routes[%d].name", i).duplicate(route.Name)
	}
	fleet.routesByName[route.Name] = route
	service := fleet.services[route.Service]
	if service == nil {
		d.fleetField("routes[%d].service", i).unknown("service", route.Service)
	}
	switch {
	case route.Class != "" && fleet.classes[route.Class] == nil:
		d.fleetField("routes[%d].class", i).unknown("class", route.Class)
	case route.Class == "" && service != nil:
		route.Class = service.Class
	}
}

func (f field) duplicate(name string) {
	f.report(pipeline.CodeConfigDuplicate, "%q appears twice", name)
}

func (f field) unknown(kind, name string) {
	f.report(pipeline.CodeConfigReference, "no %s is named %q", kind, name)
}

// linkTeams indexes the teams of each fresh part by name and resolves the teams
// that routes allow. A changed team value can break a reference of an unchanged
// fleet value.
func linkTeams(d *draft) {
	for _, part := range d.freshTeams() {
		d.indexTeams(part)
	}
	if d.fleet == nil || !d.teamsComplete() {
		return
	}
	for i := range d.fleet.document.Routes {
		d.linkAllowed(i, &d.fleet.document.Routes[i])
	}
}

func (d *draft) indexTeams(part *teamPart) {
	part.byName = make(map[string]*Team, len(part.teams))
	for i := range part.teams {
		team := &part.teams[i]
		if want := TeamPart(team.Name, len(d.teams)); want != part.number {
			at := field{d, part.name, fmt.Sprintf("teams[%d].name", i)}
			at.report(pipeline.CodeConfigReference, "team %q belongs to the value %s", team.Name, TeamPartName(want))
		}
		if _, taken := part.byName[team.Name]; taken {
			field{d, part.name, fmt.Sprintf("teams[%d].name", i)}.duplicate(team.Name)
			continue
		}
		part.byName[team.Name] = team
	}
}

// teamsComplete tells whether every team value was read. Without all of them a
// reference to a team cannot be judged.
func (d *draft) teamsComplete() bool {
	for _, part := range d.teams {
		if part == nil {
			return false
		}
	}
	return len(d.teams) > 0
}

func (d *draft) linkAllowed(i int, route *Route) {
	for j, name := range route.Teams {
		part := d.teams[TeamPart(name, len(d.teams))]
		if part.byName[name] == nil {
			d.fleetField("routes[%d].teams[%d]", i, j).unknown("team", name)
		}
		if slices.Contains(route.Teams[:j], name) {
			d.fleetField("routes[%d].teams[%d]", i, j).duplicate(name)
		}
	}
}
