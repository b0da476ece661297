package balance

import (
	"strconv"
	"sync/atomic"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	// subsetSize spreads a team over enough members to lose some, while a noisy
	// team or a crashing request reaches few of them.
	subsetSize = 8
	// wholeService is the size up to which a subset is the whole service. With 8
	// of 10 members some backend servers would be in more subsets than others,
	// and teams could not get equal shares; 8 of 10 isolate hardly better.
	wholeService = 16
	// largeSubsetSize is used for services above largeService backend servers.
	largeSubsetSize = 16
	largeService    = 1000
)

// Set is a set of indexes into a subset. The zero value is empty.
type Set uint32

// With returns the set with index i added.
func (s Set) With(i int) Set {
	return s | 1<<i
}

// Has tells whether index i is in the set.
func (s Set) Has(i int) bool {
	return s&(1<<i) != 0
}

// Options are the settings of a subset.
type Options struct {
	Zone  string // the zone of this process
	Slots int    // concurrent requests of one backend server; 0 means 7
}

// defaultSlots is the usual number of concurrent requests of a backend server.
const defaultSlots = 7

// Subset is the part of a service's members that one team uses. The members are
// shared and carry the statistics; only the turn changes.
type Subset struct {
	Members []*Member
	local   Set // members in the zone of this process
	slots   int64
	turn    atomic.Uint32 // 0 until the first choice
}

// NewSubset picks the members of a team's subset of a service by rendezvous
// hashing, spread over zones: all members of services of up to 16 backend
// servers, 8 in larger ones, 16 above 1,000 backend servers. Every process picks
// the same, and one member more or less changes few picks.
func NewSubset(team, service string, members []*Member, opts Options) *Subset {
	byID := make(map[string]*Member, len(members))
	candidates := make([]rendezvous.Member, len(members))
	for i, m := range members {
		byID[m.ID] = m
		candidates[i] = rendezvous.Member{ID: m.ID, Zone: m.Zone}
	}
	picked := rendezvous.Rank(subsetKey(team, service), candidates, size(len(members)))
	s := &Subset{slots: int64(opts.Slots)}
	if s.slots <= 0 {
		s.slots = defaultSlots
	}
	for i, p := range picked {
		s.Members = append(s.Members, byID[p.ID])
		if p.Zone == opts.Zone {
			s.local = s.local.With(i)
		}
	}
	return s
}

func size(members int) int {
	switch {
	case members > largeService:
		return largeSubsetSize
	case members <= wholeService:
		return members
	default:
		return subsetSize
	}
}

// subsetKey prefixes the length of the team, so that no two pairs share a key.
func subsetKey(team, service string) uint64 {
	return rendezvous.Hash(strconv.Itoa(len(team)) + ":" + team + service)
}
