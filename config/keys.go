package config

import "maps"

// keyShards divides the key index, so that an update copies only the shards of
// the keys that changed. With 72,000 teams of two keys a shard holds about 560
// keys.
const keyShards = 256

// keyIndex maps digests to keys. The first byte of a digest selects the shard;
// SHA-256 spreads keys evenly.
type keyIndex struct {
	shards [keyShards]map[Digest]KeyRef
}

func (x *keyIndex) find(digest Digest) (KeyRef, bool) {
	ref, ok := x.shards[digest[0]][digest]
	return ref, ok
}

// keyEditor changes a copy of an index and leaves the original as it is.
type keyEditor struct {
	index *keyIndex
	owned [keyShards]bool // the shard has been copied
}

// editKeys starts from an index, or from an empty one if original is nil.
func editKeys(original *keyIndex) *keyEditor {
	e := &keyEditor{index: &keyIndex{}}
	if original != nil {
		*e.index = *original
	}
	return e
}

func (e *keyEditor) own(shard byte) map[Digest]KeyRef {
	if !e.owned[shard] {
		e.owned[shard] = true
		e.index.shards[shard] = maps.Clone(e.index.shards[shard])
	}
	if e.index.shards[shard] == nil {
		e.index.shards[shard] = make(map[Digest]KeyRef)
	}
	return e.index.shards[shard]
}

// add returns false if the digest is taken.
func (e *keyEditor) add(digest Digest, ref KeyRef) bool {
	if _, taken := e.index.find(digest); taken {
		return false
	}
	e.own(digest[0])[digest] = ref
	return true
}

func (e *keyEditor) remove(digest Digest) {
	delete(e.own(digest[0]), digest)
}

// keyChange is the difference between two versions of a part.
type keyChange struct {
	removed   []Digest
	added     map[Digest]KeyRef
	duplicate bool // a digest appears twice in the new version
}

func compareKeys(old, part *teamPart) keyChange {
	before, _ := keyRefs(old)
	added, duplicate := keyRefs(part)
	change := keyChange{added: added, duplicate: duplicate}
	for digest, ref := range before {
		if added[digest] == ref {
			delete(added, digest)
			continue
		}
		change.removed = append(change.removed, digest)
	}
	return change
}

func keyRefs(part *teamPart) (refs map[Digest]KeyRef, duplicate bool) {
	refs = make(map[Digest]KeyRef)
	for i := range part.teams {
		team := &part.teams[i]
		for _, key := range team.Keys {
			_, taken := refs[key.Digest]
			duplicate = duplicate || taken
			refs[key.Digest] = KeyRef{team.Name, key.ID}
		}
	}
	return refs, duplicate
}
