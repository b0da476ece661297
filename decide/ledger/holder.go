// Package ledger decides whether a request with an idempotency key may run, so
// that it runs at most once however often its caller sends it. Each key has three
// holders, found by rendezvous; a claim runs with the grants of two of them.
//
// A holder keeps its records in memory only. After a restart, or when it becomes a
// holder, it vouches for a shard only once it cannot have missed a claim.
package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Defaults and limits. All processes of a fleet use the same.
const (
	// HolderCount is the number of holders of a shard.
	HolderCount = 3
	// DefaultWindow is how long a key is remembered.
	DefaultWindow = 5 * time.Minute
	// ClaimTimeout bounds the time from the sending of a claim to its last grant
	// that counts and to the start of the request. A restarted holder waits this
	// long before it fetches records, so that no claim that its earlier life
	// granted is still on the way to another holder.
	ClaimTimeout = time.Second
	// driftPercent is added to waiting times, since the clocks of two processes
	// differ in rate by less than that.
	driftPercent = 2
	// ReleasedFor is how long a released attempt is remembered, in case its claim
	// arrives after its release.
	ReleasedFor = 10 * time.Second
	// SyncRetry is the time between asks to another holder. It doubles up to
	// SyncRetryMax while the holder does not answer.
	SyncRetry    = 200 * time.Millisecond
	SyncRetryMax = 3200 * time.Millisecond
	// Pages is the number of pages in which a shard's records are fetched. With 16,
	// a page of 200,000 records stays below the 4 MB bound of a message.
	Pages = 16
	// MaxExport is the number of records after which an export adds no other page.
	MaxExport = 2000
	// DefaultMaxRecords bounds the memory of a holder, about 40 MB.
	DefaultMaxRecords = 200_000
)

// Options configure a Holder.
type Options struct {
	Self       string
	Seed       uint64        // differs from the seeds of earlier lives of the process
	Window     time.Duration // DefaultWindow if 0; the same in the whole fleet
	Shards     uint32        // rendezvous.ShardCount if 0; the same in the whole fleet
	MaxRecords int           // DefaultMaxRecords if 0
}

// ShardOf returns the shard of a team's key among n shards.
func ShardOf(team, key string, n uint32) uint32 {
	return uint32(rendezvous.Hash(team+"\x00"+key) % uint64(n))
}

// HoldersOf returns the holders of a shard: HolderCount in different zones as far
// as possible, or all members of a smaller fleet.
func HoldersOf(shard uint32, members []rendezvous.Member) []string {
	return idsOf(rendezvous.Rank(shardKey(shard), members, HolderCount))
}

// HoldersOf returns the holders of a shard among the members that were set.
func (h *Holder) HoldersOf(shard uint32) []string {
	return idsOf(h.ranking.Ranked(shard))
}

// shardKey separates the ledger's ranking from that of other roles.
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

// SetID identifies a set of holders, whatever their order. It is never 0.
func SetID(holders []string) uint64 {
	var id uint64
	for _, h := range holders {
		id += xxhash.Sum64String(h)
	}
	return id | 1
}

// Quorum returns how many of n holders have to grant a claim: 2 of 3, all of fewer.
func Quorum(n int) int { return min(n, 2) }

// Holder holds the records of the shards of one process.
type Holder struct {
	opt     Options
	ranking *rendezvous.Ranking // of the members
	window  time.Duration       // how long a record is kept
	start   time.Time
	started bool // members were set before
	shards  map[uint32]*shard
	seq     uint64
	count   int
	expiry  map[int64][]slot // by the second after which a record may have expired
	swept   int64            // expiry is empty up to this second
}

// NewHolder returns a Holder that holds no shard. start is the start of the process.
func NewHolder(start time.Time, o Options) *Holder {
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Shards == 0 {
		o.Shards = rendezvous.ShardCount
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	return &Holder{
		opt:     o,
		ranking: rendezvous.NewRanking(o.Shards, HolderCount, shardKey),
		window:  withDrift(o.Window + ClaimTimeout),
		start:   start,
		shards:  make(map[uint32]*shard),
		seq:     o.Seed,
		expiry:  make(map[int64][]slot),
		swept:   -1,
	}
}

func withDrift(d time.Duration) time.Duration {
	return d + d*driftPercent/100
}

// Claim answers a claim of an entry.
func (h *Holder) Claim(now time.Time, c Claim) ClaimReply {
	reply := ClaimReply{Holder: h.opt.Self, Attempt: c.Attempt}
	number := ShardOf(c.Team, c.Key, h.opt.Shards)
	s := h.shards[number]
	if s == nil || s.id != c.Holders || !s.opens(now) {
		reply.Result = OtherHolders
		return reply
	}
	known := s.live(now, c.Team, c.Key)
	if reply.Result, reply.Status = judge(known, c); reply.Result != Granted {
		return reply
	}
	own := find(known, c.Attempt)
	switch {
	case own != nil && own.granted:
		// Granted again: the reply may have been lost.
	case !s.vouches(now, h.window) && !(c.First && s.vouchesFirst(now)):
		reply.Result = CannotVouch
	case own != nil:
		own.granted = true
	case h.count >= h.opt.MaxRecords:
		reply.Result = Full
	default:
		h.add(now, number, Record{
			Team: c.Team, Key: c.Key, Attempt: c.Attempt, Request: c.Request, State: Running,
			RemainingMS: h.window.Milliseconds(),
		}).granted = true
	}
	return reply
}

// judge answers a claim by the attempts that are known for its key.
func judge(known []*attempt, c Claim) (Result, int) {
	if own := find(known, c.Attempt); own != nil {
		switch own.state {
		case Released:
			return Withdrawn, 0
		case Done:
			return Finished, own.status
		}
	}
	result, status := Granted, 0
	for _, a := range known {
		switch {
		case a.id == c.Attempt || a.state == Released:
		case a.request != c.Request:
			return Mismatch, 0
		case a.state == Done:
			result, status = Finished, a.status
		case result == Granted:
			result = InProgress
		}
	}
	return result, status
}

// Finish records that a claimed request ran, also if this holder did not grant the
// claim or lost its record.
func (h *Holder) Finish(now time.Time, f Finish) {
	h.merge(now, Record{
		Team: f.Team, Key: f.Key, Attempt: f.Attempt, Request: f.Request, State: Done, Status: f.Status,
		RemainingMS: h.window.Milliseconds(),
	})
}

// Release records that a claimed request did not run, so that the key can be
// claimed again.
func (h *Holder) Release(now time.Time, r Release) {
	h.merge(now, Record{
		Team: r.Team, Key: r.Key, Attempt: r.Attempt, Request: r.Request, State: Released,
		RemainingMS: ReleasedFor.Milliseconds(),
	})
}

// merge takes a record if this process holds its shard and has room for it.
func (h *Holder) merge(now time.Time, r Record) bool {
	number := ShardOf(r.Team, r.Key, h.opt.Shards)
	s := h.shards[number]
	if s == nil {
		return true
	}
	if a := find(s.live(now, r.Team, r.Key), r.Attempt); a != nil {
		if a.advance(now, r) {
			h.schedule(a.until, slot{number, r.Team, r.Key})
		}
		return true
	}
	if h.count >= h.opt.MaxRecords {
		return false
	}
	h.add(now, number, r)
	return true
}

// Vouches reports whether the holder vouches for a shard.
func (h *Holder) Vouches(now time.Time, number uint32) bool {
	s := h.shards[number]
	return s != nil && s.vouches(now, h.window)
}

// Len returns the number of records held.
func (h *Holder) Len() int { return h.count }
