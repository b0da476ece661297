package rendezvous

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// rankBySorting is a reference implementation of Rank that sorts all members.
func rankBySorting(key uint64, members []Member, n int) []Member {
	h := newHasher(key)
	all := make([]scoredMember, len(members))
	for i, m := range members {
		all[i] = scoredMember{index: i, score: h.score(m.ID)}
	}
	sort.Slice(all, func(i, j int) bool { return compareScores(members, all[i], all[j]) < 0 })
	seen := make(map[string]int)
	rounds := make([]int, len(members))
	for _, s := range all {
		zone := members[s.index].Zone
		rounds[s.index] = seen[zone]
		seen[zone]++
	}
	sort.SliceStable(all, func(i, j int) bool { return rounds[all[i].index] < rounds[all[j].index] })
	var picked []Member
	for _, s := range all[:min(n, len(all))] {
		picked = append(picked, members[s.index])
	}
	return picked
}

// Guards against results of Rank that differ from sorting all members: processes
// of different versions would select different lease voters.
func TestRankEqualsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		key := rapid.Uint64().Draw(t, "key")
		n := rapid.IntRange(0, 12).Draw(t, "n")
		got, want := Rank(key, members, n), rankBySorting(key, members, n)
		if !slices.Equal(got, want) {
			t.Fatalf("ranked %v, want %v", got, want)
		}
	})
}

// drawMembers draws a member list with zones of different sizes.
func drawMembers(t *rapid.T) []Member {
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	var members []Member
	for i := range rapid.IntRange(0, 40).Draw(t, "hosts") {
		zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
		members = append(members, Member{ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("z%d", zone)})
	}
	return members
}

// Guards against an incremental update that differs from a ranking of the newest
// member list: a process that has just started computes the latter. Also checks
// that SetMembers reports exactly the shards that changed.
func TestIncrementalRankingEqualsFullRanking(t *testing.T) {
	key := func(shard uint32) uint64 { return uint64(shard) * 0x9E3779B97F4A7C15 }
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "n")
		r := NewRanking(8, n, key)
		members := drawMembers(t)
		for step := range rapid.IntRange(1, 6).Draw(t, "steps") {
			before := make([][]Member, 8)
			for shard := range before {
				before[shard] = r.Ranked(uint32(shard))
			}
			changed := r.SetMembers(members)
			for shard := range uint32(8) {
				if want := rankBySorting(key(shard), members, n); !slices.Equal(r.Ranked(shard), want) {
					t.Fatalf("step %d: shard %d has %v, want %v", step, shard, r.Ranked(shard), want)
				}
				moved := !slices.Equal(before[shard], r.Ranked(shard))
				if moved != slices.Contains(changed, shard) {
					t.Fatalf("step %d: shard %d moved %v, reported %v", step, shard, moved, changed)
				}
			}
			members = mutate(t, members)
		}
	})
}

// mutate removes or adds one member or changes its zone.
func mutate(t *rapid.T, members []Member) []Member {
	next := slices.Clone(members)
	id := fmt.Sprintf("host-%d", rapid.IntRange(0, 60).Draw(t, "host"))
	zone := fmt.Sprintf("z%d", rapid.IntRange(0, 5).Draw(t, "new zone"))
	at := slices.IndexFunc(next, func(m Member) bool { return m.ID == id })
	switch {
	case at < 0:
		return append(next, Member{ID: id, Zone: zone})
	case rapid.Bool().Draw(t, "move"):
		next[at].Zone = zone
		return next
	}
	return slices.Delete(next, at, at+1)
}
