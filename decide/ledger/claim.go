package ledger

import (
	"slices"
	"time"
)

// Verdict is the outcome of a claim and determines what the entry proxy does with the
// request.
type Verdict uint8

const (
	// Undecided means that more replies are needed.
	Undecided Verdict = iota
	// Run means that the entry proxy may run the request.
	Run
	// AlreadyRan means that an earlier attempt ran; the caller gets its status.
	AlreadyRan
	// StillRunning means that an earlier attempt is in progress or that its outcome
	// is unknown.
	StillRunning
	// KeyReused means that the key was used for a different request.
	KeyReused
	// NoQuorum means that too few replicas granted the claim. The request is not run.
	NoQuorum
)

// Decide returns the verdict on a claim that was sent to the given number of
// replicas, from the replies so far. One reply that reports a finished run or a
// different request overrides any number of grants.
func Decide(replies []ClaimReply, replicas int) Verdict {
	counts := make(map[Result]int)
	for _, r := range replies {
		counts[r.Result]++
	}
	pending := replicas - len(replies)
	switch {
	case counts[RequestMismatch] > 0:
		return KeyReused
	case counts[Finished] > 0:
		return AlreadyRan
	case counts[Granted] >= Quorum(replicas):
		return Run
	case counts[Granted]+pending >= Quorum(replicas):
		return Undecided
	case counts[InProgress] > 0:
		return StillRunning
	}
	return NoQuorum
}

// ClaimRound collects the replies of the replicas to one claim.
type ClaimRound struct {
	claim    Claim
	sent     time.Time
	replicas []string
	replies  []ClaimReply
	closed   bool // the request was started or the claim released
}

// NewClaimRound returns the round for a claim that is sent to the replicas at time
// now. It sets the claim's ReplicaSet.
func NewClaimRound(now time.Time, c Claim, replicas []string) *ClaimRound {
	c.ReplicaSet = ReplicaSetID(replicas)
	return &ClaimRound{claim: c, sent: now, replicas: slices.Clone(replicas)}
}

// Claim returns the message to send to each replica.
func (r *ClaimRound) Claim() Claim { return r.claim }

// OnReply adds a replica's reply and returns the verdict so far. It ignores
// duplicates, replies to other claims and replies after ClaimTimeout.
func (r *ClaimRound) OnReply(now time.Time, reply ClaimReply) Verdict {
	known := slices.ContainsFunc(r.replies, func(k ClaimReply) bool { return k.Replica == reply.Replica })
	fits := reply.Attempt == r.claim.Attempt && slices.Contains(r.replicas, reply.Replica)
	if fits && !known && !r.timedOut(now) {
		r.replies = append(r.replies, reply)
	}
	return r.Verdict(now)
}

func (r *ClaimRound) timedOut(now time.Time) bool { return now.Sub(r.sent) > ClaimTimeout }

// Verdict returns the verdict so far. After ClaimTimeout it is final: replicas that
// have not replied count as not granting.
func (r *ClaimRound) Verdict(now time.Time) Verdict {
	replicas := len(r.replicas)
	v := Decide(r.replies, replicas)
	if v != Undecided || !r.timedOut(now) {
		return v
	}
	silent := make([]ClaimReply, replicas-len(r.replies))
	return Decide(slices.Concat(r.replies, silent), replicas)
}

// MayStart reports whether the request may start to run at time now. Call it
// immediately before the request is first forwarded; it returns true at most once.
func (r *ClaimRound) MayStart(now time.Time) bool {
	if r.closed || r.timedOut(now) || r.Verdict(now) != Run {
		return false
	}
	r.closed = true
	return true
}

// Status returns the HTTP status of the earlier run if the verdict is AlreadyRan, 0
// otherwise.
func (r *ClaimRound) Status() int {
	for _, reply := range r.replies {
		if reply.Result == Finished {
			return reply.Status
		}
	}
	return 0
}

// Finish returns the message that tells the replicas that the request ran.
func (r *ClaimRound) Finish(status int) Finish {
	c := r.claim
	return Finish{Team: c.Team, Key: c.Key, Attempt: c.Attempt, RequestDigest: c.RequestDigest, Status: status}
}

// Release returns the message that withdraws the claim at all replicas. Use it only
// if the request certainly did not run: the verdict is not Run, or the request was
// started and is proven not to have run. MayStart returns false from then on.
func (r *ClaimRound) Release() Release {
	r.closed = true
	c := r.claim
	return Release{Team: c.Team, Key: c.Key, Attempt: c.Attempt, RequestDigest: c.RequestDigest}
}
