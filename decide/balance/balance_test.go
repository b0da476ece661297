package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/path"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newMembers(n, zones int) []*Member {
	members := make([]*Member, n)
	for i := range members {
		members[i] = NewMember(start, fmt.Sprint("backend-", i), fmt.Sprint("host-", i), fmt.Sprint("z", i%zones))
	}
	return members
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// choiceShares returns the share of 2,000 choices that each member gets.
func choiceShares(now time.Time, s *Subset) []float64 {
	const choices = 2000
	r, parts := newRand(), make([]float64, len(s.Members))
	for range choices {
		i, _ := Choose(now, r, s, 0)
		parts[i]++
	}
	for i := range parts {
		parts[i] /= choices
	}
	return parts
}

// Guards against choosing a member that was already tried, or one that is ejected,
// leaving or behind a suspect or broken path although a better tier has members.
func TestChooseTakesTheBestMembersLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSubset("team", "service", newMembers(rapid.IntRange(1, 20).Draw(t, "members"), 3), SubsetOptions{Zone: "z0"})
		var exclude IndexSet
		tiers := make([]int, len(s.Members))
		best := tierCount
		for i, m := range s.Members {
			tiers[i] = rapid.IntRange(0, tierCount-1).Draw(t, "tier")
			placeInTier(m, tiers[i])
			if rapid.Bool().Draw(t, "excluded") {
				exclude = exclude.With(i)
			} else {
				best = min(best, tiers[i])
			}
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		i, ok := Choose(start, r, s, exclude)
		if ok != (best < tierCount) {
			t.Fatalf("ok = %v with best tier %d", ok, best)
		}
		if ok && (exclude.Has(i) || tiers[i] != best) {
			t.Fatalf("chose %d: excluded %v, tier %d, best %d", i, exclude.Has(i), tiers[i], best)
		}
	})
}

func placeInTier(m *Member, tier int) {
	switch tier {
	case suspectPath:
		m.SetPath(path.Suspect)
	case ejectedMember:
		m.SetEjected(start.Add(time.Second))
	case leavingMember:
		m.SetLeaving(true)
		m.SetEjected(start.Add(time.Second))
	case brokenPath:
		m.SetPath(path.Broken)
		m.SetLeaving(true)
	}
}

// Guards against members that get no requests after their ejection has ended, their
// leaving was revoked or their path has recovered.
func TestMembersReturn(t *testing.T) {
	s := NewSubset("team", "service", newMembers(2, 1), SubsetOptions{})
	m := s.Members[0]
	m.SetEjected(start.Add(3 * time.Second))
	if share := choiceShares(start, s)[0]; share != 0 {
		t.Fatalf("ejected member got %.2f", share)
	}
	if share := choiceShares(start.Add(3*time.Second), s)[0]; share == 0 {
		t.Error("member got nothing after its ejection ended")
	}
	m.SetLeaving(true)
	m.SetPath(path.Broken)
	m.SetLeaving(false)
	m.SetPath(path.Good)
	if share := choiceShares(start.Add(4*time.Second), s)[0]; share == 0 {
		t.Error("member got nothing after its path recovered")
	}
}

