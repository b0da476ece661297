package balance

import (
	"strconv"
	"sync/atomic"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	// defaultSubsetSize is large enough for a team to lose some members, but small
	// enough that a noisy team or a request that crashes backend servers affects few
	// of them.
	defaultSubsetSize = 8
	// maxUnsplitServiceSize is the largest service whose subsets contain all members.
	// With subsets of 8 of 10 members, some backend servers would be in more subsets
	// than others, so that teams could not get equal shares, and teams would hardly
	// be isolated better.
	maxUnsplitServiceSize = 16
	// largeSubsetSize is the subset size for services with more than
	// largeServiceThreshold backend servers.
	largeSubsetSize       = 16
	largeServiceThreshold = 1000
)

// IndexSet is a set of indexes into Subset.Members. The zero value is empty.
type IndexSet uint32

// With returns the set with index i added.
func (s IndexSet) With(i int) IndexSet {
	return s | 1<<i
}

// Has reports whether index i is in the set.
func (s IndexSet) Has(i int) bool {
	return s&(1<<i) != 0
}

// SubsetOptions are the settings of a subset.
type SubsetOptions struct {
	Zone  string // the zone of this process
	Slots int    // concurrent requests of one backend server; 0 means 7
}

// defaultSlots is the usual number of concurrent requests of a backend server.
const defaultSlots = 7

// Subset is the subset of a service's members that one team uses. The members are
// shared between subsets and hold the statistics; only roundRobin changes after
// NewSubset.
type Subset struct {
	Members      []*Member
	localMembers IndexSet // members in the zone of this process
	slots        int64
	roundRobin   atomic.Uint32 // counter for the turns; 0 until the first choice
}

// NewSubset returns a team's subset of a service. It selects the members by rendezvous
// hashing, spread over zones: all members of a service of up to 16 backend servers, 8
// of a larger one, and 16 of one with more than 1,000 backend servers. Every process
// selects the same members, and adding or removing a member changes few of them.
func NewSubset(team, service string, members []*Member, opts SubsetOptions) *Subset {
	byID := make(map[string]*Member, len(members))
	candidates := make([]rendezvous.Member, len(members))
	for i, m := range members {
		byID[m.ID] = m
		candidates[i] = rendezvous.Member{ID: m.ID, Zone: m.Zone}
	}
	picked := rendezvous.Rank(subsetKey(team, service), candidates, subsetSizeFor(len(members)))
	s := &Subset{slots: int64(opts.Slots)}
	if s.slots <= 0 {
		s.slots = defaultSlots
	}
	for i, p := range picked {
		s.Members = append(s.Members, byID[p.ID])
		if p.Zone == opts.Zone {
			s.localMembers = s.localMembers.With(i)
		}
	}
	return s
}

func subsetSizeFor(members int) int {
	switch {
	case members > largeServiceThreshold:
		return largeSubsetSize
	case members <= maxUnsplitServiceSize:
		return members
	default:
		return defaultSubsetSize
	}
}

// subsetKey returns the hash key of a team and a service. It prefixes the length of
// the team, so that different pairs never hash the same text.
func subsetKey(team, service string) uint64 {
	return rendezvous.Hash(strconv.Itoa(len(team)) + ":" + team + service)
}
