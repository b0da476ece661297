package spread

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Guards against edits that do not reproduce the new content when a peer applies
// them to the old one.
func TestEditsRestoreTheContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "old")
		content := bytes.Clone(old)
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			if len(content) > 0 {
				content[rapid.IntRange(0, len(content)-1).Draw(t, "at")] ^= 1
			}
		}
		edits, ok := editsBetween(old, content)
		if !ok {
			t.Fatal("no edits for a few changed bytes")
		}
		restored, ok := applyEdits(old, edits)
		if !ok || !bytes.Equal(restored, content) {
			t.Fatalf("restored %x from %v, want %x", restored, edits, content)
		}
	})
}

// Guards against sending all bytes between two small changes that are far apart.
// This is the usual case for a manifest: the version at its start and the digest of
// one part change together.
func TestDistantChangesAreSentApart(t *testing.T) {
	old := bytes.Repeat([]byte("a"), 1000)
	content := bytes.Clone(old)
	content[3], content[900] = 'b', 'b'
	edits, ok := editsBetween(old, content)
	if !ok || len(edits) != 2 || len(edits[0].Bytes)+len(edits[1].Bytes) != 2 {
		t.Errorf("edits %v, want two of one byte", edits)
	}
	if _, ok := applyEdits(old[:100], edits); ok {
		t.Error("an edit beyond the end of the base was applied")
	}
}
