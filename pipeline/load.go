package pipeline

import "time"

// MaxUrgentRank is the largest rank of urgent requests, which do not wait for less
// urgent ones. Calls made by backend servers have this rank.
const MaxUrgentRank = 1

// Load is the load of a backend server as its exit proxy reports it.
type Load struct {
	Running         int // requests that hold a slot
	Waiting         int // requests that wait for a slot
	Urgent          int // waiting requests with a rank up to MaxUrgentRank
	Slots           int
	MeanServiceTime time.Duration // mean time that a request holds a slot; 0 when unknown
}
