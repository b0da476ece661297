package quota

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound Grant.RetryAfter. The lower bound is a few
	// round trips; with a longer upper bound a holder would learn too late of tokens
	// that were returned.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond

	// busyRetryAfter is the RetryAfter for tokens that are outstanding at other
	// holders, which report within tens of milliseconds what they spent.
	busyRetryAfter = 10 * time.Millisecond

	// prefetchReserveFraction is the fraction of the burst that is not granted ahead
	// of demand, so that requests waiting at other holders find tokens.
	prefetchReserveFraction = 0.25
)

// bucketLimits are the limits that apply to a bucket at one time.
type bucketLimits struct {
	rate           float64 // tokens per second
	burst          float64
	maxTokens      float64 // maximum of level plus outstanding tokens
	maxOutstanding float64 // maximum of outstanding tokens
	parts          int     // number of parts that the team's limit is divided into
	reduced        bool    // temporarily below the limit of the part
}

// newBucketLimits halves the burst while grants of the previous tenure may be
// outstanding, since these may amount to the other half. A burst below 2 cannot be
// halved: it is granted as a whole, and nothing is granted during that time.
func newBucketLimits(part Limit, parts int, recovering bool) bucketLimits {
	limits := bucketLimits{parts: parts, rate: part.Rate, burst: part.Burst, maxTokens: part.Burst, maxOutstanding: part.Burst / 2, reduced: recovering}
	undivided := part.Burst < 2
	switch {
	case undivided && recovering:
		limits.maxTokens, limits.maxOutstanding = 0, 0
	case undivided:
		limits.maxOutstanding = part.Burst
	case recovering:
		limits.maxTokens = part.Burst / 2
	}
	return limits
}

// minLimit returns the lower rate and the lower burst of two limits.
func minLimit(a, b Limit) Limit {
	a.Rate = math.Min(a.Rate, b.Rate)
	a.Burst = math.Min(a.Burst, b.Burst)
	return a
}

// outstandingGrant is a grant that its holder may still spend.
type outstandingGrant struct {
	holder  HolderID
	seq     uint64
	tokens  int // upper bound of the unspent tokens
	expires time.Duration
}

// bucket is the token bucket of one part. Times are durations since the start of the
// leader.
type bucket struct {
	level       float64
	refilledAt  time.Duration // time of the latest refill
	lastRetryAt time.Duration // latest retry time given to a holder that found the bucket empty
	outstanding []outstandingGrant
}

// importBucket restores a bucket from a handover. Each outstanding grant is kept 2%
// longer than its remaining time, to cover different clock rates.
func importBucket(since time.Duration, state BucketState) *bucket {
	b := &bucket{level: state.Level, refilledAt: since}
	for _, o := range state.Outstanding {
		hold := o.Remaining + o.Remaining/50
		b.outstanding = append(b.outstanding, outstandingGrant{holder: o.Holder, seq: o.Seq, tokens: o.Tokens, expires: since + hold + 1})
	}
	return b
}

func (b *bucket) export(key Key) BucketState {
	state := BucketState{Key: key, Level: b.level}
	for _, o := range b.outstanding {
		state.Outstanding = append(state.Outstanding,
			Outstanding{Holder: o.holder, Seq: o.seq, Tokens: o.tokens, Remaining: o.expires - b.refilledAt})
	}
	return state
}

func (b *bucket) outstandingTokens() float64 {
	total := 0
	for i := range b.outstanding {
		total += b.outstanding[i].tokens
	}
	return float64(total)
}

// nextExpiry returns the earliest expiry of an outstanding grant, or to if that is
// earlier.
func (b *bucket) nextExpiry(to time.Duration) time.Duration {
	for i := range b.outstanding {
		to = min(to, b.outstanding[i].expires)
	}
	return to
}

func (b *bucket) refill(to time.Duration, limits bucketLimits) {
	b.level += limits.rate * (to - b.refilledAt).Seconds()
	b.refilledAt = to
	b.clamp(limits)
}

