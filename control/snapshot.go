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

// Snapshot is the control state that request goroutines read. It is immutable except
// for the atomics that it points to and the cache of subsets.
type Snapshot struct {
	Config      *config.Config // nil until a configuration is accepted
	HostVersion uint64         // version of the host list
	// KeysTrustedUntil is the time from which the process can no longer rule out
	// that a key was revoked, unless a later snapshot extends it. It is compared with
	// the clock at the moment of use, so that it also holds after a pause.
	KeysTrustedUntil time.Time
	// ReadyAt is when the leaders are expected to grant full rates.
	ReadyAt       time.Time
	Stopping      bool // a planned stop has begun
	Services      map[string]*Service
	ControlAddrs  map[string]string         // control address by host
	LocalBackends map[string]*LocalBackend  // backend servers of this host by identifier
	Ejections     map[string]ejection.Lease // of the backend servers of this host
	// Quarantine holds the fingerprints that are suspect or blocked.
	Quarantine *quarantine.Snapshot
}

// leaderWaitTimeout is how long a starting process waits for leaders of the shards
// that it is a voter of before it becomes ready without them. Voters promise
// nothing for the first 2.04 s, and the first round of promises follows within half
// a second; the rest allows for a busy host and two more rounds.
const leaderWaitTimeout = 5 * time.Second

// reducedGrantPeriod is the least time from its first configuration until a process
// becomes ready, even if the leaders are known. Until then a leader grants reduced
// rates, since it may have missed a change of the number of parts (docs/quota.md).
// The margin of 300 ms allows for a busy host.
const reducedGrantPeriod = quota.StartupReducedLimitPeriod + 300*time.Millisecond

// Ready reports whether the process accepts requests from callers: it has a
// configuration, can trust its keys, has reached ReadyAt and is not stopping.
func (s *Snapshot) Ready(now time.Time) bool {
	return s.Config != nil && now.Before(s.KeysTrustedUntil) && !now.Before(s.ReadyAt) && !s.Stopping
}

// Service holds the data that an entry proxy needs to route requests to a service.
type Service struct {
	Name         string
	Zone         string // of this process
	Members      []*balance.Member
	TrafficAddrs map[string]string // traffic address by host

	subsets *sync.Map // team name to *balance.Subset
}

// Subset returns the members that a team uses. It is computed on first use and cached
// per team.
func (s *Service) Subset(team string) *balance.Subset {
	if cached, ok := s.subsets.Load(team); ok {
		return cached.(*balance.Subset)
	}
	subset := balance.NewSubset(team, s.Name, s.Members, balance.SubsetOptions{Zone: s.Zone})
	s.subsets.Store(team, subset)
	return subset
}

// LocalBackend is a backend server of this host.
type LocalBackend struct {
	ID      string
	Service string
	Addr    string
	Slots   int
	Leaving bool
}

// RetryPolicyKey identifies the retry policy of a request class of a service.
type RetryPolicyKey struct {
	Service string
	Class   string
}

// RetryPolicies holds the retry policies of an entry proxy. They are created on first
// use and kept for the lifetime of the process, since they accumulate statistics.
type RetryPolicies struct {
	table sync.Map // RetryPolicyKey to *retry.Policy
}

// Get returns the policy for a key and creates it on first use.
func (p *RetryPolicies) Get(key RetryPolicyKey) *retry.Policy {
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
