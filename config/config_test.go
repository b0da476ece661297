package config

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

const testParts = 4

func keyDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

func smallFleet() Fleet {
	return Fleet{
		Services: []Service{{"bookings", 0.6, "book"}, {"roster", 0.5, "look"}},
		Classes: []Class{
			{Name: "book", TargetLatency: time.Second, Worth: 5, MaxBody: 4096, DefaultDeadline: 4 * time.Second},
			{Name: "look", Idempotent: true, TargetLatency: 100 * time.Millisecond, Worth: 1, DefaultDeadline: time.Second},
		},
		Routes: []Route{
			{Name: "book", Methods: []string{"POST", "DELETE"}, Prefix: "/bookings", Service: "bookings"},
			{Name: "view", Methods: []string{"GET"}, Prefix: "/bookings", Service: "bookings", Class: "look"},
			{Name: "archive", Methods: []string{"GET"}, Prefix: "/bookings/archive", Service: "bookings", Class: "look", Teams: []string{"tui", "kea"}},
			{Name: "about", Methods: []string{"GET"}, Path: "/about", Service: "roster", Open: true},
		},
	}
}

func smallTeams() []Team {
	return []Team{
		{Name: "kea", Rate: 10, Burst: 20, Keys: []Key{{ID: "b", Digest: keyDigest("kea-b")}, {ID: "a", Digest: keyDigest("kea-a")}}},
		{Name: "tui", Rate: 5.5, Burst: 1, Keys: []Key{{ID: "a", Digest: keyDigest("tui-a")}}},
		{Name: "weka", Rate: 0, Burst: 8, Keys: nil},
	}
}

func mustBuild(t testing.TB, version uint64, fleet Fleet, teams []Team) ([]byte, map[string][]byte) {
	t.Helper()
	manifest, parts, err := Build(version, testParts, fleet, teams)
	if err != nil {
		t.Fatal(err)
	}
	return manifest, parts
}

func mustParse(t testing.TB, version uint64, fleet Fleet, teams []Team) *Config {
	t.Helper()
	cfg, problems := Parse(mustBuild(t, version, fleet, teams))
	if problems != nil {
		t.Fatal(problems)
	}
	return cfg
}

// Guards against a document that Build and Parse do not reproduce unchanged.
func TestParseReadsWhatBuildWrote(t *testing.T) {
	cfg := mustParse(t, 7, smallFleet(), smallTeams())
	service, _ := cfg.Service("bookings")
	class, _ := cfg.Class(service.Class)
	team, _ := cfg.Team("tui")
	if cfg.Version() != 7 || service.CapacityFloor != 0.6 || class.DefaultDeadline != 4*time.Second || team.Rate != 5.5 {
		t.Fatalf("got version %d, %+v, %+v, %+v", cfg.Version(), service, class, team)
	}
	if ref, ok := cfg.KeyByDigest(keyDigest("kea-a")); !ok || ref != (KeyRef{"kea", "a"}) {
		t.Fatalf("key reference %+v, %t", ref, ok)
	}
	if !cfg.HasKey("kea", "a") || !cfg.HasKey("kea", "b") || cfg.HasKey("kea", "c") || cfg.HasKey("moa", "a") {
		t.Fatal("HasKey disagrees with the document")
	}
}

