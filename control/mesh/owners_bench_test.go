package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// BenchmarkOwner measures the decision about the owner of a team's tokens, which each token
// request makes at the requester and at the owner.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{27, 300, 2700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := &teamsStage{retries: newRetryPools(SharedRetries{}), state: &state{identity: Identity{Host: "self", StartedAt: time.Now()}, peers: map[string]*Peer{}, liveStatesByHost: map[string][]*LiveState{"self": {nil}}}}
			now := time.Now()
			for i := range n {
				s.state.peers[fmt.Sprintf("10.%d.%d.%d", i%7, i/250, i%250)] = &Peer{HeardAt: now, HeardDirectlyAt: now}
			}
			var out control.Output
			for b.Loop() {
				s.owner(now, ownerKey(notice.ForTeam, "team"), &out)
			}
		})
	}
}
