package quota

import (
	"sort"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
)

// AcceptHandover accepts an offer to hand a shard over to this process. The stamp lets
// ImportShard compute the time since the acceptance, independent of message delays.
func (l *Leader) AcceptHandover(now time.Time, o HandoverOffer) HandoverAccept {
	return HandoverAccept{Shard: o.Shard, Incarnation: l.incarnation, Stamp: now.Sub(l.started)}
}

// ExportShard stops granting for a shard and returns its buckets for the successor
// that accepted the handover. Call lease.Candidate.Release at the same time. It
// changes nothing and returns false if the shard is not held or the tenure started
// less than lease.MinTenure ago.
func (l *Leader) ExportShard(now time.Time, a HandoverAccept) (Handover, bool) {
	h := Handover{Shard: a.Shard, Incarnation: a.Incarnation, Stamp: a.Stamp}
	t := l.table(now, a.Shard)
	if t == nil || now.Sub(l.started)-t.since < lease.MinTenure {
		return Handover{}, false
	}
	l.createShardBuckets(now, t, a.Shard)
	t.handedOver = true
	for key, b := range t.buckets {
		state := b.export(key)
		state.Version = l.limits[key.Team].Version
		_, recent := l.repartitions[key.Team]
		state.Settled = !recent
		h.Buckets = append(h.Buckets, state)
	}
	sort.Slice(h.Buckets, func(i, j int) bool { return h.Buckets[i].Key.less(h.Buckets[j].Key) })
	return h, true
}

// ImportShard stores the buckets of a shard that this process is about to lead. They
// are used if its tenure starts within maxHandoverDelay of the acceptance, so that no
// other process can have led the shard in between; otherwise the tenure starts with
// empty buckets.
func (l *Leader) ImportShard(h Handover) {
	if h.Incarnation == l.incarnation {
		l.imports[h.Shard] = h
	}
}

// createShardBuckets creates the buckets of a shard that no holder has requested tokens
// of yet. They are handed over with their level; a bucket that is not handed over
// starts empty at the successor.
func (l *Leader) createShardBuckets(now time.Time, t *shardTable, shard uint32) {
	for team := range l.limits {
		for part := range MaxParts {
			key := Key{Team: team, Part: part}
			if key.Shard() == shard {
				l.bucket(now, t, key)
			}
		}
	}
}

// less orders keys by team and part.
func (k Key) less(other Key) bool {
	if k.Team != other.Team {
		return k.Team < other.Team
	}
	return k.Part < other.Part
}
