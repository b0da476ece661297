package lease

import "github.com/ragwortyard/ragwortyard/decide/rendezvous"

// Placement ranks the witnesses and candidates of every shard.
type Placement struct {
	members map[string]rendezvous.Member
	ranked  [rendezvous.ShardCount][]rendezvous.Member
}

// NewPlacement ranks all shards over the members.
func NewPlacement(members []rendezvous.Member) *Placement {
	p := &Placement{}
	p.SetMembers(members)
	return p
}

// Witnesses returns the witnesses of a shard, best rank first. The caller must
// not change the slice.
func (p *Placement) Witnesses(shard uint32) []rendezvous.Member {
	return p.ranked[shard]
}

// Rank returns the position of a host among the witnesses of a shard, or -1.
func (p *Placement) Rank(shard uint32, host string) int {
	for i, m := range p.ranked[shard] {
		if m.ID == host {
			return i
		}
	}
	return -1
}

// SetMembers replaces the member list and returns the shards whose witnesses
// changed. A shard that loses no witness is ranked over its present witnesses
// and the added members only, which gives the same result as a full ranking:
// an addition never lifts a member that was not picked. One change in 2,700
// members therefore needs about one full ranking instead of 256.
func (p *Placement) SetMembers(members []rendezvous.Member) []uint32 {
	next := make(map[string]rendezvous.Member, len(members))
	for _, m := range members {
		next[m.ID] = m
	}
	added := addedMembers(p.members, members)
	var changed []uint32
	for shard := range p.ranked {
		old := p.ranked[shard]
		pool := members
		if len(old) == MaxWitnesses && allPresent(old, next) {
			pool = append(append([]rendezvous.Member(nil), old...), added...)
		}
		ranked := rendezvous.Rank(ShardKey(uint32(shard)), pool, MaxWitnesses)
		if !sameMembers(old, ranked) {
			changed = append(changed, uint32(shard))
		}
		p.ranked[shard] = ranked
	}
	p.members = next
	return changed
}

// ShardKey returns the rendezvous key of a shard. The multiplier (of the
// golden ratio) separates the keys of neighboring shards.
func ShardKey(shard uint32) uint64 {
	return (uint64(shard) + 1) * 0x9E3779B97F4A7C15
}

func addedMembers(old map[string]rendezvous.Member, members []rendezvous.Member) []rendezvous.Member {
	var added []rendezvous.Member
	for _, m := range members {
		if before, ok := old[m.ID]; !ok || before != m {
			added = append(added, m)
		}
	}
	return added
}

func allPresent(ranked []rendezvous.Member, members map[string]rendezvous.Member) bool {
	for _, m := range ranked {
		if present, ok := members[m.ID]; !ok || present != m {
			return false
		}
	}
	return true
}

func sameMembers(a, b []rendezvous.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
