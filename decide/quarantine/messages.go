package quarantine

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Report is what an exit saw of one fingerprint: a crash while it was in flight,
// or its completion alone. It goes to the keeper of the fingerprint's shard.
type Report struct {
	Fingerprint Fingerprint `json:"f"`
	Clean       bool        `json:"c,omitempty"` // it completed; otherwise the server crashed
	Alone       bool        `json:"a,omitempty"` // it ran alone as a suspect
	Version     uint64      `json:"v,omitempty"` // generation of the suspicion that the exit knew when the request started
	// Crash identifies the crash, or the last one that the exit knew of when a
	// request started that completed.
	Crash uint64 `json:"i,omitempty"`
	Tries uint8  `json:"-"` // of sending the report
}

// ReportAnswer tells whether the receiver keeps the fingerprint's shard.
type ReportAnswer struct {
	Keeper bool   `json:"k,omitempty"`
	Hint   string `json:"h,omitempty"` // the keeper as far as the receiver knows
}

// Entry is the standing of one fingerprint, as processes spread it.
type Entry struct {
	Fingerprint Fingerprint   `json:"f"`
	Standing    Standing      `json:"s"`
	Alone       bool          `json:"a,omitempty"` // a crash happened while it ran alone as a suspect
	Left        time.Duration `json:"t"`           // until the entry is forgotten
	Version     uint64        `json:"v"`           // generation; a clearance begins the next one
	Crash       uint64        `json:"i,omitempty"` // identifies the last crash
}

// Spread carries entries to a peer. With Compare, the peer answers with its own
// entries unless its digest is the same.
type Spread struct {
	Entries []Entry `json:"e,omitempty"`
	Compare bool    `json:"c,omitempty"`
	Digest  uint64  `json:"d,omitempty"`
}

// SpreadAnswer holds entries of the answering process.
type SpreadAnswer struct {
	Entries []Entry `json:"e,omitempty"`
}

// Shard returns the shard whose keeper decides on the fingerprint.
func (f Fingerprint) Shard() uint32 {
	return uint32(f % rendezvous.ShardCount)
}
