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

// Stamp identifies one document by its version and the digest of its refs. Stamps
// are ordered by version, then by digest, so that the fleet converges to one
// document even if two have the same version.
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

// ManifestRequest asks a peer for the stamp of its document and, if that document
// is newer, for the differences from Have.
type ManifestRequest struct {
	Seq  uint64 `json:"s"` // request ID; the reply repeats it
	Have Stamp  `json:"h"`
}

// NeverConfirmed is the AgeMS of a process that has not received a confirmation.
const NeverConfirmed int64 = -1

// Manifest describes a document. A reply about a document that is not newer than
// the requester's contains only the stamp and the age.
type Manifest struct {
	Stamp
	Seq     uint64   `json:"s,omitempty"` // Seq of the request that this answers
	AgeMS   int64    `json:"a"`           // age of the sender's confirmation in ms, or NeverConfirmed
	Base    Stamp    `json:"b,omitzero"`  // if set, Parts and Removed are the changes since Base
	Parts   []Ref    `json:"p,omitempty"` // sorted by name
	Removed []string `json:"r,omitempty"`
}

// WantedPart identifies one requested part. Have is the digest of the requester's
// current copy of the part, "" if it has none. It lets the peer send only the
// changed bytes.
type WantedPart struct {
	Name   string `json:"n"`
	Digest string `json:"d"`
	Have   string `json:"h,omitempty"`
}

// PartsRequest requests parts from a peer.
type PartsRequest struct {
	Wants []WantedPart `json:"w"`
}

// Part is one part of a document. If Base is set, the part is a delta against the
// copy with the digest Base: Edits are applied to it if there are any, otherwise
// Bytes replaces everything between its first Prefix and its last Suffix bytes.
type Part struct {
	Name   string `json:"n"`
	Digest string `json:"d"`
	Base   string `json:"b,omitempty"`
	Prefix int    `json:"x,omitempty"` // bytes
	Suffix int    `json:"y,omitempty"` // bytes
	Bytes  []byte `json:"c,omitempty"`
	Edits  []Edit `json:"e,omitempty"`
}

// Parts is the reply to a PartsRequest. It omits parts that the peer does not have
// and parts that would make it exceed MaxReplyBytes.
type Parts struct {
	Parts []Part `json:"p"`
}

// Announcement informs peers that the sender has put a document in force.
type Announcement struct {
	Stamp
}

// DigestOf returns the digest of a part's bytes: the 64-bit xxhash in hexadecimal.
// It detects mismatched copies but does not protect against forgery; only fleet
// members send parts.
func DigestOf(b []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(b))
}

// StampOf returns the stamp of the document with the given version and refs. The
// order of the refs does not matter.
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
