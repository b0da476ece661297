package config

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against an incremental update whose result differs from parsing the same
// values from scratch: a withdrawn key that remains valid, a key lost when it moves
// to another team, or a stale reference.
func TestUpdateEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SampledFrom([]int{1, 3, testParts}).Draw(t, "parts")
		var cfg *Config
		for version := uint64(1); version <= 6; version++ {
			manifest, values, _ := Build(version, parts, smallFleet(), drawTeams(t))
			fresh, want := Parse(manifest, values)
			_, missing, _ := cfg.MissingValues(manifest)
			maps.DeleteFunc(values, func(name string, _ []byte) bool { return !slices.Contains(missing, name) })
			updated, got := cfg.Update(manifest, values)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("version %d: got problems %v, want %v", version, got, want)
			}
			if updated == nil {
				continue
			}
			requireSameTeams(t, updated, fresh)
			requireSameManifest(t, cfg, updated)
			cfg = updated
		}
	})
}

// drawTeams draws teams from few names and keys, so that keys often move between
// teams, return and collide.
func drawTeams(t *rapid.T) []Team {
	var teams []Team
	for _, name := range []string{"kea", "tui", "weka", "moa"} {
		keys := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 3, rapid.ID[int]).Draw(t, name)
		if name == "moa" && len(keys) == 0 {
			continue
		}
		team := Team{Name: name, Rate: float64(len(keys)), Burst: 1}
		for _, k := range keys {
			team.Keys = append(team.Keys, Key{ID: fmt.Sprint("k", k), Digest: keyDigest(fmt.Sprint(k))})
		}
		teams = append(teams, team)
	}
	return teams
}

// requireSameManifest rebuilds the manifest of to from its values, as a peer does
// that has the configuration from or, if it is nil, none.
func requireSameManifest(t *rapid.T, from, to *Config) {
	values := make(map[string][]byte)
	for _, name := range partNames(to.TeamParts()) {
		values[name] = to.Value(name)
	}
	manifest := from.BuildManifest(to.Version(), values)
	if !bytes.Equal(manifest, to.Value(ManifestName)) {
		t.Fatalf("the values give %s, want %s", manifest, to.Value(ManifestName))
	}
}

func requireSameTeams(t *rapid.T, got, want *Config) {
	for key := range 10 {
		digest := keyDigest(fmt.Sprint(key))
		gotRef, gotOK := got.KeyByDigest(digest)
		wantRef, wantOK := want.KeyByDigest(digest)
		if gotRef != wantRef || gotOK != wantOK {
			t.Fatalf("key %d: got %+v, %t, want %+v, %t", key, gotRef, gotOK, wantRef, wantOK)
		}
		for _, name := range []string{"kea", "tui", "weka", "moa"} {
			id := fmt.Sprint("k", key)
			if got.HasKey(name, id) != want.HasKey(name, id) {
				t.Fatalf("key %s of %s is valid in one configuration only", id, name)
			}
		}
	}
	want.EachTeam(func(team *Team) bool {
		if other, ok := got.Team(team.Name); !ok || !reflect.DeepEqual(team, other) {
			t.Fatalf("team %s: got %+v, want %+v", team.Name, other, team)
		}
		return true
	})
}

// Guards against accepting the same or a lower version, and against a rejected
// update that modifies the current configuration.
func TestUpdateRefusesOldVersions(t *testing.T) {
	cfg := mustParse(t, 5, smallFleet(), smallTeams())
	for _, version := range []uint64{1, 5} {
		_, problems := cfg.Update(mustBuild(t, version, smallFleet(), nil))
		if len(problems) == 0 || problems[0].Code != pipeline.CodeConfigVersion {
			t.Errorf("version %d after 5: got %v", version, problems)
		}
	}
	if !cfg.HasKey("tui", "a") {
		t.Error("a rejected update modified the current configuration")
	}
}

// Guards against an update that removes a team while a route of the unchanged fleet
// value still allows it, and against requesting unchanged values again.
func TestUpdateOfOneTeamPart(t *testing.T) {
	cfg := mustParse(t, 1, smallFleet(), smallTeams())
	manifest, values := mustBuild(t, 2, smallFleet(), smallTeams()[1:])
	version, missing, _ := cfg.MissingValues(manifest)
	part := TeamPartName(TeamPartOf("kea", testParts))
	if version != 2 || !slices.Equal(missing, []string{part}) {
		t.Fatalf("version %d needs %v, want only %s", version, missing, part)
	}
	_, problems := cfg.Update(manifest, map[string][]byte{part: values[part]})
	if len(problems) != 1 || problems[0].Path != "routes[2].teams[1]" {
		t.Errorf("got %v, want the broken reference to kea", problems)
	}
}

// Guards against a rebuilt manifest that lets an update with a missing or corrupt
// value pass.
func TestBuildManifestFromIncompleteValues(t *testing.T) {
	cfg := mustParse(t, 1, smallFleet(), smallTeams())
	_, values := mustBuild(t, 2, smallFleet(), smallTeams()[:2])
	for _, name := range []string{FleetName, TeamPartName(0)} {
		partial := maps.Clone(values)
		delete(partial, name)
		if _, problems := cfg.Update(cfg.BuildManifest(2, partial), partial); problems == nil {
			t.Errorf("accepted without %s", name)
		}
		partial[name] = []byte("{")
		if _, problems := cfg.Update(cfg.BuildManifest(2, partial), partial); problems == nil {
			t.Errorf("accepted with a corrupt %s", name)
		}
	}
	if _, problems := cfg.Update(cfg.BuildManifest(2, values), values); problems != nil {
		t.Errorf("rejected the complete values: %v", problems)
	}
}

// Guards against panics and hangs on malformed values, and against a valid
// configuration that Build and Update reject when it is published again.
func FuzzParse(f *testing.F) {
	manifest, parts := mustBuild(f, 1, smallFleet(), smallTeams())
	f.Add(parts[FleetName], parts["teams-0"], manifest)
	f.Add([]byte(`{"services":[],"classes":[],"routes":[]}`), []byte(`{"teams":[{"name":"\u00e9","rate":1e9,"burst":1,"keys":[]}]}`), []byte(`{`))
	f.Add([]byte(`[[{"a":[1,{}],"b":null}]]`), []byte(`"x"`), []byte(` 1 `))
	f.Fuzz(func(t *testing.T, fleet, teams, manifest []byte) {
		Parse(manifest, map[string][]byte{FleetName: fleet, "teams-0": teams, "teams-1": manifest})
		values := map[string][]byte{FleetName: fleet, "teams-0": teams}
		cfg, problems := Parse(marshalManifest(digestParts(1, 1, values)), values)
		if (cfg == nil) == (len(problems) == 0) {
			t.Fatalf("configuration %v with problems %v", cfg, problems)
		}
		if cfg == nil {
			return
		}
		var all []Team
		cfg.EachTeam(func(team *Team) bool { all = append(all, *team); return true })
		again, values, _ := Build(2, 1, cfg.fleet.document, all)
		if _, problems := cfg.Update(again, values); problems != nil {
			t.Fatalf("published again: %v", problems)
		}
	})
}
