package spread

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Ref names one part and the digest of its bytes.
type Ref struct {
	Name   string `json:"n"`
	Digest string `json:"d"`
}

// Stamp identifies one document: its version and the digest over its refs.
// Stamps are ordered by version, then by digest, so that two documents with the
// same version still converge to one.
type Stamp struct {
	Version uint64 `json:"v"`
	Digest  string `json:"g,omitempty"`
}

// Less reports whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	if s.Version != o.Version {
		return s.Version < o.Version
	}
	return s.Digest < o.Digest
}

// ManifestAsk asks a peer for its stamp and, if the peer has a newer document,
// for what differs from Have.
type ManifestAsk struct {
	Seq  uint64 `json:"s"` // identifies the ask; the answer repeats it
	Have Stamp  `json:"h"`
}

// NeverConfirmed is the AgeMS of a process that no confirmation has reached.
const NeverConfirmed int64 = -1

// Manifest describes a document. An answer for a document that is not newer than
// the asker's carries the stamp and the age only.
type Manifest struct {
	Stamp
	Seq     uint64   `json:"s,omitempty"` // of the ask that it answers
	AgeMS   int64    `json:"a"`           // age of the sender's confirmation in ms, or NeverConfirmed
	Base    Stamp    `json:"b,omitzero"`  // if set, Parts and Removed are the changes since Base
	Parts   []Ref    `json:"p,omitempty"` // sorted by name
	Removed []string `json:"r,omitempty"`
}

// PartWant asks for one part. Have is the digest of the copy that the asker holds
// under this name, "" if none; it lets the peer send the changed bytes only.
type PartWant struct {
	Name   string `json:"n"`
	Digest string `json:"d"`
	Have   string `json:"h,omitempty"`
}

// PartsAsk asks a peer for parts.
type PartsAsk struct {
	Wants []PartWant `json:"w"`
}

// Part is one part of a document. With Base set, it changes the copy that has the
// digest Base: by Edits if there are any, else Bytes replaces what lies between
// the first Prefix and the last Suffix bytes.
type Part struct {
	Name   string `json:"n"`
	Digest string `json:"d"`
	Base   string `json:"b,omitempty"`
	Prefix int    `json:"x,omitempty"` // bytes
	Suffix int    `json:"y,omitempty"` // bytes
	Bytes  []byte `json:"c,omitempty"`
	Edits  []Edit `json:"e,omitempty"`
}

// Parts answers a PartsAsk. It may lack parts that the peer does not hold or that
// would exceed MaxReplyBytes.
type Parts struct {
	Parts []Part `json:"p"`
}

// Announcement tells peers that a document is in force at the sender.
type Announcement struct {
	Stamp
}

// DigestOf returns the digest of a part's bytes: 64 bits of xxhash in hexadecimal.
// It guards against mixed-up copies, not against forgery; only fleet members send
// parts.
func DigestOf(b []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(b))
}

// StampOf returns the stamp of a document with these refs, in any order.
func StampOf(version uint64, refs []Ref) Stamp {
	sorted := slices.Clone(refs)
	sortRefs(sorted)
	var h xxhash.Digest
	h.Reset()
	for _, r := range sorted {
		_, _ = h.WriteString(r.Name)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(r.Digest)
		_, _ = h.WriteString("\x00")
	}
	return Stamp{Version: version, Digest: fmt.Sprintf("%016x", h.Sum64())}
}

func sortRefs(refs []Ref) {
	slices.SortFunc(refs, func(a, b Ref) int { return strings.Compare(a.Name, b.Name) })
}
