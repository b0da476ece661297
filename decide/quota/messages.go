// Package quota keeps each team within one rate and burst for the whole fleet.
// The rate is divided into parts. The leader of a part (package lease) grants
// tokens of a token bucket for a short time; token holders spend them. Over any window
// of length w the fleet admits at most rate * w + burst requests of a team;
// docs/quota.md has the argument.
package quota

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	// MaxGrantTTL is the longest lifetime of a grant, counted from the sending of the
	// token request. The successor of a leader that failed withholds half of the burst
	// for this long.
	MaxGrantTTL = time.Second

	// MaxParts is the number of parts that a team's limit is divided into, unless its
	// burst is too small.
	MaxParts = 4

	// MinDividedBurst is the smallest burst that is divided: each part then holds 4
	// tokens and has at most 2 outstanding.
	MinDividedBurst = 16

	// ConfigPropagationTime is the time within which an accepted configuration is in
	// force at all leaders.
	ConfigPropagationTime = 2 * time.Second
)

// Limit is the rate and burst of a team in the whole fleet.
type Limit struct {
	Rate    float64 `json:"rate"`    // tokens per second
	Burst   float64 `json:"burst"`   // tokens
	Version uint64  `json:"version"` // configuration version that set it
}

// Parts returns the number of parts that a limit is divided into.
func Parts(rate, burst float64) int {
	if burst < MinDividedBurst {
		return 1
	}
	return MaxParts
}

// Part returns the limit of one part, or zero rate and burst if the part does not
// exist.
func (l Limit) Part(part int) Limit {
	n := Parts(l.Rate, l.Burst)
	if part >= n {
		return Limit{Version: l.Version}
	}
	return Limit{Rate: l.Rate / float64(n), Burst: l.Burst / float64(n), Version: l.Version}
}

// Key identifies one part of a team's limit.
type Key struct {
	Team string `json:"team"`
	Part int    `json:"part"`
}

// Shard returns the shard whose leader grants the tokens of the part. The parts of a
// team always fall on different shards.
func (k Key) Shard() uint32 {
	const step = rendezvous.ShardCount / MaxParts
	return (rendezvous.Shard(k.Team) + uint32(k.Part)*step) % rendezvous.ShardCount
}

// HolderID identifies one incarnation of a token holder, a process that spends tokens.
type HolderID struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// TokenRequest requests tokens of one part.
type TokenRequest struct {
	To     string   `json:"-"` // host that the message goes to
	Key    Key      `json:"key"`
	Holder HolderID `json:"holder"`
	Seq    uint64   `json:"seq"` // increases with each request of a holder for a team

	Need  int           `json:"need,omitempty"`  // tokens for waiting requests
	Extra int           `json:"extra,omitempty"` // tokens ahead of demand
	TTL   time.Duration `json:"ttl"`             // lifetime of the grant, from the sending

	// Held lists the unspent tokens of earlier grants of this part. An earlier grant
	// that is not listed is spent or will not be used.
	Held []UnspentGrant `json:"held,omitempty"`
	// Void is the Seq of an earlier request whose grant was not and will not be used, 0
	// if none.
	Void uint64 `json:"void,omitempty"`
}

// UnspentGrant is the number of unspent tokens of a grant.
type UnspentGrant struct {
	Seq    uint64 `json:"seq"`
	Tokens int    `json:"tokens"`
}

// Status gives the reason why a leader granted fewer tokens than needed.
type Status uint8

// The statuses of a Grant.
const (
	Granted    Status = iota // all needed tokens were granted
	Empty                    // the bucket is empty
	Busy                     // too many tokens are outstanding at other holders
	NotLeader                // the process does not lead the shard of the part
	NoLimit                  // the leader has no limit for the team
	Recovering               // empty, with a reduced limit after a takeover or a change of the number of parts
)

// Grant answers a TokenRequest.
type Grant struct {
	Key        Key           `json:"key"`
	Holder     HolderID      `json:"holder"`
	Seq        uint64        `json:"seq"` // copied from the request
	Tokens     int           `json:"tokens,omitempty"`
	Status     Status        `json:"status,omitempty"`
	Version    uint64        `json:"version"`               // of the limit that the leader applied
	RetryAfter time.Duration `json:"retry_after,omitempty"` // for Empty, Busy and Recovering
	Hint       string        `json:"hint,omitempty"`        // for NotLeader: host of the leader, if known
}

// Return gives the unspent tokens of a grant back to the leader.
type Return struct {
	Key    Key          `json:"key"`
	Holder HolderID     `json:"holder"`
	Left   UnspentGrant `json:"left"`
}

// HandoverOffer announces a planned handover of a shard to its successor.
type HandoverOffer struct {
	Shard uint32 `json:"shard"`
	From  string `json:"from"`
}

// HandoverAccept accepts a HandoverOffer.
type HandoverAccept struct {
	Shard       uint32        `json:"shard"`
	Incarnation uint64        `json:"incarnation"` // of the successor
	Stamp       time.Duration `json:"stamp"`       // time of the acceptance on the successor's clock
}

// Handover carries all buckets of a shard to the successor that accepted the offer.
type Handover struct {
	Shard       uint32        `json:"shard"`
	Incarnation uint64        `json:"incarnation"` // copied from the HandoverAccept
	Stamp       time.Duration `json:"stamp"`       // copied from the HandoverAccept
	Buckets     []BucketState `json:"buckets"`
}

// BucketState is the state of one bucket in a planned handover.
type BucketState struct {
	Key         Key           `json:"key"`
	Level       float64       `json:"level"`
	Version     uint64        `json:"version"`           // of the limit that the old leader applied
	Settled     bool          `json:"settled,omitempty"` // the number of parts did not change recently
	Outstanding []Outstanding `json:"outstanding,omitempty"`
}

// Outstanding is a grant that its holder may still spend.
type Outstanding struct {
	Holder    HolderID      `json:"holder"`
	Seq       uint64        `json:"seq"`
	Tokens    int           `json:"tokens"`
	Remaining time.Duration `json:"remaining"` // until the leader counts it as expired
}
