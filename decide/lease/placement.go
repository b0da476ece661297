package lease

import "github.com/ragwortyard/ragwortyard/decide/rendezvous"

// Placement determines the ranked voters of every shard. The first
// MaxCandidates of them are its candidates.
type Placement struct {
	ranking *rendezvous.Ranking
}

// NewPlacement returns the placement of all shards on the members.
func NewPlacement(members []rendezvous.Member) *Placement {
	p := &Placement{ranking: rendezvous.NewRanking(rendezvous.ShardCount, MaxVoters, ShardKey)}
	p.SetMembers(members)
	return p
}

// Voters returns the voters of a shard, best rank first. The caller must
// not modify the slice.
func (p *Placement) Voters(shard uint32) []rendezvous.Member {
	return p.ranking.Ranked(shard)
}

// Rank returns the position of a host among the voters of a shard, or -1.
func (p *Placement) Rank(shard uint32, host string) int {
	for i, m := range p.Voters(shard) {
		if m.ID == host {
			return i
		}
	}
	return -1
}

// SetMembers replaces the member list and returns the shards whose voters
// changed.
func (p *Placement) SetMembers(members []rendezvous.Member) []uint32 {
	return p.ranking.SetMembers(members)
}

// ShardKey returns the rendezvous key of a shard. The multiplier, 2^64 divided by
// the golden ratio (Fibonacci hashing), spreads the keys of adjacent shards.
func ShardKey(shard uint32) uint64 {
	return (uint64(shard) + 1) * 0x9E3779B97F4A7C15
}
