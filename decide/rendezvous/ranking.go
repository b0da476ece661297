package rendezvous

import "slices"

// Ranking caches the n highest ranked members of every shard and updates them
// incrementally when the member list changes.
type Ranking struct {
	n        int
	shardKey func(shard uint32) uint64
	members  map[string]Member
	ranked   [][]Member
}

// NewRanking returns a ranking without members for the given number of shards.
// shardKey returns the rendezvous key of a shard; different key functions give
// independent rankings for different roles.
func NewRanking(shards uint32, n int, shardKey func(shard uint32) uint64) *Ranking {
	return &Ranking{n: n, shardKey: shardKey, ranked: make([][]Member, shards)}
}

// Ranked returns the n highest ranked members of a shard, best first, or all
// members if the fleet has fewer than n. The caller must not modify the slice.
func (r *Ranking) Ranked(shard uint32) []Member {
	return r.ranked[shard]
}

// SetMembers replaces the member list and returns the shards whose ranked members
// changed. If all ranked members of a shard remain, only they and the added
// members are compared. The result equals a full ranking, because adding a member
// never raises the rank of another one. One change among 2,700 members therefore
// costs about one full ranking instead of one per shard.
func (r *Ranking) SetMembers(members []Member) []uint32 {
	next := make(map[string]Member, len(members))
	for _, m := range members {
		next[m.ID] = m
	}
	added := addedMembers(r.members, members)
	var changed []uint32
	for i, old := range r.ranked {
		shard := uint32(i)
		pool := members
		if len(old) == r.n && allPresent(old, next) {
			if len(added) == 0 {
				continue
			}
			pool = append(slices.Clone(old), added...)
		}
		ranked := Rank(r.shardKey(shard), pool, r.n)
		if !slices.Equal(old, ranked) {
			changed = append(changed, shard)
		}
		r.ranked[shard] = ranked
	}
	r.members = next
	return changed
}

// addedMembers returns the members that are new or whose zone changed.
func addedMembers(old map[string]Member, members []Member) []Member {
	var added []Member
	for _, m := range members {
		if before, ok := old[m.ID]; !ok || before != m {
			added = append(added, m)
		}
	}
	return added
}

func allPresent(ranked []Member, members map[string]Member) bool {
	for _, m := range ranked {
		if present, ok := members[m.ID]; !ok || present != m {
			return false
		}
	}
	return true
}
