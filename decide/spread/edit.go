package spread

import (
	"bytes"
	"slices"
)

// Edit overwrites bytes of a part's earlier copy, starting at offset At.
type Edit struct {
	At    int    `json:"o"` // bytes
	Bytes []byte `json:"c"`
}

const (
	// maxMergeGap is the largest run of unchanged bytes between two edits that are
	// merged into one: the encoding of a separate edit costs about as many.
	maxMergeGap = 16
	// maxEdits is the maximum number of edits for one part. A part that changed in
	// more places is smaller when sent as one range. A manifest in which one part
	// changed needs only a few edits.
	maxEdits = 32
)

// editsBetween returns the edits that turn old into content. ok is false if the
// lengths differ or if more than maxEdits are needed.
func editsBetween(old, content []byte) (edits []Edit, ok bool) {
	if len(old) != len(content) {
		return nil, false
	}
	for at := commonPrefix(old, content); at < len(content); {
		end := editEnd(old, content, at)
		edits = append(edits, Edit{At: at, Bytes: bytes.Clone(content[at:end])})
		if len(edits) > maxEdits {
			return nil, false
		}
		at = end + commonPrefix(old[end:], content[end:])
	}
	return edits, true
}

// editEnd returns the end offset of the edit that begins at the given offset. More
// than maxMergeGap equal bytes, or the rest of the content, follow it unchanged.
func editEnd(old, content []byte, at int) int {
	end := at + 1
	for i := end; i < len(content) && i-end <= maxMergeGap; i++ {
		if old[i] != content[i] {
			end = i + 1
		}
	}
	return end
}

// applyEdits returns a copy of base with the edits applied. ok is false if an edit
// is out of range.
func applyEdits(base []byte, edits []Edit) (content []byte, ok bool) {
	content = slices.Clone(base)
	for _, e := range edits {
		if e.At < 0 || e.At > len(content)-len(e.Bytes) {
			return nil, false
		}
		copy(content[e.At:], e.Bytes)
	}
	return content, true
}
