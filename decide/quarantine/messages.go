package quarantine

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Report is an exit proxy's observation about one fingerprint: the backend server
// crashed while it was in flight, or it completed while it ran alone. It is sent to the
// leader of the fingerprint's shard.
type Report struct {
	Fingerprint Fingerprint `json:"f"`
	Completed   bool        `json:"c,omitempty"` // the request completed; if false, the server crashed
	RanAlone    bool        `json:"a,omitempty"` // the request ran alone, as a suspect
	Generation  uint64      `json:"v,omitempty"` // generation of the record that the exit proxy had when the request started
	// CrashID identifies the crash. For a completed request, it identifies the last
	// crash that the exit proxy knew of when the request started.
	CrashID      uint64 `json:"i,omitempty"`
	SendAttempts uint8  `json:"-"` // attempts to send the report
}

// ReportReply tells the sender whether the receiver is the leader of the
// fingerprint's shard.
type ReportReply struct {
	Leader     bool   `json:"k,omitempty"`
	LeaderHint string `json:"h,omitempty"` // the leader, if the receiver knows it
}

// Entry is the standing of one fingerprint, as processes gossip it.
type Entry struct {
	Fingerprint  Fingerprint   `json:"f"`
	Standing     Standing      `json:"s"`
	CrashedAlone bool          `json:"a,omitempty"` // it crashed a server while it ran alone
	TTL          time.Duration `json:"t"`           // time until the entry expires
	Generation   uint64        `json:"v"`           // increases when the fingerprint is cleared
	CrashID      uint64        `json:"i,omitempty"` // identifies the last crash
}

// Gossip sends entries to a peer. If Compare is set, the peer replies with its own
// entries unless its digest equals Digest.
type Gossip struct {
	Entries []Entry `json:"e,omitempty"`
	Compare bool    `json:"c,omitempty"`
	Digest  uint64  `json:"d,omitempty"`
}

// GossipReply holds the entries of the replying process.
type GossipReply struct {
	Entries []Entry `json:"e,omitempty"`
}

// Shard returns the shard whose leader decides about the fingerprint.
func (f Fingerprint) Shard() uint32 {
	return uint32(f % rendezvous.ShardCount)
}
