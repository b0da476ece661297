package slotqueue

import "time"

// WarmUp tracks whether a backend server is cold: slow, and unable to bear the rate of a
// warm one. Its list entry tells, but lags behind a server that has just started again, so
// a server also counts as cold after it could not be reached. The zero value is a warm
// server.
type WarmUp struct {
	until      time.Time // end by what the connections to the server showed
	lost       bool      // the server could not be reached, and has not been since
	lostAt     time.Time
	listedTill time.Time // end by its list entry
}

// SetListed sets the end of the warm-up by the list entry.
func (w *WarmUp) SetListed(until time.Time) { w.listedTill = until }

// Lost records that the server crashed or could not be reached.
func (w *WarmUp) Lost(now time.Time) { w.lost, w.lostAt = true, now }

// Reached records an answer to a request that started at the given time. A server that was
// lost before that time is cold for the given duration from now on.
func (w *WarmUp) Reached(now, started time.Time, duration time.Duration) {
	if w.lost && !started.Before(w.lostAt) {
		w.lost, w.until = false, now.Add(duration)
	}
}

// Cold reports whether the server is cold, and until when; a server that is lost is cold
// until further notice, which is the zero time.
func (w *WarmUp) Cold(now time.Time) (until time.Time, cold bool) {
	if w.lost {
		return time.Time{}, true
	}
	until = w.until
	if w.listedTill.After(until) {
		until = w.listedTill
	}
	return until, now.Before(until)
}
