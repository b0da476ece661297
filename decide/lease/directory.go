package lease

import "github.com/ragwortyard/ragwortyard/decide/rendezvous"

// Directory tracks the probable leader of each shard for processes that are not
// among its voters. It learns leaders from replies; while none is known it
// tries the candidates in rank order. It is not safe for concurrent use.
type Directory struct {
	placement *Placement
	leaders   [rendezvous.ShardCount]string
	nextRank  [rendezvous.ShardCount]uint8 // rank to try while no leader is known
}

// NewDirectory returns a directory without known leaders. The placement is shared
// with the caller.
func NewDirectory(p *Placement) *Directory {
	return &Directory{placement: p}
}

// Target returns the host to send requests for a shard to; ok is false if the
// fleet is empty.
func (d *Directory) Target(shard uint32) (host string, ok bool) {
	if d.leaders[shard] != "" {
		return d.leaders[shard], true
	}
	voters := d.placement.Voters(shard)
	ranks := min(len(voters), MaxCandidates)
	if ranks == 0 {
		return "", false
	}
	return voters[int(d.nextRank[shard])%ranks].ID, true
}

// OnLeader records that a host answered as the leader of a shard.
func (d *Directory) OnLeader(shard uint32, host string) {
	d.leaders[shard] = host
	d.nextRank[shard] = 0
}

// OnMiss records that a host did not reply or is not the leader. hint is the
// leader that it named, or "".
func (d *Directory) OnMiss(shard uint32, host, hint string) {
	target, _ := d.Target(shard)
	if target != host {
		return
	}
	if hint == host {
		hint = ""
	}
	d.leaders[shard] = hint
	d.nextRank[shard]++
}
