package quota_test

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// A process that leads all shards itself admits a burst of two requests and refuses
// the third. In a fleet, token requests and grants are messages between processes.
func Example() {
	start := time.Unix(0, 0)
	placement := lease.NewPlacement([]rendezvous.Member{{ID: "host"}})
	voter := lease.NewVoter("host", start)
	candidate := lease.NewCandidate(lease.CandidateID{Host: "host", Incarnation: 1}, start, placement, voter)
	now := start.Add(lease.VoterStartupDelay)
	for _, request := range candidate.Tick(now) {
		candidate.OnReply(now, voter.Promise(now, request))
	}

	limit := quota.Limit{Rate: 2, Burst: 2, Version: 1}
	leader := quota.NewLeader(1, start, candidate)
	leader.SetLimit(start, "team", limit)
	id := quota.HolderID{Host: "host", Incarnation: 1}
	holder := quota.NewHolder(id, "zone", "team", limit, start, lease.NewDirectory(placement))

	// A new leader starts with an empty bucket and reduced limits; the bucket is full
	// after 5 s.
	for range 5 {
		now = now.Add(time.Second)
		for _, request := range candidate.Tick(now) {
			candidate.OnReply(now, voter.Promise(now, request))
		}
		leader.Tick(now)
	}
	for request := range uint64(3) {
		decision := holder.Take(now)
		if decision == quota.Pending {
			decision = holder.Enqueue(now, request, now.Add(time.Second))
		}
		for {
			req, ok := holder.NextTokenRequest(now)
			if !ok {
				break
			}
			holder.OnGrant(now, leader.Grant(now, req))
		}
		for _, decided := range holder.DecideWaiting(now) {
			decision = decided.Decision
		}
		fmt.Println(request, decision == quota.Admit)
	}
	// Output:
	// 0 true
	// 1 true
	// 2 false
}

// Traffic goroutines spend available tokens without the goroutine that owns the
// holder.
func ExampleTokenCache_Take() {
	now := time.Unix(0, 0)
	id := quota.HolderID{Host: "host", Incarnation: 1}
	holder := quota.NewHolder(id, "zone", "team", quota.Limit{Rate: 10, Burst: 10, Version: 1}, now, oneLeader{})
	holder.Enqueue(now, 1, now.Add(time.Second))
	req, _ := holder.NextTokenRequest(now)
	holder.OnGrant(now, quota.Grant{Key: req.Key, Holder: req.Holder, Seq: req.Seq, Tokens: 2})
	holder.DecideWaiting(now)
	cache := holder.TokenCache()
	fmt.Println(cache.Take(now) == quota.Admit, cache.Take(now) == quota.Pending)
	// Output: true true
}
