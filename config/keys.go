package config

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// keyShards divides the key index, so that an update copies only the shards of
// the keys in the values that changed. With 72,000 teams of two keys a shard
// holds about 560 keys.
const keyShards = 256

// keyIndex finds keys by digest. It holds places in the team values instead of
// digests and names: 16 bytes a key, where a map from digests to names takes
// about 125 bytes. The first byte of a digest selects the shard; SHA-256 spreads
// keys evenly.
type keyIndex struct {
	shards [keyShards][]keyEntry // sorted with compareEntries
}

// maxPlace bounds the places that a keyEntry can hold. A value of MaxValueSize
// bytes has room for more teams or keys only if they lack required fields.
const maxPlace = math.MaxUint16

// keyEntry is the start of a digest and the place of its key.
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
	return cmp.Or(cmp.Compare(a.prefix, b.prefix), comparePlaces(a, b))
}

// comparePlaces orders by document.
func comparePlaces(a, b keyEntry) int {
	return cmp.Or(cmp.Compare(a.part, b.part), cmp.Compare(a.team, b.team), cmp.Compare(a.key, b.key))
}

func comparePrefix(e keyEntry, prefix uint64) int {
	return cmp.Compare(e.prefix, prefix)
}

// in returns the key at the place of an entry, and its team.
func (e keyEntry) in(teams []*teamPart) (*Team, *Key) {
	team := &teams[e.part].teams[e.team]
	return team, &team.Keys[e.key]
}

// find returns the first key with the given digest.
func (x *keyIndex) find(teams []*teamPart, digest *Digest) (KeyRef, bool) {
	shard := x.shards[digest[0]]
	prefix := digestPrefix(digest)
	i, _ := slices.BinarySearchFunc(shard, prefix, comparePrefix)
	for ; i < len(shard) && shard[i].prefix == prefix; i++ {
		team, key := shard[i].in(teams)
		if key.Digest == *digest {
			return KeyRef{team.Name, key.ID}, true
		}
	}
	return KeyRef{}, false
}

// replaceParts returns an index in which the keys of the parts marked by number
// are replaced, and the keys whose digest another key has before them in the documents. The
// original stays as it is.
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
		repeated = append(repeated, repeatedKeys(shard, teams)...)
	}
	slices.SortFunc(repeated, comparePlaces)
	return next, repeated
}

func groupByShard(entries []keyEntry) (groups [keyShards][]keyEntry) {
	for _, e := range entries {
		shard := e.prefix >> 56
		groups[shard] = append(groups[shard], e)
	}
	return groups
}

// repeatedKeys returns the keys of a shard whose digest a key before them has.
func repeatedKeys(shard []keyEntry, teams []*teamPart) (repeated []keyEntry) {
	for i := 1; i < len(shard); i++ {
		for j := i - 1; j >= 0 && shard[j].prefix == shard[i].prefix; j-- {
			_, a := shard[j].in(teams)
			_, b := shard[i].in(teams)
			if a.Digest == b.Digest {
				repeated = append(repeated, shard[i])
				break
			}
		}
	}
	return repeated
}

// entries returns the entries of all keys of a part. It leaves out places above
// maxPlace, which only a part that is refused has.
func (p *teamPart) entries() []keyEntry {
	var entries []keyEntry
	for i := range min(len(p.teams), maxPlace+1) {
		for j := range min(len(p.teams[i].Keys), maxPlace+1) {
			prefix := digestPrefix(&p.teams[i].Keys[j].Digest)
			entries = append(entries, keyEntry{prefix, uint16(p.number), uint16(i), uint16(j)})
		}
	}
	return entries
}
