// Package quarantine limits the damage of a request that crashes the backend
// servers that run it.
//
// A fingerprint that was in flight in a crash is suspect and runs only alone.
// If a server crashes while it runs alone, it is condemned and refused for a
// time; if it completes alone, it is cleared. So at most one more server
// crashes, beside those that ran copies already, and the requests that were in
// flight by chance recover.
package quarantine

import "time"

// Fingerprint identifies requests with the same effect on a backend server.
type Fingerprint uint64

// Standing is what the fleet knows about a fingerprint.
type Standing uint8

// The standings.
const (
	Clear     Standing = iota // runs beside others
	Suspect                   // runs only alone on a backend server
	Condemned                 // is refused
)

// Crash is the part of a crash that concerns one fingerprint. It goes to the
// keeper of the fingerprint's shard.
type Crash struct {
	ID          uint64      `json:"i"` // the same in every copy of the report of one crash
	Fingerprint Fingerprint `json:"f"`
	Alone       bool        `json:"a,omitempty"` // nothing else was in flight
}

// Entry is the standing of one fingerprint, as keepers spread it.
type Entry struct {
	Fingerprint Fingerprint   `json:"f"`
	Standing    Standing      `json:"s"`
	Left        time.Duration `json:"t"` // until the standing ends
	// Version orders the entries of one fingerprint.
	Version uint64 `json:"v"`
}

// Tracker holds the standings of fingerprints. Keepers decide with it and all
// processes hold what the keepers spread.
type Tracker struct{}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{} }

// OnCrash records a crash with all the fingerprints that were in flight on the
// server and returns the entries that changed.
func (t *Tracker) OnCrash(now time.Time, id uint64, inFlight []Fingerprint) []Entry { return nil }

// OnReport records the part of a crash that concerns one fingerprint. It
// returns false when nothing changed.
func (t *Tracker) OnReport(now time.Time, c Crash) (Entry, bool) { return Entry{}, false }

// OnClean records that a fingerprint completed alone. It returns false when
// nothing changed.
func (t *Tracker) OnClean(now time.Time, f Fingerprint) (Entry, bool) { return Entry{}, false }

// OnEntry takes in an entry that a keeper spread. It returns false when the
// tracker knew it or knows better.
func (t *Tracker) OnEntry(now time.Time, e Entry) bool { return false }

// State returns the standing of a fingerprint.
func (t *Tracker) State(now time.Time, f Fingerprint) Standing { return Clear }

// Entries returns all entries in force, sorted by fingerprint.
func (t *Tracker) Entries(now time.Time) []Entry { return nil }

// Expire forgets entries that have ended.
func (t *Tracker) Expire(now time.Time) {}

// Split returns the crash as one part for each fingerprint.
func Split(id uint64, inFlight []Fingerprint) []Crash { return nil }

// Admission is whether a request may start on a backend server.
type Admission uint8

// The admissions.
const (
	Start  Admission = iota // start now
	Wait                    // ask again when a request ends
	Refuse                  // not run: the fingerprint is condemned
)

// Gate keeps suspects alone on one backend server and notices when that server
// crashes. The server's dispatcher owns it.
type Gate struct{}

// End is how a request on a backend server ended.
type End uint8

// The ends.
const (
	Answered End = iota // the whole answer, whatever its status
	Cut                 // the connection was reset or closed before the end
	Other               // timeout, canceled by the caller
)

// Enter asks to start a request.
func (g *Gate) Enter(f Fingerprint, s Standing) Admission { return Start }

// Leave records the end of a request. clean is true when a suspect completed
// alone. crash lists what was in flight when the server crashed, nil if it did
// not.
func (g *Gate) Leave(now time.Time, f Fingerprint, end End) (clean bool, crash []Fingerprint) {
	return false, nil
}

// OnRefused records that the server refused a new connection. It returns what
// was in flight when the server crashed, nil if it did not.
func (g *Gate) OnRefused(now time.Time) (crash []Fingerprint) { return nil }
