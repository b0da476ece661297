// Package lease gives each shard at most one keeper at a time without stored
// state. Witnesses promise a shard to one candidate for a short term and keep
// the promises only in memory; a candidate keeps the shard while a quorum of
// promises is unexpired. Leases with bounded clock drift follow Gray and
// Cheriton, "Leases" (1989).
package lease

import "time"

const (
	// Term is the time that a witness keeps a promise, from its receipt.
	Term = 2 * time.Second

	// HoldTime is the time that a candidate counts on a promise, from the moment
	// it sent the request. It is 2% shorter than Term, so that the promise
	// outlasts it while clock rates differ by less than 2%.
	HoldTime = Term - Term/50

	// StartSilence is the time after its start during which a witness promises
	// nothing, since its predecessor on the host may have promised. The 2%
	// covers the clock of a replaced host.
	StartSilence = Term + Term/50

	// RenewInterval is the time between two asks of a keeper.
	RenewInterval = Term / 4

	// MinTenure is the time between the start of a tenure and the earliest start
	// of the next one by another candidate. It exceeds the life of a quota grant
	// with two drift margins (1 s * 1.02 * 1.02), so that grants of at most one
	// earlier tenure are outstanding when a tenure starts.
	MinTenure = 1050 * time.Millisecond

	// ReserveTime is the time for which a witness keeps a released shard free
	// for the successor that the release names.
	ReserveTime = RenewInterval

	// InviteRetry is the time between two asks for a shard that is handed over:
	// a few round trips between zones.
	InviteRetry = 20 * time.Millisecond

	// MaxWitnesses is the number of witnesses of a shard in a large fleet.
	MaxWitnesses = 9

	// CandidateRanks is the number of ranks that ask for a shard.
	CandidateRanks = 5
)

// CandidateID names one run of a process. A restarted process is another
// candidate, because it has forgotten what it granted.
type CandidateID struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Drop gives up one shard at one witness.
type Drop struct {
	Shard uint32 `json:"shard"`
	To    string `json:"to,omitempty"` // host of the successor, "" to leave it open
}

// PromiseRequest carries all shards that one candidate asks of one witness.
type PromiseRequest struct {
	Witness   string      `json:"witness"` // host that the message goes to
	Candidate CandidateID `json:"candidate"`
	// Sent is the time since the candidate's start, strictly increasing for each
	// candidate. The reply repeats it.
	Sent   time.Duration `json:"sent"`
	Shards []uint32      `json:"shards,omitempty"`
	Drops  []Drop        `json:"drops,omitempty"` // handled before Shards
}

// Refused is one shard that a witness did not promise.
type Refused struct {
	Shard  uint32 `json:"shard"`
	Keeper string `json:"keeper,omitempty"` // host that has the promise, "" if none
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	Witness   string        `json:"witness"`
	Candidate CandidateID   `json:"candidate"`
	Sent      time.Duration `json:"sent"` // copied from the request
	Promised  []uint32      `json:"promised,omitempty"`
	Refused   []Refused     `json:"refused,omitempty"`
}

// Release gives up shards at one witness in a planned handover. It needs no
// reply; a lost release costs the rest of the term.
type Release struct {
	Witness   string        `json:"witness"`
	Candidate CandidateID   `json:"candidate"`
	Sent      time.Duration `json:"sent"`
	Drops     []Drop        `json:"drops"`
}

// Quorum returns how many of w witnesses must promise. Two quorums intersect
// while two lists of witnesses differ by at most 2 members for w >= 5, 1 for
// w = 4 and none for w <= 3. Six witnesses need 5: with w - w/3 = 4, quorums of
// two lists that differ by 2 would be 4 + 4 of 8 and could miss each other.
func Quorum(w int) int {
	if w == 6 {
		return 5
	}
	return w - w/3
}
