package quota

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	// grantHold is how long a keeper counts a grant of full life as outstanding,
	// from the moment it granted. The 2% covers unlike clock rates.
	grantHold = GrantTTL + GrantTTL/50

	// partsSettle is how long after a change of the number of parts each part has
	// the lower of its two limits: until all keepers know of the change and the
	// grants of the last one that learned of it have expired.
	partsSettle = ConfigSpread + grantHold

	// StartHold is how long after its first configuration a process that has just
	// started may hold parts to less than their limits.
	StartHold = partsSettle

	// handoverWindow bounds the time from the acceptance of a handover to the
	// start of the tenure that uses it. It is shorter than lease.MinTenure by two
	// drift margins, so that no other keeper can have come in between.
	handoverWindow = time.Second
)

// Leases tells which shards this process keeps. lease.Candidate implements it.
type Leases interface {
	Tenure(now time.Time, shard uint32) (lease.Tenure, bool)
}

// Keeper grants the tokens of all parts whose shards this process keeps. One
// goroutine owns it.
type Keeper struct {
	incarnation uint64
	leases      Leases
	base        time.Time
	limits      map[string]Limit
	changes     map[string]change // teams whose number of parts changed lately
	tables      [rendezvous.ShardCount]*table
	imports     map[uint32]Handover
}

// change holds each part to a lower limit after the number of parts changed.
type change struct {
	ceiling [MaxParts]Limit
	until   time.Duration
	start   bool // the process started lately: the number may have changed
}

// table holds the buckets of one tenure.
type table struct {
	epoch        uint64
	since        time.Duration
	recoverUntil time.Duration // until when grants of the previous tenure may be outstanding
	closed       bool          // handed over
	buckets      map[Key]*bucket
}

// NewKeeper returns the keeper of a process that starts now.
func NewKeeper(incarnation uint64, now time.Time, leases Leases) *Keeper {
	return &Keeper{
		incarnation: incarnation,
		leases:      leases,
		base:        now,
		limits:      make(map[string]Limit),
		changes:     make(map[string]change),
		imports:     make(map[uint32]Handover),
	}
}

// SetLimit puts a limit in force unless a higher version already is. A removed
// team gets the zero rate and burst.
func (k *Keeper) SetLimit(now time.Time, team string, l Limit) {
	old, known := k.limits[team]
	if known && l.Version <= old.Version {
		return
	}
	if known {
		k.touch(now, team)
	}
	k.limits[team] = l
	if !known {
		k.firstLimit(now, team, l)
		return
	}
	if Parts(old.Rate, old.Burst) != Parts(l.Rate, l.Burst) {
		k.changes[team] = k.ceilings(now, team, old)
	}
	k.touch(now, team)
}

// ceilings keeps every part at the lowest of its limits until the change has
// settled. Otherwise a part that is new here and the larger part that it
// replaces, at a keeper that does not know of the change yet, would both be
// spent.
func (k *Keeper) ceilings(now time.Time, team string, old Limit) change {
	c := change{until: now.Sub(k.base) + partsSettle}
	earlier, unsettled := k.changes[team]
	for part := range c.ceiling {
		c.ceiling[part] = old.Part(part)
		if unsettled {
			c.ceiling[part] = lower(c.ceiling[part], earlier.ceiling[part])
		}
	}
	return c
}

// firstLimit guards against a change of the number of parts that was accepted
// just before this process started. Part 0 of a divided limit is no larger than
// before such a change; any other part may not have existed.
func (k *Keeper) firstLimit(now time.Time, team string, l Limit) {
	since := now.Sub(k.base)
	if since >= partsSettle {
		return
	}
	c := change{until: since + partsSettle, start: true}
	if Parts(l.Rate, l.Burst) > 1 {
		c.ceiling[0] = l.Part(0)
	}
	k.changes[team] = c
}

// touch brings all buckets of a team up to date under the limits now in force.
func (k *Keeper) touch(now time.Time, team string) {
	for part := range MaxParts {
		key := Key{Team: team, Part: part}
		if t := k.table(now, key.Shard()); t != nil {
			k.bucket(now, t, key)
		}
	}
}