// Guards against matching the wrong route, and against matching a path that a
// backend server could decode to another one.
func TestRouteMatch(t *testing.T) {
	cfg := mustParse(t, 1, smallFleet(), smallTeams())
	for _, c := range []struct {
		method, path, route string
		result              MatchResult
	}{
		{"POST", "/bookings", "book", Matched},
		{"GET", "/bookings/17/van%20two", "view", Matched},
		{"GET", "/bookings/archive/2026", "archive", Matched},
		{"GET", "/bookings/archives", "view", Matched},
		{"POST", "/bookings/archive", "", MethodNotServed},
		{"GET", "/about", "about", Matched},
		{"GET", "/about/us", "", UnknownPath},
		{"GET", "/about/", "", UnknownPath},
		{"GET", "/bookingsx", "", UnknownPath},
		{"GET", "/", "", UnknownPath},
		{"GET", "/bookings/", "view", Matched},
		{"GET", "/about/../bookings", "", PathNotNormal},
		{"GET", "/bookings/%2e%2E/about", "", PathNotNormal},
		{"GET", "/%62ookings", "", PathNotNormal},
		{"GET", "/bookings%2Farchive", "", PathNotNormal},
		{"GET", "/bookings/archive;x", "", PathNotNormal},
		{"GET", "//bookings", "", PathNotNormal},
		{"GET", "/bookings/%zz", "", PathNotNormal},
		{"OPTIONS", "*", "", PathNotNormal},
	} {
		route, result := cfg.Route(c.method, c.path)
		name := ""
		if route != nil {
			name = route.Name
		}
		if name != c.route || result != c.result {
			t.Errorf("%s %s: got %q, %v, want %q, %v", c.method, c.path, name, result, c.route, c.result)
		}
	}
}

// Guards against a route that teams outside its list may use, and against a route
// that does not get the default class of its service.
func TestRouteTeamsAndClass(t *testing.T) {
	cfg := mustParse(t, 1, smallFleet(), smallTeams())
	archive, _ := cfg.Route("GET", "/bookings/archive")
	book, _ := cfg.Route("POST", "/bookings")
	if !archive.Allows("kea") || !archive.Allows("tui") || archive.Allows("weka") || archive.Allows("") {
		t.Error("the archive is not limited to its teams")
	}
	if !book.Allows("weka") || book.Class != "book" {
		t.Errorf("route %+v does not have the defaults", book)
	}
}

