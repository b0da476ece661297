package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// Guards against a fleet in which requests within the rate never find a keeper.
func TestFleetServes(t *testing.T) {
	cfg := Config{Seed: 1, Hosts: Hosts(26, "a", "b", "c", "d"), SameZone: 200 * time.Microsecond, OtherZone: 500 * time.Microsecond, Jitter: 200 * time.Microsecond}
	f := New(cfg, map[string]quota.Limit{"team": {Rate: 100, Burst: 50, Version: 1}})
	f.Run(5 * time.Second)
	held := map[uint32]bool{}
	for _, s := range f.Tenures {
		held[s.Shard] = true
	}
	fmt.Println(len(held), len(f.Tenures), f.Tenures[0].At, f.Tenures[len(f.Tenures)-1].At, f.Counters)
	base := f.Counters
	var rs []*Request
	for i := range 4000 {
		at := 5*time.Second + time.Duration(i)*10*time.Millisecond*5/4
		f.At(at, func() { rs = append(rs, f.Ask(cfg.Hosts[f.rng.IntN(26)].ID, "team")) })
	}
	f.Run(60 * time.Second)
	ok, waited := 0, 0
	var maxw time.Duration
	for _, r := range rs {
		if r.Admitted {
			ok++
		}
		if r.Waited > 0 {
			waited++
		}
		maxw = max(maxw, r.Waited)
	}
	fmt.Println(len(rs), ok, waited, maxw, f.Counters.Quota-base.Quota, f.Counters.Lease-base.Lease)
}
