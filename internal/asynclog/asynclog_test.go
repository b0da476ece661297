package asynclog

import (
	"bytes"
	"testing"
)

// Guards against a process that panics, or loses queued lines, because a request ends while the process exits.
func TestWriteAfterCloseIsHarmless(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for range 100 {
		_, _ = w.Write([]byte("queued\n"))
	}
	w.Close()
	if n, err := w.Write([]byte("late\n")); n != 5 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	if lines := bytes.Count(out.Bytes(), []byte("\n")); lines != 100 {
		t.Errorf("%d of 100 lines were written", lines)
	}
}
