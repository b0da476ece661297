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

// configSource reads documents of the configuration service and keeps the values
// of the last one, so that a new version costs only the values that changed.
type configSource struct {
	reader ConfigReader

	mu     sync.Mutex // guards the values; reads of the service may overlap
	values map[string]sourceValue
}

type sourceValue struct {
	sum    config.Digest // SHA-256, as in the manifest
	digest string        // as the fleet compares parts
	data   []byte
}

func newConfigSource(reader ConfigReader) *configSource {
	return &configSource{reader: reader, values: make(map[string]sourceValue)}
}

// read returns the manifest of the document that the service holds. Its parts
// are left out when the service still holds the document have.
func (s *configSource) read(ctx context.Context, have spread.Stamp) (spread.Manifest, error) {
	manifest, err := s.reader.Value(ctx, config.ManifestName)
	if err != nil {
		return spread.Manifest{}, err
	}
	refs, version, err := s.refs(ctx, manifest)
	if err != nil {
		return spread.Manifest{}, err
	}
	stamp := spread.StampOf(version, refs)
	if stamp == have {
		return spread.Manifest{Stamp: stamp}, nil
	}
	return spread.Manifest{Stamp: stamp, Parts: refs}, nil
}

// refs fetches the values that changed and returns the references of all but the
// manifest, which follows from them. A manifest that cannot be read is passed on
// alone, so that its validation refuses it where operators see it.
func (s *configSource) refs(ctx context.Context, manifest []byte) ([]spread.Ref, uint64, error) {
	listed, problems := config.ReadManifest(manifest)
	if len(problems) > 0 {
		s.store(config.ManifestName, manifest)
		return []spread.Ref{s.ref(config.ManifestName)}, listed.Version, nil
	}
	for _, part := range listed.Parts {
		if err := s.fetch(ctx, part); err != nil {
			return nil, 0, err
		}
	}
	refs := make([]spread.Ref, 0, len(listed.Parts))
	for _, part := range listed.Parts {
		refs = append(refs, s.ref(part.Name))
	}
	return refs, listed.Version, nil
}

func (s *configSource) fetch(ctx context.Context, part config.ManifestEntry) error {
	s.mu.Lock()
	known, ok := s.values[part.Name]
	s.mu.Unlock()
	if ok && known.sum == part.Digest {
		return nil
	}
	data, err := s.reader.Value(ctx, part.Name)
	if err != nil {
		return err
	}
	if sha256.Sum256(data) != part.Digest {
		return fmt.Errorf("value %q is of another version than the manifest", part.Name)
	}
	s.store(part.Name, data)
	return nil
}

func (s *configSource) store(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = sourceValue{sum: sha256.Sum256(data), digest: spread.DigestOf(data), data: data}
}

func (s *configSource) ref(name string) spread.Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	return spread.Ref{Name: name, Digest: s.values[name].digest}
}

// parts returns values that an earlier read fetched.
func (s *configSource) parts(names []string) spread.Parts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts spread.Parts
	for _, name := range names {
		if v, ok := s.values[name]; ok {
			parts.Parts = append(parts.Parts, spread.Part{Name: name, Digest: v.digest, Bytes: v.data})
		}
	}
	return parts
}
