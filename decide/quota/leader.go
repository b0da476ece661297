package quota

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	// outstandingPeriod is how long a leader counts a grant with the longest lifetime
	// as outstanding, from the moment it granted. The additional 2% covers different
	// clock rates.
	outstandingPeriod = MaxGrantTTL + MaxGrantTTL/50

	// repartitionPeriod is how long after a change of the number of parts each part
	// has the lower of its old and new limits: until all leaders know of the change
	// and the grants of the last leader to learn of it have expired.
	repartitionPeriod = ConfigPropagationTime + outstandingPeriod

	// StartupReducedLimitPeriod is how long after its first configuration a process
	// that has just started may restrict parts to less than their limits.
	StartupReducedLimitPeriod = repartitionPeriod

	// maxHandoverDelay is the longest time from the acceptance of a handover to the
	// start of the tenure that uses it. It is shorter than lease.MinTenure by two
	// drift margins, so that no other process can have been the leader in between.
	maxHandoverDelay = time.Second
)

// Leases reports the tenures of this process. lease.Candidate implements it.
type Leases interface {
	Tenure(now time.Time, shard uint32) (lease.Tenure, bool)
}

// Leader grants the tokens of all parts whose shards this process leads. It is not
// safe for concurrent use.
type Leader struct {
	incarnation  uint64
	leases       Leases
	started      time.Time
	limits       map[string]Limit
	repartitions map[string]repartition // teams whose number of parts changed recently
	tables       [rendezvous.ShardCount]*shardTable
	imports      map[uint32]Handover // buckets handed over, by shard, until the tenure starts
}

// repartition restricts each part to a lower limit after a change of the number of
// parts.
type repartition struct {
	maxLimits [MaxParts]Limit
	until     time.Duration
	atStartup bool // the process has just started, so the number of parts may have changed before
}

// shardTable holds the buckets of one tenure of a shard.
type shardTable struct {
	epoch        uint64
	since        time.Duration
	recoverUntil time.Duration // grants of the previous tenure may be outstanding until then
	handedOver   bool
	buckets      map[Key]*bucket
}

// NewLeader returns the leader of a process that starts now.
func NewLeader(incarnation uint64, now time.Time, leases Leases) *Leader {
	return &Leader{
		incarnation:  incarnation,
		leases:       leases,
		started:      now,
		limits:       make(map[string]Limit),
		repartitions: make(map[string]repartition),
		imports:      make(map[uint32]Handover),
	}
}

// SetLimit applies a limit unless the same or a higher version is already in force.
// The limit of a removed team has zero rate and burst.
func (l *Leader) SetLimit(now time.Time, team string, limit Limit) {
	old, known := l.limits[team]
	if known && limit.Version <= old.Version {
		return
	}
	if known {
		l.refreshBuckets(now, team)
	}
	l.limits[team] = limit
	if !known {
		l.reduceAtStartup(now, team, limit)
		return
	}
	if Parts(old.Rate, old.Burst) != Parts(limit.Rate, limit.Burst) {
		l.repartitions[team] = l.newRepartition(now, team, old)
	}
	l.refreshBuckets(now, team)
}

// newRepartition restricts every part to the lowest of its limits until
// repartitionPeriod has passed. Otherwise tokens could be granted both by a part that
// is new at this leader and by the larger part that it replaces, at a leader that does
// not know of the change yet.
func (l *Leader) newRepartition(now time.Time, team string, old Limit) repartition {
	rep := repartition{until: now.Sub(l.started) + repartitionPeriod}
	earlier, recent := l.repartitions[team]
	for part := range rep.maxLimits {
		rep.maxLimits[part] = old.Part(part)
		if recent {
			rep.maxLimits[part] = minLimit(rep.maxLimits[part], earlier.maxLimits[part])
		}
	}
	return rep
}

// reduceAtStartup covers a change of the number of parts that was accepted just before
// this process started. Part 0 of a divided limit is no larger than before such a
// change; any other part may not have existed. Until the period has passed, the other
// parts and an undivided limit get no tokens.
func (l *Leader) reduceAtStartup(now time.Time, team string, limit Limit) {
	since := now.Sub(l.started)
	if since >= repartitionPeriod {
		return
	}
	rep := repartition{until: since + repartitionPeriod, atStartup: true}
	if Parts(limit.Rate, limit.Burst) > 1 {
		rep.maxLimits[0] = limit.Part(0)
	}
	l.repartitions[team] = rep
}

// refreshBuckets brings all buckets of a team up to date under the limits in force.
func (l *Leader) refreshBuckets(now time.Time, team string) {
	for part := range MaxParts {
		key := Key{Team: team, Part: part}
		if t := l.table(now, key.Shard()); t != nil {
			l.bucket(now, t, key)
		}
	}
}

