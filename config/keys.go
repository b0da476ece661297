package config

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// keyShardCount is the number of shards of the key index. An update copies only
// the shards with keys of changed values. With 72,000 teams of two keys, a shard
// holds about 560 keys.
const keyShardCount = 256

// keyIndex maps digests to keys. To save memory it stores the positions of keys in
// the team parts instead of digests and names: 16 bytes for each key, compared to
// about 125 bytes in a map from digests to names. The first byte of a digest
// selects the shard; SHA-256 distributes keys evenly.
type keyIndex struct {
	shards [keyShardCount][]keyEntry // sorted with compareEntries
}

// maxKeyPosition is the largest team or key index that a keyEntry can hold. A value
// of MaxValueSize bytes can contain more teams or keys only if they lack required
// fields, and is rejected then.
const maxKeyPosition = math.MaxUint16

// keyEntry holds the first 8 bytes of a digest and the position of its key.
type keyEntry struct {
	prefix uint64
	part   uint16
	team   uint16
	key    uint16
}

func digestPrefix(digest *Digest) uint64 {
	return binary.BigEndian.Uint64(digest[:8])
}

func compareEntries(a, b keyEntry) int {
	return cmp.Or(cmp.Compare(a.prefix, b.prefix), comparePositions(a, b))
}

// comparePositions orders entries by their position in the documents.
func comparePositions(a, b keyEntry) int {
	return cmp.Or(cmp.Compare(a.part, b.part), cmp.Compare(a.team, b.team), cmp.Compare(a.key, b.key))
}

func comparePrefix(e keyEntry, prefix uint64) int {
	return cmp.Compare(e.prefix, prefix)
}

// resolve returns the team and the key that the entry refers to.
func (e keyEntry) resolve(teams []*teamPart) (*Team, *Key) {
	team := &teams[e.part].teams[e.team]
	return team, &team.Keys[e.key]
}

// find returns the first key with the given digest.
func (x *keyIndex) find(teams []*teamPart, digest *Digest) (KeyRef, bool) {
	shard := x.shards[digest[0]]
	prefix := digestPrefix(digest)
	i, _ := slices.BinarySearchFunc(shard, prefix, comparePrefix)
	for ; i < len(shard) && shard[i].prefix == prefix; i++ {
		team, key := shard[i].resolve(teams)
		if key.Digest == *digest {
			return KeyRef{team.Name, key.ID}, true
		}
	}
	return KeyRef{}, false
}

// replaceParts returns a copy of the index in which entries replace the keys of the
// parts for which replaced is true. It also returns the duplicates: keys with the
// same digest as a key at an earlier position. x is not modified.
func (x *keyIndex) replaceParts(replaced []bool, entries []keyEntry, teams []*teamPart) (*keyIndex, []keyEntry) {
	next := &keyIndex{}
	*next = *x
	added := groupByShard(entries)
	var repeated []keyEntry
	for i := range next.shards {
		stale := slices.ContainsFunc(x.shards[i], func(e keyEntry) bool { return replaced[e.part] })
		if !stale && len(added[i]) == 0 {
			continue
		}
		shard := make([]keyEntry, 0, len(x.shards[i])+len(added[i]))
		for _, e := range x.shards[i] {
			if !replaced[e.part] {
				shard = append(shard, e)
			}
		}
		shard = append(shard, added[i]...)
		slices.SortFunc(shard, compareEntries)
		next.shards[i] = shard
		repeated = append(repeated, duplicateKeys(shard, teams)...)
	}
	slices.SortFunc(repeated, comparePositions)
	return next, repeated
}

func groupByShard(entries []keyEntry) (groups [keyShardCount][]keyEntry) {
	for _, e := range entries {
		shard := e.prefix >> 56
		groups[shard] = append(groups[shard], e)
	}
	return groups
}

// duplicateKeys returns the keys of a shard that have the same digest as an earlier
// key.
func duplicateKeys(shard []keyEntry, teams []*teamPart) (repeated []keyEntry) {
	for i := 1; i < len(shard); i++ {
		for j := i - 1; j >= 0 && shard[j].prefix == shard[i].prefix; j-- {
			_, a := shard[j].resolve(teams)
			_, b := shard[i].resolve(teams)
			if a.Digest == b.Digest {
				repeated = append(repeated, shard[i])
				break
			}
		}
	}
	return repeated
}

// keyEntries returns index entries for all keys of a part. It omits positions above
// maxKeyPosition, which occur only in parts that are rejected.
func (p *teamPart) keyEntries() []keyEntry {
	var entries []keyEntry
	for i := range min(len(p.teams), maxKeyPosition+1) {
		for j := range min(len(p.teams[i].Keys), maxKeyPosition+1) {
			prefix := digestPrefix(&p.teams[i].Keys[j].Digest)
			entries = append(entries, keyEntry{prefix, uint16(p.number), uint16(i), uint16(j)})
		}
	}
	return entries
}
