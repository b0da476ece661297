// Package rendezvous decides which members of the fleet are responsible for a
// key, by highest random weight hashing (Thaler and Ravishankar, 1996), with the
// picks spread over availability zones.
package rendezvous

import (
	"encoding/binary"
	"sort"

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

type scored struct {
	member Member
	score  uint64
	round  int // rank of the member within its zone
}

// Rank returns the n best members for a key, best first. It takes the best
// member of each zone, in the order of their scores, then the second best of
// each zone, and so on. Fewer than n members are returned when there are fewer.
func Rank(key uint64, members []Member, n int) []Member {
	all := scoreMembers(key, members)
	assignRounds(all)
	sort.SliceStable(all, func(i, j int) bool { return all[i].round < all[j].round })
	if n > len(all) {
		n = len(all)
	}
	picked := make([]Member, n)
	for i := range picked {
		picked[i] = all[i].member
	}
	return picked
}

func scoreMembers(key uint64, members []Member) []scored {
	all := make([]scored, len(members))
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	var digest xxhash.Digest
	for i, m := range members {
		digest.Reset()
		_, _ = digest.Write(buf[:])
		_, _ = digest.WriteString(m.ID)
		all[i] = scored{member: m, score: digest.Sum64()}
	}
	sort.Slice(all, func(i, j int) bool { return higher(all[i], all[j]) })
	return all
}

// higher orders by score; equal scores fall back to the identifier, so that
// every process ranks alike.
func higher(a, b scored) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.member.ID < b.member.ID
}

func assignRounds(all []scored) {
	seen := make(map[string]int)
	for i := range all {
		zone := all[i].member.Zone
		all[i].round = seen[zone]
		seen[zone]++
	}
}
