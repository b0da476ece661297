// Command ragwortyard is the one binary of the fleet: the process beside backend
// servers, and the tools for operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/ragwortyard/ragwortyard/node"
)

// description is the first paragraph of the help.
const description = "Ragwortyard carries calls to backend servers that fail gray. " +
	"Every flag can be set by an environment variable, named in its help."

// Exit codes.
const (
	exitFailure = 1 // the command ran and failed, for example a check found problems
	exitUsage   = 2 // the command line or a setting is invalid
)

// commands are the subcommands.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run the process beside the backend servers of a host."`
	Sidecar  sidecarCommand  `cmd:"" help:"Run the process on a platform that owns the configuration; settings come from its file."`
	Check    checkCommand    `cmd:"" help:"Validate a configuration before it is published."`
	Status   statusCommand   `cmd:"" help:"Ask a running process for its state."`
	Demo     demoCommand     `cmd:"" help:"Run a small fleet on loopback, bring about failures and compare what callers saw with the targets."`
	Measure  measureCommand  `cmd:"" help:"Run the measurements in virtual time and print them beside plain baselines."`
	Capacity capacityCommand `cmd:"" help:"Measure what a process costs at growing sizes; it loads the whole size into memory."`
	Soak     soakCommand     `cmd:"" help:"Run the program as separate processes on loopback, inject faults and check what it promises."`
	Bench    benchCommand    `cmd:"" help:"Measure the latency that two processes on loopback add to a call."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var cli commands
	parser, err := newParser(&cli)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "ragwortyard: %v\n", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "ragwortyard: %v\n", err)
		return exitCode(err)
	}
	return 0
}

func newParser(cli *commands) (*kong.Kong, error) {
	return kong.New(cli,
		kong.Name("ragwortyard"),
		kong.Description(description),
		kong.DefaultEnvars("RAGWORTYARD"),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}

func exitCode(err error) int {
	var setting *node.SettingError
	if errors.As(err, &setting) {
		return exitUsage
	}
	return exitFailure
}
