package ledger

import (
	"slices"
	"time"
)

// Verdict is what an entry does with a request that carries an idempotency key.
type Verdict uint8

const (
	// Undecided waits for further replies.
	Undecided Verdict = iota
	// Run runs the request.
	Run
	// AlreadyRan tells the caller that the request ran, with its status.
	AlreadyRan
	// StillRunning tells the caller that an earlier send is in progress or ended
	// in a way that is not known.
	StillRunning
	// KeyReused tells the caller that the key was used for a different request.
	KeyReused
	// NoQuorum tells the caller that too few holders can vouch; not run.
	NoQuorum
)

// Decide returns the verdict on the replies to one claim that was sent to holders
// holders. A holder that knows of a run overrules the grants of the others.
func Decide(replies []ClaimReply, holders int) Verdict {
	counts := make(map[Result]int)
	for _, r := range replies {
		counts[r.Result]++
	}
	pending := holders - len(replies)
	switch {
	case counts[Mismatch] > 0:
		return KeyReused
	case counts[Finished] > 0:
		return AlreadyRan
	case counts[Granted] >= Quorum(holders):
		return Run
	case counts[Granted]+pending >= Quorum(holders):
		return Undecided
	case counts[InProgress] > 0:
		return StillRunning
	}
	return NoQuorum
}

// Round is an entry's claim of one key.
type Round struct {
	claim   Claim
	sent    time.Time
	holders []string
	replies []ClaimReply
	closed  bool // started or released
}

// NewRound returns the round of a claim that is sent to the holders at time now.
func NewRound(now time.Time, c Claim, holders []string) *Round {
	c.Holders = SetID(holders)
	return &Round{claim: c, sent: now, holders: slices.Clone(holders)}
}

// Claim returns the message for each of the holders.
func (r *Round) Claim() Claim { return r.claim }

// OnReply takes a holder's reply and returns the verdict so far. Replies after
// ClaimTimeout do not count.
func (r *Round) OnReply(now time.Time, reply ClaimReply) Verdict {
	known := slices.ContainsFunc(r.replies, func(k ClaimReply) bool { return k.Holder == reply.Holder })
	fits := reply.Attempt == r.claim.Attempt && slices.Contains(r.holders, reply.Holder)
	if fits && !known && !r.late(now) {
		r.replies = append(r.replies, reply)
	}
	return r.Verdict(now)
}

func (r *Round) late(now time.Time) bool { return now.Sub(r.sent) > ClaimTimeout }

// Verdict returns the verdict so far; after ClaimTimeout it is final.
func (r *Round) Verdict(now time.Time) Verdict {
	holders := len(r.holders)
	v := Decide(r.replies, holders)
	if v != Undecided || !r.late(now) {
		return v
	}
	silent := make([]ClaimReply, holders-len(r.replies))
	return Decide(slices.Concat(r.replies, silent), holders)
}

// MayStart reports whether the request may start to run at time now. It is called
// right before the request is forwarded for the first time, and returns true once.
func (r *Round) MayStart(now time.Time) bool {
	if r.closed || r.late(now) || r.Verdict(now) != Run {
		return false
	}
	r.closed = true
	return true
}

// Status returns the status of the earlier run with the verdict AlreadyRan.
func (r *Round) Status() int {
	for _, reply := range r.replies {
		if reply.Result == Finished {
			return reply.Status
		}
	}
	return 0
}

// Finish returns the message for the holders after the request ran.
func (r *Round) Finish(status int) Finish {
	c := r.claim
	return Finish{Team: c.Team, Key: c.Key, Attempt: c.Attempt, Request: c.Request, Status: status}
}

// Release returns the message for all holders when the request certainly did not
// run: any verdict but Run, or a start that is proven not run. MayStart returns
// false from then on.
func (r *Round) Release() Release {
	r.closed = true
	c := r.claim
	return Release{Team: c.Team, Key: c.Key, Attempt: c.Attempt, Request: c.Request}
}
