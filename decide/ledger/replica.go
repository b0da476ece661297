// Package ledger decides whether a request with an idempotency key may run, so that
// it runs at most once however often its caller sends it.
//
// The entry proxy, which is the process that receives a request from its caller, claims
// the key from the key's replicas. A replica is one of the three members that store
// the records of the key's shard; rendezvous hashing picks them. The request runs
// once two of them grant the claim.
//
// A replica keeps its records in memory only. After a restart, or when it becomes a
// replica of a shard, it grants claims only once it is caught up: it has the records of
// the other replicas, or every claim that it may have missed has expired.
package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Defaults and limits. They must be the same in all processes of a fleet.
const (
	// ReplicaCount is the number of replicas of a shard.
	ReplicaCount = 3
	// DefaultWindow is how long a replica remembers a key.
	DefaultWindow = 5 * time.Minute
	// ClaimTimeout is the time after a claim is sent within which grants count and
	// the request must start. A restarted replica waits this long before it fetches
	// records. By then, no claim that it granted before the restart is still in
	// transit to another replica.
	ClaimTimeout = time.Second
	// maxClockDriftPercent is added to waiting times. The clock rates of two
	// processes differ by less than this.
	maxClockDriftPercent = 2
	// ReleasedRetention is how long a released attempt is remembered, in case its
	// claim arrives after its release.
	ReleasedRetention = 10 * time.Second
	// SyncRetryInterval is the time between sync requests to another replica. It
	// doubles up to SyncRetryMaxInterval while the replica does not answer.
	SyncRetryInterval    = 200 * time.Millisecond
	SyncRetryMaxInterval = 3200 * time.Millisecond
	// PagesPerShard is the number of pages in which a shard's records are fetched.
	// With 16 pages, one page of a shard with 200,000 records stays below the limit
	// of 4 MB per message.
	PagesPerShard = 16
	// MaxSyncRecords is the number of records from which a sync response adds no
	// further page.
	MaxSyncRecords = 2000
	// DefaultMaxRecords limits the records of a replica, which take about 40 MB.
	DefaultMaxRecords = 200_000
)

// Options configure a Replica.
type Options struct {
	Self       string
	Seed       uint64        // start of the sequence numbers; must differ after each restart
	Window     time.Duration // DefaultWindow if 0; the same in the whole fleet
	Shards     uint32        // rendezvous.ShardCount if 0; the same in the whole fleet
	MaxRecords int           // DefaultMaxRecords if 0
}

// ShardOf returns the shard of a team's key among n shards.
func ShardOf(team, key string, n uint32) uint32 {
	return uint32(rendezvous.Hash(team+"\x00"+key) % uint64(n))
}

// ReplicasOf returns the replicas of a shard: ReplicaCount members, in different zones
// where possible, or all members of a smaller fleet.
func ReplicasOf(shard uint32, members []rendezvous.Member) []string {
	return idsOf(rendezvous.Rank(shardKey(shard), members, ReplicaCount))
}

// ReplicasOf returns the replicas of a shard among the members passed to SetMembers.
func (h *Replica) ReplicasOf(shard uint32) []string {
	return idsOf(h.ranking.Ranked(shard))
}

// shardKey returns the rendezvous key of a shard. The salt makes the ranking
// independent of the rankings of other roles.
func shardKey(shard uint32) uint64 {
	const salt = 0x6c65646765720000
	return salt ^ uint64(shard)
}

func idsOf(members []rendezvous.Member) []string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	return ids
}

// ReplicaSetID returns an identifier of a set of replicas that does not depend on
// their order. It is never 0.
func ReplicaSetID(replicas []string) uint64 {
	var id uint64
	for _, r := range replicas {
		id += xxhash.Sum64String(r)
	}
	return id | 1
}

// Quorum returns how many of n replicas must grant a claim: 2 of 3, or all of fewer.
func Quorum(n int) int { return min(n, 2) }

// Replica stores the records of all shards that one process is a replica of.
type Replica struct {
	opt            Options
	ranking        *rendezvous.Ranking // of the members
	window         time.Duration       // how long a record is kept
	processStart   time.Time
	membersSet     bool // SetMembers was called
	shards         map[uint32]*shard
	seq            uint64
	recordCount    int
	expiry         map[int64][]expiryKey // by the second in which the records expire
	expiredThrough int64                 // expiry has no entries up to this second
}

