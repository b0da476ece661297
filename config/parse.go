package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

var errTeamParts = eris.Errorf("the number of team parts must be from 1 to %d", MaxTeamParts)

// draft is a configuration on its way through the stages.
type draft struct {
	report

	previous *Config // nil for a first configuration
	values   map[string][]byte
	manifest value

	readable bool // the manifest is well-formed JSON
	listed   Manifest
	digests  map[string]Digest // of the values that the manifest lists
	fleet    *fleetPart        // nil if it is missing or malformed
	teams    []*teamPart       // nil entries are missing or malformed
	accepted *keyIndex
}

// stage is one step of Parse. It reads what earlier stages left in the draft and
// reports problems; later stages run all the same, so that one run finds every
// problem.
type stage func(*draft)

var stages = []stage{
	readManifest,
	checkManifest,
	selectFleet,
	selectTeams,
	checkFleet,
	checkTeams,
	linkFleet,
	linkTeams,
	indexRoutes,
	indexKeys,
}

// Parse reads a configuration from its manifest and the values that it lists.
// It returns either a configuration or every problem found. Values that the
// manifest does not list are ignored.
func Parse(manifest []byte, parts map[string][]byte) (*Config, Problems) {
	return parse(nil, manifest, parts)
}

// Update reads the next configuration. The version must be higher than that of
// c. Values with unchanged digests are taken from c, so parts needs to hold only
// those that Missing names. c stays as it is.
func (c *Config) Update(manifest []byte, parts map[string][]byte) (*Config, Problems) {
	return parse(c, manifest, parts)
}

// Missing reads a manifest and returns the names of the listed values that c
// does not hold with the same digest. A nil Config holds nothing.
func (c *Config) Missing(manifest []byte) (version uint64, names []string, problems Problems) {
	d := newDraft(c, manifest, nil)
	readManifest(d)
	checkManifest(d)
	if len(d.problems) > 0 {
		return 0, nil, d.result()
	}
	for _, name := range partNames(d.listed.TeamParts) {
		if !d.unchanged(name) {
			names = append(names, name)
		}
	}
	return d.listed.Version, names, nil
}

// ReadManifest reads a manifest by itself.
func ReadManifest(manifest []byte) (Manifest, Problems) {
	d := newDraft(nil, manifest, nil)
	readManifest(d)
	checkManifest(d)
	return d.listed, d.problems
}

func parse(previous *Config, manifest []byte, parts map[string][]byte) (*Config, Problems) {
	d := newDraft(previous, manifest, parts)
	for _, run := range stages {
		run(d)
	}
	if len(d.problems) > 0 {
		return nil, d.result()
	}
	return &Config{
		manifest: canonicalManifest(d.listed),
		version:  d.listed.Version,
		fleet:    d.fleet,
		teams:    d.teams,
		keys:     d.accepted,
	}, nil
}

func newDraft(previous *Config, manifest []byte, parts map[string][]byte) *draft {
	return &draft{
		previous: previous,
		values:   parts,
		manifest: value{ManifestName, manifest, sha256.Sum256(manifest)},
	}
}

func readManifest(d *draft) {
	data := d.manifest.data
	if data == nil {
		d.add(pipeline.CodeConfigMissing, ManifestName, "", "the value is missing")
		return
	}
	if !d.checkSize(ManifestName, data) || !checkSyntax(ManifestName, data, &d.report) {
		return
	}
	d.readable = true
	d.listed = newReader(ManifestName, data, &d.report).manifest()
}

func checkManifest(d *draft) {
	if !d.readable {
		return
	}
	d.checkVersion()
	if n := d.listed.TeamParts; n < 1 || n > MaxTeamParts {
		message := fmt.Sprintf("must be from 1 to %d", MaxTeamParts)
		d.add(pipeline.CodeConfigRange, ManifestName, "teamParts", message)
		d.listed.TeamParts = 0
	}
	d.digests = make(map[string]Digest, len(d.listed.Parts))
	for i, part := range d.listed.Parts {
		d.checkListed(i, part)
	}
	if d.listed.TeamParts == 0 {
		return
	}
	for _, name := range partNames(d.listed.TeamParts) {
		if _, ok := d.digests[name]; !ok {
			d.add(pipeline.CodeConfigMissing, ManifestName, "parts."+name, "the manifest does not list this value")
		}
	}
}

