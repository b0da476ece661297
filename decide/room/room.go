// Package room estimates how much of its room for requests a service uses in each
// availability zone, and decides when a request pays for leaving its zone.
//
// Traffic between zones is slower and is billed. While the servers of a zone have room,
// its requests stay, and only a likely failure or a wait there makes one leave. The less
// room is left, the less a request has to gain by leaving, until requests spread over all
// zones as if they were one. A request does not leave for a zone that has hardly more room,
// so that two full zones do not send their requests to each other.
package room

import (
	"math"
	"time"
)

// Server is a backend server as an entry proxy knows it.
type Server struct {
	Slots                  int
	Running                int // requests that hold a slot
	Waiting                int // requests that wait for one
	GrayFailureProbability float64
}

// Use is the use of the servers of a service in one zone. The zero value has no servers.
type Use struct {
	slots float64 // of servers that are not in a gray failure
	busy  float64 // requests that hold such a slot or wait for one
}

// Add adds a server.
func (u *Use) Add(s Server) {
	sound := 1 - s.GrayFailureProbability
	u.slots += sound * float64(s.Slots)
	u.busy += sound * float64(s.Running+s.Waiting)
}

// noRoom is the utilization of a zone without servers. It exceeds fullUtilization.
const noRoom = 2

// utilization returns the requests for each slot: 1 if all slots are busy and more if
// requests wait.
func (u Use) utilization() float64 {
	if u.slots <= 0 {
		return noRoom
	}
	return min(u.busy/u.slots, noRoom)
}

// smoothingTime is the time constant of the utilization. It covers several reports of the
// servers' load, so that the zones do not react to each other's single reports.
const smoothingTime = time.Second

// Zone is the smoothed utilization of a service in one zone.
type Zone struct {
	Utilization float64
	UpdatedAt   time.Time // zero before the first update
}

// Update returns the utilization after another observation.
func (z Zone) Update(now time.Time, use Use) Zone {
	current := use.utilization()
	if !z.UpdatedAt.IsZero() {
		weight := 1 - math.Exp(-now.Sub(z.UpdatedAt).Seconds()/smoothingTime.Seconds())
		current = z.Utilization + weight*(current-z.Utilization)
	}
	return Zone{Utilization: current, UpdatedAt: now}
}

const (
	// leaveCost and leaveCostPerKB are what a request has to gain by leaving a zone that
	// has room, as fractions of its value: it leaves a server that fails one request in
	// ten more often than one elsewhere.
	leaveCost      = 0.05
	leaveCostPerKB = 0.03
	// maxLeaveCost keeps large requests from staying at a server that fails most of them.
	maxLeaveCost = 0.6
	// minLeaveShare is the part of that cost that remains when the zone has no room.
	minLeaveShare = 0.2
	// ampleUtilization and fullUtilization bound the range in which the cost falls.
	// Above 0.9 most requests wait for a slot, since servers are used unevenly.
	ampleUtilization = 0.5
	fullUtilization  = 0.9
	// minUtilizationGap is how much less used another zone must be for the cost to fall.
	minUtilizationGap = 0.1
)

// LeaveCost returns what a request of the given size, including its expected response, has
// to gain by leaving its zone, as a fraction of its value. local and other are the
// utilizations of both zones.
func LeaveCost(local, other float64, bytes int) float64 {
	cost := min(leaveCost+leaveCostPerKB*float64(bytes)/1000, maxLeaveCost)
	if other > local-minUtilizationGap {
		return cost
	}
	used := (local - ampleUtilization) / (fullUtilization - ampleUtilization)
	used = min(max(used, 0), 1)
	return cost * (1 - (1-minLeaveShare)*used)
}
