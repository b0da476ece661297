package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ragwortyard/ragwortyard/internal/demo"
)

// demoCommand runs a small fleet on loopback and injects failures.
type demoCommand struct {
	Seed           uint64 `default:"1" help:"Seed for the random choices of the fake backend servers and platform services."`
	Logs           bool   `help:"Print the logs of the proxies to standard error."`
	InvariantsOnly bool   `help:"Check only invariants; print durations and shares without checking them, for busy machines."`
}

// Run runs the demonstration and returns an error if a check fails.
func (c *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	level := "error"
	if c.Logs {
		level = "info"
	}
	log, err := newLogger(level)
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Options{Seed: c.Seed, InvariantsOnly: c.InvariantsOnly, Out: os.Stdout, Log: log})
}
