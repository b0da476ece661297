// Package teamrate limits the request rate of teams across the fleet. One process,
// the owner of a team, keeps its token bucket; the other processes request tokens
// from it. A process that cannot reach the owner uses a local bucket with a share of
// the rate.
//
// Ownership may change, and processes that are cut off from the owner decide on their
// own, so the limit has a tolerance, of which an owner uses a part: see Limit.MaxGranted.
// A strict limit would need leases and would refuse requests within the rate whenever an
// owner is lost.
package teamrate

import (
	"math"
	"time"
)

// Shares of the tolerance that one owner uses. The rest covers new owners, which start
// with initialTokens, and local decisions of processes that are cut off from the owner:
// up to half of the fleet, for up to half of a window before the owner leaves their
// shares to them.
const (
	rateExcessShare   = 0.3 // of ExcessRatio, added to the rate
	rateSlackShare    = 0.1 // of SlackTokens, spread over the window
	burstExcessShare  = 0.2 // of ExcessRatio, added to the burst
	burstSlackShare   = 0.1 // of SlackTokens, added to the burst
	initialBurstShare = 0.1 // of the burst, initially in a new owner's bucket
	initialSlackShare = 0.3 // of SlackTokens, initially in a new owner's bucket
	// fallbackShare and fallbackBurstShare are the fractions of an even share of the rate
	// and of the burst that a process uses while the owner does not answer: the owner may
	// still be granting the full rate to the other processes.
	fallbackShare      = 0.6
	fallbackBurstShare = 0.1
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
	// FallbackFraction is the fraction of the fleet that cannot reach the owner and decides
	// on its own; the owner does not grant what these processes may.
	FallbackFraction float64
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
	refillRate := l.Rate * (1 + rateExcessShare*l.ExcessRatio - fallbackShare*l.FallbackFraction)
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
	return Limit{
		Rate:  l.Rate * fallbackShare / float64(max(n, 1)),
		Burst: l.Burst * fallbackBurstShare / float64(max(n, 1)),
	}
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

// NewFallbackBucket returns the bucket of a process that cannot reach the owner: the one
// at a position, counted from 0, of n processes. Each position starts with another
// fraction of a token beside its share of the burst, so that the processes together grant
// whole tokens at the rate of all shares and not one each at once.
func NewFallbackBucket(now time.Time, l Limit, position, n int) *Bucket {
	n = max(n, 1)
	return &Bucket{tokens: l.fallbackLimit(n).Burst + float64(position)/float64(n), refilledAt: now}
}

// UsedWithin reports whether tokens were requested from the bucket within the last d.
func (b *Bucket) UsedWithin(now time.Time, d time.Duration) bool { return now.Sub(b.refilledAt) <= d }

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