// Guards against a member that is avoided forever after one slow answer, because
// without requests no sample lowers its latency average.
func TestSlowMemberIsAvoidedAndTriedAgain(t *testing.T) {
	s := NewSubset("team", "service", newMembers(8, 1), SubsetOptions{})
	for i, m := range s.Members {
		latency := 25 * time.Millisecond
		if i == 0 {
			latency = 250 * time.Millisecond
		}
		m.Begin()
		m.Done(start, latency)
	}
	if share := choiceShares(start, s)[0]; share > 0.01 {
		t.Errorf("member 10x slower got %.3f of the requests", share)
	}
	now := start
	for now.Before(start.Add(15 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		for _, m := range s.Members[1:] {
			m.Begin()
			m.Done(now, 25*time.Millisecond)
		}
	}
	if share := choiceShares(now, s)[0]; share == 0 {
		t.Error("member is still avoided 15 s after one slow answer")
	}
}

// Guards against preferring a member that answers fast because it fails, and against
// a cost that ignores requests in flight or the load that exit proxies report.
func TestCostFollowsFailuresAndLoad(t *testing.T) {
	for name, addLoad := range map[string]func(*Member){
		"failed":    func(m *Member) { m.Begin(); m.Failed(start, time.Millisecond) },
		"in flight": func(m *Member) { m.Begin() },
		"queue":     func(m *Member) { m.Report(start, 3, 0) },
		"wait":      func(m *Member) { m.Report(start, 0, 80*time.Millisecond) },
	} {
		s := NewSubset("team", "service", newMembers(2, 1), SubsetOptions{})
		for _, m := range s.Members {
			m.Begin()
			m.Done(start, 10*time.Millisecond)
		}
		addLoad(s.Members[0])
		if share := choiceShares(start, s)[0]; share != 0 {
			t.Errorf("%s: the loaded member of two got %.2f", name, share)
		}
		m := s.Members[0]
		if queue, wait := m.ReportedLoad(start.Add(2 * LoadReportTTL)); queue != 0 || wait != 0 {
			t.Errorf("%s: a report older than LoadReportTTL is still used: %d, %v", name, queue, wait)
		}
	}
}

// Guards against traffic that leaves the zone while local members have free slots,
// and against overloading a zone while members in other zones are idle.
func TestLocalZoneIsPreferredUntilLoaded(t *testing.T) {
	s := NewSubset("team", "service", newMembers(2, 2), SubsetOptions{Zone: "z1"})
	local := slices.IndexFunc(s.Members, func(m *Member) bool { return m.Zone == "z1" })
	if share := choiceShares(start, s)[local]; share != 1 {
		t.Errorf("equal local member got %.2f, want all", share)
	}
	for range defaultSlots {
		s.Members[local].Begin()
		s.Members[1-local].Begin()
	}
	if share := choiceShares(start, s)[local]; share != 0.5 {
		t.Errorf("loaded local member got %.2f, want half", share)
	}
	for range defaultSlots {
		s.Members[1-local].Abandoned()
	}
	if share := choiceShares(start, s)[local]; share != 0 {
		t.Errorf("loaded local member got %.2f while the remote one is idle, want none", share)
	}
}

// Guards against entry proxies that all choose the same member because of a small
// difference in latency. This makes the arrivals of a team uneven, and its bursts are
// then refused under overload.
func TestSmallDifferencesDoNotConcentrateTraffic(t *testing.T) {
	s := NewSubset("team", "service", newMembers(8, 1), SubsetOptions{})
	for i, m := range s.Members {
		m.Begin()
		m.Done(start, time.Duration(20+2*i)*time.Millisecond)
	}
	for i, share := range choiceShares(start, s) {
		if share != 1.0/8 {
			t.Errorf("member %d got %.3f, want an eighth", i, share)
		}
	}
	first := make(map[int]bool)
	for seed := range uint64(64) {
		fresh := NewSubset("team", "service", newMembers(8, 1), SubsetOptions{})
		i, _ := Choose(start, rand.New(rand.NewPCG(seed, 0)), fresh, 0)
		first[i] = true
	}
	if len(first) != 8 {
		t.Errorf("64 entry proxies started with %d different members, want 8", len(first))
	}
}

// Guards against subsets that are concentrated in one zone, grow with the service, or
// change in many members when one backend server is removed.
func TestSubsetIsBoundedSpreadAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(12, 1200).Draw(t, "members")
		members := newMembers(n, 4)
		team := rapid.StringN(0, 8, 20).Draw(t, "team")
		before := NewSubset(team, "service", members, SubsetOptions{Zone: "z0"})
		limit := defaultSubsetSize
		if n <= maxUnsplitServiceSize {
			limit = n
		} else if n > largeServiceThreshold {
			limit = largeSubsetSize
		}
		zones := make(map[string]int)
		for _, m := range before.Members {
			zones[m.Zone]++
		}
		if len(before.Members) != limit || len(zones) != 4 || zones["z0"] != (limit+3)/4 {
			t.Fatalf("%d members, want %d, zones %v", len(before.Members), limit, zones)
		}
		if n == largeServiceThreshold+1 {
			return // the removal reduces the subset size
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		after := NewSubset(team, "service", slices.Delete(slices.Clone(members), removed, removed+1), SubsetOptions{})
		replaced := 0
		for _, m := range before.Members {
			if !slices.Contains(after.Members, m) {
				replaced++
			}
		}
		// The removed member, and one more if the order of the zones changes.
		if replaced > 2 {
			t.Fatalf("one removal replaced %d members of the subset", replaced)
		}
	})
}

// Guards against lost or inconsistent updates when many requests end concurrently.
// Data races are found only with the race detector.
func TestStatisticsUnderConcurrentUse(t *testing.T) {
	s := NewSubset("team", "service", newMembers(8, 2), SubsetOptions{Zone: "z0"})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(g), 0))
			for n := range 500 {
				now := start.Add(time.Duration(n) * time.Millisecond)
				i, _ := Choose(now, r, s, 0)
				m := s.Members[i]
				m.Begin()
				m.Report(now, g, time.Duration(g)*time.Millisecond)
				m.Done(now, time.Duration(10+g)*time.Millisecond)
			}
		})
	}
	wg.Wait()
	now := start.Add(500 * time.Millisecond)
	for _, m := range s.Members {
		if m.InFlight() != 0 || m.Latency(now) > 17*time.Millisecond {
			t.Errorf("%s: %d in flight, latency %v", m.ID, m.InFlight(), m.Latency(now))
		}
	}
}

// Guards against heap allocations for each request, at any size of the service.
func TestChooseAllocatesNothing(t *testing.T) {
	for _, n := range []int{8, 1000, 31000} {
		s, r := NewSubset("team", "service", newMembers(n, 16), SubsetOptions{Zone: "z0"}), newRand()
		if got := testing.AllocsPerRun(100, func() { Choose(start, r, s, 0) }); got != 0 {
			t.Errorf("%d members: %.1f allocations, want 0", n, got)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 1000, 31000} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			s, r := NewSubset("team", "service", newMembers(n, 16), SubsetOptions{Zone: "z0"}), newRand()
			for i, m := range s.Members {
				m.Begin()
				m.Done(start, time.Duration(i+1)*time.Millisecond)
				m.Report(start, i, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				Choose(start, r, s, 0)
			}
		})
	}
}

func ExampleChoose() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	members := []*Member{
		NewMember(now, "bookings-1", "10.0.1.1:7000", "north"),
		NewMember(now, "bookings-2", "10.0.2.1:7000", "south"),
	}
	s := NewSubset("roster", "bookings", members, SubsetOptions{Zone: "north"})
	r := rand.New(rand.NewPCG(1, 1))

	first, _ := Choose(now, r, s, 0)
	fmt.Println("first:", s.Members[first].ID)
	second, _ := Choose(now, r, s, IndexSet(0).With(first))
	fmt.Println("second:", s.Members[second].ID)
	_, ok := Choose(now, r, s, IndexSet(0).With(first).With(second))
	fmt.Println("third:", ok)
	// Output:
	// first: bookings-1
	// second: bookings-2
	// third: false
}