// NewReplica returns a Replica without shards. start is the time the process started.
func NewReplica(start time.Time, o Options) *Replica {
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Shards == 0 {
		o.Shards = rendezvous.ShardCount
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	return &Replica{
		opt:            o,
		ranking:        rendezvous.NewRanking(o.Shards, ReplicaCount, shardKey),
		window:         withDrift(o.Window + ClaimTimeout),
		processStart:   start,
		shards:         make(map[uint32]*shard),
		seq:            o.Seed,
		expiry:         make(map[int64][]expiryKey),
		expiredThrough: -1,
	}
}

func withDrift(d time.Duration) time.Duration {
	return d + d*maxClockDriftPercent/100
}

// Claim handles a claim of an entry proxy and returns the reply.
func (h *Replica) Claim(now time.Time, c Claim) ClaimReply {
	reply := ClaimReply{Replica: h.opt.Self, Attempt: c.Attempt}
	number := ShardOf(c.Team, c.Key, h.opt.Shards)
	s := h.shards[number]
	if s == nil || s.id != c.ReplicaSet || !s.tryOpen(now) {
		reply.Result = ReplicaSetMismatch
		return reply
	}
	known := s.liveAttempts(now, c.Team, c.Key)
	if reply.Result, reply.Status = resolveClaim(known, c); reply.Result != Granted {
		return reply
	}
	own := findAttempt(known, c.Attempt)
	switch {
	case own != nil && own.granted:
		// Grant again, since the first reply may have been lost.
	case !s.caughtUp(now, h.window) && !(c.First && s.acceptsFirstSend(now)):
		reply.Result = NotCaughtUp
	case own != nil:
		own.granted = true
	case h.recordCount >= h.opt.MaxRecords:
		reply.Result = RecordLimitReached
	default:
		h.addRecord(now, number, Record{
			Team: c.Team, Key: c.Key, Attempt: c.Attempt, RequestDigest: c.RequestDigest, State: Running,
			RemainingMS: h.window.Milliseconds(),
		}).granted = true
	}
	return reply
}

// resolveClaim returns the result of a claim and the status of an earlier run, from
// the attempts that are known for its key.
func resolveClaim(known []*attempt, c Claim) (Result, int) {
	if own := findAttempt(known, c.Attempt); own != nil {
		switch own.state {
		case Released:
			return AlreadyReleased, 0
		case Done:
			return Finished, own.status
		}
	}
	result, status := Granted, 0
	for _, a := range known {
		switch {
		case a.id == c.Attempt || a.state == Released:
		case a.requestDigest != c.RequestDigest:
			return RequestMismatch, 0
		case a.state == Done:
			result, status = Finished, a.status
		case result == Granted:
			result = InProgress
		}
	}
	return result, status
}

// Finish records that a claimed request ran, even if this replica did not grant the
// claim or has lost its record.
func (h *Replica) Finish(now time.Time, f Finish) {
	h.merge(now, Record{
		Team: f.Team, Key: f.Key, Attempt: f.Attempt, RequestDigest: f.RequestDigest, State: Done, Status: f.Status,
		RemainingMS: h.window.Milliseconds(),
	})
}

// Release records that a claimed request did not run, so that the key can be
// claimed again.
func (h *Replica) Release(now time.Time, r Release) {
	h.merge(now, Record{
		Team: r.Team, Key: r.Key, Attempt: r.Attempt, RequestDigest: r.RequestDigest, State: Released,
		RemainingMS: ReleasedRetention.Milliseconds(),
	})
}

// merge adds a record or updates the known attempt. It returns false if the record
// limit is reached. Records of shards that this process does not hold are ignored.
func (h *Replica) merge(now time.Time, r Record) bool {
	number := ShardOf(r.Team, r.Key, h.opt.Shards)
	s := h.shards[number]
	if s == nil {
		return true
	}
	if a := findAttempt(s.liveAttempts(now, r.Team, r.Key), r.Attempt); a != nil {
		if a.advance(now, r) {
			h.scheduleExpiry(a.expires, expiryKey{number, r.Team, r.Key})
		}
		return true
	}
	if h.recordCount >= h.opt.MaxRecords {
		return false
	}
	h.addRecord(now, number, r)
	return true
}

// CaughtUp reports whether this process holds a shard and is caught up: it has the
// records of the other replicas, or every claim that it may have missed has expired.
func (h *Replica) CaughtUp(now time.Time, number uint32) bool {
	s := h.shards[number]
	return s != nil && s.caughtUp(now, h.window)
}

// Len returns the number of records held.
func (h *Replica) Len() int { return h.recordCount }
