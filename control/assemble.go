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
	Self     Self
	Seed     uint64             // of the random choices of peers
	Ejection ejection.Reporting // how often exits report on backend servers
	Window   time.Duration      // for which the ledger remembers an idempotency key
	// Shares is the table through which traffic spends tokens.
	Shares *ShareTable
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
	quotas := newQuotaStage(state, o.Shares)
	reporting := newEjectionSettings(state, o.Ejection)
	judges := newJudgesStage(state, reporting)
	health := newHealthStage(state, judges, reporting)
	judges.deliver = health.apply
	stages := []Stage{
		&stopStage{state: state},
		newHostsStage(state, table),
		&localsStage{state: state},
		newConfigStage(state, makeSpreader),
		&pathsStage{state: state, table: path.NewTable()},
		leases,
		quotas,
		&handoverStage{state: state, leases: leases, keeper: quotas.keeper, next: o.Self.Started},
		newClaimsStage(state, o.Window),
		newCrashesStage(state, source),
		judges,
		health,
		&statusStage{state: state},
	}
	publish := &publisher{state: state}
	return NewLoop(stages, publish.build, outbound)
}
