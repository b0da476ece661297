package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/fleetsim"
)

// driftLimit makes clock rates differ by just under 2%.
const driftLimit = 0.0196

func drawConfig(t *rapid.T) fleetsim.Config {
	zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
	return fleetsim.Config{
		Seed:             rapid.Uint64().Draw(t, "seed"),
		Hosts:            fleetsim.Hosts(rapid.IntRange(1, 14).Draw(t, "hosts"), zones...),
		SameZoneLatency:  200 * time.Microsecond,
		CrossZoneLatency: time.Millisecond,
		Jitter:           rapid.SampledFrom([]time.Duration{1, 20, 150, 400, 1500}).Draw(t, "jitter ms") * time.Millisecond,
		LossRate:         rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss"),
		MaxClockSlowdown: driftLimit,
		MaxListDelay:     2 * time.Second,
	}
}

func drawFaults(t *rapid.T, until time.Duration) []fleetsim.Fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleetsim.Fault {
		return fleetsim.Fault{
			Kind:     fleetsim.FaultKind(rapid.IntRange(0, fleetsim.FaultKindCount-1).Draw(t, "kind")),
			At:       time.Duration(rapid.Int64Range(int64(2*time.Second), int64(until)).Draw(t, "at")),
			Host:     rapid.IntRange(0, 13).Draw(t, "host"),
			Duration: time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(4*time.Second)).Draw(t, "for")),
		}
	}), 0, 24).Draw(t, "faults")
}

// Guards against two leaders of a shard at the same time, and against a tenure that
// starts less than MinTenure after the previous one, while grants of both may be
// outstanding.
func TestAtMostOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 15 * time.Second
		f := fleetsim.New(drawConfig(t), nil)
		f.ScheduleFaults(drawFaults(t, length))
		f.Run(length)
		last := make(map[uint32]fleetsim.TenureStart)
		for _, s := range f.Tenures {
			if s.OtherLeader != "" {
				t.Fatalf("at %v %s and %s hold shard %d", s.At, s.Host, s.OtherLeader, s.Shard)
			}
			before, seen := last[s.Shard]
			if seen && s.At-before.At < lease.MinTenure {
				t.Fatalf("shard %d: %s started %v after %s", s.Shard, s.Host, s.At-before.At, before.Host)
			}
			last[s.Shard] = s
		}
	})
}

// Guards against quorums that do not intersect, for all numbers of voters and
// the differences of host lists that Quorum documents.
func TestQuorumsIntersect(t *testing.T) {
	tolerated := func(n int) int {
		switch {
		case n >= 5:
			return 2
		case n == 4:
			return 1
		}
		return 0
	}
	want := map[int]int{1: 1, 3: 2, 4: 3, 5: 4, 7: 5, 9: 6}
	for n := 1; n <= lease.MaxVoters; n++ {
		if q, ok := want[n]; ok && lease.Quorum(n) != q {
			t.Errorf("Quorum(%d) = %d, want %d", n, lease.Quorum(n), q)
		}
		if union := n + tolerated(n); 2*lease.Quorum(n) <= union {
			t.Errorf("two quorums of %d among %d hosts can be disjoint", lease.Quorum(n), union)
		}
	}
}

// Guards against a placement that depends on the history of the member list:
// processes that saw different changes would choose different voters.
func TestPlacementEqualsFullRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleetsim.Hosts(rapid.IntRange(1, 40).Draw(t, "hosts"), "a", "b", "c")
		p := lease.NewPlacement(members)
		for step := range 4 {
			i := rapid.IntRange(0, len(members)-1).Draw(t, "out")
			members = append([]rendezvous.Member(nil), members...)
			members[i] = rendezvous.Member{ID: string(rune('A' + step)), Zone: members[i].Zone}
			if rapid.Bool().Draw(t, "grow") {
				members = append(members, rendezvous.Member{ID: string(rune('a' + step)), Zone: "d"})
			}
			p.SetMembers(members)
			full := lease.NewPlacement(members)
			for shard := range uint32(rendezvous.ShardCount) {
				for rank, m := range full.Voters(shard) {
					if p.Rank(shard, m.ID) != rank {
						t.Fatalf("shard %d: %s has rank %d, want %d", shard, m.ID, p.Rank(shard, m.ID), rank)
					}
				}
			}
		}
	})
}

// Guards against a shard that stays without a leader for too long after a crash or
// a planned stop, in a network that loses no messages.
func TestTakeoverTime(t *testing.T) {
	f := fleetsim.New(fleetsim.Config{
		Seed: 7, Hosts: fleetsim.Hosts(12, "a", "b", "c"), CrossZoneLatency: time.Millisecond, MaxClockSlowdown: driftLimit,
	}, nil)
	f.Run(6 * time.Second)
	f.Crash("host-00")
	f.Run(12 * time.Second)
	f.Stop("host-01", 3*time.Second)
	f.Run(18 * time.Second)
	var crash, stop time.Duration
	for _, s := range f.Tenures {
		switch {
		case s.At > 12*time.Second:
			stop = max(stop, s.At-12*time.Second)
		case s.At > 6*time.Second:
			crash = max(crash, s.At-6*time.Second)
		}
	}
	// After a crash the promises expire within PromiseTerm; then each rank waits for
	// the better ranks, at most RenewInterval and one tick per rank.
	if limit := lease.PromiseTerm + 3*lease.RenewInterval; crash == 0 || crash > limit {
		t.Errorf("takeover after a crash took %v, want at most %v", crash, limit)
	}
	if limit := 100 * time.Millisecond; stop == 0 || stop > limit {
		t.Errorf("planned handover took %v, want at most %v", stop, limit)
	}
}
