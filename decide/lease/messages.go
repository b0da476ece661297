// Package lease elects at most one leader for each shard at a time without
// persistent state. The best ranked members for a shard are its voters, and the
// best of these its candidates. A voter promises a shard to one candidate for a
// short term and holds its promises only in memory; a candidate is the leader of
// the shard while unexpired promises of a quorum of voters exist. Leases under
// bounded clock drift follow Gray and Cheriton, "Leases" (1989).
package lease

import "time"

const (
	// PromiseTerm is how long a voter keeps a promise, counted from the receipt
	// of the request.
	PromiseTerm = 2 * time.Second

	// CandidateTerm is how long a candidate relies on a promise, counted from the
	// sending of the request. It is 2% shorter than PromiseTerm, so that the promise
	// outlasts it while clock rates differ by less than 2%.
	CandidateTerm = PromiseTerm - PromiseTerm/50

	// VoterStartupDelay is how long a voter refuses all requests after its
	// start, since promises of the previous process on the host may be in force. It
	// is 2% longer than PromiseTerm to cover the clock rate of a replaced host.
	VoterStartupDelay = PromiseTerm + PromiseTerm/50

	// RenewInterval is the time between two renewal requests of a leader.
	RenewInterval = PromiseTerm / 4

	// MinTenure is the least time between the starts of two tenures of a shard. It
	// exceeds the lifetime of a quota grant with two drift margins (1 s * 1.02 *
	// 1.02), so that when a tenure starts, at most one earlier tenure has
	// outstanding grants.
	MinTenure = 1050 * time.Millisecond

	// ReservationTime is how long a voter reserves a released shard for the
	// successor named in the release.
	ReservationTime = RenewInterval

	// HandoverRetryInterval is the time between two requests for a shard that is
	// being handed over. It is a few round trips between zones.
	HandoverRetryInterval = 20 * time.Millisecond

	// MaxVoters is the number of voters of a shard. A fleet with fewer members
	// has all of them as voters.
	MaxVoters = 9

	// MaxCandidates is the number of best ranked voters of a shard whose hosts
	// are its candidates.
	MaxCandidates = 5
)

// CandidateID identifies one incarnation of a process. A restarted process is a
// different candidate, because it no longer knows what it granted.
type CandidateID struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Drop ends the promise of one shard at one voter.
type Drop struct {
	Shard uint32 `json:"shard"`
	To    string `json:"to,omitempty"` // host of the successor, "" for no reservation
}

// PromiseRequest lists all shards that a candidate requests from a voter. In the
// encoded messages, "witness" is the voter and "keeper" the leader.
type PromiseRequest struct {
	Voter     string      `json:"witness"` // host that the message goes to
	Candidate CandidateID `json:"candidate"`
	// Sent is the time since the candidate's start. It increases strictly with each
	// message of a candidate, and the reply repeats it.
	Sent   time.Duration `json:"sent"`
	Shards []uint32      `json:"shards,omitempty"`
	Drops  []Drop        `json:"drops,omitempty"` // handled before Shards
}

// Refusal names a shard that a voter did not promise.
type Refusal struct {
	Shard  uint32 `json:"shard"`
	Leader string `json:"keeper,omitempty"` // host that holds the promise, "" if none
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	Voter     string        `json:"witness"`
	Candidate CandidateID   `json:"candidate"`
	Sent      time.Duration `json:"sent"` // copied from the request
	Promised  []uint32      `json:"promised,omitempty"`
	Refused   []Refusal     `json:"refused,omitempty"`
}

// Release ends promises at one voter in a planned handover. It has no reply; if
// it is lost, the promises stay in force for the rest of their term.
type Release struct {
	Voter     string        `json:"witness"`
	Candidate CandidateID   `json:"candidate"`
	Sent      time.Duration `json:"sent"`
	Drops     []Drop        `json:"drops"`
}

// Quorum returns how many of n voters must promise a shard. Quorums of two
// processes intersect even if their voter lists differ by up to 2 members for
// n >= 5, 1 for n = 4 and none for n <= 3. Six voters need 5: with n - n/3 = 4,
// two lists that differ by 2 members span 8 hosts, and two quorums of 4 could be
// disjoint.
func Quorum(n int) int {
	if n == 6 {
		return 5
	}
	return n - n/3
}
