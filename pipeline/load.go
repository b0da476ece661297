package pipeline

import "time"

// UrgentRank is the rank up to which waiting requests count as urgent: calls of
// backend servers and whatever is at least as urgent. They do not wait for others.
const UrgentRank = 1

// Load is what an exit says of its backend server.
type Load struct {
	Running int // requests that hold a slot
	Waiting int // requests that wait for one
	Urgent  int // those of them that are urgent
	Slots   int
	Held    time.Duration // mean time that a request holds a slot; 0 when unknown
}
