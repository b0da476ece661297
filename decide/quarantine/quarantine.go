// Package quarantine limits the damage of a request that crashes the backend
// servers that run it.
//
// A fingerprint that was in flight in a crash is suspect and runs only alone.
// If a server crashes while it runs alone, it is condemned and refused for a
// time; if it completes alone, it is cleared.
//
// # Bound
//
// Let the news of a crash reach every exit within a lag of L. Between two times
// at which a fingerprint is forgotten or cleared, it crashes at most
//
//	2 + (copies that started before L had passed since the first crash)
//	  + (copies that started before L had passed since the first crash alone)
//
// servers: the first crash makes it suspect, the first crash alone condemns it,
// and the other crashes are those of copies that were in flight at one of these
// moments or that an exit started before it had the news. An exit knows of the
// crashes of its own backend servers at once. A condemned fingerprint stays
// suspect for SuspectTime after CondemnTime has passed, so that each further
// round costs one crash and no other request is in flight with it.
//
// # Without the keeper
//
// Each exit applies the crashes that it sees, each process spreads the standings
// that it holds, and what two processes know is joined wherever it meets. So
// suspects and condemned fingerprints stay guarded without the keeper of their
// shard. Only the keeper clears suspects, since the reports of all their crashes
// go to it: while a shard has no keeper, its suspects run alone for longer.
// Standings are lost when every process of the fleet restarts within
// SuspectTime. A process that has just started lacks them until its first
// exchange with a peer.
package quarantine

import "time"

const (
	// CondemnTime is how long a condemned fingerprint is refused. Its caller
	// has time to be corrected, and a wrongly condemned one is back soon.
	CondemnTime = 5 * time.Minute
	// SuspectTime is how long a fingerprint stays suspect after its last crash
	// or after the end of its condemnation.
	SuspectTime = 5 * time.Minute
	// MaxEntries bounds the standings that a process holds, to about 100 KB. A
	// crash names at most as many fingerprints as its server has slots, so this
	// is room for over a hundred crashes within SuspectTime.
	MaxEntries = 1024
)

// Fingerprint identifies requests with the same effect on a backend server; 0
// stands for a request that is not tracked.
type Fingerprint uint64

// Standing is what the fleet knows about a fingerprint.
type Standing uint8

// The standings.
const (
	Clear     Standing = iota // runs beside others
	Suspect                   // runs only alone on a backend server
	Condemned                 // is refused
)

// String returns the name used in logs.
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

// record is the standing of one fingerprint. Records of one generation grow only:
// from clear to suspect to condemned. A clearance begins the next generation, so
// that processes end with the same record in whatever order they hear of it.
type record struct {
	version  uint64 // the generation, from 1
	standing Standing
	alone    bool   // a crash happened while it ran alone as a suspect
	crash    uint64 // identifier of the last crash
	until    time.Time
}

// lifetime returns how long a record of a standing is kept. A cleared one is
// kept as long as a suspect, so that it outlives the older records that slower
// peers still spread.
func (s Standing) lifetime() time.Duration {
	if s == Condemned {
		return CondemnTime + SuspectTime
	}
	return SuspectTime
}

// at returns the standing at a moment.
func (r record) at(now time.Time) Standing {
	left := r.until.Sub(now)
	switch {
	case left <= 0:
		return Clear
	case r.standing == Condemned && left <= SuspectTime:
		return Suspect
	}
	return r.standing
}

// same tells whether two records say the same, whenever they end.
func (r record) same(other record) bool {
	r.until = other.until
	return r == other
}

// merge returns what two records of one fingerprint say together. The stricter
// standing of the later generation counts; two crashes, one of them alone,
// condemn.
func (r record) merge(now time.Time, other record) record {
	if r.version != other.version {
		if r.version > other.version {
			return r
		}
		return other
	}
	merged := r
	if other.standing > r.standing {
		merged = other
	}
	if r.standing == other.standing && other.crash > r.crash {
		merged.until = other.until
	}
	merged.alone = r.alone || other.alone
	merged.crash = max(r.crash, other.crash)
	if merged.standing == Suspect && other.standing == r.standing && r.crash != other.crash && merged.alone {
		merged.condemn(now)
	}
	return merged
}

func (r *record) condemn(now time.Time) {
	r.standing = Condemned
	r.until = now.Add(Condemned.lifetime())
}
