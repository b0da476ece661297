package spread

import "time"

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
	for _, a := range s.recent { // oldest first
		end := a.sent.Add(CurrentFor)
		if !end.Before(now) && s.agreeing(end.Add(1)) < AgreeNeeded {
			return end
		}
	}
	return time.Time{}
}
