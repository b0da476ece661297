package quota

import (
	"math"
	"time"
)

const (
	// minRetry and maxRetry bound RetryAfter. The lower bound is a few round
	// trips; the upper bound keeps a holder from missing returned tokens for long.
	minRetry = 5 * time.Millisecond
	maxRetry = 250 * time.Millisecond

	// busyRetry is RetryAfter when tokens are outstanding elsewhere. Their
	// holders report within tens of milliseconds what they spent.
	busyRetry = 10 * time.Millisecond

	// extraReserve is the share of the burst that is not granted ahead of demand,
	// so that requests waiting at other holders find tokens.
	extraReserve = 0.25
)

// rules are the limits of a bucket at a moment.
type rules struct {
	rate   float64 // tokens per second
	burst  float64
	total  float64 // cap of level plus outstanding
	grants float64 // cap of outstanding
	parts  int     // into how many parts the limit is divided
	held   bool    // below the limit of the part for a time
}

// newRules halves the burst while grants of the previous tenure may be
// outstanding: they may amount to the other half. A burst below 2 is granted as
// a whole, so nothing is left of it meanwhile.
func newRules(part Limit, parts int, recovering bool) rules {
	r := rules{parts: parts, rate: part.Rate, burst: part.Burst, total: part.Burst, grants: part.Burst / 2, held: recovering}
	whole := part.Burst < 2
	switch {
	case whole && recovering:
		r.total, r.grants = 0, 0
	case whole:
		r.grants = part.Burst
	case recovering:
		r.total = part.Burst / 2
	}
	return r
}

// lower returns the lower rate and burst of two limits.
func lower(a, b Limit) Limit {
	a.Rate = math.Min(a.Rate, b.Rate)
	a.Burst = math.Min(a.Burst, b.Burst)
	return a
}

// outstanding is a grant that its holder may still spend.
type outstanding struct {
	holder  HolderID
	seq     uint64
	tokens  int // upper bound of what is unspent
	expires time.Duration
}

// bucket is the token bucket of one part. Times are durations since the start of
// the keeper.
type bucket struct {
	level   float64
	at      time.Duration // of the latest refill
	retryAt time.Duration // latest time that an empty answer named
	out     []outstanding
}

func importBucket(since time.Duration, state BucketState) *bucket {
	b := &bucket{level: state.Level, at: since}
	for _, o := range state.Outstanding {
		hold := o.Remaining + o.Remaining/50
		b.out = append(b.out, outstanding{holder: o.Holder, seq: o.Seq, tokens: o.Tokens, expires: since + hold + 1})
	}
	return b
}

func (b *bucket) export(key Key) BucketState {
	state := BucketState{Key: key, Level: b.level}
	for _, o := range b.out {
		state.Outstanding = append(state.Outstanding,
			Outstanding{Holder: o.holder, Seq: o.seq, Tokens: o.tokens, Remaining: o.expires - b.at})
	}
	return state
}

func (b *bucket) outTokens() float64 {
	total := 0
	for i := range b.out {
		total += b.out[i].tokens
	}
	return float64(total)
}

// nextExpiry returns the earliest expiry of a grant, at most to.
func (b *bucket) nextExpiry(to time.Duration) time.Duration {
	for i := range b.out {
		to = min(to, b.out[i].expires)
	}
	return to
}

func (b *bucket) refill(to time.Duration, r rules) {
	b.level += r.rate * (to - b.at).Seconds()
	b.at = to
	b.clamp(r)
}

func (b *bucket) clamp(r rules) {
	b.level = math.Max(0, math.Min(b.level, r.total-b.outTokens()))
}

// expire forgets grants that no holder can spend any more. Their tokens are
// lost, since the holder may have spent them.
func (b *bucket) expire(at time.Duration) {
	kept := b.out[:0]
	for _, o := range b.out {
		if o.expires > at {
			kept = append(kept, o)
		}
	}
	b.out = kept
}

// settle applies what an ask tells of earlier grants of its holder.
func (b *bucket) settle(ask Ask) {
	kept := b.out[:0]
	for _, o := range b.out {
		if o.holder != ask.Holder || o.seq >= ask.Seq {
			kept = append(kept, o)
			continue
		}
		if o.seq == ask.Void {
			b.level += float64(o.tokens)
			continue
		}
		o.tokens = min(o.tokens, heldTokens(ask.Held, o.seq))
		if o.tokens > 0 {
			kept = append(kept, o)
		}
	}
	b.out = kept
}

func heldTokens(held []Left, seq uint64) int {
	for _, l := range held {
		if l.Seq == seq {
			return max(l.Tokens, 0)
		}
	}
	return 0
}

func (b *bucket) giveBack(holder HolderID, left Left) {
	for i, o := range b.out {
		if o.holder == holder && o.seq == left.Seq {
			b.level += float64(min(o.tokens, max(left.Tokens, 0)))
			b.out = append(b.out[:i], b.out[i+1:]...)
			return
		}
	}
}

// grant moves tokens from the level to the outstanding grants.
func (b *bucket) grant(r rules, ask Ask) int {
	out := b.outTokens()
	tokens := whole(ask.Need, math.Min(b.level, r.grants-out))
	if tokens >= ask.Need {
		spare := math.Min(b.level-extraReserve*r.burst, r.grants/2-out) - float64(tokens)
		tokens += whole(ask.Extra, spare)
	}
	if tokens == 0 {
		return 0
	}
	ttl := min(max(ask.TTL, 0), GrantTTL)
	b.level -= float64(tokens)
	b.out = append(b.out, outstanding{
		holder:  ask.Holder,
		seq:     ask.Seq,
		tokens:  tokens,
		expires: b.at + ttl + ttl/50 + 1,
	})
	return tokens
}

// whole returns the whole tokens of room, at most want.
func whole(want int, room float64) int {
	return max(0, min(want, int(math.Floor(room))))
}

// status explains a grant. Holders that find the bucket empty are told
// successive times at which a token will be there, so that they do not all ask
// for the same one.
func (b *bucket) status(r rules, ask Ask, tokens int) (Status, time.Duration) {
	if tokens >= ask.Need {
		return Granted, 0
	}
	if b.level >= 1 {
		return Busy, busyRetry
	}
	empty := Empty
	if r.held {
		empty = Recovering
	}
	if r.rate <= 0 {
		return empty, maxRetry
	}
	next := b.at + seconds((1-b.level)/r.rate)
	// A request that waits asks all parts and is served by one of them.
	b.retryAt = max(next, b.retryAt+seconds(1/(r.rate*float64(r.parts))))
	b.retryAt = min(b.retryAt, b.at+maxRetry)
	return empty, max(b.retryAt-b.at, minRetry)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxRetry.Seconds()) * float64(time.Second))
}
