// Package teamrate holds teams to a rate over the whole fleet. One process, the
// owner of a team, keeps its token bucket; the others ask it for tokens. When an
// owner cannot be reached, each process spends a share of the rate by itself.
//
// Owners may change and two processes may own a team for a moment, so the rate is
// held with a tolerance: Bound states what is admitted at most. A strict bound
// would need leases and would refuse requests within the rate whenever an owner
// is lost.
package teamrate

import (
	"math"
	"time"
)

// Shape of a bucket in relation to the rate and burst of its team. A deployment
// tolerates a quarter above both and a fixed number of requests.
const (
	rateMargin  = 1.1 // covers tokens that were granted and not used
	burstMargin = 4   // tokens; small bursts would refuse what arrives together
	// startShare is the part of the burst that a bucket holds when a process
	// becomes the owner: the predecessor may have granted the rest just before.
	startShare = 0.5
	// aloneShare is the part of its even share that a process spends when no
	// owner answers: the owner may be granting the full rate to the others.
	aloneShare = 0.6
)

// Limit is the rate of a team over all hosts.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Bound returns how many tokens one owner grants at most within a window.
func (l Limit) Bound(window time.Duration) float64 {
	return rateMargin*l.Rate*window.Seconds() + l.capacity()
}

func (l Limit) capacity() float64 { return l.Burst + burstMargin }

// alone returns what one of n processes may spend without an owner.
func (l Limit) alone(n int) Limit {
	share := aloneShare / float64(max(n, 1))
	return Limit{Rate: l.Rate * share / rateMargin, Burst: math.Max(l.Burst*share, 1) - burstMargin}
}

// Bucket is the token bucket of one team. The zero value is not valid.
type Bucket struct {
	level float64
	at    time.Time
}

// NewBucket returns the bucket of a process that has just become the owner.
func NewBucket(now time.Time, l Limit) *Bucket {
	return &Bucket{level: startShare*l.Burst + burstMargin, at: now}
}

// NewAloneBucket returns the bucket of a process that has lost the owner; it
// starts with a single token.
func NewAloneBucket(now time.Time) *Bucket {
	return &Bucket{level: 1, at: now}
}

// Take grants up to want tokens and returns how many.
func (b *Bucket) Take(now time.Time, l Limit, want int) int {
	b.level = math.Min(b.level+rateMargin*l.Rate*now.Sub(b.at).Seconds(), l.capacity())
	b.at = now
	n := min(want, int(b.level))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	return n
}

// TakeAlone grants up to want tokens from the share of one of n processes.
func (b *Bucket) TakeAlone(now time.Time, l Limit, n, want int) int {
	return b.Take(now, l.alone(n), want)
}

// Wait returns how long it takes until a token is there.
func (b *Bucket) Wait(l Limit) time.Duration {
	if l.Rate <= 0 {
		return time.Second
	}
	missing := math.Max(1-b.level, 0)
	return time.Duration(missing / (rateMargin * l.Rate) * float64(time.Second))
}
