package node

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// ConfigReader reads values of the configuration service.
type ConfigReader interface {
	Value(ctx context.Context, name string) ([]byte, error)
}

// configSource reads documents from the configuration service. It caches the values of
// the last document, so that only changed values are read for a new version.
type configSource struct {
	reader ConfigReader

	mu     sync.Mutex // guards values; reads of the service may overlap
	values map[string]cachedValue
}

type cachedValue struct {
	manifestDigest config.Digest // SHA-256, as in the manifest
	spreadDigest   string        // as in spread.Ref
	data           []byte
}

func newConfigSource(reader ConfigReader) *configSource {
	return &configSource{reader: reader, values: make(map[string]cachedValue)}
}

// read returns the manifest of the document that the service holds. The parts are left
// out if the service still holds the document with the stamp have.
func (s *configSource) read(ctx context.Context, have spread.Stamp) (spread.Manifest, error) {
	manifest, err := s.reader.Value(ctx, config.ManifestName)
	if err != nil {
		return spread.Manifest{}, err
	}
	refs, version, err := s.fetchRefs(ctx, manifest)
	if err != nil {
		return spread.Manifest{}, err
	}
	stamp := spread.StampOf(version, refs)
	if stamp == have {
		return spread.Manifest{Stamp: stamp}, nil
	}
	return spread.Manifest{Stamp: stamp, Parts: refs}, nil
}

// fetchRefs fetches the values that changed and returns the refs of all parts and the
// document's version. The manifest itself needs no ref, since it follows from the parts.
// An invalid manifest is returned as the only ref, so that validation refuses the
// document and logs the reason for operators.
func (s *configSource) fetchRefs(ctx context.Context, manifest []byte) ([]spread.Ref, uint64, error) {
	parsed, problems := config.ReadManifest(manifest)
	if len(problems) > 0 {
		s.store(config.ManifestName, manifest)
		return []spread.Ref{s.ref(config.ManifestName)}, parsed.Version, nil
	}
	for _, part := range parsed.Parts {
		if err := s.fetchPart(ctx, part); err != nil {
			return nil, 0, err
		}
	}
	refs := make([]spread.Ref, 0, len(parsed.Parts))
	for _, part := range parsed.Parts {
		refs = append(refs, s.ref(part.Name))
	}
	return refs, parsed.Version, nil
}

// fetchPart fetches the value of a part unless it is already cached.
func (s *configSource) fetchPart(ctx context.Context, part config.ManifestEntry) error {
	s.mu.Lock()
	cached, ok := s.values[part.Name]
	s.mu.Unlock()
	if ok && cached.manifestDigest == part.Digest {
		return nil
	}
	data, err := s.reader.Value(ctx, part.Name)
	if err != nil {
		return err
	}
	if sha256.Sum256(data) != part.Digest {
		return fmt.Errorf("digest of value %q does not match the manifest; it may be of another version", part.Name)
	}
	s.store(part.Name, data)
	return nil
}

func (s *configSource) store(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = cachedValue{manifestDigest: sha256.Sum256(data), spreadDigest: spread.DigestOf(data), data: data}
}

func (s *configSource) ref(name string) spread.Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	return spread.Ref{Name: name, Digest: s.values[name].spreadDigest}
}

// parts returns the named parts that an earlier read has cached.
func (s *configSource) parts(names []string) spread.Parts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts spread.Parts
	for _, name := range names {
		if v, ok := s.values[name]; ok {
			parts.Parts = append(parts.Parts, spread.Part{Name: name, Digest: v.spreadDigest, Bytes: v.data})
		}
	}
	return parts
}
