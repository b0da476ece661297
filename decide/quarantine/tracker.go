package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minEntryTTL is the minimum TTL of entries that are gossiped and accepted. Two
// processes expire an entry some milliseconds apart. Without a minimum, the one that
// expires it later would send it back to the other again and again.
const minEntryTTL = time.Second

// Tracker holds the standings of fingerprints. Leaders use it to decide and all
// processes use it to store the decisions. It must be used from one goroutine only.
type Tracker struct {
	records map[Fingerprint]record
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[Fingerprint]record)}
}

// Standing returns the standing of a fingerprint.
func (t *Tracker) Standing(now time.Time, f Fingerprint) Standing {
	return t.records[f].standingAt(now)
}

// OnReport applies a report. It returns the changed entry, and false if nothing
// changed.
func (t *Tracker) OnReport(now time.Time, r Report) (Entry, bool) {
	switch {
	case r.Fingerprint == 0:
		return Entry{}, false
	case r.Completed:
		return t.OnCompletedAlone(now, r)
	}
	return t.onCrash(now, r)
}

// OnCrash applies a crash to all the fingerprints that were in flight on the server
// and returns the entries that changed.
func (t *Tracker) OnCrash(now time.Time, id uint64, inFlight []Fingerprint) []Entry {
	var changed []Entry
	for _, f := range inFlight {
		if e, ok := t.OnReport(now, Report{CrashID: id, Fingerprint: f}); ok {
			changed = append(changed, e)
		}
	}
	return changed
}

// onCrash makes a fingerprint suspect, and blocks it after two crashes of which one
// happened while it ran alone. The exit proxy that ran it alone may know of the earlier
// crash from a record that this tracker does not have yet.
func (t *Tracker) onCrash(now time.Time, r Report) (Entry, bool) {
	old := t.records[r.Fingerprint]
	standing := old.standingAt(now)
	if standing == Blocked || (standing == Suspect && old.crashID == r.CrashID) {
		return Entry{}, false
	}
	next := record{generation: max(old.generation, r.Generation, 1), standing: Suspect, crashedAlone: r.RanAlone, crashID: r.CrashID}
	next.expires = now.Add(next.standing.lifetime())
	switch {
	case old.standing == Blocked && standing == Suspect:
		next.generation++ // distinguishes a new block from the one that ended
		next.block(now)
	case r.RanAlone && r.Generation > 0:
		next.block(now)
	case standing == Suspect:
		next = old.merge(now, next)
	}
	return t.store(now, r.Fingerprint, next), true
}

// OnCompletedAlone clears a suspect that completed alone. It stays suspect if it had a
// crash that the exit proxy did not know of when the request started. OnCompletedAlone
// returns false if nothing changed.
func (t *Tracker) OnCompletedAlone(now time.Time, r Report) (Entry, bool) {
	old := t.records[r.Fingerprint]
	if old.standingAt(now) != Suspect || old.generation != r.Generation || old.crashID != r.CrashID {
		return Entry{}, false
	}
	next := record{generation: old.generation + 1, standing: Clear, crashID: old.crashID, expires: now.Add(Clear.lifetime())}
	return t.store(now, r.Fingerprint, next), true
}

// OnEntry merges an entry received from a peer. It returns the resulting entry, which
// is to be gossiped, and false if the record did not change.
func (t *Tracker) OnEntry(now time.Time, e Entry) (Entry, bool) {
	if e.Fingerprint == 0 || e.Standing > Blocked || e.TTL < minEntryTTL {
		return Entry{}, false
	}
	next := record{generation: e.Generation, standing: e.Standing, crashedAlone: e.CrashedAlone, crashID: e.CrashID}
	next.expires = now.Add(min(e.TTL, e.Standing.lifetime()))
	old, known := t.records[e.Fingerprint]
	if known && now.Before(old.expires) {
		next = old.merge(now, next)
	}
	if known && next.equalExceptExpiry(old) {
		return Entry{}, false
	}
	return t.store(now, e.Fingerprint, next), true
}

// store stores a record and returns its entry. If the tracker is full, it first
// deletes expired records and then, if necessary, the record that expires first among
// those with the least strict standing.
func (t *Tracker) store(now time.Time, f Fingerprint, r record) Entry {
	if _, ok := t.records[f]; !ok && len(t.records) >= MaxEntries {
		t.Expire(now)
		t.evict(now)
	}
	t.records[f] = r
	return r.entry(now, f)
}

func (t *Tracker) evict(now time.Time) {
	if len(t.records) < MaxEntries {
		return
	}
	var victim Fingerprint
	var least record
	for f, r := range t.records {
		if victim == 0 || evictBefore(now, r, least) {
			victim, least = f, r
		}
	}
	delete(t.records, victim)
}

func evictBefore(now time.Time, a, b record) bool {
	if a.standingAt(now) != b.standingAt(now) {
		return a.standingAt(now) < b.standingAt(now)
	}
	return a.expires.Before(b.expires)
}

func (r record) entry(now time.Time, f Fingerprint) Entry {
	return Entry{
		Fingerprint:  f,
		Standing:     r.standing,
		CrashedAlone: r.crashedAlone,
		TTL:          r.expires.Sub(now),
		Generation:   r.generation,
		CrashID:      r.crashID,
	}
}

// Entries returns the entries with a TTL of at least minEntryTTL, sorted by
// fingerprint.
func (t *Tracker) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(t.records))
	for f, r := range t.records {
		if e := r.entry(now, f); e.TTL >= minEntryTTL {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Digest returns a hash of the entries, without their TTLs. It is equal for two
// trackers that hold the same entries.
func (t *Tracker) Digest(now time.Time) uint64 {
	var digest uint64
	for f, r := range t.records {
		if r.expires.Sub(now) >= minEntryTTL {
			digest ^= splitMix64(splitMix64(splitMix64(splitMix64(uint64(f))+r.generation)+r.crashID) + uint64(r.standing)<<1 + boolBit(r.crashedAlone))
		}
	}
	return digest
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Expire deletes expired records and reports whether there were any.
func (t *Tracker) Expire(now time.Time) bool {
	count := len(t.records)
	maps.DeleteFunc(t.records, func(_ Fingerprint, r record) bool { return !now.Before(r.expires) })
	return len(t.records) != count
}

// Snapshot returns an immutable copy of the records.
func (t *Tracker) Snapshot() *Snapshot {
	return &Snapshot{records: maps.Clone(t.records)}
}

// Snapshot is an immutable copy of a tracker's records, which request handlers read
// without a lock. The zero value and nil are empty.
type Snapshot struct {
	records map[Fingerprint]record
}

// Lookup returns what is known about a fingerprint at time now.
func (t *Snapshot) Lookup(now time.Time, f Fingerprint) FingerprintStatus {
	if t == nil || f == 0 {
		return FingerprintStatus{Fingerprint: f}
	}
	r := t.records[f]
	standing := r.standingAt(now)
	if standing == Clear {
		return FingerprintStatus{Fingerprint: f}
	}
	status := FingerprintStatus{Fingerprint: f, Standing: standing, Generation: r.generation, CrashID: r.crashID}
	if standing == Blocked {
		status.RejectedFor = r.expires.Sub(now) - SuspectDuration
	}
	return status
}

// Counts returns the numbers of suspect and of blocked fingerprints.
func (t *Snapshot) Counts(now time.Time) (suspects, blocked int) {
	if t == nil {
		return 0, 0
	}
	for _, r := range t.records {
		switch r.standingAt(now) {
		case Suspect:
			suspects++
		case Blocked:
			blocked++
		}
	}
	return suspects, blocked
}
