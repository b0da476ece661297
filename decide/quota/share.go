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
	// AskFirst means that no token is at hand: ask the control goroutine (Join).
	AskFirst
	// Unavailable means that no keeper could tell in time whether the team is
	// over its rate.
	Unavailable
)

const (
	// slotCount allows two grants for each part.
	slotCount = 2 * MaxParts

	tokenBits = 20
	tokenMask = 1<<tokenBits - 1

	// tick is the unit of expiries in a slot: 44 bits of 64 us are 35 years.
	tick = 64 * time.Microsecond
)

// Share is what traffic goroutines see of a holder: the tokens at hand. It is
// safe for concurrent use and never blocks.
//
// A slot packs the unspent tokens (low 20 bits) and the expiry in ticks since
// base (high 44 bits) of one grant into one word. A compare-and-swap therefore
// spends a token only from a grant whose expiry was checked.
type Share struct {
	base        time.Time
	slots       [slotCount]atomic.Uint64
	refuseUntil atomic.Int64  // nanoseconds since base
	demand      atomic.Uint64 // calls of Take
}

// Take spends a token if there is one.
func (s *Share) Take(now time.Time) Decision {
	s.demand.Add(1)
	since := now.Sub(s.base)
	if _, ok := s.spend(since); ok {
		return Admit
	}
	return s.withoutToken(since)
}

// TakeChecked spends a token like Take and then reads the clock again. It does
// not admit when the grant expired in between, as happens when the process was
// paused between reading the clock and spending. Traffic uses this form.
func (s *Share) TakeChecked(clock func() time.Time) Decision {
	s.demand.Add(1)
	since := clock().Sub(s.base)
	expiry, ok := s.spend(since)
	if !ok {
		return s.withoutToken(since)
	}
	if ticks(clock().Sub(s.base)) >= expiry {
		return AskFirst
	}
	return Admit
}

// Left returns the unspent tokens at hand.
func (s *Share) Left(now time.Time) int {
	total := 0
	for i := range s.slots {
		total += s.left(i, now.Sub(s.base))
	}
	return total
}

func (s *Share) withoutToken(since time.Duration) Decision {
	if int64(since) < s.refuseUntil.Load() {
		return Refuse
	}
	return AskFirst
}

// spend takes one token and returns the expiry of its grant in ticks.
func (s *Share) spend(since time.Duration) (expiry uint64, ok bool) {
	now := ticks(since)
	for i := range s.slots {
		for {
			word := s.slots[i].Load()
			expiry = word >> tokenBits
			if word&tokenMask == 0 || now >= expiry {
				break
			}
			if s.slots[i].CompareAndSwap(word, word-1) {
				return expiry, true
			}
		}
	}
	return 0, false
}

func (s *Share) left(slot int, since time.Duration) int {
	word := s.slots[slot].Load()
	if ticks(since) >= word>>tokenBits {
		return 0
	}
	return int(word & tokenMask)
}

// expiry returns the end of the grant in a slot.
func (s *Share) expiry(slot int) time.Duration {
	return time.Duration(s.slots[slot].Load()>>tokenBits) * tick
}

// put fills a slot. The expiry is rounded down.
func (s *Share) put(slot, tokens int, expiry time.Duration) {
	s.slots[slot].Store(ticks(expiry)<<tokenBits | uint64(min(tokens, tokenMask)))
}

// empty takes all tokens out of a slot and returns how many there were.
func (s *Share) empty(slot int) int {
	return int(s.slots[slot].Swap(0) & tokenMask)
}

func ticks(since time.Duration) uint64 {
	return uint64(max(since, 0) / tick)
}
