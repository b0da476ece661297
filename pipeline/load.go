package pipeline

import (
	"fmt"
	"math"
	"time"
)

// MaxUrgentRank is the largest rank of urgent requests, which do not wait for less
// urgent ones. Calls made by backend servers have this rank.
const MaxUrgentRank = 1

// Load is the load of a backend server as its exit proxy reports it.
type Load struct {
	Running         int // requests that hold a slot
	Waiting         int // requests that wait for a slot and take a place in the queue
	Urgent          int // those of them with a rank up to MaxUrgentRank
	Slots           int
	MeanServiceTime time.Duration // mean time that the requests there are expected to hold a slot; 0 when unknown
	Limit           RateLimit
	StartWait       time.Duration // time until another request may start within Limit
	Leaving         bool          // an answer of the server said that it is leaving
}

// RateLimit is the rate of requests that a backend server accepts from all processes
// together.
type RateLimit struct {
	Known     bool    // an answer has told whether the server limits the rate
	Limited   bool    // the server limits the rate
	PerSecond float64 // requests per second if Limited
}

// maxRateLimit is the highest rate limit, in requests per second. Higher ones limit nothing
// and would not fit into the messages between processes.
const maxRateLimit = 1e9

// NewRateLimit returns a limit that a server has named, or an error if it is not a rate.
func NewRateLimit(perSecond float64) (RateLimit, error) {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return RateLimit{}, fmt.Errorf("rate limit %v is not a number of requests per second", perSecond)
	}
	return RateLimit{Known: true, Limited: true, PerSecond: min(perSecond, maxRateLimit)}, nil
}
