package control

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/path"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// Options configure the control loop of a process.
type Options struct {
	Self              Self
	Seed              uint64             // of the random selection of peers
	EjectionReporting ejection.Reporting // how often exit proxies report the health of backend servers
	LedgerWindow      time.Duration      // how long the ledger remembers an idempotency key
	// TokenCaches holds the tokens that request handling spends.
	TokenCaches *TokenCacheTable
}

// New returns the control loop of a process with all its stages in order.
func New(o Options, outbound Outbound) *Loop[Snapshot] {
	state := NewState(o.Self)
	source := rand.New(rand.NewPCG(o.Seed, o.Self.Incarnation))
	table := membership.New(membership.Options{Self: o.Self.ID, Incarnation: o.Self.Incarnation, Rand: source})
	makeSpreader := func(validate func(spread.Document) error) *spread.Spreader {
		return spread.New(spread.Options{Self: o.Self.ID, Rand: source, Validate: validate})
	}
	leases := newLeasesStage(state)
	quotas := newQuotaStage(state, o.TokenCaches)
	reporting := newEjectionSettings(state, o.EjectionReporting)
	detectors := newDetectorsStage(state, reporting)
	health := newHealthStage(state, detectors, reporting)
	detectors.applyLocally = health.applyVerdicts
	stages := []Stage{
		&stopStage{state: state},
		newHostsStage(state, table),
		&localBackendsStage{state: state},
		newConfigStage(state, makeSpreader),
		&pathsStage{state: state, table: path.NewTable()},
		leases,
		quotas,
		&handoverStage{state: state, leases: leases, leader: quotas.leader, nextCheck: o.Self.Started},
		newClaimsStage(state, o.LedgerWindow),
		newQuarantineStage(state, source),
		detectors,
		health,
		&statusStage{state: state},
	}
	publish := &publisher{state: state}
	return NewLoop(stages, publish.build, outbound)
}
