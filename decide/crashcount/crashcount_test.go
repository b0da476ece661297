package crashcount

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a crashing request that is never blocked, and against counting a
// crash twice if it is reported twice.
func TestThirdDistinctCrashBlocks(t *testing.T) {
	c := New()
	c.Add(start, 1, []Fingerprint{7, 8})
	c.Add(start, 1, []Fingerprint{7})
	if blocked := c.Add(start.Add(time.Second), 2, []Fingerprint{7}); len(blocked) != 0 {
		t.Fatalf("blocked after two crashes: %v", blocked)
	}
	if blocked := c.Add(start.Add(2*time.Second), 3, []Fingerprint{7, 9}); len(blocked) != 1 || blocked[0] != 7 {
		t.Fatalf("blocked %v after the third crash, want only 7", blocked)
	}
	if blocked := c.Blocked(start.Add(3 * time.Second)); len(blocked) != 1 {
		t.Errorf("blocked %v, want one fingerprint", blocked)
	}
}

// Guards against fingerprints that stay blocked, or in memory, permanently.
func TestBlocksAndCrashesExpire(t *testing.T) {
	c := New()
	for crash := range uint64(3) {
		c.Add(start, crash, []Fingerprint{7})
	}
	c.Add(start, 9, []Fingerprint{5})
	if blocked := c.Blocked(start.Add(BlockDuration + time.Second)); len(blocked) != 0 {
		t.Errorf("still blocked: %v", blocked)
	}
	if len(c.records) != 0 {
		t.Errorf("%d records remain", len(c.records))
	}
}