// Grant answers a token request.
func (l *Leader) Grant(now time.Time, req TokenRequest) Grant {
	g := Grant{Key: req.Key, Holder: req.Holder, Seq: req.Seq}
	t := l.table(now, req.Key.Shard())
	if t == nil {
		g.Status = NotLeader
		return g
	}
	limit, ok := l.limits[req.Key.Team]
	if !ok || req.Key.Part < 0 || req.Key.Part >= MaxParts {
		g.Status = NoLimit
		return g
	}
	g.Version = limit.Version
	b := l.bucket(now, t, req.Key)
	b.reconcile(req)
	limits := l.limitsAt(t, req.Key, b.refilledAt)
	g.Tokens = b.grant(limits, req)
	g.Status, g.RetryAfter = b.grantStatus(limits, req, g.Tokens)
	return g
}

// Return takes back unspent tokens. Returns of grants that are not outstanding at this
// leader are ignored.
func (l *Leader) Return(now time.Time, r Return) {
	t := l.table(now, r.Key.Shard())
	if t == nil || t.buckets[r.Key] == nil {
		return
	}
	b := l.bucket(now, t, r.Key)
	b.returnTokens(r.Holder, r.Left)
	b.clamp(l.limitsAt(t, r.Key, b.refilledAt))
}

// Tick drops the state of tenures that ended and of repartitions whose period has
// passed. Call it about once a second.
func (l *Leader) Tick(now time.Time) {
	for shard, t := range l.tables {
		if t == nil {
			continue
		}
		if _, held := l.leases.Tenure(now, uint32(shard)); !held {
			l.tables[shard] = nil
		}
	}
	for team, rep := range l.repartitions {
		if now.Sub(l.started) < rep.until {
			continue
		}
		l.refreshBuckets(now, team)
		delete(l.repartitions, team)
	}
}

// table returns the buckets of a shard, or nil if this process does not lead it at
// this time. A new tenure starts without buckets or with those that were handed over.
func (l *Leader) table(now time.Time, shard uint32) *shardTable {
	tenure, held := l.leases.Tenure(now, shard)
	if !held {
		return nil
	}
	t := l.tables[shard]
	if t == nil || t.epoch != tenure.Epoch {
		t = l.newTable(tenure, shard)
		l.tables[shard] = t
	}
	if t.handedOver {
		return nil
	}
	return t
}

// newTable returns the table of a new tenure. The buckets of a handover are used if
// the tenure started within maxHandoverDelay of its acceptance.
func (l *Leader) newTable(tenure lease.Tenure, shard uint32) *shardTable {
	since := tenure.Since.Sub(l.started)
	t := &shardTable{
		epoch:        tenure.Epoch,
		since:        since,
		recoverUntil: since + outstandingPeriod,
		buckets:      make(map[Key]*bucket),
	}
	h, ok := l.imports[shard]
	delete(l.imports, shard)
	if !ok || since < h.Stamp || since-h.Stamp > maxHandoverDelay {
		return t
	}
	t.recoverUntil = since
	for _, state := range h.Buckets {
		t.buckets[state.Key] = importBucket(since, state)
		l.endStartupReduction(state)
	}
	return t
}

// endStartupReduction lifts the limits of reduceAtStartup if the previous leader had
// the same version of the limit and no recent change of the number of parts.
func (l *Leader) endStartupReduction(state BucketState) {
	rep, ok := l.repartitions[state.Key.Team]
	if ok && rep.atStartup && state.Settled && state.Version == l.limits[state.Key.Team].Version {
		delete(l.repartitions, state.Key.Team)
	}
}

// bucket returns a bucket, brought up to date. A new bucket is empty at the start of
// the tenure.
func (l *Leader) bucket(now time.Time, t *shardTable, key Key) *bucket {
	b := t.buckets[key]
	if b == nil {
		b = &bucket{refilledAt: t.since}
		t.buckets[key] = b
	}
	l.advance(t, key, b, now.Sub(l.started))
	return b
}

// advance refills a bucket in steps, because its maximum rises when a grant expires,
// when the recovery ends and when a repartition ends. A single step would refill the
// time before such an event up to the higher maximum.
func (l *Leader) advance(t *shardTable, key Key, b *bucket, to time.Duration) {
	repartitionEnd := l.repartitions[key.Team].until
	for b.refilledAt < to {
		next := b.nextExpiry(to)
		next = earlierBoundary(b.refilledAt, next, t.recoverUntil)
		next = earlierBoundary(b.refilledAt, next, repartitionEnd)
		b.refill(next, l.limitsAt(t, key, b.refilledAt))
		b.dropExpired(next)
	}
	b.clamp(l.limitsAt(t, key, b.refilledAt))
}

// earlierBoundary returns boundary if it lies between at and next, and next otherwise.
func earlierBoundary(at, next, boundary time.Duration) time.Duration {
	if at < boundary && boundary < next {
		return boundary
	}
	return next
}

// limitsAt returns the limits that apply to a bucket from the given time on.
func (l *Leader) limitsAt(t *shardTable, key Key, at time.Duration) bucketLimits {
	team := l.limits[key.Team]
	partLimit := team.Part(key.Part)
	limit := partLimit
	if rep, ok := l.repartitions[key.Team]; ok && at < rep.until {
		limit = minLimit(limit, rep.maxLimits[key.Part])
	}
	limits := newBucketLimits(limit, Parts(team.Rate, team.Burst), at < t.recoverUntil)
	limits.reduced = limits.reduced || limit != partLimit
	return limits
}
