// Command ragwortyard is the single binary of the fleet: the proxy that runs next
// to backend servers, and the tools for operators and developers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/ragwortyard/ragwortyard/node"
)

// description is the first paragraph of the help.
const description = "Ragwortyard is a proxy fleet for backend servers with gray failures. " +
	"Every flag can be set by an environment variable, named in its help."

// Exit codes.
const (
	exitFailure = 1 // the command failed, for example because check found problems
	exitUsage   = 2 // the command line or a setting is invalid
)

// commands are the subcommands.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run the proxy of a host, next to its backend servers."`
	Sidecar  sidecarCommand  `cmd:"" help:"Run the proxy on a platform that manages the configuration; settings come from the platform's settings file."`
	Check    checkCommand    `cmd:"" help:"Validate a configuration before it is published."`
	Status   statusCommand   `cmd:"" help:"Print the status of a running proxy."`
	Explain  explainCommand  `cmd:"" help:"Print where a running sidecar would send a request now, and why; nothing is sent."`
	Demo     demoCommand     `cmd:"" help:"Run a small fleet on loopback, inject failures and compare what callers observed with the targets."`
	Measure  measureCommand  `cmd:"" help:"Run the measurements in virtual time and print the results beside simple baselines."`
	Capacity capacityCommand `cmd:"" help:"Measure the resource use of a process at growing sizes; the full size is loaded into memory."`
	Soak     soakCommand     `cmd:"" help:"Run the program as separate processes on loopback, inject faults and check the guarantees of the fleet."`
	Bench    benchCommand    `cmd:"" help:"Measure the latency that an entry proxy and an exit proxy on loopback add to a call."`
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
