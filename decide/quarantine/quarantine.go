// Package quarantine limits the damage of requests that crash backend servers.
//
// Requests with the same effect have the same fingerprint. A fingerprint that was in
// flight when a server crashed becomes suspect: it runs only alone on a server. If a
// server crashes while a suspect runs alone, the fingerprint is blocked: its
// requests are rejected for BlockDuration. If a suspect completes alone, it is
// cleared.
//
// An exit proxy is a process that forwards requests to backend servers. The leader of a
// shard is the process that decides about the shard's fingerprints.
//
// # Bound on crashes
//
// Assume that every exit proxy learns of a crash within a delay L. Between two times at
// which its record expires or is cleared, a fingerprint crashes at most
//
//	2 + (copies that started less than L after the first crash)
//	  + (copies that started less than L after the first crash alone)
//
// servers. The first crash makes it suspect and the first crash alone blocks it. The
// other crashes are caused by copies that were in flight at one of these moments or
// that an exit proxy started before it learned of the crash. An exit proxy learns of
// the crashes of its own backend servers at once. After BlockDuration, a blocked
// fingerprint stays suspect for SuspectDuration. Each further block therefore costs one
// crash, with no other request in flight.
//
// # Shards without a leader
//
// Each exit proxy applies the crashes that it observes, each process gossips its
// entries, and records of the same fingerprint are merged. Suspect and blocked
// fingerprints are therefore still isolated and rejected while their shard has no
// leader. Only the leader clears suspects, since all reports of their crashes are sent
// to it; without it, suspects run alone for longer.
//
// Standings are lost if all processes of the fleet restart within SuspectDuration. A
// process that has just started has none until its first exchange with a peer.
package quarantine

import "time"

const (
	// BlockDuration is how long a blocked fingerprint is rejected. It is long
	// enough to fix the caller, and short in case the fingerprint was blocked by
	// mistake.
	BlockDuration = 5 * time.Minute
	// SuspectDuration is how long a fingerprint stays suspect after its last crash or
	// after BlockDuration.
	SuspectDuration = 5 * time.Minute
	// MaxEntries limits the records of a process, to about 100 KB. A crash affects at
	// most as many fingerprints as the server has slots, so this is enough for over a
	// hundred crashes within SuspectDuration.
	MaxEntries = 1024
)

// Fingerprint identifies requests with the same effect on a backend server. 0 is used
// for requests that are not tracked.
type Fingerprint uint64

// Standing is the quarantine state of a fingerprint.
type Standing uint8

// The standings.
const (
	Clear   Standing = iota // runs alongside other requests
	Suspect                 // runs only alone on a backend server
	Blocked                 // is rejected
)

// String returns the name that logs and metrics use. A blocked fingerprint is
// "condemned" there.
func (s Standing) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	default:
		return "condemned"
	}
}

// record is the stored standing of one fingerprint. Within a generation, the standing
// only gets stricter: from clear to suspect to blocked. Clearing starts the next
// generation. Processes therefore converge to the same record whatever the order of
// messages.
type record struct {
	generation   uint64 // starts at 1
	standing     Standing
	crashedAlone bool   // it crashed a server while it ran alone
	crashID      uint64 // identifier of the last crash
	expires      time.Time
}

// lifetime returns how long a record with this standing is kept. A cleared record is
// kept as long as a suspect one, so that it outlives older records that slower peers
// still gossip.
func (s Standing) lifetime() time.Duration {
	if s == Blocked {
		return BlockDuration + SuspectDuration
	}
	return SuspectDuration
}

// standingAt returns the standing at time now. A blocked record is suspect for the
// last SuspectDuration of its lifetime.
func (r record) standingAt(now time.Time) Standing {
	left := r.expires.Sub(now)
	switch {
	case left <= 0:
		return Clear
	case r.standing == Blocked && left <= SuspectDuration:
		return Suspect
	}
	return r.standing
}

// equalExceptExpiry reports whether two records are equal, apart from their expiry.
func (r record) equalExceptExpiry(other record) bool {
	r.expires = other.expires
	return r == other
}

// merge combines two records of one fingerprint. The later generation wins. Within a
// generation the stricter standing wins, and two suspect records of different crashes
// block the fingerprint if one of them was a crash alone.
func (r record) merge(now time.Time, other record) record {
	if r.generation != other.generation {
		if r.generation > other.generation {
			return r
		}
		return other
	}
	merged := r
	if other.standing > r.standing {
		merged = other
	}
	if r.standing == other.standing && other.crashID > r.crashID {
		merged.expires = other.expires
	}
	merged.crashedAlone = r.crashedAlone || other.crashedAlone
	merged.crashID = max(r.crashID, other.crashID)
	if merged.standing == Suspect && other.standing == r.standing && r.crashID != other.crashID && merged.crashedAlone {
		merged.block(now)
	}
	return merged
}

func (r *record) block(now time.Time) {
	r.standing = Blocked
	r.expires = now.Add(Blocked.lifetime())
}
