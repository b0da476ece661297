// Package rendezvous decides which members of the fleet are responsible for a
// key, by highest random weight hashing (Thaler and Ravishankar, 1996), with the
// picks spread over availability zones.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards that keys are hashed into. 256 shards
// spread the keeper roles over 2,700 nodes while lease messages stay few.
const ShardCount = 256

// Member is a candidate for a role.
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

// scored is a member with its score for a key.
type scored struct {
	member int // index in the list
	score  uint64
}

// Rank returns the n best members for a key, best first. It takes the best
// member of each zone, in the order of their scores, then the second best of
// each zone, and so on. Fewer than n members are returned when there are fewer.
// The time is linear in the number of members: a changed host list ranks
// hundreds of keys over thousands of members on the control goroutine.
func Rank(key uint64, members []Member, n int) []Member {
	n = min(n, len(members))
	if n <= 0 {
		return nil
	}
	zones := bestOfZones(key, members, n)
	picked := make([]Member, 0, n)
	var round []scored
	for i := 0; len(picked) < n; i++ {
		round = round[:0]
		for _, best := range zones {
			if i < len(best) {
				round = append(round, best[i])
			}
		}
		slices.SortFunc(round, func(a, b scored) int { return compare(members, a, b) })
		for _, s := range round[:min(len(round), n-len(picked))] {
			picked = append(picked, members[s.member])
		}
	}
	return picked
}

// bestOfZones returns the n best members of each zone, best first.
func bestOfZones(key uint64, members []Member, n int) [][]scored {
	var zones [][]scored
	indexes := make(map[string]int)
	h := newHasher(key)
	for i := range members {
		zone, ok := indexes[members[i].Zone]
		if !ok {
			zone = len(zones)
			indexes[members[i].Zone] = zone
			zones = append(zones, make([]scored, 0, n))
		}
		zones[zone] = insert(members, zones[zone], scored{member: i, score: h.score(members[i].ID)})
	}
	return zones
}

// insert adds a member to a list of bounded capacity if it is among the best.
func insert(members []Member, best []scored, s scored) []scored {
	if len(best) == cap(best) {
		if compare(members, s, best[len(best)-1]) >= 0 {
			return best
		}
		best = best[:len(best)-1]
	}
	at := len(best)
	for at > 0 && compare(members, s, best[at-1]) < 0 {
		at--
	}
	return slices.Insert(best, at, s)
}

// compare orders the best first; equal scores fall back to the identifier, so
// that every process ranks alike.
func compare(members []Member, a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(members[a.member].ID, members[b.member].ID)
}

// hasher scores members for one key.
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
