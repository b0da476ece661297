package rendezvous

import "slices"

// Ranking holds the n best members of every shard and follows the member list.
type Ranking struct {
	n       int
	key     func(shard uint32) uint64
	members map[string]Member
	ranked  [][]Member
}

// NewRanking returns a ranking of a number of shards without members. key gives
// the key of each shard and separates the rankings of different roles.
func NewRanking(shards uint32, n int, key func(shard uint32) uint64) *Ranking {
	return &Ranking{n: n, key: key, ranked: make([][]Member, shards)}
}

// Of returns the best members of a shard, best first, fewer than n in a smaller
// fleet. The caller must not change the slice.
func (r *Ranking) Of(shard uint32) []Member {
	return r.ranked[shard]
}

// SetMembers replaces the member list and returns the shards whose best members
// changed. A shard that loses none of them is ranked over these and the added
// members only, which gives the same result as a full ranking: an addition never
// lifts a member that was not picked. One change in 2,700 members therefore
// needs about one full ranking instead of one for each shard.
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
		ranked := Rank(r.key(shard), pool, r.n)
		if !slices.Equal(old, ranked) {
			changed = append(changed, shard)
		}
		r.ranked[shard] = ranked
	}
	r.members = next
	return changed
}

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
