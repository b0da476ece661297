package slots

import "time"

// memory remembers attempts for a time. The zero value is empty.
type memory struct {
	until map[string]time.Time
	order []string // oldest first
}

// add remembers an attempt and forgets those whose time is over.
func (m *memory) add(now time.Time, attempt string, d time.Duration) {
	if m.until == nil {
		m.until = make(map[string]time.Time)
	}
	for len(m.order) > 0 && now.After(m.until[m.order[0]]) {
		delete(m.until, m.order[0])
		m.order = m.order[1:]
	}
	if _, known := m.until[attempt]; !known {
		m.order = append(m.order, attempt)
	}
	m.until[attempt] = now.Add(d)
}

// has tells whether an attempt is remembered.
func (m *memory) has(now time.Time, attempt string) bool {
	until, ok := m.until[attempt]
	return ok && now.Before(until)
}
