// Package shutdown schedules a planned stop of a process that is both entry proxy and
// exit proxy: until when it accepts new work, and when work that has not started must be
// given up so that nothing is cut off when the process is killed.
package shutdown

import "time"

// Timing of a planned stop.
const (
	// callerDrainTime is how long callers may continue to send new requests: readiness is
	// checked once per second, and callers leave after two failed checks.
	callerDrainTime = 2600 * time.Millisecond
	// callerAcceptTime is how long callers' requests are accepted. The platform permits a
	// stop to cut requests sent in its first 3 s, but no later ones; the difference
	// covers late clock reads and requests in transit.
	callerAcceptTime = 2800 * time.Millisecond
	// maxRunTime is the time for which an attempt is expected to run at most: 19 of 20 run
	// for less time.
	maxRunTime = 2500 * time.Millisecond
	// killMargin is the time before the process is killed that is reserved for closing
	// connections.
	killMargin = 300 * time.Millisecond
	// closeTimeout is how long open requests may still end after the deadline, before their
	// connections are closed.
	closeTimeout = 150 * time.Millisecond
	// finalAnswerTime is how long the final answers to open requests may take to be written
	// before connections are closed.
	finalAnswerTime = 50 * time.Millisecond
	// restartTime is the expected time from the end of the stop until the process is ready
	// again.
	restartTime = time.Second
)

// Schedule is the schedule of one planned stop.
type Schedule struct {
	Began time.Time
	// Deadline is when the process stops accepting connections, whatever is still open.
	Deadline time.Time
}

// NewSchedule returns the schedule of a stop after which the process is killed when
// timeout has passed.
func NewSchedule(began time.Time, timeout time.Duration) Schedule {
	return Schedule{Began: began, Deadline: began.Add(timeout - killMargin)}
}

// LastStart is the latest time at which an attempt may start to run at a backend server,
// unless its request ends in time. One that starts later would probably be cut.
func (s Schedule) LastStart() time.Time { return s.Deadline.Add(-maxRunTime) }

// CloseAt is when connections are closed, whatever is still open.
func (s Schedule) CloseAt() time.Time { return s.Deadline.Add(closeTimeout) }

// FinalAnswer is when requests that are still open are answered, although their outcome is
// unknown.
func (s Schedule) FinalAnswer() time.Time { return s.CloseAt().Add(-finalAnswerTime) }

// EndsInTime reports whether a request with a deadline ends before connections are closed.
// Most calls of backend servers do, which run for a short time and fail the request that
// makes them if they are refused.
func (s Schedule) EndsInTime(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(s.Deadline)
}

// RefusesCallers reports whether new requests from callers are refused, unless they end in
// time.
func (s Schedule) RefusesCallers(now time.Time) bool {
	return !now.Before(s.Began.Add(callerAcceptTime)) || now.After(s.LastStart())
}

// RefusesAttempts reports whether attempts from other processes are refused. While
// callers drain, the backend server continues to serve, because the fleet needs its
// capacity when many processes stop one after the other. After that, new attempts would
// only delay the end of the stop or be cut.
func (s Schedule) RefusesAttempts(now time.Time) bool {
	return now.Sub(s.Began) > callerDrainTime || now.After(s.LastStart())
}

// RetryAfter is the time until the process is expected to accept requests again.
func (s Schedule) RetryAfter(now time.Time) time.Duration {
	return max(s.Deadline.Sub(now), 0) + restartTime
}