// Guards against accepting an invalid document, and against a problem reported at
// the wrong field. Each case makes one change to a valid document.
func TestParseRefuses(t *testing.T) {
	type edit func(f *Fleet, teams []Team)
	for _, c := range []struct {
		code pipeline.Code
		path string
		edit edit
	}{
		{pipeline.CodeConfigRange, "services[0].floor", func(f *Fleet, _ []Team) { f.Services[0].CapacityFloor = 1.01 }},
		{pipeline.CodeConfigRange, "services[1].floor", func(f *Fleet, _ []Team) { f.Services[1].CapacityFloor = -0.1 }},
		{pipeline.CodeConfigRange, "services[2].name", func(f *Fleet, _ []Team) { f.Services = append(f.Services, Service{"a\nb", 0, "look"}) }},
		{pipeline.CodeConfigReference, "services[0].class", func(f *Fleet, _ []Team) { f.Services[0].Class = "none" }},
		{pipeline.CodeConfigDuplicate, "services[2].name", func(f *Fleet, _ []Team) { f.Services = append(f.Services, f.Services[0]) }},
		{pipeline.CodeConfigRange, "classes[1].worth", func(f *Fleet, _ []Team) { f.Classes[1].Worth = 0 }},
		{pipeline.CodeConfigRange, "classes[0].deadline", func(f *Fleet, _ []Team) { f.Classes[0].DefaultDeadline = 0 }},
		{pipeline.CodeConfigRange, "classes[0].target", func(f *Fleet, _ []Team) { f.Classes[0].TargetLatency = -time.Second }},
		{pipeline.CodeConfigRange, "classes[0].maxBody", func(f *Fleet, _ []Team) { f.Classes[0].MaxBody = -1 }},
		{pipeline.CodeConfigDuplicate, "classes[2].name", func(f *Fleet, _ []Team) { f.Classes = append(f.Classes, f.Classes[0]) }},
		{pipeline.CodeConfigDuplicate, "routes[1].name", func(f *Fleet, _ []Team) { f.Routes[1].Name = "book" }},
		{pipeline.CodeConfigDuplicate, "routes[1].methods[0]", func(f *Fleet, _ []Team) { f.Routes[1].Methods = []string{"POST"} }},
		{pipeline.CodeConfigMissing, "routes[0].methods", func(f *Fleet, _ []Team) { f.Routes[0].Methods = []string{} }},
		{pipeline.CodeConfigRange, "routes[0].methods[0]", func(f *Fleet, _ []Team) { f.Routes[0].Methods = []string{"post"} }},
		{pipeline.CodeConfigMissing, "routes[0].prefix", func(f *Fleet, _ []Team) { f.Routes[0].Prefix = "" }},
		{pipeline.CodeConfigRange, "routes[0].path", func(f *Fleet, _ []Team) { f.Routes[0].Path = "/x" }},
		{pipeline.CodeConfigRange, "routes[0].prefix", func(f *Fleet, _ []Team) { f.Routes[0].Prefix = "/a/../b" }},
		{pipeline.CodeConfigRange, "routes[0].prefix", func(f *Fleet, _ []Team) { f.Routes[0].Prefix = "/a/" }},
		{pipeline.CodeConfigReference, "routes[0].service", func(f *Fleet, _ []Team) { f.Routes[0].Service = "none" }},
		{pipeline.CodeConfigReference, "routes[1].class", func(f *Fleet, _ []Team) { f.Routes[1].Class = "none" }},
		{pipeline.CodeConfigReference, "routes[2].teams[1]", func(f *Fleet, _ []Team) { f.Routes[2].Teams[1] = "moa" }},
		{pipeline.CodeConfigDuplicate, "routes[2].teams[1]", func(f *Fleet, _ []Team) { f.Routes[2].Teams[1] = "tui" }},
		{pipeline.CodeConfigRange, "routes[3].teams", func(f *Fleet, _ []Team) { f.Routes[3].Teams = []string{"tui"} }},
		{pipeline.CodeConfigRange, ".rate", func(_ *Fleet, teams []Team) { teams[0].Rate = -1 }},
		{pipeline.CodeConfigRange, ".burst", func(_ *Fleet, teams []Team) { teams[0].Burst = 0.5 }},
		{pipeline.CodeConfigRange, ".name", func(_ *Fleet, teams []Team) { teams[2].Name = "" }},
		{pipeline.CodeConfigDuplicate, ".name", func(_ *Fleet, teams []Team) { teams[2].Name = "kea" }},
		{pipeline.CodeConfigDuplicate, ".keys[1].id", func(_ *Fleet, teams []Team) { teams[0].Keys[1].ID = "b" }},
		{pipeline.CodeConfigDuplicate, ".digest", func(_ *Fleet, teams []Team) { teams[1].Keys[0].Digest = keyDigest("kea-a") }},
		{pipeline.CodeConfigDuplicate, ".keys[1].digest", func(_ *Fleet, teams []Team) { teams[0].Keys[1].Digest = keyDigest("kea-b") }},
	} {
		fleet, teams := smallFleet(), smallTeams()
		c.edit(&fleet, teams)
		cfg, problems := Parse(mustBuild(t, 1, fleet, teams))
		if cfg != nil || len(problems) != 1 || problems[0].Code != c.code || !strings.HasSuffix(problems[0].Path, c.path) {
			t.Errorf("want one problem %v at %s, got: %v", c.code, c.path, problems)
		}
	}
}

// Guards against malformed values that are decoded without a problem, and against
// a parser that stops at the first problem.
func TestParseReportsEveryMalformedField(t *testing.T) {
	_, parts := mustBuild(t, 1, smallFleet(), smallTeams())
	parts[FleetName] = []byte(`{"services":[{"name":"a","floor":"1","class":"k","weight":2}],
		"classes":[{"name":"k","name":"l","idempotent":1,"target":"soon","worth":1e999,"deadline":"1s","maxBody":1.5}],
		"routes":{"x":[{}]},"Routes":[]}`)
	cfg, problems := Parse([]byte(`{"version":0,"teamParts":4,"parts":[{"name":"fleet","digest":"00"},{"name":"fleet","digest":"XY"},{"name":"x"}]}`), parts)
	got := make(map[string]pipeline.Code)
	for _, p := range problems {
		got[p.Part+" "+p.Path] = p.Code
	}
	want := map[string]pipeline.Code{
		"manifest parts[0].digest": 8001, "manifest parts[1].digest": 8001, "manifest parts[2].digest": 8009,
		"manifest version": 8007, "manifest parts[1].name": 8004, "manifest parts[2].name": 8005,
		"manifest parts.teams-0": 8009, "manifest parts.teams-1": 8009, "manifest parts.teams-2": 8009, "manifest parts.teams-3": 8009,
		"fleet services[0].floor": 8001, "fleet services[0].weight": 8002, "fleet classes[0].name": 8004,
		"fleet classes[0].idempotent": 8001, "fleet classes[0].target": 8001, "fleet classes[0].worth": 8003,
		"fleet classes[0].maxBody": 8003, "fleet routes": 8001, "fleet Routes": 8002,
	}
	if cfg != nil || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got\n%v\nwant\n%v", got, want)
	}
}

