package spread

import (
	"slices"
	"time"
)

// CurrentUntil returns the time until which Current stays true without further
// messages, so that a holder of this value can check it by itself. It is zero
// when the document is not current.
func (s *Spreader) CurrentUntil(now time.Time) time.Time {
	if !s.Current(now) {
		return time.Time{}
	}
	until := s.confirmed.Add(CurrentFor)
	if agreed := s.agreedUntil(now); agreed.After(until) {
		until = agreed
	}
	return until
}

// agreedUntil returns when too few of the answers that agree will be recent.
func (s *Spreader) agreedUntil(now time.Time) time.Time {
	if s.agreeing(now) < AgreeNeeded {
		return time.Time{}
	}
	var sent []time.Time
	for _, a := range s.recent {
		if a.agreed {
			sent = append(sent, a.sent)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	// With AgreeNeeded answers left, the oldest of them ends the agreement.
	return sent[max(len(sent)-AgreeNeeded, 0)].Add(CurrentFor)
}
