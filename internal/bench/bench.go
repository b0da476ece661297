// Package bench measures the latency that the two processes on the way of a
// request add, against direct calls to the same backend server in the same run.
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
	Rates   []float64     // requests per second on each path, open loop
	Workers int           // of the closed loop at full speed
	Time    time.Duration // of each load
	Binary  string        // runs the processes; empty runs them in this process
	Seed    uint64
	Log     *zap.Logger
}

// Report is the outcome of a run.
type Report struct {
	Processes bool  `json:"processes"` // entry and exit were processes of their own
	Loads     []Row `json:"loads"`
}

// Row holds the figures of one load.
type Row struct {
	Load      string  `json:"load"`
	Calls     int     `json:"calls"`     // on each path, the lesser
	PerSecond float64 `json:"perSecond"` // calls through the processes in a second
	// Failures counts the calls without a whole answer of status 200, on both
	// paths, by result code or reason.
	Failures map[string]int `json:"failures"`
	Direct   Quantiles      `json:"directMicros"`
	Through  Quantiles      `json:"throughMicros"`
	Added    Quantiles      `json:"addedMicros"` // differences of the quantiles
	// Cost is what one request costs both processes together, less what they
	// need without traffic; nil where it is not known.
	Cost *Cost `json:"cost,omitempty"`
}

// The team, the key and the service of the run.
const (
	team       = "bench"
	key        = "bench-key"
	service    = "lookup"
	unlimited  = 1e6 // requests per second, beyond what the run can reach
	warmUpTime = 2 * time.Second
	idleTime   = 3 * time.Second
)

func fleetSpec(o Options) demo.FleetSpec {
	return demo.FleetSpec{
		Zones:    []string{"zone-1"},
		Services: []demo.ServiceSpec{{Name: service, Servers: 1, Idempotent: true, Worth: 1, NoLog: true}},
		Teams:    []config.Team{demo.NewTeam(team, key, unlimited, unlimited)},
		Floor:    0.5,
		Seed:     o.Seed,
		Entries:  1,
		Binary:   o.Binary,
	}
}

// Run starts the processes and measures each load.
func Run(ctx context.Context, o Options) (*Report, error) {
	fleet, err := demo.StartFleet(ctx, fleetSpec(o), o.Log)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	b := &bench{options: o, ctx: ctx, random: rand.New(rand.NewPCG(o.Seed, 1))}
	b.direct = newCaller("http://" + fleet.Members[1].Backend.Address())
	b.through = newCaller(fleet.Members[0].CallersURL())
	if o.Binary != "" {
		b.meter = &meter{operators: []string{fleet.Members[0].OperatorURL(), fleet.Members[1].OperatorURL()}}
	}
	return b.run()
}

// bench is the state of a run.
type bench struct {
	options         Options
	ctx             context.Context
	random          *rand.Rand
	direct, through *caller
	meter           *meter // nil when the processes cannot be measured apart
}

func (b *bench) run() (*Report, error) {
	b.closedLoop(warmUpTime)
	if err := b.meter.measureIdle(b.ctx, idleTime); err != nil {
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

// measure runs one load and reads what it cost the processes.
func (b *bench) measure(l load) (Row, error) {
	before, err := b.meter.read(b.ctx)
	if err != nil {
		return Row{}, err
	}
	began := time.Now()
	s := l.run(b.options.Time)
	took := time.Since(began)
	after, err := b.meter.read(b.ctx)
	if err != nil {
		return Row{}, err
	}
	row := Row{
		Load:      l.name,
		Calls:     min(len(s.direct), len(s.through)),
		PerSecond: float64(len(s.through)) / s.throughTime.Seconds(),
		Failures:  s.failures,
		Direct:    quantiles(s.direct),
		Through:   quantiles(s.through),
	}
	row.Added = row.Through.minus(row.Direct)
	row.Cost = b.meter.cost(before, after, took, len(s.through))
	return row, nil
}