// Grant answers an ask.
func (k *Keeper) Grant(now time.Time, ask Ask) Grant {
	g := Grant{Key: ask.Key, Holder: ask.Holder, Seq: ask.Seq}
	t := k.table(now, ask.Key.Shard())
	if t == nil {
		g.Status = NotKeeper
		return g
	}
	limit, ok := k.limits[ask.Key.Team]
	if !ok || ask.Key.Part < 0 || ask.Key.Part >= MaxParts {
		g.Status = NoLimit
		return g
	}
	g.Version = limit.Version
	b := k.bucket(now, t, ask.Key)
	b.settle(ask)
	r := k.rules(t, ask.Key, b.at)
	g.Tokens = b.grant(r, ask)
	g.Status, g.RetryAfter = b.status(r, ask, g.Tokens)
	return g
}

// Return takes back unspent tokens. A return of a grant that is not outstanding
// here has no effect.
func (k *Keeper) Return(now time.Time, r Return) {
	t := k.table(now, r.Key.Shard())
	if t == nil || t.buckets[r.Key] == nil {
		return
	}
	b := k.bucket(now, t, r.Key)
	b.giveBack(r.Holder, r.Left)
	b.clamp(k.rules(t, r.Key, b.at))
}

// Tick drops the state of tenures that ended and of changes that settled. Call
// it about every second.
func (k *Keeper) Tick(now time.Time) {
	for shard, t := range k.tables {
		if t == nil {
			continue
		}
		if _, held := k.leases.Tenure(now, uint32(shard)); !held {
			k.tables[shard] = nil
		}
	}
	for team, c := range k.changes {
		if now.Sub(k.base) < c.until {
			continue
		}
		k.touch(now, team)
		delete(k.changes, team)
	}
}

// table returns the buckets of a shard, or nil when this process does not keep
// it at this moment. A new tenure starts with no buckets, or with those that
// were handed over.
func (k *Keeper) table(now time.Time, shard uint32) *table {
	tenure, held := k.leases.Tenure(now, shard)
	if !held {
		return nil
	}
	t := k.tables[shard]
	if t == nil || t.epoch != tenure.Epoch {
		t = k.newTable(tenure, shard)
		k.tables[shard] = t
	}
	if t.closed {
		return nil
	}
	return t
}

func (k *Keeper) newTable(tenure lease.Tenure, shard uint32) *table {
	since := tenure.Since.Sub(k.base)
	t := &table{
		epoch:        tenure.Epoch,
		since:        since,
		recoverUntil: since + grantHold,
		buckets:      make(map[Key]*bucket),
	}
	h, ok := k.imports[shard]
	delete(k.imports, shard)
	if !ok || since < h.Stamp || since-h.Stamp > handoverWindow {
		return t
	}
	t.recoverUntil = since
	for _, state := range h.Buckets {
		t.buckets[state.Key] = importBucket(since, state)
		k.trust(state)
	}
	return t
}

// trust ends the caution of a new process if the predecessor had the same
// limit, settled.
func (k *Keeper) trust(state BucketState) {
	c, ok := k.changes[state.Key.Team]
	if ok && c.start && state.Settled && state.Version == k.limits[state.Key.Team].Version {
		delete(k.changes, state.Key.Team)
	}
}

// bucket returns a bucket, brought up to date. A new one starts empty with the
// tenure.
func (k *Keeper) bucket(now time.Time, t *table, key Key) *bucket {
	b := t.buckets[key]
	if b == nil {
		b = &bucket{at: t.since}
		t.buckets[key] = b
	}
	k.advance(t, key, b, now.Sub(k.base))
	return b
}

// advance refills a bucket step by step, because its cap rises when a grant
// expires, when the recovery ends and when a change settles: one step would
// refill the time before under the later, higher cap.
func (k *Keeper) advance(t *table, key Key, b *bucket, to time.Duration) {
	settled := k.changes[key.Team].until
	for b.at < to {
		next := b.nextExpiry(to)
		next = earlierStep(b.at, next, t.recoverUntil)
		next = earlierStep(b.at, next, settled)
		b.refill(next, k.rules(t, key, b.at))
		b.expire(next)
	}
	b.clamp(k.rules(t, key, b.at))
}

// earlierStep returns the boundary if it lies between at and next.
func earlierStep(at, next, boundary time.Duration) time.Duration {
	if at < boundary && boundary < next {
		return boundary
	}
	return next
}

// rules returns what holds for a bucket from a moment on.
func (k *Keeper) rules(t *table, key Key, at time.Duration) rules {
	team := k.limits[key.Team]
	whole := team.Part(key.Part)
	limit := whole
	if c, ok := k.changes[key.Team]; ok && at < c.until {
		limit = lower(limit, c.ceiling[key.Part])
	}
	r := newRules(limit, Parts(team.Rate, team.Burst), at < t.recoverUntil)
	r.held = r.held || limit != whole
	return r
}
