package ledger_test

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// An entry proxy claims a key from its replicas, runs the request and reports the
// result to them. A retry through another entry proxy then finds that the request
// already ran.
func ExampleClaimRound() {
	now := time.Unix(1000, 0)
	members := []rendezvous.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2"}, {ID: "c", Zone: "3"}}
	replicas := make(map[string]*ledger.Replica)
	for i, m := range members {
		h := ledger.NewReplica(now, ledger.Options{Self: m.ID, Seed: uint64(i), Window: time.Minute})
		h.SetMembers(now, members) // the returned actions fetch records from other replicas
		replicas[m.ID] = h
	}
	now = now.Add(2 * time.Second)
	for _, h := range replicas {
		h.Tick(now) // the shards start to accept claims
	}
	now = now.Add(2 * time.Minute) // a replica that fetched nothing is caught up after the window

	claim := func(attempt string) *ledger.ClaimRound {
		shard := ledger.ShardOf("dispatch", "booking-17", rendezvous.ShardCount)
		c := ledger.Claim{Team: "dispatch", Key: "booking-17", Attempt: attempt, RequestDigest: 1}
		round := ledger.NewClaimRound(now, c, ledger.ReplicasOf(shard, members))
		for _, h := range replicas {
			round.OnReply(now, h.Claim(now, round.Claim()))
		}
		return round
	}
	first := claim("entry a, attempt 1")
	if first.MayStart(now) { // immediately before the request is forwarded
		fmt.Println("runs")
		for _, h := range replicas {
			h.Finish(now, first.Finish(201))
		}
	}
	again := claim("entry b, attempt 1")
	fmt.Println("ran already:", again.Verdict(now) == ledger.AlreadyRan, again.Status())
	// Output:
	// runs
	// ran already: true 201
}