// clamp limits the level so that level and outstanding tokens do not exceed the
// maximum.
func (b *bucket) clamp(limits bucketLimits) {
	b.level = math.Max(0, math.Min(b.level, limits.maxTokens-b.outstandingTokens()))
}

// dropExpired removes grants that no holder can spend any more. Their tokens are not
// returned to the bucket, since the holder may have spent them.
func (b *bucket) dropExpired(at time.Duration) {
	kept := b.outstanding[:0]
	for _, o := range b.outstanding {
		if o.expires > at {
			kept = append(kept, o)
		}
	}
	b.outstanding = kept
}

// reconcile updates the outstanding grants of a holder with what its token request
// reports about earlier grants.
func (b *bucket) reconcile(req TokenRequest) {
	kept := b.outstanding[:0]
	for _, o := range b.outstanding {
		if o.holder != req.Holder || o.seq >= req.Seq {
			kept = append(kept, o)
			continue
		}
		if o.seq == req.Void {
			b.level += float64(o.tokens)
			continue
		}
		o.tokens = min(o.tokens, heldTokens(req.Held, o.seq))
		if o.tokens > 0 {
			kept = append(kept, o)
		}
	}
	b.outstanding = kept
}

func heldTokens(held []UnspentGrant, seq uint64) int {
	for _, g := range held {
		if g.Seq == seq {
			return max(g.Tokens, 0)
		}
	}
	return 0
}

// returnTokens moves the unspent tokens of an outstanding grant back to the level.
func (b *bucket) returnTokens(holder HolderID, left UnspentGrant) {
	for i, o := range b.outstanding {
		if o.holder == holder && o.seq == left.Seq {
			b.level += float64(min(o.tokens, max(left.Tokens, 0)))
			b.outstanding = append(b.outstanding[:i], b.outstanding[i+1:]...)
			return
		}
	}
}

// grant moves tokens from the level to the outstanding grants and returns how many.
func (b *bucket) grant(limits bucketLimits, req TokenRequest) int {
	outstanding := b.outstandingTokens()
	tokens := wholeTokens(req.Need, math.Min(b.level, limits.maxOutstanding-outstanding))
	if tokens >= req.Need {
		spare := math.Min(b.level-prefetchReserveFraction*limits.burst, limits.maxOutstanding/2-outstanding) - float64(tokens)
		tokens += wholeTokens(req.Extra, spare)
	}
	if tokens == 0 {
		return 0
	}
	ttl := min(max(req.TTL, 0), MaxGrantTTL)
	b.level -= float64(tokens)
	b.outstanding = append(b.outstanding, outstandingGrant{
		holder:  req.Holder,
		seq:     req.Seq,
		tokens:  tokens,
		expires: b.refilledAt + ttl + ttl/50 + 1,
	})
	return tokens
}

// wholeTokens returns the number of whole tokens in room, at most want.
func wholeTokens(want int, room float64) int {
	return max(0, min(want, int(math.Floor(room))))
}

// grantStatus returns the status of a grant and the time after which the holder should
// retry. Holders that find the bucket empty get successive times at which a token will
// be available, so that they do not all retry for the same token.
func (b *bucket) grantStatus(limits bucketLimits, req TokenRequest, tokens int) (Status, time.Duration) {
	if tokens >= req.Need {
		return Granted, 0
	}
	if b.level >= 1 {
		return Busy, busyRetryAfter
	}
	empty := Empty
	if limits.reduced {
		empty = Recovering
	}
	if limits.rate <= 0 {
		return empty, maxRetryAfter
	}
	next := b.refilledAt + cappedSeconds((1-b.level)/limits.rate)
	// The holder of a waiting request requests tokens of all parts and needs only one.
	b.lastRetryAt = max(next, b.lastRetryAt+cappedSeconds(1/(limits.rate*float64(limits.parts))))
	b.lastRetryAt = min(b.lastRetryAt, b.refilledAt+maxRetryAfter)
	return empty, max(b.lastRetryAt-b.refilledAt, minRetryAfter)
}

// cappedSeconds converts seconds to a duration of at most maxRetryAfter.
func cappedSeconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
