// Package crashcount detects requests that crash the backend servers that execute
// them. Every process counts the crashes during which a request fingerprint was in
// flight. After BlockThreshold distinct crashes the fingerprint is blocked for
// BlockDuration.
package crashcount

import "time"

const (
	// BlockThreshold is the number of crashes after which a fingerprint is
	// blocked. A request that happened to be in flight during one or two crashes
	// caused by others is still served.
	BlockThreshold = 3
	// CrashWindow is the time without a new crash after which the crashes of an
	// unblocked fingerprint are forgotten. A request that crashes servers is
	// repeated within seconds.
	CrashWindow = time.Minute
	// BlockDuration is how long a fingerprint is blocked after its last crash.
	BlockDuration = 2 * time.Minute
	// maxFingerprints limits the fingerprints in memory, at 16 bytes and a few
	// crash identifiers each.
	maxFingerprints = 4096
)

// Fingerprint identifies requests with the same effect. The value 0 is ignored.
type Fingerprint uint64

// Counter counts crashes by fingerprint. It is not safe for concurrent use.
type Counter struct {
	records map[Fingerprint]*crashRecord
}

// crashRecord holds the distinct crashes of one fingerprint.
type crashRecord struct {
	crashIDs  []uint64
	lastCrash time.Time
}

// New returns an empty counter.
func New() *Counter {
	return &Counter{records: make(map[Fingerprint]*crashRecord)}
}

// Add counts a crash for the fingerprints that were in flight. It returns the newly
// blocked fingerprints. Repeated reports of the same crash count once.
func (c *Counter) Add(now time.Time, crashID uint64, inFlight []Fingerprint) []Fingerprint {
	c.removeExpired(now)
	var blocked []Fingerprint
	for _, f := range inFlight {
		if f != 0 && c.addCrash(now, crashID, f) {
			blocked = append(blocked, f)
		}
	}
	return blocked
}

// addCrash reports whether the crash caused the fingerprint to be blocked.
func (c *Counter) addCrash(now time.Time, crashID uint64, f Fingerprint) bool {
	r := c.records[f]
	if r == nil {
		if len(c.records) >= maxFingerprints {
			return false
		}
		r = &crashRecord{}
		c.records[f] = r
	}
	for _, known := range r.crashIDs {
		if known == crashID {
			return false
		}
	}
	r.lastCrash = now
	r.crashIDs = append(r.crashIDs, crashID)
	return len(r.crashIDs) == BlockThreshold
}

// Blocked returns the currently blocked fingerprints and when each block ends.
func (c *Counter) Blocked(now time.Time) map[Fingerprint]time.Time {
	c.removeExpired(now)
	blocked := make(map[Fingerprint]time.Time)
	for f, r := range c.records {
		if len(r.crashIDs) >= BlockThreshold {
			blocked[f] = r.lastCrash.Add(BlockDuration)
		}
	}
	return blocked
}

func (c *Counter) removeExpired(now time.Time) {
	for f, r := range c.records {
		maxAge := CrashWindow
		if len(r.crashIDs) >= BlockThreshold {
			maxAge = BlockDuration
		}
		if now.Sub(r.lastCrash) > maxAge {
			delete(c.records, f)
		}
	}
}
