package rendezvous_test

import (
	"fmt"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Every process with the same member list selects the same three members for a
// key, each in a different zone, without exchanging messages.
func ExampleRank() {
	members := []rendezvous.Member{
		{ID: "a1", Zone: "a"},
		{ID: "a2", Zone: "a"},
		{ID: "b1", Zone: "b"},
		{ID: "b2", Zone: "b"},
		{ID: "c1", Zone: "c"},
	}
	for _, m := range rendezvous.Rank(rendezvous.Hash("bookings"), members, 3) {
		fmt.Println(m.Zone)
	}
	// Unordered output:
	// a
	// b
	// c
}

// Keys are grouped into shards, so that one message can cover many keys.
func ExampleShard() {
	fmt.Println(rendezvous.Shard("bookings") < rendezvous.ShardCount)
	// Output: true
}
