package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/internal/soak"
)

// soakCommand runs the program as separate processes and injects faults.
type soakCommand struct {
	Seed        uint64        `default:"1" help:"First seed; further runs use the following numbers."`
	Seeds       int           `default:"1" help:"Number of seeds to run."`
	Regressions bool          `help:"Run the seeds of past regressions instead."`
	Fresh       bool          `help:"Take the first seed from the clock."`
	Hosts       int           `default:"9" help:"Number of hosts, each with one process."`
	Length      time.Duration `default:"24s" help:"Duration of a run."`
	Parallel    int           `default:"1" help:"Number of concurrent runs."`
	Program     string        `default:"" help:"Path of the program to run, for example of an earlier version; this one if empty."`
	Logs        string        `default:"" help:"Directory for logs; a temporary one if empty."`
	Verbose     bool          `help:"Print the injected faults of every run."`
}

// Run runs the seeds and returns an error if a run failed or violated an invariant.
func (c *soakCommand) Run() error {
	binary, err := c.programPath()
	if err != nil {
		return err
	}
	if c.Logs == "" {
		if c.Logs, err = os.MkdirTemp("", "ragwortyard-soak-"); err != nil {
			return eris.Wrap(err, "create the log directory")
		}
	}
	if c.Fresh {
		c.Seed = uint64(time.Now().UnixNano()) % 1_000_000_000
	}
	options := soak.Options{Binary: binary, Hosts: c.Hosts, TrafficDuration: c.Length, LogDir: c.Logs}
	if err := options.Validate(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed, err := c.runAll(ctx, options)
	if err != nil {
		return err
	}
	fmt.Printf("%d seeds, %d failed; logs in %s\n", len(c.seeds()), failed, c.Logs)
	if failed > 0 {
		return eris.Errorf("%d of %d seeds failed", failed, len(c.seeds()))
	}
	return nil
}

// programPath returns the path of the program to run.
func (c *soakCommand) programPath() (string, error) {
	if c.Program != "" {
		return c.Program, nil
	}
	path, err := os.Executable()
	return path, eris.Wrap(err, "find the path of the executable")
}

// runAll runs all seeds, up to c.Parallel at a time, and returns how many failed.
func (c *soakCommand) runAll(ctx context.Context, options soak.Options) (int, error) {
	var networks []*soak.Network
	for range max(c.Parallel, 1) {
		network, err := soak.ClaimNetwork()
		if err != nil {
			return 0, err
		}
		defer network.Release()
		networks = append(networks, network)
	}
	seeds := make(chan uint64)
	var mu sync.Mutex
	failed := 0
	var workers sync.WaitGroup
	for _, network := range networks {
		workers.Go(func() {
			for seed := range seeds {
				report, err := soak.Run(ctx, options, seed, network)
				mu.Lock()
				if err != nil || len(report.Violations) > 0 {
					failed++
				}
				c.print(seed, report, err)
				mu.Unlock()
			}
		})
	}
	for _, seed := range c.seeds() {
		select {
		case seeds <- seed:
		case <-ctx.Done():
		}
	}
	close(seeds)
	workers.Wait()
	return failed, nil
}

func (c *soakCommand) seeds() []uint64 {
	var seeds []uint64
	if c.Regressions {
		for _, r := range soak.Regressions {
			seeds = append(seeds, r.Seed)
		}
		return seeds
	}
	for i := range c.Seeds {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	return seeds
}

func (c *soakCommand) print(seed uint64, report *soak.Report, err error) {
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return
	}
	fmt.Printf("seed %d: %d requests, %d answered, %d violations\n", seed, report.Requests, report.Succeeded, len(report.Violations))
	if c.Verbose || len(report.Violations) > 0 {
		for _, fault := range report.Schedule {
			fmt.Printf("  %v\n", fault)
		}
	}
	for _, v := range report.Violations {
		fmt.Printf("  %.2f s %s: %s\n", v.At.Seconds(), v.Invariant, v.Detail)
	}
}
