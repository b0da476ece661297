package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minLeft is the least remaining time with which an entry is spread and
// accepted. Clocks of two processes end an entry some milliseconds apart;
// without this, the later one would hand it back to the earlier one again and
// again.
const minLeft = time.Second

// Tracker holds the standings of fingerprints. Keepers decide with it, and all
// processes hold with it what was decided. One goroutine owns it.
type Tracker struct {
	records map[Fingerprint]record
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[Fingerprint]record)}
}

// State returns the standing of a fingerprint.
func (t *Tracker) State(now time.Time, f Fingerprint) Standing {
	return t.records[f].at(now)
}

// OnReport records a report. It returns false when nothing changed.
func (t *Tracker) OnReport(now time.Time, r Report) (Entry, bool) {
	if r.Fingerprint == 0 {
		return Entry{}, false
	}
	if r.Crash == 0 {
		return t.OnClean(now, r.Fingerprint, r.Version)
	}
	return t.onCrash(now, r)
}

// OnCrash records a crash with all the fingerprints that were in flight beside
// each other on the server and returns the entries that changed.
func (t *Tracker) OnCrash(now time.Time, id uint64, inFlight []Fingerprint) []Entry {
	var changed []Entry
	for _, f := range inFlight {
		if e, ok := t.OnReport(now, Report{Crash: id, Fingerprint: f}); ok {
			changed = append(changed, e)
		}
	}
	return changed
}

// onCrash condemns a fingerprint with two crashes of which one happened while it
// ran alone. The exit that ran it alone may know of the earlier crash from a
// record that this tracker does not have yet.
func (t *Tracker) onCrash(now time.Time, r Report) (Entry, bool) {
	old := t.records[r.Fingerprint]
	standing := old.at(now)
	if old.crash == r.Crash || standing == Condemned {
		return Entry{}, false
	}
	earlier := standing == Suspect || r.Version > 0
	alone := r.Alone || (standing == Suspect && old.alone)
	next := record{standing: Suspect, alone: alone, crash: r.Crash, version: max(old.version, r.Version) + 1}
	if earlier && alone {
		next.standing = Condemned
	}
	return t.set(now, r.Fingerprint, next), true
}

// OnClean records that a fingerprint completed alone, in a run that started
// under the given version. A crash since then keeps it suspect. It returns false
// when nothing changed.
func (t *Tracker) OnClean(now time.Time, f Fingerprint, version uint64) (Entry, bool) {
	old := t.records[f]
	if old.at(now) != Suspect || old.version != version {
		return Entry{}, false
	}
	return t.set(now, f, record{standing: Clear, crash: old.crash, version: version + 1}), true
}

func (t *Tracker) set(now time.Time, f Fingerprint, r record) Entry {
	r.until = now.Add(r.standing.lifetime())
	t.put(now, f, r)
	return r.entry(now, f)
}

// OnEntry takes in an entry that a peer spread. It returns false when the
// tracker knew it or knows better.
func (t *Tracker) OnEntry(now time.Time, e Entry) bool {
	if e.Fingerprint == 0 || e.Standing > Condemned || e.Left < minLeft {
		return false
	}
	next := record{standing: e.Standing, alone: e.Alone, version: e.Version, crash: e.Crash}
	next.until = now.Add(min(e.Left, e.Standing.lifetime()))
	if old, ok := t.records[e.Fingerprint]; ok && !next.follows(old) {
		return false
	}
	t.put(now, e.Fingerprint, next)
	return true
}

// put stores a record. A full tracker first forgets what ended, then the record
// of the least strict standing that ends first.
func (t *Tracker) put(now time.Time, f Fingerprint, r record) {
	if _, ok := t.records[f]; !ok && len(t.records) >= MaxEntries {
		t.Expire(now)
		t.evict(now)
	}
	t.records[f] = r
}

func (t *Tracker) evict(now time.Time) {
	if len(t.records) < MaxEntries {
		return
	}
	var victim Fingerprint
	var least record
	for f, r := range t.records {
		if victim == 0 || before(now, r, least) {
			victim, least = f, r
		}
	}
	delete(t.records, victim)
}

func before(now time.Time, a, b record) bool {
	if a.at(now) != b.at(now) {
		return a.at(now) < b.at(now)
	}
	return a.until.Before(b.until)
}

func (r record) entry(now time.Time, f Fingerprint) Entry {
	return Entry{
		Fingerprint: f,
		Standing:    r.standing,
		Alone:       r.alone,
		Left:        r.until.Sub(now),
		Version:     r.version,
		Crash:       r.crash,
	}
}

// Entries returns all entries in force, sorted by fingerprint.
func (t *Tracker) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(t.records))
	for f, r := range t.records {
		if e := r.entry(now, f); e.Left >= minLeft {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Digest is equal for two trackers that hold the same entries.
func (t *Tracker) Digest(now time.Time) uint64 {
	var digest uint64
	for f, r := range t.records {
		if r.until.Sub(now) >= minLeft {
			digest ^= mix(mix(mix(uint64(f))+r.version) + uint64(r.standing)<<1 + boolBit(r.alone))
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

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Expire forgets records that have ended and tells whether there were any.
func (t *Tracker) Expire(now time.Time) bool {
	count := len(t.records)
	maps.DeleteFunc(t.records, func(_ Fingerprint, r record) bool { return !now.Before(r.until) })
	return len(t.records) != count
}

// Table returns an immutable copy for traffic.
func (t *Tracker) Table() *Table {
	return &Table{records: maps.Clone(t.records)}
}

// Table holds standings for traffic, which reads it without a lock. The zero
// value and nil hold none.
type Table struct {
	records map[Fingerprint]record
}

// Subject returns the standing of a fingerprint at the moment of use with the
// version of its record.
func (t *Table) Subject(now time.Time, f Fingerprint) Subject {
	if t == nil || f == 0 {
		return Subject{Fingerprint: f}
	}
	r := t.records[f]
	return Subject{Fingerprint: f, Standing: r.at(now), Version: r.version}
}

// Counts returns how many fingerprints are suspect and condemned.
func (t *Table) Counts(now time.Time) (suspects, condemned int) {
	if t == nil {
		return 0, 0
	}
	for _, r := range t.records {
		switch r.at(now) {
		case Suspect:
			suspects++
		case Condemned:
			condemned++
		}
	}
	return suspects, condemned
}
