package quota

import (
	"sync/atomic"
	"time"
)

// Decision is the answer to one request for a token.
type Decision uint8

// The decisions of Take.
const (
	// Refuse means that the team is over its rate.
	Refuse Decision = iota
	// Admit means that a token was spent.
	Admit
	// Pending means that no token is available locally. The request is decided by the
	// control goroutine (Holder.Enqueue).
	Pending
	// Unavailable means that no leader could report in time whether the team is over
	// its rate.
	Unavailable
)

const (
	// slotCount is two grants for each part.
	slotCount = 2 * MaxParts

	tokenBits = 20
	tokenMask = 1<<tokenBits - 1

	// expiryTick is the unit of expiries in a slot: 44 bits of 64 us cover 35 years.
	expiryTick = 64 * time.Microsecond
)

// TokenCache holds the unspent tokens of a holder for traffic goroutines. It is safe
// for concurrent use and never blocks. Each slot packs one grant into a word: the
// unspent tokens in the low 20 bits and the expiry in ticks since base in the high 44
// bits. A compare-and-swap therefore spends a token only from a grant whose expiry was
// checked.
type TokenCache struct {
	base        time.Time
	slots       [slotCount]atomic.Uint64
	refuseUntil atomic.Int64  // nanoseconds since base
	demand      atomic.Uint64 // number of calls of Take and TakeChecked
}

// Take spends a token if one is available.
func (c *TokenCache) Take(now time.Time) Decision {
	c.demand.Add(1)
	since := now.Sub(c.base)
	if _, ok := c.spend(since); ok {
		return Admit
	}
	return c.withoutToken(since)
}

// TakeChecked spends a token like Take and then reads the clock again. It does not
// admit if the grant expired in between, which happens when the process is paused
// between reading the clock and spending. Traffic uses this method.
func (c *TokenCache) TakeChecked(clock func() time.Time) Decision {
	c.demand.Add(1)
	since := clock().Sub(c.base)
	expiry, ok := c.spend(since)
	if !ok {
		return c.withoutToken(since)
	}
	if toTicks(clock().Sub(c.base)) >= expiry {
		return Pending
	}
	return Admit
}

// Unspent returns the number of unspent tokens that have not expired.
func (c *TokenCache) Unspent(now time.Time) int {
	total := 0
	for i := range c.slots {
		total += c.unspentInSlot(i, now.Sub(c.base))
	}
	return total
}

// withoutToken returns the decision for a request that found no token.
func (c *TokenCache) withoutToken(since time.Duration) Decision {
	if int64(since) < c.refuseUntil.Load() {
		return Refuse
	}
	return Pending
}

// spend takes one token and returns the expiry of its grant in ticks.
func (c *TokenCache) spend(since time.Duration) (expiry uint64, ok bool) {
	now := toTicks(since)
	for i := range c.slots {
		for {
			word := c.slots[i].Load()
			expiry = word >> tokenBits
			if word&tokenMask == 0 || now >= expiry {
				break
			}
			if c.slots[i].CompareAndSwap(word, word-1) {
				return expiry, true
			}
		}
	}
	return 0, false
}

func (c *TokenCache) unspentInSlot(slot int, since time.Duration) int {
	word := c.slots[slot].Load()
	if toTicks(since) >= word>>tokenBits {
		return 0
	}
	return int(word & tokenMask)
}

// expiry returns the end of the grant in a slot.
func (c *TokenCache) expiry(slot int) time.Duration {
	return time.Duration(c.slots[slot].Load()>>tokenBits) * expiryTick
}

// store fills a slot with a grant. The expiry is rounded down.
func (c *TokenCache) store(slot, tokens int, expiry time.Duration) {
	c.slots[slot].Store(toTicks(expiry)<<tokenBits | uint64(min(tokens, tokenMask)))
}

// takeAll removes all tokens from a slot and returns how many there were.
func (c *TokenCache) takeAll(slot int) int {
	return int(c.slots[slot].Swap(0) & tokenMask)
}

func toTicks(since time.Duration) uint64 {
	return uint64(max(since, 0) / expiryTick)
}
