package config

import (
	"bytes"
	"crypto/sha256"
)

// BuildManifest returns the manifest of the given values in the encoding of Build.
// Peers send values without the manifest, which has about 100 KB at the target
// scale. c may be nil; if it holds a value with the same content, its digest is
// reused.
func (c *Config) BuildManifest(version uint64, values map[string][]byte) []byte {
	m := Manifest{Version: version}
	for name := range values {
		if _, ok := teamPartNumber(name); ok {
			m.TeamParts++
		}
	}
	for _, name := range partNames(m.TeamParts) {
		m.Parts = append(m.Parts, ManifestEntry{name, c.digestOf(name, values[name])})
	}
	return marshalManifest(m)
}

func (c *Config) digestOf(name string, data []byte) Digest {
	if c != nil {
		if known, ok := c.value(name); ok && bytes.Equal(known.data, data) {
			return known.digest
		}
	}
	return sha256.Sum256(data)
}

// canonicalManifest encodes a valid manifest with its parts in the order of
// partNames.
func canonicalManifest(m Manifest) value {
	digests := make(map[string]Digest, len(m.Parts))
	for _, part := range m.Parts {
		digests[part.Name] = part.Digest
	}
	ordered := Manifest{Version: m.Version, TeamParts: m.TeamParts}
	for _, name := range partNames(m.TeamParts) {
		ordered.Parts = append(ordered.Parts, ManifestEntry{name, digests[name]})
	}
	data := marshalManifest(ordered)
	return value{ManifestName, data, sha256.Sum256(data)}
}
