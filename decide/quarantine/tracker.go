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
	switch {
	case r.Fingerprint == 0:
		return Entry{}, false
	case r.Clean:
		return t.OnClean(now, r)
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
	if standing == Condemned || (standing == Suspect && old.crash == r.Crash) {
		return Entry{}, false
	}
	next := record{version: max(old.version, r.Version, 1), standing: Suspect, alone: r.Alone, crash: r.Crash}
	next.until = now.Add(next.standing.lifetime())
	switch {
	case old.standing == Condemned && standing == Suspect:
		next.version++ // a further condemnation must be told from the one that ended
		next.condemn(now)
	case r.Alone && r.Version > 0:
		next.condemn(now)
	case standing == Suspect:
		next = old.merge(now, next)
	}
	return t.put(now, r.Fingerprint, next), true
}

// OnClean records that a fingerprint completed alone. A crash of which the exit
// did not know when the request started keeps it suspect. It returns false when
// nothing changed.
func (t *Tracker) OnClean(now time.Time, r Report) (Entry, bool) {
	old := t.records[r.Fingerprint]
	if old.at(now) != Suspect || old.version != r.Version || old.crash != r.Crash {
		return Entry{}, false
	}
	next := record{version: old.version + 1, standing: Clear, crash: old.crash, until: now.Add(Clear.lifetime())}
	return t.put(now, r.Fingerprint, next), true
}

// OnEntry takes in an entry that a peer spread. It returns the entry to pass on,
// and false when the tracker knew it or knows better.
func (t *Tracker) OnEntry(now time.Time, e Entry) (Entry, bool) {
	if e.Fingerprint == 0 || e.Standing > Condemned || e.Left < minLeft {
		return Entry{}, false
	}
	next := record{version: e.Version, standing: e.Standing, alone: e.Alone, crash: e.Crash}
	next.until = now.Add(min(e.Left, e.Standing.lifetime()))
	old, known := t.records[e.Fingerprint]
	if known && now.Before(old.until) {
		next = old.merge(now, next)
	}
	if known && next.same(old) {
		return Entry{}, false
	}
	return t.put(now, e.Fingerprint, next), true
}

// put stores a record and returns its entry. A full tracker first forgets what
// ended, then the record of the least strict standing that ends first.
func (t *Tracker) put(now time.Time, f Fingerprint, r record) Entry {
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
			digest ^= mix(mix(mix(mix(uint64(f))+r.version)+r.crash) + uint64(r.standing)<<1 + boolBit(r.alone))
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

// Subject returns what is known of a fingerprint at the moment of use.
func (t *Table) Subject(now time.Time, f Fingerprint) Subject {
	if t == nil || f == 0 {
		return Subject{Fingerprint: f}
	}
	r := t.records[f]
	standing := r.at(now)
	if standing == Clear {
		return Subject{Fingerprint: f}
	}
	subject := Subject{Fingerprint: f, Standing: standing, Version: r.version, Crash: r.crash}
	if standing == Condemned {
		subject.Refused = r.until.Sub(now) - SuspectTime
	}
	return subject
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
