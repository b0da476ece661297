package control

import (
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/retry"
)

// Snapshot is the control state that traffic reads. It is immutable except for
// the atomics that it points to and the cache of subsets.
type Snapshot struct {
	Config *config.Config // nil until a configuration was accepted
	Hosts  uint64         // version of the host list
	// KeysUntil is when the process can no longer rule out that a key was
	// withdrawn, unless a later snapshot extends it. Traffic compares it with the
	// clock at the moment of use, so that it also holds after a pause.
	KeysUntil time.Time
	// ReadyAt is when the process is ready as far as keepers are concerned.
	ReadyAt   time.Time
	Stopping  bool // a planned stop has begun
	Services  map[string]*Service
	Controls  map[string]string         // control address by host
	Locals    map[string]*Local         // backend servers of this host by identifier
	Ejections map[string]ejection.Lease // of the backend servers of this host
	// Quarantine holds the fingerprints that are suspect or condemned.
	Quarantine *quarantine.Snapshot
}

// startTime is how long a starting process waits for keepers of the shards that
// it is a witness of before it calls itself ready without them. Witnesses promise
// nothing for the first 2.04 s, and the first round of promises follows within
// half a second; the rest allows for a busy host and for two more rounds.
const startTime = 5 * time.Second

// cautiousTime is how long after its first configuration a process waits although
// the keepers are known: a keeper grants less until then, since it may have missed
// a change of the number of parts (docs/quota.md). The margin covers a busy host.
const cautiousTime = quota.StartupReducedLimitPeriod + 300*time.Millisecond

// Ready tells whether the process takes callers: it has a configuration that it
// can trust and is not stopping.
func (s *Snapshot) Ready(now time.Time) bool {
	return s.Config != nil && now.Before(s.KeysUntil) && !now.Before(s.ReadyAt) && !s.Stopping
}

// Service is what an entry needs to route to a service.
type Service struct {
	Name    string
	Zone    string // of this process
	Members []*balance.Member
	Addrs   map[string]string // traffic address by host

	subsets *sync.Map // team name to *balance.Subset
}

// Subset returns the members that a team uses. It is computed once for each
// team that sends to this process.
func (s *Service) Subset(team string) *balance.Subset {
	if cached, ok := s.subsets.Load(team); ok {
		return cached.(*balance.Subset)
	}
	subset := balance.NewSubset(team, s.Name, s.Members, balance.SubsetOptions{Zone: s.Zone})
	s.subsets.Store(team, subset)
	return subset
}

// Local is a backend server of this host.
type Local struct {
	ID      string
	Service string
	Addr    string
	Slots   int
	Leaving bool
}

// PolicyKey names the retry policy of a class of a service.
type PolicyKey struct {
	Service string
	Class   string
}

// Policies holds the retry policies of an entry. They live as long as the
// process, since they learn; traffic creates them on first use.
type Policies struct {
	table sync.Map // PolicyKey to *retry.Policy
}

// Get returns the policy of a class of a service.
func (p *Policies) Get(key PolicyKey) *retry.Policy {
	if policy, ok := p.table.Load(key); ok {
		return policy.(*retry.Policy)
	}
	fresh := &retry.Policy{
		Budget:       retry.NewBudget(retry.DefaultRetryRatio, retry.DefaultMaxBalance),
		HedgeLatency: &retry.P95Estimator{},
	}
	policy, _ := p.table.LoadOrStore(key, fresh)
	return policy.(*retry.Policy)
}
