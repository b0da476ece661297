package quota

import (
	"sort"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
)

// AcceptHandover answers an offer to hand a shard over to this process. The
// stamp lets Import tell how long ago that was, however late messages are.
func (k *Keeper) AcceptHandover(now time.Time, o HandoverOffer) HandoverAccept {
	return HandoverAccept{Shard: o.Shard, Incarnation: k.incarnation, Stamp: now.Sub(k.base)}
}

// Export ends granting for a shard and returns its buckets for the successor
// that accepted. Call lease.Candidate.Release at the same moment. It returns
// false, and changes nothing, when the shard is not held or the tenure is
// younger than lease.MinTenure.
func (k *Keeper) Export(now time.Time, a HandoverAccept) (Handover, bool) {
	h := Handover{Shard: a.Shard, Incarnation: a.Incarnation, Stamp: a.Stamp}
	t := k.table(now, a.Shard)
	if t == nil || now.Sub(k.base)-t.since < lease.MinTenure {
		return Handover{}, false
	}
	k.touchShard(now, t, a.Shard)
	t.closed = true
	for key, b := range t.buckets {
		state := b.export(key)
		state.Version = k.limits[key.Team].Version
		_, unsettled := k.changes[key.Team]
		state.Settled = !unsettled
		h.Buckets = append(h.Buckets, state)
	}
	sort.Slice(h.Buckets, func(i, j int) bool { return h.Buckets[i].Key.less(h.Buckets[j].Key) })
	return h, true
}

// Import takes in the buckets of a shard that this process is about to keep.
// They are used if its tenure starts so soon after the acceptance that nobody
// else can have kept the shard in between; otherwise the tenure starts empty.
func (k *Keeper) Import(h Handover) {
	if h.Incarnation == k.incarnation {
		k.imports[h.Shard] = h
	}
}

// touchShard makes the buckets that were never asked for explicit. The successor
// starts a bucket that is not handed over empty.
func (k *Keeper) touchShard(now time.Time, t *table, shard uint32) {
	for team := range k.limits {
		for part := range MaxParts {
			key := Key{Team: team, Part: part}
			if key.Shard() == shard {
				k.bucket(now, t, key)
			}
		}
	}
}

func (k Key) less(other Key) bool {
	if k.Team != other.Team {
		return k.Team < other.Team
	}
	return k.Part < other.Part
}
