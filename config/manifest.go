package config

import (
	"bytes"
	"crypto/sha256"
)

// ManifestOf returns the manifest, in the encoding of Build, of values that came
// without one. The manifest has about 100 KB at the goal's size, so the fleet does
// not pass it on. Digests of values that c holds as well are taken from c, which may
// be nil.
func (c *Config) ManifestOf(version uint64, values map[string][]byte) []byte {
	m := Manifest{Version: version}
	for name := range values {
		if _, ok := teamPartNumber(name); ok {
			m.TeamParts++
		}
	}
	for _, name := range partNames(m.TeamParts) {
		m.Parts = append(m.Parts, Part{name, c.digestOf(name, values[name])})
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
