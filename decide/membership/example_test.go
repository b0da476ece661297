package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/membership"
)

// A process that gets no Ack, neither directly nor through other peers, suspects the
// peer. The peer stays a member until it is removed from the host list.
func ExampleTable() {
	now := time.Unix(1000, 0)
	table := membership.New(membership.Options{Self: "a", Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	table.OnHostList(now, membership.HostList{Version: 1, Hosts: []membership.Host{
		{ID: "a", Zone: "north"},
		{ID: "b", Zone: "south"},
	}})
	for end := now.Add(2 * time.Second); now.Before(end); now = table.Next() {
		for _, action := range table.Tick(now) {
			switch a := action.(type) {
			case membership.SendPing: // send to a.To and pass its Ack to OnAck
			case membership.MemberSuspected:
				fmt.Println("suspected:", a.ID)
			}
		}
	}
	view := table.View()
	fmt.Println("members:", len(view.Members), "try last:", view.Suspect["b"])
	table.OnContact(now, "b") // b answered another message
	fmt.Println("try last:", table.View().Suspect["b"])
	// Output:
	// suspected: b
	// members: 2 try last: true
	// try last: false
}
