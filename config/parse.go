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

// draft holds the state of one Parse or Update.
type draft struct {
	problemCollector

	previous *Config // nil in Parse
	values   map[string][]byte
	manifest value

	manifestWellFormed bool // the manifest is syntactically valid JSON
	decodedManifest    Manifest
	digests            map[string]Digest // by name, from the manifest
	fleet              *fleetPart        // nil if missing or malformed
	teams              []*teamPart       // entries are nil for missing or malformed parts
	keys               *keyIndex
}

// stage is one step of Parse. It uses the results of earlier stages in the draft
// and adds problems to it. Later stages run even if there are problems, so that
// one run finds all of them.
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

// Parse decodes and validates a configuration from its manifest and the values
// that the manifest lists. It returns either a configuration or all problems
// found. It ignores values that the manifest does not list.
func Parse(manifest []byte, parts map[string][]byte) (*Config, Problems) {
	return parse(nil, manifest, parts)
}

// Update parses the next configuration, whose version must be higher than that of
// c. Values with unchanged digests are taken from c, so parts needs to contain only
// those that MissingValues returns. c is not modified.
func (c *Config) Update(manifest []byte, parts map[string][]byte) (*Config, Problems) {
	return parse(c, manifest, parts)
}

// MissingValues parses a manifest and returns its version and the names of the
// values that c does not hold with the same digest. c may be nil.
func (c *Config) MissingValues(manifest []byte) (version uint64, names []string, problems Problems) {
	d := newDraft(c, manifest, nil)
	readManifest(d)
	checkManifest(d)
	if len(d.problems) > 0 {
		return 0, nil, d.result()
	}
	for _, name := range partNames(d.decodedManifest.TeamParts) {
		if !d.unchanged(name) {
			names = append(names, name)
		}
	}
	return d.decodedManifest.Version, names, nil
}

// ReadManifest parses and validates a manifest without the values that it lists.
func ReadManifest(manifest []byte) (Manifest, Problems) {
	d := newDraft(nil, manifest, nil)
	readManifest(d)
	checkManifest(d)
	return d.decodedManifest, d.problems
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
		manifest: canonicalManifest(d.decodedManifest),
		version:  d.decodedManifest.Version,
		fleet:    d.fleet,
		teams:    d.teams,
		keys:     d.keys,
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
	if !d.checkSize(ManifestName, data) || !checkSyntax(ManifestName, data, &d.problemCollector) {
		return
	}
	d.manifestWellFormed = true
	d.decodedManifest = newJSONReader(ManifestName, data, &d.problemCollector).manifest()
}

func checkManifest(d *draft) {
	if !d.manifestWellFormed {
		return
	}
	d.checkVersion()
	if n := d.decodedManifest.TeamParts; n < 1 || n > MaxTeamParts {
		message := fmt.Sprintf("must be from 1 to %d", MaxTeamParts)
		d.add(pipeline.CodeConfigRange, ManifestName, "teamParts", message)
		d.decodedManifest.TeamParts = 0
	}
	d.digests = make(map[string]Digest, len(d.decodedManifest.Parts))
	for i, part := range d.decodedManifest.Parts {
		d.checkManifestEntry(i, part)
	}
	if d.decodedManifest.TeamParts == 0 {
		return
	}
	for _, name := range partNames(d.decodedManifest.TeamParts) {
		if _, ok := d.digests[name]; !ok {
			d.add(pipeline.CodeConfigMissing, ManifestName, "parts."+name, "the manifest does not list this value")
		}
	}
}

func (d *draft) checkVersion() {
	version := d.decodedManifest.Version
	if version == 0 {
		d.add(pipeline.CodeConfigVersion, ManifestName, "version", "must be at least 1")
	}
	if d.previous != nil && version <= d.previous.version {
		message := fmt.Sprintf("must be higher than the current version %d", d.previous.version)
		d.add(pipeline.CodeConfigVersion, ManifestName, "version", message)
	}
}

func (d *draft) checkManifestEntry(i int, part ManifestEntry) {
	path := fmt.Sprintf("parts[%d].name", i)
	number, isTeamPart := teamPartNumber(part.Name)
	known := part.Name == FleetName || isTeamPart && number < d.decodedManifest.TeamParts
	_, repeated := d.digests[part.Name]
	switch {
	case !known && d.decodedManifest.TeamParts > 0:
		d.add(pipeline.CodeConfigReference, ManifestName, path, fmt.Sprintf("%q is not a value of this configuration", part.Name))
	case repeated:
		d.add(pipeline.CodeConfigDuplicate, ManifestName, path, fmt.Sprintf("%q is listed twice", part.Name))
	default:
		d.digests[part.Name] = part.Digest
	}
	if part.Digest == (Digest{}) {
		// A malformed digest is decoded as zero, too. loadValue skips zero digests
		// because they are reported here.
		d.add(pipeline.CodeConfigRange, ManifestName, fmt.Sprintf("parts[%d].digest", i), "the digest must not be all zeros")
	}
}

// teamPartNumber returns the number in a name such as "teams-3".
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

// unchanged reports whether the previous configuration holds the value with the
// digest that the manifest lists. A change of the number of team parts moves teams
// between parts, so no team part is reused then.
func (d *draft) unchanged(name string) bool {
	want, ok := d.digests[name]
	if !ok || d.previous == nil {
		return false
	}
	if name == FleetName {
		return d.previous.fleet.digest == want
	}
	number, _ := teamPartNumber(name)
	old := d.previous.teamPart(number, d.decodedManifest.TeamParts)
	return old != nil && old.digest == want
}

func selectFleet(d *draft) {
	if d.unchanged(FleetName) {
		d.fleet = d.previous.fleet
		return
	}
	v, ok := d.loadValue(FleetName)
	if !ok {
		return
	}
	document := newJSONReader(FleetName, v.data, &d.problemCollector).fleet()
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
		v, ok := d.loadValue(name)
		if !ok {
			continue
		}
		teams := newJSONReader(name, v.data, &d.problemCollector).teams()
		// Clone drops the spare capacity left by append, 1.6 MB at the target scale.
		d.teams[i] = &teamPart{value: v, number: i, teams: slices.Clone(teams)}
	}
}

// teamPartCount returns the number of team parts in the manifest. If it is invalid,
// teamPartCount counts the given team parts, so that their problems are reported
// too.
func (d *draft) teamPartCount() int {
	if d.decodedManifest.TeamParts > 0 {
		return d.decodedManifest.TeamParts
	}
	n := 0
	for d.values[TeamPartName(n)] != nil {
		n++
	}
	return n
}

// loadValue returns the value with the given name and reports whether it can be decoded.
// It checks size, digest and syntax. A wrong digest is only reported, so that the
// problems of the content are found too.
func (d *draft) loadValue(name string) (value, bool) {
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
		message := fmt.Sprintf("the SHA-256 digest is %s, but the manifest lists %s",
			hex.EncodeToString(v.digest[:]), hex.EncodeToString(want[:]))
		d.add(pipeline.CodeConfigDigest, name, "", message)
	}
	return v, checkSyntax(name, data, &d.problemCollector)
}

func (d *draft) checkSize(name string, data []byte) bool {
	if len(data) <= MaxValueSize {
		return true
	}
	message := fmt.Sprintf("the value has more than %d bytes", MaxValueSize)
	d.add(pipeline.CodeConfigTooLarge, name, "", message)
	return false
}
