package slots

import "time"

const (
	// maxExecutedAttempts and maxWithdrawnAttempts limit the memory of attempts, to about
	// 6 MB and 1 MB.
	maxExecutedAttempts  = 32768
	maxWithdrawnAttempts = 8192
	// minExecutedRetention is the minimum time for which an attempt that held a slot is
	// remembered. One with a later deadline is remembered until then, since its entry
	// proxy may withdraw it for as long as it waits for the answer.
	minExecutedRetention = 30 * time.Second
	// deadlineMargin is added to the deadline. It covers the time for which an entry proxy
	// still waits after it.
	deadlineMargin = 5 * time.Second
	// minWithdrawnRetention is the minimum time for which a withdrawn attempt is refused if
	// it arrives late. A connection with unacknowledged data is closed after 2 s.
	minWithdrawnRetention = 30 * time.Second
)

// executedAttempts remembers the attempts that held a slot and ended. It is bounded in number,
// and knows how far back it is complete.
type executedAttempts struct {
	limit  int // of the number of attempts
	expiry map[string]time.Time
	order  []executedAttempt // by the time of the end
	// completeSince is when the newest forgotten attempt ended; at first, when the memory began.
	completeSince time.Time
}

type executedAttempt struct {
	id    string
	ended time.Time
}

// newExecutedAttempts returns a memory that begins now.
func newExecutedAttempts(now time.Time) executedAttempts {
	return executedAttempts{limit: maxExecutedAttempts, expiry: make(map[string]time.Time), completeSince: now}
}

// add adds an attempt that ended now and whose request has a deadline. It forgets the oldest
// attempts if they have expired or if there are too many.
func (m *executedAttempts) add(now time.Time, id string, deadline time.Time) {
	for len(m.order) > 0 && (len(m.order) >= m.limit || now.After(m.expiry[m.order[0].id])) {
		m.completeSince = m.order[0].ended
		delete(m.expiry, m.order[0].id)
		m.order = m.order[1:]
	}
	expiry := now.Add(minExecutedRetention)
	if end := deadline.Add(deadlineMargin); end.After(expiry) {
		expiry = end
	}
	if !m.contains(id) {
		m.order = append(m.order, executedAttempt{id, now})
	}
	m.expiry[id] = expiry
}

// contains reports whether an attempt is remembered.
func (m *executedAttempts) contains(id string) bool {
	_, ok := m.expiry[id]
	return ok
}

// rulesOut reports whether an attempt that was sent the duration age ago at most cannot have
// ended: it is not remembered, and was sent after the end of every forgotten one.
func (m *executedAttempts) rulesOut(now time.Time, id string, age time.Duration) bool {
	return !m.contains(id) && now.Add(-age).After(m.completeSince)
}

// withdrawnAttempts remembers the attempts that were withdrawn before they arrived. They are
// forgotten only to make room, so that a pause of the process expires none that is still to
// be read from a connection.
type withdrawnAttempts struct {
	limit int // of the number of attempts
	known map[string]bool
	order []withdrawnAttempt // by the time of the withdrawal
}

type withdrawnAttempt struct {
	id string
	at time.Time
}

// newWithdrawnAttempts returns an empty memory.
func newWithdrawnAttempts() withdrawnAttempts {
	return withdrawnAttempts{limit: maxWithdrawnAttempts, known: make(map[string]bool)}
}

// add adds an attempt. It reports false if there is no room.
func (m *withdrawnAttempts) add(now time.Time, id string) bool {
	if m.known[id] {
		return true
	}
	if len(m.order) >= m.limit {
		if now.Sub(m.order[0].at) < minWithdrawnRetention {
			return false
		}
		delete(m.known, m.order[0].id)
		m.order = m.order[1:]
	}
	m.known[id] = true
	m.order = append(m.order, withdrawnAttempt{id, now})
	return true
}

// contains reports whether an attempt was withdrawn.
func (m *withdrawnAttempts) contains(id string) bool { return m.known[id] }
