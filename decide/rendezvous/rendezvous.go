// Package rendezvous selects the members of the fleet that are responsible for a
// key by highest random weight hashing (Thaler and Ravishankar, 1996) and spreads
// the selected members over availability zones.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards that keys are hashed into. 256 shards
// distribute the shard leaders over 2,700 hosts and keep the number of lease
// messages small.
const ShardCount = 256

// Member is a host that can be selected for a key, with its availability zone.
type Member struct {
	ID   string
	Zone string
}

// Hash returns the 64-bit hash that identifies a key.
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Shard maps a key to a shard number below ShardCount.
func Shard(key string) uint32 {
	return uint32(Hash(key) % ShardCount)
}

// scoredMember is a member with its hash score for a key.
type scoredMember struct {
	index int // in the member list
	score uint64
}

// Rank returns the n highest ranked members for a key, best first, or all members
// if there are fewer than n. It selects in rounds: the member with the highest
// score of each zone, ordered by score, then the second of each zone, and so on.
// It runs in time linear in the number of members, because a changed host list
// ranks hundreds of keys over thousands of members on the control goroutine.
func Rank(key uint64, members []Member, n int) []Member {
	n = min(n, len(members))
	if n <= 0 {
		return nil
	}
	zones := bestPerZone(key, members, n)
	picked := make([]Member, 0, n)
	var round []scoredMember
	for i := 0; len(picked) < n; i++ {
		round = round[:0]
		for _, best := range zones {
			if i < len(best) {
				round = append(round, best[i])
			}
		}
		slices.SortFunc(round, func(a, b scoredMember) int { return compareScores(members, a, b) })
		for _, s := range round[:min(len(round), n-len(picked))] {
			picked = append(picked, members[s.index])
		}
	}
	return picked
}

// bestPerZone returns the n highest scored members of each zone, best first.
func bestPerZone(key uint64, members []Member, n int) [][]scoredMember {
	var zones [][]scoredMember
	indexes := make(map[string]int)
	h := newHasher(key)
	for i := range members {
		zone, ok := indexes[members[i].Zone]
		if !ok {
			zone = len(zones)
			indexes[members[i].Zone] = zone
			zones = append(zones, make([]scoredMember, 0, n))
		}
		zones[zone] = insertBounded(members, zones[zone], scoredMember{index: i, score: h.score(members[i].ID)})
	}
	return zones
}

// insertBounded inserts a member into a list sorted best first. If the list is at
// its capacity, the member with the lowest score is left out.
func insertBounded(members []Member, best []scoredMember, s scoredMember) []scoredMember {
	if len(best) == cap(best) {
		if compareScores(members, s, best[len(best)-1]) >= 0 {
			return best
		}
		best = best[:len(best)-1]
	}
	at := len(best)
	for at > 0 && compareScores(members, s, best[at-1]) < 0 {
		at--
	}
	return slices.Insert(best, at, s)
}

// compareScores orders members by descending score. Equal scores are ordered by
// ID, so that every process computes the same ranking.
func compareScores(members []Member, a, b scoredMember) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(members[a.index].ID, members[b.index].ID)
}

// hasher computes the scores of members for one key.
type hasher struct {
	key    [8]byte
	digest xxhash.Digest
}

func newHasher(key uint64) *hasher {
	h := &hasher{}
	binary.LittleEndian.PutUint64(h.key[:], key)
	return h
}

func (h *hasher) score(id string) uint64 {
	h.digest.Reset()
	_, _ = h.digest.Write(h.key[:])
	_, _ = h.digest.WriteString(id)
	return h.digest.Sum64()
}

// Position returns the number of members whose hash score for a key is higher than that
// of the member with the given ID. It disregards zones.
func Position(key uint64, members []Member, id string) int {
	h := newHasher(key)
	score, above := h.score(id), 0
	for _, member := range members {
		if other := h.score(member.ID); other > score || (other == score && member.ID < id) {
			above++
		}
	}
	return above
}
