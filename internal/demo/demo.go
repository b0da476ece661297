package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
)

// Options configure the demonstration.
type Options struct {
	Seed           uint64
	InvariantsOnly bool // only checks that do not depend on the speed of the machine can fail the run
	Out            io.Writer
	Log            *zap.Logger
}

// ErrFailed reports that a check of the demonstration failed.
var ErrFailed = errors.New("the demonstration failed a check")

// Request rates of the teams, in requests per second over the whole fleet.
const (
	clinicsRate  = 80 // to the service roster; a quarter of it to each other service
	schoolsRate  = 40
	shopsRate    = 30
	visitorsRate = 50
	noisyFactor  = 5
	burstSeconds = 1
)

// demoSpec returns the fleet of the demonstration: the Kōwhai deployment of the design
// page with fewer backend servers.
func demoSpec(seed uint64) FleetSpec {
	return FleetSpec{
		Zones: []string{"akl-1", "akl-2", "wlg-1", "chc-1"},
		Services: []ServiceSpec{
			{Name: "roster", Servers: 6, ServiceTime: fakes.LogNormalTime(8*time.Millisecond, 0.4), Idempotent: true, Worth: 1},
			{Name: "bookings", Servers: 6, ServiceTime: fakes.LogNormalTime(12*time.Millisecond, 0.4), Worth: 5},
			{Name: "invoicing", Servers: 4, ServiceTime: fakes.LogNormalTime(12*time.Millisecond, 0.4), Worth: 8},
		},
		Teams: demoTeams(),
		Floor: 0.5,
		Seed:  seed,
	}
}

func demoTeams() []config.Team {
	return []config.Team{
		NewTeam("clinics", apiKeyOf("clinics"), 3*clinicsRate, 3*clinicsRate*burstSeconds),
		NewTeam("schools", apiKeyOf("schools"), 3*schoolsRate, 3*schoolsRate*burstSeconds),
		NewTeam("shops", apiKeyOf("shops"), shopsRate, shopsRate*burstSeconds),
		NewTeam("visitors", apiKeyOf("visitors"), 2*visitorsRate, 2*visitorsRate*burstSeconds),
	}
}

// apiKeyOf returns the API key of a team in the demonstration.
func apiKeyOf(team string) string { return "demo-key-of-" + team }

// scenario is one step of the demonstration. Scenarios run one after the other on the
// same fleet and with the same background traffic.
type scenario struct {
	name string
	run  func(ctx context.Context, d *demoRun) error
}

// demoRun holds the state of one run of the demonstration.
type demoRun struct {
	options  Options
	fleet    *Fleet
	callers  *loadGenerator
	report   *report
	timeline timeline
}

// timeline holds the times of the scenario events that the checks refer to.
type timeline struct {
	grayAt, grayUntil   time.Time
	noisyAt, noisyUntil time.Time
	withdrawnAt         time.Time
	leavingAt           time.Time
}

// Run runs the demonstration and prints what callers observed next to the targets. It
// returns ErrFailed if an enforced check failed, see Options.InvariantsOnly.
func Run(ctx context.Context, o Options) error {
	fmt.Fprintln(o.Out, "starting 16 processes in 4 availability zones on loopback")
	fleet, err := StartFleet(ctx, demoSpec(o.Seed), o.Log)
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &demoRun{options: o, fleet: fleet, callers: newLoadGenerator(fleet), report: newReport(o)}
	if err := d.runScenarios(ctx); err != nil {
		return err
	}
	d.checkAll(d.callers.wait())
	if !d.report.print() {
		return ErrFailed
	}
	return nil
}

// runScenarios runs all scenarios during steady background traffic.
func (d *demoRun) runScenarios(ctx context.Context) error {
	background, stop := context.WithCancel(ctx)
	defer stop()
	for i, s := range backgroundStreams() {
		s.Seed = d.options.Seed + uint64(i)
		d.callers.start(background, s)
	}
	for _, s := range scenarios() {
		fmt.Fprintln(d.options.Out, s.name)
		if err := s.run(ctx, d); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func backgroundStreams() []requestStream {
	var streams []requestStream
	shares := map[string]float64{"roster": 1, "bookings": 0.25, "invoicing": 0.25}
	for _, service := range []string{"roster", "bookings", "invoicing"} {
		streams = append(streams,
			requestStream{Team: "clinics", Key: apiKeyOf("clinics"), Service: service, Rate: clinicsRate * shares[service]},
			requestStream{Team: "schools", Key: apiKeyOf("schools"), Service: service, Rate: schoolsRate * shares[service]},
		)
	}
	return streams
}

func scenarios() []scenario {
	return []scenario{
		{"steady traffic for 3 s", steadyTraffic},
		{"a roster backend server fails half of its calls and passes its health checks", grayServer},
		{"the team shops sends 5 times its rate for 4 s", noisyTeam},
		{"the key of the team visitors is withdrawn while it is in use", withdrawnKey},
		{"a host leaves", leavingHost},
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func steadyTraffic(ctx context.Context, _ *demoRun) error {
	return sleep(ctx, 3*time.Second)
}

func grayServer(ctx context.Context, d *demoRun) error {
	grayBackend := d.fleet.member("roster", 0).Backend
	d.timeline.grayAt = time.Now()
	grayBackend.UpdateBehavior(func(b *fakes.Behavior) { b.FailShare = 0.5 })
	if err := sleep(ctx, 6*time.Second); err != nil {
		return err
	}
	d.timeline.grayUntil = time.Now()
	grayBackend.UpdateBehavior(func(b *fakes.Behavior) { b.FailShare = 0 })
	return nil
}

func noisyTeam(ctx context.Context, d *demoRun) error {
	trafficCtx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	d.timeline.noisyAt = time.Now()
	d.callers.start(trafficCtx, requestStream{
		Team: "shops", Key: apiKeyOf("shops"), Service: "bookings",
		Rate: noisyFactor * shopsRate, Seed: d.options.Seed + 100,
	})
	<-trafficCtx.Done()
	d.timeline.noisyUntil = time.Now()
	return ctx.Err()
}

func withdrawnKey(ctx context.Context, d *demoRun) error {
	trafficCtx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	d.callers.start(trafficCtx, requestStream{
		Team: "visitors", Key: apiKeyOf("visitors"), Service: "roster", Rate: visitorsRate, Seed: d.options.Seed + 200,
	})
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	teams := demoTeams()
	for i := range teams {
		if teams[i].Name == "visitors" {
			teams[i].Keys = nil
		}
	}
	d.timeline.withdrawnAt = time.Now()
	if err := d.fleet.Publish(teams); err != nil {
		return err
	}
	<-trafficCtx.Done()
	return ctx.Err()
}

func leavingHost(ctx context.Context, d *demoRun) error {
	member := d.fleet.member("bookings", 0)
	d.timeline.leavingAt = time.Now()
	d.fleet.Hosts.SetState(member.ID, "leaving")
	d.fleet.removeEntry(member.CallersURL())
	if err := member.Stop(); err != nil {
		return err
	}
	return sleep(ctx, 2*time.Second)
}

// member returns the process with index n among those in front of a service, or nil.
func (f *Fleet) member(service string, n int) *Member {
	for _, m := range f.Members {
		if m.Service != service {
			continue
		}
		if n == 0 {
			return m
		}
		n--
	}
	return nil
}
