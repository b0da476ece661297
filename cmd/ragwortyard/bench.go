package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/internal/bench"
)

// benchCommand measures the latency that an entry proxy and an exit proxy add.
type benchCommand struct {
	Rates     []float64     `default:"1,100,1000" help:"Requests per second on each path, open loop; one load per rate."`
	Workers   int           `default:"4" help:"Workers of the closed-loop load at full speed."`
	Time      time.Duration `default:"20s" help:"Duration of each load."`
	Seed      uint64        `default:"1" help:"Seed for the order of calls."`
	InProcess bool          `help:"Run the entry and exit proxies inside this process; their resource use cannot be told apart from the caller's then."`
	Profile   string        `type:"path" help:"File for a CPU profile of this process; with --in-process it includes the entry and exit proxies."`
	JSON      bool          `help:"Print JSON instead of a table."`
}

// Run runs the loads and prints the results.
func (c *benchCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := newLogger("error")
	if err != nil {
		return err
	}
	options := bench.Options{Rates: c.Rates, Workers: c.Workers, LoadDuration: c.Time, Seed: c.Seed, Log: log}
	if !c.InProcess {
		if options.Binary, err = os.Executable(); err != nil {
			return eris.Wrap(err, "find the path of the executable")
		}
	}
	if c.Profile != "" {
		file, err := os.Create(c.Profile)
		if err != nil {
			return eris.Wrap(err, "create the profile file")
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	report, err := bench.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return printBench(os.Stdout, report)
}

func printBench(w io.Writer, report *bench.Report) error {
	kind := "caller and fake backend server in this process; entry and exit proxies in two separate processes"
	if !report.Processes {
		kind = "caller, fake backend server, entry and exit proxies in one process"
	}
	fmt.Fprintf(w, "%s\n%s, %d processors; latencies in microseconds\n\n", kind, runtime.Version(), runtime.NumCPU())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "LOAD\tCALLS\tFAILED\tPER SECOND\tDIRECT P50\tP99\tP999\tTHROUGH P50\tP99\tP999\tADDED P50\tP99\tP999\tALLOCS\tBYTES\tCPU US\tGC/1000\t")
	for _, r := range report.Loads {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t", r.Load, r.Calls, failedCalls(r), r.PerSecond)
		for _, q := range []bench.Quantiles{r.Direct, r.Proxied, r.Added} {
			fmt.Fprintf(table, "%.0f\t%.0f\t%.0f\t", q.P50, q.P99, q.P999)
		}
		if r.Cost == nil {
			fmt.Fprintln(table, "-\t-\t-\t-\t")
			continue
		}
		fmt.Fprintf(table, "%.0f\t%.0f\t%.0f\t%.2f\t\n", r.Cost.Allocs, r.Cost.Bytes, r.Cost.CPUMicros, r.Cost.GCs)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range report.Loads {
		for _, reason := range slices.Sorted(maps.Keys(r.Failures)) {
			fmt.Fprintf(w, "%s: %d calls failed: %s\n", r.Load, r.Failures[reason], reason)
		}
	}
	return nil
}

func failedCalls(r bench.LoadResult) int {
	sum := 0
	for _, n := range r.Failures {
		sum += n
	}
	return sum
}