func (d *draft) checkVersion() {
	version := d.listed.Version
	if version == 0 {
		d.add(pipeline.CodeConfigVersion, ManifestName, "version", "must be at least 1")
	}
	if d.previous != nil && version <= d.previous.version {
		message := fmt.Sprintf("must be higher than %d, the version in force", d.previous.version)
		d.add(pipeline.CodeConfigVersion, ManifestName, "version", message)
	}
}

func (d *draft) checkListed(i int, part Part) {
	path := fmt.Sprintf("parts[%d].name", i)
	number, isTeams := teamPartNumber(part.Name)
	known := part.Name == FleetName || isTeams && number < d.listed.TeamParts
	_, repeated := d.digests[part.Name]
	switch {
	case !known && d.listed.TeamParts > 0:
		d.add(pipeline.CodeConfigReference, ManifestName, path, fmt.Sprintf("%q is not a value of this configuration", part.Name))
	case repeated:
		d.add(pipeline.CodeConfigDuplicate, ManifestName, path, fmt.Sprintf("%q is listed twice", part.Name))
	default:
		d.digests[part.Name] = part.Digest
	}
	if part.Digest == (Digest{}) {
		// Also left by a malformed digest; open relies on this report.
		d.add(pipeline.CodeConfigRange, ManifestName, fmt.Sprintf("parts[%d].digest", i), "no value has this digest")
	}
}

// teamPartNumber reads the number from a name such as "teams-3".
func teamPartNumber(name string) (int, bool) {
	text, ok := strings.CutPrefix(name, teamPartPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number >= MaxTeamParts || TeamPartName(number) != name {
		return 0, false
	}
	return number, true
}

// unchanged tells whether the previous configuration holds the listed value. A
// different number of parts moves teams between parts, so no team value is
// reused then.
func (d *draft) unchanged(name string) bool {
	want, ok := d.digests[name]
	if !ok || d.previous == nil {
		return false
	}
	if name == FleetName {
		return d.previous.fleet.digest == want
	}
	number, _ := teamPartNumber(name)
	old := d.previous.teamPart(number, d.listed.TeamParts)
	return old != nil && old.digest == want
}

func selectFleet(d *draft) {
	if d.unchanged(FleetName) {
		d.fleet = d.previous.fleet
		return
	}
	v, ok := d.open(FleetName)
	if !ok {
		return
	}
	document := newReader(FleetName, v.data, &d.report).fleet()
	d.fleet = &fleetPart{value: v, document: document}
}

func selectTeams(d *draft) {
	d.teams = make([]*teamPart, d.teamPartCount())
	for i := range d.teams {
		name := TeamPartName(i)
		if d.unchanged(name) {
			d.teams[i] = d.previous.teams[i]
			continue
		}
		v, ok := d.open(name)
		if !ok {
			continue
		}
		teams := newReader(name, v.data, &d.report).teams()
		// Clone frees the room that appending left over, 1.6 MB at the goal's size.
		d.teams[i] = &teamPart{value: v, number: i, teams: slices.Clone(teams)}
	}
}

// teamPartCount falls back to the values at hand if the manifest does not state
// a usable number, so that their problems are found too.
func (d *draft) teamPartCount() int {
	if d.listed.TeamParts > 0 {
		return d.listed.TeamParts
	}
	n := 0
	for d.values[TeamPartName(n)] != nil {
		n++
	}
	return n
}

// open checks size, digest and syntax of a value.
func (d *draft) open(name string) (value, bool) {
	data, ok := d.values[name]
	if !ok {
		d.add(pipeline.CodeConfigMissing, name, "", "the value is missing")
		return value{}, false
	}
	if !d.checkSize(name, data) {
		return value{}, false
	}
	v := value{name, data, sha256.Sum256(data)}
	want, listed := d.digests[name]
	if listed && want != (Digest{}) && v.digest != want {
		message := fmt.Sprintf("the SHA-256 digest is %s, the manifest states %s",
			hex.EncodeToString(v.digest[:]), hex.EncodeToString(want[:]))
		d.add(pipeline.CodeConfigDigest, name, "", message)
	}
	return v, checkSyntax(name, data, &d.report)
}

func (d *draft) checkSize(name string, data []byte) bool {
	if len(data) <= MaxValueSize {
		return true
	}
	message := fmt.Sprintf("the value has more than %d bytes", MaxValueSize)
	d.add(pipeline.CodeConfigTooLarge, name, "", message)
	return false
}
