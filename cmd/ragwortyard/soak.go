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
	Seed        uint64        `default:"1" help:"First seed; the others follow it."`
	Seeds       int           `default:"1" help:"Number of seeds."`
	Regressions bool          `help:"Play the seeds that once broke a promise instead."`
	Fresh       bool          `help:"Draw the first seed from the clock."`
	Hosts       int           `default:"9" help:"Hosts of a run, each with one process."`
	Length      time.Duration `default:"24s" help:"Length of a run."`
	Parallel    int           `default:"1" help:"Runs at the same time."`
	Logs        string        `default:"" help:"Folder for logs; a temporary one when empty."`
	Verbose     bool          `help:"Print the faults of every run."`
}

// firstBlock is the second part of the IP numbers of the first run; runs at the
// same time take the following ones.
const firstBlock = 20

// Run plays the seeds and fails when a promise was broken.
func (c *soakCommand) Run() error {
	binary, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "own program")
	}
	if c.Logs == "" {
		if c.Logs, err = os.MkdirTemp("", "ragwortyard-soak-"); err != nil {
			return eris.Wrap(err, "folder for logs")
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
	failed := c.playAll(ctx, options)
	fmt.Printf("%d seeds, %d with a broken promise; logs in %s\n", len(c.seeds()), failed, c.Logs)
	if failed > 0 {
		return eris.Errorf("%d of %d seeds broke a promise", failed, len(c.seeds()))
	}
	return nil
}

func (c *soakCommand) playAll(ctx context.Context, options soak.Options) int {
	seeds := make(chan uint64)
	var mu sync.Mutex
	failed := 0
	var workers sync.WaitGroup
	for i := range max(c.Parallel, 1) {
		workers.Go(func() {
			for seed := range seeds {
				report, err := soak.Run(ctx, options, seed, firstBlock+i)
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
	return failed
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
		for _, action := range report.Schedule {
			fmt.Printf("  %v\n", action)
		}
	}
	for _, v := range report.Violations {
		fmt.Printf("  %.2f s %s: %s\n", v.At.Seconds(), v.Invariant, v.Detail)
	}
}
