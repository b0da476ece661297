package lease

import "github.com/ragwortyard/ragwortyard/decide/rendezvous"

// Placement ranks the witnesses and candidates of every shard.
type Placement struct {
	ranking *rendezvous.Ranking
}

// NewPlacement ranks all shards over the members.
func NewPlacement(members []rendezvous.Member) *Placement {
	p := &Placement{ranking: rendezvous.NewRanking(rendezvous.ShardCount, MaxWitnesses, ShardKey)}
	p.SetMembers(members)
	return p
}

// Witnesses returns the witnesses of a shard, best rank first. The caller must
// not change the slice.
func (p *Placement) Witnesses(shard uint32) []rendezvous.Member {
	return p.ranking.Ranked(shard)
}

// Rank returns the position of a host among the witnesses of a shard, or -1.
func (p *Placement) Rank(shard uint32, host string) int {
	for i, m := range p.Witnesses(shard) {
		if m.ID == host {
			return i
		}
	}
	return -1
}

// SetMembers replaces the member list and returns the shards whose witnesses
// changed.
func (p *Placement) SetMembers(members []rendezvous.Member) []uint32 {
	return p.ranking.SetMembers(members)
}

// ShardKey returns the rendezvous key of a shard. The multiplier (of the
// golden ratio) separates the keys of neighboring shards.
func ShardKey(shard uint32) uint64 {
	return (uint64(shard) + 1) * 0x9E3779B97F4A7C15
}
