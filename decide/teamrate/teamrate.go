// Package teamrate limits the request rate of teams across the fleet. One process,
// the owner of a team, keeps its token bucket; the other processes request tokens
// from it. A process that cannot reach the owner uses a local bucket with a share of
// the rate.
//
// Ownership may change, and two processes may briefly own a team, so the limit has a
// tolerance: Limit.MaxGranted is the maximum that one owner grants. A strict limit
// would need leases and would refuse requests within the rate whenever an owner is
// lost.
package teamrate

import (
	"math"
	"time"
)

// Shares of the tolerance that one owner uses. The rest covers a short time with a
// second owner: with these shares, the fleet stays within the tolerance even if a
// new owner takes over within a window.
const (
	rateExcessShare   = 0.6  // of ExcessRatio, added to the rate
	rateSlackShare    = 0.4  // of SlackTokens, spread over the window
	burstExcessShare  = 0.4  // of ExcessRatio, added to the burst
	burstSlackShare   = 0.3  // of SlackTokens, added to the burst
	initialBurstShare = 0.15 // of the burst, initially in a new owner's bucket
	initialSlackShare = 0.2  // of SlackTokens, initially in a new owner's bucket
	// fallbackShare is the fraction of an even share of the limit that a process
	// uses while the owner does not answer: the owner may still be granting the full
	// rate to the other processes.
	fallbackShare = 0.6
)

// Tolerance is the amount by which a deployment permits a team to exceed its rate
// and burst within any window. The more of it is used, the fewer requests within the
// rate are refused.
type Tolerance struct {
	Window      time.Duration
	ExcessRatio float64 // fraction of both rate and burst
	SlackTokens float64 // additional tokens per window
}

// Limit is the rate limit of a team over all hosts.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
	Tolerance
}

// MaxPermitted returns the maximum number of tokens that the whole fleet may grant
// within the tolerance's window.
func (l Limit) MaxPermitted() float64 {
	return (l.Rate*l.Window.Seconds()+l.Burst)*(1+l.ExcessRatio) + l.SlackTokens
}

// MaxGranted returns the maximum number of tokens that one owner grants within a
// window.
func (l Limit) MaxGranted(window time.Duration) float64 {
	return l.refillRate()*window.Seconds() + l.capacity()
}

// refillRate returns the tokens per second added to an owner's bucket.
func (l Limit) refillRate() float64 {
	refillRate := l.Rate * (1 + rateExcessShare*l.ExcessRatio)
	if l.Window > 0 {
		refillRate += rateSlackShare * l.SlackTokens / l.Window.Seconds()
	}
	return refillRate
}

// capacity returns the maximum number of tokens in an owner's bucket.
func (l Limit) capacity() float64 {
	return l.Burst*(1+burstExcessShare*l.ExcessRatio) + max(burstSlackShare*l.SlackTokens, 1)
}

func (l Limit) initialTokens() float64 {
	return initialBurstShare*l.Burst + initialSlackShare*l.SlackTokens
}

// fallbackLimit returns the limit of one of n processes that cannot reach the owner.
func (l Limit) fallbackLimit(n int) Limit {
	share := fallbackShare / float64(max(n, 1))
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share}
}

// Bucket is the token bucket of one team. Use NewBucket or NewFallbackBucket to
// create one.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns the bucket of a process that owns the team since the given time.
func NewBucket(ownedSince time.Time, l Limit) *Bucket {
	return &Bucket{tokens: l.initialTokens(), refilledAt: ownedSince}
}

// NewFallbackBucket returns the bucket of a process that cannot reach the owner. It
// starts with one token.
func NewFallbackBucket(now time.Time) *Bucket {
	return &Bucket{tokens: 1, refilledAt: now}
}

// Take removes up to want tokens and returns the number removed.
func (b *Bucket) Take(now time.Time, l Limit, want int) int {
	b.tokens = math.Min(b.tokens+l.refillRate()*now.Sub(b.refilledAt).Seconds(), l.capacity())
	b.refilledAt = now
	n := min(want, int(b.tokens))
	if n <= 0 {
		return 0
	}
	b.tokens -= float64(n)
	return n
}

// TakeFallback is Take with the share of the limit that one of n processes has while
// it cannot reach the owner.
func (b *Bucket) TakeFallback(now time.Time, l Limit, n, want int) int {
	return b.Take(now, l.fallbackLimit(n), want)
}

// TimeToNextToken returns the time until the bucket holds a whole token.
func (b *Bucket) TimeToNextToken(l Limit) time.Duration {
	if l.refillRate() <= 0 {
		return time.Second
	}
	missing := math.Max(1-b.tokens, 0)
	return time.Duration(missing / l.refillRate() * float64(time.Second))
}
