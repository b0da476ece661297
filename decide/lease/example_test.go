package lease_test

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Promises of two of three voters suffice to hold a shard. The tenure expires if
// the candidate does not renew it.
func Example() {
	start := time.Unix(0, 0)
	members := []rendezvous.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2"}, {ID: "c", Zone: "3"}}
	placement := lease.NewPlacement(members)
	voters := make(map[string]*lease.Voter)
	for _, m := range members {
		voters[m.ID] = lease.NewVoter(m.ID, start)
	}
	const shard = 7
	first := placement.Voters(shard)[0].ID
	down := placement.Voters(shard)[2].ID
	candidate := lease.NewCandidate(lease.CandidateID{Host: first, Incarnation: 1}, start, placement, voters[first])

	now := start.Add(lease.VoterStartupDelay)
	for _, request := range candidate.Tick(now) {
		if request.Voter != down {
			candidate.OnReply(now, voters[request.Voter].Promise(now, request))
		}
	}
	fmt.Println(candidate.Holds(now, shard), candidate.Epoch(now, shard) > 0)
	fmt.Println(candidate.Holds(now.Add(lease.CandidateTerm), shard))
	// Output:
	// true true
	// false
}
