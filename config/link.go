package config

import (
	"fmt"
	"slices"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// linkFleet indexes services, classes and routes by name and resolves the
// references between them.
func linkFleet(d *draft) {
	fleet := d.changedFleet()
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
		if _, existing := fleet.classes[class.Name]; existing {
			d.fleetField("classes[%d].name", i).reportDuplicate(class.Name)
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
			d.fleetField("services[%d].class", i).reportUnknown("class", service.Class)
		}
		if _, existing := fleet.services[service.Name]; existing {
			d.fleetField("services[%d].name", i).reportDuplicate(service.Name)
			continue
		}
		fleet.services[service.Name] = service
	}
}

func (d *draft) linkRoute(i int, route *Route, fleet *fleetPart) {
	if fleet.routesByName[route.Name] != nil {
		d.fleetField("routes[%d].name", i).reportDuplicate(route.Name)
	}
	fleet.routesByName[route.Name] = route
	service := fleet.services[route.Service]
	if service == nil {
		d.fleetField("routes[%d].service", i).reportUnknown("service", route.Service)
	}
	switch {
	case route.Class != "" && fleet.classes[route.Class] == nil:
		d.fleetField("routes[%d].class", i).reportUnknown("class", route.Class)
	case route.Class == "" && service != nil:
		route.Class = service.Class
	}
}

func (f fieldLocation) reportDuplicate(name string) {
	f.report(pipeline.CodeConfigDuplicate, "%q appears twice", name)
}

func (f fieldLocation) reportUnknown(kind, name string) {
	f.report(pipeline.CodeConfigReference, "%s %q does not exist", kind, name)
}

// linkTeams indexes the teams of each changed part by name and checks the teams
// that routes allow. It checks them even if the fleet value is unchanged, because a
// changed team part can remove a team that a route allows.
func linkTeams(d *draft) {
	for _, part := range d.changedTeamParts() {
		d.indexTeams(part)
	}
	if d.fleet == nil || !d.allTeamPartsDecoded() {
		return
	}
	for i := range d.fleet.document.Routes {
		d.checkAllowedTeams(i, &d.fleet.document.Routes[i])
	}
}

func (d *draft) indexTeams(part *teamPart) {
	part.byName = make(map[string]*Team, len(part.teams))
	for i := range part.teams {
		team := &part.teams[i]
		if want := TeamPartOf(team.Name, len(d.teams)); want != part.number {
			at := fieldLocation{d, part.name, fmt.Sprintf("teams[%d].name", i)}
			at.report(pipeline.CodeConfigReference, "team %q belongs in the value %s", team.Name, TeamPartName(want))
		}
		if _, existing := part.byName[team.Name]; existing {
			fieldLocation{d, part.name, fmt.Sprintf("teams[%d].name", i)}.reportDuplicate(team.Name)
			continue
		}
		part.byName[team.Name] = team
	}
}

// allTeamPartsDecoded reports whether every team part was decoded. References to
// teams can only be checked with all of them.
func (d *draft) allTeamPartsDecoded() bool {
	for _, part := range d.teams {
		if part == nil {
			return false
		}
	}
	return len(d.teams) > 0
}

func (d *draft) checkAllowedTeams(i int, route *Route) {
	for j, name := range route.Teams {
		part := d.teams[TeamPartOf(name, len(d.teams))]
		if part.byName[name] == nil {
			d.fleetField("routes[%d].teams[%d]", i, j).reportUnknown("team", name)
		}
		if slices.Contains(route.Teams[:j], name) {
			d.fleetField("routes[%d].teams[%d]", i, j).reportDuplicate(name)
		}
	}
}
