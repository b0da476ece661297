package lease

import "github.com/ragwortyard/ragwortyard/decide/rendezvous"

// Directory guesses the keeper of each shard for processes that are not among
// its witnesses. It learns from answers and walks the ranks otherwise. One
// goroutine owns it.
type Directory struct {
	placement *Placement
	known     [rendezvous.ShardCount]string
	next      [rendezvous.ShardCount]uint8 // rank to try without a known keeper
}

// NewDirectory returns a directory over a placement shared with the caller.
func NewDirectory(p *Placement) *Directory {
	return &Directory{placement: p}
}

// Target returns the host to ask about a shard; ok is false in an empty fleet.
func (d *Directory) Target(shard uint32) (host string, ok bool) {
	if d.known[shard] != "" {
		return d.known[shard], true
	}
	witnesses := d.placement.Witnesses(shard)
	ranks := min(len(witnesses), CandidateRanks)
	if ranks == 0 {
		return "", false
	}
	return witnesses[int(d.next[shard])%ranks].ID, true
}

// OnKeeper records that a host answered as the keeper of a shard.
func (d *Directory) OnKeeper(shard uint32, host string) {
	d.known[shard] = host
	d.next[shard] = 0
}

// OnMiss records that a host did not answer or is not the keeper. The hint is
// the keeper that it named, or "".
func (d *Directory) OnMiss(shard uint32, host, hint string) {
	target, _ := d.Target(shard)
	if target != host {
		return
	}
	if hint == host {
		hint = ""
	}
	d.known[shard] = hint
	d.next[shard]++
}