// Guards against accepting values that are missing, too large, truncated or
// modified.
func TestParseRefusesBadValues(t *testing.T) {
	for _, c := range []struct {
		code pipeline.Code
		edit func(parts map[string][]byte)
	}{
		{pipeline.CodeConfigMissing, func(p map[string][]byte) { delete(p, "teams-2") }},
		{pipeline.CodeConfigTooLarge, func(p map[string][]byte) { p["teams-2"] = make([]byte, MaxValueSize+1) }},
		{pipeline.CodeConfigSyntax, func(p map[string][]byte) { p["teams-2"] = p["teams-2"][:9] }},
		{pipeline.CodeConfigSyntax, func(p map[string][]byte) { p["teams-2"] = []byte("{\"teams\":[\"\xff\"]}") }},
		{pipeline.CodeConfigDigest, func(p map[string][]byte) { p["teams-2"] = append(p["teams-2"], ' ') }},
	} {
		manifest, parts := mustBuild(t, 1, smallFleet(), smallTeams())
		c.edit(parts)
		cfg, problems := Parse(manifest, parts)
		if cfg != nil || len(problems) == 0 || problems[len(problems)-1].Code != c.code || problems[0].Part != "teams-2" {
			t.Errorf("want %v, got %v", c.code, problems)
		}
		// An update without the changed value reports it as missing.
		previous := mustParse(t, 1, smallFleet(), smallTeams()[:2])
		manifest, _ = mustBuild(t, 2, smallFleet(), smallTeams())
		if _, problems := previous.Update(manifest, nil); len(problems) != 1 || problems[0].Code != pipeline.CodeConfigMissing {
			t.Errorf("update without the changed value: %v", problems)
		}
	}
}

// Guards against a zero digest in the manifest, for which the content of the value
// is not verified.
func TestParseRefusesTheZeroDigest(t *testing.T) {
	_, parts := mustBuild(t, 1, smallFleet(), smallTeams())
	listed := digestParts(1, testParts, parts)
	listed.Parts[2].Digest = Digest{}
	cfg, problems := Parse(marshalManifest(listed), parts)
	if cfg != nil || len(problems) != 1 || problems[0].Path != "parts[2].digest" {
		t.Errorf("got %v", problems)
	}
}

// Guards against integer overflow of positions in the key index: a malformed value
// within the size limit can list more teams or keys than a keyEntry can address.
// Also guards against an unbounded list of problems, which would exhaust the memory
// of every process that parses such a value.
func TestParseRefusesMoreTeamsThanTheIndexCounts(t *testing.T) {
	team := `{"name":"kea","rate":1,"burst":1,"keys":[` + strings.Repeat("{},", 70_000) + `{"id":"a","digest":"` + strings.Repeat("ab", 32) + `"}]}`
	for _, value := range []string{
		`{"teams":[` + strings.Repeat("{},", 70_000) + team + `]}`,
		`{"teams":[` + team + `]}`,
	} {
		parts := map[string][]byte{FleetName: []byte(`{"services":[],"classes":[],"routes":[]}`), "teams-0": []byte(value)}
		if cfg, problems := Parse(marshalManifest(digestParts(1, 1, parts)), parts); cfg != nil || problems[0].Code != pipeline.CodeConfigMissing || len(problems) != MaxProblems+1 {
			t.Errorf("got %d problems, first %v", len(problems), problems[0])
		}
	}
}
