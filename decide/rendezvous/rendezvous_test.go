package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func newMembers(n, zones int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return members
}

// Guards against a single removed host that replaces more than one of the members
// selected for a key: lease roles would then move between hosts that stay.
func TestRemovingOneMemberReplacesAtMostOnePick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(12, 60).Draw(t, "hosts"), 4)
		key := rapid.Uint64().Draw(t, "key")
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		before := Rank(key, members, 9)
		rest := append(append([]Member(nil), members[:gone]...), members[gone+1:]...)
		after := Rank(key, rest, 9)
		if lost := countMissing(before, after); lost > 1 {
			t.Fatalf("one change replaced %d of 9 picks", lost)
		}
	})
}

// countMissing returns how many members of before are not in after.
func countMissing(before, after []Member) int {
	kept := make(map[string]bool)
	for _, m := range after {
		kept[m.ID] = true
	}
	lost := 0
	for _, m := range before {
		if !kept[m.ID] {
			lost++
		}
	}
	return lost
}

// Guards against selections that concentrate in one availability zone: the loss of
// that zone would then lose the quorum.
func TestPicksAreSpreadOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		members := newMembers(zones*9, zones)
		counts := make(map[string]int)
		for _, m := range Rank(rapid.Uint64().Draw(t, "key"), members, 9) {
			counts[m.Zone]++
		}
		limit := (9 + zones - 1) / zones
		for zone, n := range counts {
			if n > limit {
				t.Fatalf("zone %s has %d of 9 picks, want at most %d", zone, n, limit)
			}
		}
	})
}

// Guards against two members with the same position, or an order other than Rank's.
func TestPositionsFollowTheRanking(t *testing.T) {
	members := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for key := range uint64(20) {
		for i, member := range Rank(key, members, len(members)) {
			if got := Position(key, members, member.ID); got != i {
				t.Errorf("key %d: position of %s is %d, ranked %d", key, member.ID, got, i)
			}
		}
	}
}
