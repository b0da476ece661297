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
	InvariantsOnly bool // judge only what does not depend on the speed of the machine
	Out            io.Writer
	Log            *zap.Logger
}

// ErrFailed reports that a check of the demonstration failed.
var ErrFailed = errors.New("the demonstration failed a check")

// The teams of the demonstration and what they send, in requests per second over
// the whole fleet.
const (
	clinicsRate  = 80 // to the roster service; a quarter of it to each of the others
	schoolsRate  = 40
	shopsRate    = 30
	visitorsRate = 50
	noisyFactor  = 5
	burstSeconds = 1
)

// The cast of the demonstration: the Kōwhai deployment of the design page, with
// fewer backend servers.
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
		NewTeam("clinics", keyOf("clinics"), 3*clinicsRate, 3*clinicsRate*burstSeconds),
		NewTeam("schools", keyOf("schools"), 3*schoolsRate, 3*schoolsRate*burstSeconds),
		NewTeam("shops", keyOf("shops"), shopsRate, shopsRate*burstSeconds),
		NewTeam("visitors", keyOf("visitors"), 2*visitorsRate, 2*visitorsRate*burstSeconds),
	}
}

// keyOf returns the key that a team shows in the demonstration.
func keyOf(team string) string { return "demo-key-of-" + team }

// scenario is one part of the demonstration. Parts run one after the other over
// the same fleet and the same background traffic.
type scenario struct {
	name string
	run  func(ctx context.Context, d *demoRun) error
}

// demoRun is the state of a run.
type demoRun struct {
	options Options
	fleet   *Fleet
	callers *callers
	report  *report
	marks   timeline
}

// timeline are the moments that the checks refer to.
type timeline struct {
	grayAt, grayUntil   time.Time
	noisyAt, noisyUntil time.Time
	withdrawnAt         time.Time
	leavingAt           time.Time
}

// Run runs the demonstration and prints what callers saw beside the targets.
func Run(ctx context.Context, o Options) error {
	fmt.Fprintln(o.Out, "starting 16 processes in 4 availability zones on loopback")
	fleet, err := StartFleet(ctx, demoSpec(o.Seed), o.Log)
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &demoRun{options: o, fleet: fleet, callers: newCallers(fleet), report: newReport(o)}
	if err := d.play(ctx); err != nil {
		return err
	}
	d.judge(d.callers.wait())
	if !d.report.print() {
		return ErrFailed
	}
	return nil
}

// play runs the scenarios over steady background traffic.
func (d *demoRun) play(ctx context.Context) error {
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
			requestStream{Team: "clinics", Key: keyOf("clinics"), Service: service, Rate: clinicsRate * shares[service]},
			requestStream{Team: "schools", Key: keyOf("schools"), Service: service, Rate: schoolsRate * shares[service]},
		)
	}
	return streams
}

func scenarios() []scenario {
	return []scenario{
		{"steady traffic for 3 s", steady},
		{"a roster backend server fails half of its calls and passes its health checks", grayServer},
		{"the team shops sends 5 times its rate for 4 s", noisyTeam},
		{"the key of the team visitors is withdrawn while it is in use", withdrawnKey},
		{"a host leaves", leavingHost},
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func steady(ctx context.Context, _ *demoRun) error {
	return pause(ctx, 3*time.Second)
}

func grayServer(ctx context.Context, d *demoRun) error {
	victim := d.fleet.member("roster", 0).Backend
	d.marks.grayAt = time.Now()
	victim.Change(func(b *fakes.Behavior) { b.FailShare = 0.5 })
	if err := pause(ctx, 6*time.Second); err != nil {
		return err
	}
	d.marks.grayUntil = time.Now()
	victim.Change(func(b *fakes.Behavior) { b.FailShare = 0 })
	return nil
}

func noisyTeam(ctx context.Context, d *demoRun) error {
	noisy, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	d.marks.noisyAt = time.Now()
	d.callers.start(noisy, requestStream{
		Team: "shops", Key: keyOf("shops"), Service: "bookings",
		Rate: noisyFactor * shopsRate, Seed: d.options.Seed + 100,
	})
	<-noisy.Done()
	d.marks.noisyUntil = time.Now()
	return ctx.Err()
}

func withdrawnKey(ctx context.Context, d *demoRun) error {
	visiting, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	d.callers.start(visiting, requestStream{
		Team: "visitors", Key: keyOf("visitors"), Service: "roster", Rate: visitorsRate, Seed: d.options.Seed + 200,
	})
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	teams := demoTeams()
	for i := range teams {
		if teams[i].Name == "visitors" {
			teams[i].Keys = nil
		}
	}
	d.marks.withdrawnAt = time.Now()
	if err := d.fleet.Publish(teams); err != nil {
		return err
	}
	<-visiting.Done()
	return ctx.Err()
}

func leavingHost(ctx context.Context, d *demoRun) error {
	member := d.fleet.member("bookings", 0)
	d.marks.leavingAt = time.Now()
	d.fleet.Hosts.SetState(member.ID, "leaving")
	d.fleet.removeEntry(member.CallersURL())
	if err := member.Stop(); err != nil {
		return err
	}
	return pause(ctx, 2*time.Second)
}

// member returns the n-th process in front of a service.
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
