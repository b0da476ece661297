package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against an entry proxy that avoids a backend server permanently after its
// exit proxy refused a request: no message tells the entry proxy that the server
// accepts requests again.
func TestRefusalBackoffExpires(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, code := range []pipeline.Code{pipeline.CodeEjected, pipeline.CodeBackendLeaving, pipeline.CodeStopping} {
		refusing := balance.NewMember(now, "refusing", "host-1", "zone")
		other := balance.NewMember(now, "other", "host-2", "zone")
		subset := balance.NewSubset("team", "service", []*balance.Member{refusing, other}, balance.SubsetOptions{Zone: "zone"})
		refusing.Begin()
		a := attempt{target: pipeline.Target{Stats: refusing}, sent: now}
		a.answer = fleet.HopAnswer{Result: pipeline.Refuse(code, "")}
		a.updateTargetStats(now)
		if chosen := countChosen(now, subset, refusing); chosen != 0 {
			t.Errorf("%v: chosen %d times right after the refusal", code, chosen)
		}
		if chosen := countChosen(now.Add(refusalBackoff), subset, refusing); chosen == 0 {
			t.Errorf("%v: never chosen again", code)
		}
	}
}

func countChosen(now time.Time, s *balance.Subset, m *balance.Member) int {
	r := rand.New(rand.NewPCG(1, 1))
	count := 0
	for range 100 {
		if i, ok := balance.Choose(now, r, s, 0); ok && s.Members[i] == m {
			count++
		}
	}
	return count
}
