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

// Shares of the tolerance that one owner uses. The rest covers a second owner for
// a moment: with all of them, an owner that starts anew within a window still
// keeps the fleet within the tolerance.
const (
	rateExcess  = 0.6  // of the excess, on top of the rate
	rateSlack   = 0.4  // of the slack, spread over the window
	burstExcess = 0.4  // of the excess, on top of the burst
	burstSlack  = 0.3  // of the slack, on top of the burst
	startBurst  = 0.15 // of the burst, in the bucket of a new owner
	startSlack  = 0.2  // of the slack, in the bucket of a new owner
	// aloneShare is the part of its even share that a process spends when no
	// owner answers: the owner may be granting the full rate to the others.
	aloneShare = 0.6
)

// Tolerance is how far a deployment lets a team exceed its rate and burst within
// any window: by a share of both and by a number of requests. Requests within
// the rate are refused less often the more of it is used.
type Tolerance struct {
	Window time.Duration
	Excess float64 // share
	Slack  float64 // requests
}

// Limit is the rate of a team over all hosts.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
	Tolerance
}

// Permitted returns how many tokens may be granted within the tolerance's window.
func (l Limit) Permitted() float64 {
	return (l.Rate*l.Window.Seconds()+l.Burst)*(1+l.Excess) + l.Slack
}

// Bound returns how many tokens one owner grants at most within a window.
func (l Limit) Bound(window time.Duration) float64 {
	return l.speed()*window.Seconds() + l.capacity()
}

// speed returns the tokens per second of an owner's bucket.
func (l Limit) speed() float64 {
	speed := l.Rate * (1 + rateExcess*l.Excess)
	if l.Window > 0 {
		speed += rateSlack * l.Slack / l.Window.Seconds()
	}
	return speed
}

func (l Limit) capacity() float64 {
	return l.Burst*(1+burstExcess*l.Excess) + max(burstSlack*l.Slack, 1)
}

func (l Limit) start() float64 { return startBurst*l.Burst + startSlack*l.Slack }

// alone returns what one of n processes may spend without an owner.
func (l Limit) alone(n int) Limit {
	share := aloneShare / float64(max(n, 1))
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share}
}

// Bucket is the token bucket of one team. The zero value is not valid.
type Bucket struct {
	level float64
	at    time.Time
}

// NewBucket returns the bucket of a process that has owned the team since a
// moment.
func NewBucket(since time.Time, l Limit) *Bucket {
	return &Bucket{level: l.start(), at: since}
}

// NewAloneBucket returns the bucket of a process that has lost the owner; it
// starts with a single token.
func NewAloneBucket(now time.Time) *Bucket {
	return &Bucket{level: 1, at: now}
}

// Take grants up to want tokens and returns how many.
func (b *Bucket) Take(now time.Time, l Limit, want int) int {
	b.level = math.Min(b.level+l.speed()*now.Sub(b.at).Seconds(), l.capacity())
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
	if l.speed() <= 0 {
		return time.Second
	}
	missing := math.Max(1-b.level, 0)
	return time.Duration(missing / l.speed() * float64(time.Second))
}
