package spread

import (
	"bytes"
	"slices"
)

// Edit replaces the bytes of a copy from an offset on.
type Edit struct {
	At    int    `json:"o"` // bytes
	Bytes []byte `json:"c"`
}

const (
	// editGap is the number of equal bytes up to which two edits are sent as one:
	// the frame of an edit takes about as many.
	editGap = 16
	// maxEdits bounds the edits of one part. A manifest that names one changed
	// part has a few; more changes are better sent as one range.
	maxEdits = 32
)

// editsBetween returns the edits that turn old into a content of the same
// length; ok is false when they are too many or the lengths differ.
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

// editEnd returns the end of the edit that begins at an offset: the first byte
// after which more than editGap bytes are equal.
func editEnd(old, content []byte, at int) int {
	end := at + 1
	for i := end; i < len(content) && i-end <= editGap; i++ {
		if old[i] != content[i] {
			end = i + 1
		}
	}
	return end
}

// applyEdits returns the copy with the edits; ok is false when one lies outside
// of it.
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
