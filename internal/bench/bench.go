// Package bench measures the latency that the two fleet processes on the path of a
// request add, compared with direct calls to the same backend server in the same run.
package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/demo"
)

// Options configure a run.
type Options struct {
	Rates        []float64     // requests per second on each path, open loop
	Workers      int           // concurrent callers of the closed loop at full speed
	LoadDuration time.Duration // of each load
	Binary       string        // ragwortyard binary that runs each process; empty runs all in this process
	Seed         uint64
	Log          *zap.Logger
}

// Report is the result of a run.
type Report struct {
	Processes bool         `json:"processes"` // entry and exit ran as separate processes
	Loads     []LoadResult `json:"loads"`
}

// LoadResult holds the results of one load.
type LoadResult struct {
	Load      string  `json:"load"`
	Calls     int     `json:"calls"`     // successful calls per path, the smaller of both
	PerSecond float64 `json:"perSecond"` // successful calls per second through the processes
	// Failures counts the calls on both paths that did not return a complete answer of
	// status 200, by result code or reason.
	Failures map[string]int `json:"failures"`
	Direct   Quantiles      `json:"directMicros"`
	Proxied  Quantiles      `json:"throughMicros"`
	Added    Quantiles      `json:"addedMicros"` // Proxied minus Direct, quantile by quantile
	// Cost is what one request costs both processes together, minus their consumption
	// without traffic; nil if it was not measured.
	Cost *Cost `json:"cost,omitempty"`
}

// Names, limits and durations of a run.
const (
	teamName       = "bench"
	apiKey         = "bench-key"
	serviceName    = "lookup"
	unlimitedRate  = 1e6 // requests per second, more than a run can send
	warmUpDuration = 2 * time.Second
	idleDuration   = 3 * time.Second
)

func fleetSpec(o Options) demo.FleetSpec {
	return demo.FleetSpec{
		Zones:      []string{"zone-1"},
		Services:   []demo.ServiceSpec{{Name: serviceName, Servers: 1, Idempotent: true, Worth: 1, NoLog: true}},
		Teams:      []config.Team{demo.NewTeam(teamName, apiKey, unlimitedRate, unlimitedRate)},
		Floor:      0.5,
		Seed:       o.Seed,
		EntryCount: 1,
		Binary:     o.Binary,
	}
}

// Run starts the processes and measures each load.
func Run(ctx context.Context, o Options) (*Report, error) {
	fleet, err := demo.StartFleet(ctx, fleetSpec(o), o.Log)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	b := &runner{options: o, ctx: ctx, random: rand.New(rand.NewPCG(o.Seed, 1))}
	b.direct = newCaller("http://" + fleet.Members[1].Backend.Address())
	b.proxied = newCaller(fleet.Members[0].CallersURL())
	if o.Binary != "" {
		b.meter = &costMeter{operatorURLs: []string{fleet.Members[0].OperatorURL(), fleet.Members[1].OperatorURL()}}
	}
	return b.run()
}

// runner holds the state of a run.
type runner struct {
	options         Options
	ctx             context.Context
	random          *rand.Rand
	direct, proxied *caller
	meter           *costMeter // nil if the processes run in this process and can't be measured separately
}

func (b *runner) run() (*Report, error) {
	b.closedLoop(warmUpDuration)
	if err := b.meter.measureIdle(b.ctx, idleDuration); err != nil {
		return nil, err
	}
	report := &Report{Processes: b.meter != nil}
	for _, l := range b.loads() {
		row, err := b.measure(l)
		if err != nil {
			return nil, eris.Wrapf(err, "load %q", l.name)
		}
		report.Loads = append(report.Loads, row)
	}
	return report, b.ctx.Err()
}

// measure runs one load and measures its cost.
func (b *runner) measure(l load) (LoadResult, error) {
	before, err := b.meter.read(b.ctx)
	if err != nil {
		return LoadResult{}, err
	}
	started := time.Now()
	s := l.run(b.options.LoadDuration)
	elapsed := time.Since(started)
	after, err := b.meter.read(b.ctx)
	if err != nil {
		return LoadResult{}, err
	}
	row := LoadResult{
		Load:      l.name,
		Calls:     min(len(s.direct), len(s.proxied)),
		PerSecond: float64(len(s.proxied)) / s.proxiedTime.Seconds(),
		Failures:  s.failures,
		Direct:    quantiles(s.direct),
		Proxied:   quantiles(s.proxied),
	}
	row.Added = row.Proxied.minus(row.Direct)
	row.Cost = b.meter.cost(before, after, elapsed, len(s.proxied))
	return row, nil
}
