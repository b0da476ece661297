package spread

import "time"

// CurrentUntil returns the time until which Current stays true if no further
// message arrives, so that the caller can check the time without calling the
// Spreader. It returns the zero time if the document is not current.
func (s *Spreader) CurrentUntil(now time.Time) time.Time {
	if !s.Current(now) {
		return time.Time{}
	}
	until := s.confirmedAt.Add(ConfirmationTTL)
	if agreed := s.agreementUntil(now); agreed.After(until) {
		until = agreed
	}
	return until
}

// agreementUntil returns the last time at which enough agreeing replies are recent,
// or the zero time if there are too few already.
func (s *Spreader) agreementUntil(now time.Time) time.Time {
	if s.countAgreeing(now) < AgreementQuorum {
		return time.Time{}
	}
	for _, poll := range s.recentPolls { // oldest first
		end := poll.sent.Add(ConfirmationTTL)
		if !end.Before(now) && s.countAgreeing(end.Add(1)) < AgreementQuorum {
			return end
		}
	}
	return time.Time{}
}
