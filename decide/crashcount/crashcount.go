// Package crashcount blocks requests that crash the backend servers that run
// them. Every process counts the crashes in which a fingerprint was in flight;
// at Threshold distinct crashes the fingerprint is refused for BlockTime.
package crashcount

import "time"

const (
	// Threshold is the number of crashes that block a fingerprint. A request that
	// happened to be in flight in one or two crashes of others stays served.
	Threshold = 3
	// Memory is how long a crash counts. A request that crashes servers comes
	// again within seconds.
	Memory = time.Minute
	// BlockTime is how long a fingerprint is refused after its last crash.
	BlockTime = 2 * time.Minute
	// maxTracked bounds the fingerprints in memory: 16 bytes and a few crashes each.
	maxTracked = 4096
)

// Fingerprint identifies requests with the same effect; 0 is not counted.
type Fingerprint uint64

// Counter counts crashes. One goroutine owns it.
type Counter struct {
	records map[Fingerprint]*record
}

type record struct {
	crashes []uint64
	last    time.Time
}

// New returns an empty counter.
func New() *Counter {
	return &Counter{records: make(map[Fingerprint]*record)}
}

// Add counts a crash with the fingerprints that were in flight. It returns those
// that became blocked by it.
func (c *Counter) Add(now time.Time, crash uint64, inFlight []Fingerprint) []Fingerprint {
	c.expire(now)
	var blocked []Fingerprint
	for _, f := range inFlight {
		if f != 0 && c.add(now, crash, f) {
			blocked = append(blocked, f)
		}
	}
	return blocked
}

func (c *Counter) add(now time.Time, crash uint64, f Fingerprint) bool {
	r := c.records[f]
	if r == nil {
		if len(c.records) >= maxTracked {
			return false
		}
		r = &record{}
		c.records[f] = r
	}
	for _, known := range r.crashes {
		if known == crash {
			return false
		}
	}
	r.last = now
	r.crashes = append(r.crashes, crash)
	return len(r.crashes) == Threshold
}

// Blocked returns the fingerprints that are refused now.
func (c *Counter) Blocked(now time.Time) map[Fingerprint]time.Time {
	c.expire(now)
	blocked := make(map[Fingerprint]time.Time)
	for f, r := range c.records {
		if len(r.crashes) >= Threshold {
			blocked[f] = r.last.Add(BlockTime)
		}
	}
	return blocked
}

func (c *Counter) expire(now time.Time) {
	for f, r := range c.records {
		keep := Memory
		if len(r.crashes) >= Threshold {
			keep = BlockTime
		}
		if now.Sub(r.last) > keep {
			delete(c.records, f)
		}
	}
}
