// Package ledger decides whether a request with an idempotency key may run, so
// that it runs at most once however often its caller sends it. Each key has three
// holders, found by rendezvous; a claim runs with the grants of two of them.
//
// A holder keeps its records in memory only. After a restart, or when it becomes a
// holder, it vouches for a shard only once it cannot have missed a claim.
package ledger

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// HolderCount is the number of holders of a shard.
const HolderCount = 3

// Defaults and limits.
const (
	// DefaultWindow is how long a key is remembered.
	DefaultWindow = 5 * time.Minute
	// ClaimTimeout bounds the time from the sending of a claim to its last grant
	// that counts and to the start of the request. A restarted holder waits this
	// long before it fetches records, so that no claim that its earlier life
	// granted is still on the way to another holder.
	ClaimTimeout = time.Second
)

// Options configure a Holder.
type Options struct {
	Self       string
	Window     time.Duration // DefaultWindow if 0; the same in the whole fleet
	Shards     uint32        // rendezvous.ShardCount if 0; the same in the whole fleet
	MaxRecords int           // DefaultMaxRecords if 0
}

// DefaultMaxRecords bounds the memory of a holder.
const DefaultMaxRecords = 200_000

// ShardOf returns the shard of a team's key among n shards.
func ShardOf(team, key string, n uint32) uint32 {
	return uint32(rendezvous.Hash(team+"\x00"+key) % uint64(n))
}

// HoldersOf returns the holders of a shard: HolderCount, or all members of a
// smaller fleet.
func HoldersOf(shard uint32, members []rendezvous.Member) []string { return nil }

// SetID identifies a set of holders.
func SetID(holders []string) uint64 { return 0 }

// Quorum returns how many of n holders have to grant a claim: 2 of 3, all of fewer.
func Quorum(n int) int { return min(n, 2) }

// Action is something that the caller carries out.
type Action interface{ isAction() }

// AskSync sends a SyncAsk to another holder. The Export goes to Import.
type AskSync struct {
	To  string
	Ask SyncAsk
}

func (AskSync) isAction() {}

// Holder holds the records of the shards of one process.
type Holder struct{}

// NewHolder returns a Holder that holds no shard. start is the start of the process.
func NewHolder(start time.Time, o Options) *Holder { return nil }

// SetMembers sets the members of the fleet and returns the asks that follow.
func (h *Holder) SetMembers(now time.Time, members []rendezvous.Member) []Action { return nil }

// Claim answers a claim of an entry.
func (h *Holder) Claim(now time.Time, c Claim) ClaimReply { return ClaimReply{} }

// Finish records that a claimed request ran.
func (h *Holder) Finish(now time.Time, f Finish) {}

// Release records that a claimed request did not run, so that the key can be
// claimed again.
func (h *Holder) Release(now time.Time, r Release) {}

// Export answers a SyncAsk of another holder.
func (h *Holder) Export(now time.Time, ask SyncAsk) Export { return Export{} }

// Import takes the answer to a SyncAsk.
func (h *Holder) Import(now time.Time, e Export) {}

// Tick drops expired records and returns the asks that are due.
func (h *Holder) Tick(now time.Time) []Action { return nil }

// Next returns the time at which Tick is to be called next.
func (h *Holder) Next() time.Time { return time.Time{} }

// Vouches reports whether the holder vouches for a shard.
func (h *Holder) Vouches(now time.Time, shard uint32) bool { return false }

// Len returns the number of records held.
func (h *Holder) Len() int { return 0 }
