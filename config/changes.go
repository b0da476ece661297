package config

import "crypto/sha256"

// Changes describes a configuration to a process that has an earlier one. It
// stands in for the manifest, which has about 100 KB at the goal's size.
type Changes struct {
	Version   uint64
	TeamParts int
	Parts     []Part // values that may differ since the earlier version
	Manifest  Digest // of the manifest in the encoding of Build
}

// ChangesSince lists the values that this process first saw after a version. It
// may list values that did not change, if this process skipped versions.
func (c *Config) ChangesSince(version uint64) Changes {
	changes := Changes{Version: c.version, TeamParts: len(c.teams), Manifest: c.manifest.digest}
	if c.fleet.since > version {
		changes.Parts = append(changes.Parts, c.fleet.listed())
	}
	for _, part := range c.teams {
		if part.since > version {
			changes.Parts = append(changes.Parts, part.listed())
		}
	}
	return changes
}

func (v value) listed() Part { return Part{v.name, v.digest} }

// Apply returns the manifest that the changes lead to, for Missing and Update.
// It returns false if they do not fit c, and the whole manifest is needed.
func (c *Config) Apply(changes Changes) ([]byte, bool) {
	if changes.TeamParts != len(c.teams) {
		return nil, false
	}
	digests := make(map[string]Digest, len(changes.Parts))
	for _, part := range changes.Parts {
		digests[part.Name] = part.Digest
	}
	next := Manifest{Version: changes.Version, TeamParts: changes.TeamParts}
	next.Parts = append(next.Parts, c.fleet.replaced(digests))
	for _, part := range c.teams {
		next.Parts = append(next.Parts, part.replaced(digests))
	}
	manifest := marshalManifest(next)
	return manifest, sha256.Sum256(manifest) == changes.Manifest
}

func (v value) replaced(digests map[string]Digest) Part {
	if digest, ok := digests[v.name]; ok {
		return Part{v.name, digest}
	}
	return v.listed()
}

// canonicalManifest encodes a checked manifest with its parts in the order of
// partNames.
func canonicalManifest(m Manifest) value {
	digests := make(map[string]Digest, len(m.Parts))
	for _, part := range m.Parts {
		digests[part.Name] = part.Digest
	}
	ordered := Manifest{Version: m.Version, TeamParts: m.TeamParts}
	for _, name := range partNames(m.TeamParts) {
		ordered.Parts = append(ordered.Parts, Part{name, digests[name]})
	}
	data := marshalManifest(ordered)
	return value{ManifestName, data, sha256.Sum256(data)}
}
