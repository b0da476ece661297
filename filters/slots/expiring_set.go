package slots

import "time"

// expiringSet is a set of attempt identifiers that expire. The zero value is an
// empty set.
type expiringSet struct {
	expiry map[string]time.Time
	order  []string // oldest first
}

// add adds an attempt for the duration d and removes expired attempts.
func (s *expiringSet) add(now time.Time, attemptID string, d time.Duration) {
	if s.expiry == nil {
		s.expiry = make(map[string]time.Time)
	}
	for len(s.order) > 0 && now.After(s.expiry[s.order[0]]) {
		delete(s.expiry, s.order[0])
		s.order = s.order[1:]
	}
	if _, known := s.expiry[attemptID]; !known {
		s.order = append(s.order, attemptID)
	}
	s.expiry[attemptID] = now.Add(d)
}

// contains reports whether the set contains an attempt that has not expired.
func (s *expiringSet) contains(now time.Time, attemptID string) bool {
	expiry, ok := s.expiry[attemptID]
	return ok && now.Before(expiry)
}
