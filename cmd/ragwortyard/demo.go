package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ragwortyard/ragwortyard/internal/demo"
)

// demoCommand runs the demonstration.
type demoCommand struct {
	Seed           uint64 `default:"1" help:"Seed of the stand-ins' random choices."`
	Logs           bool   `help:"Print the processes' log lines to standard error."`
	InvariantsOnly bool   `help:"Judge only what must always hold; print durations and shares without judging them, for busy machines."`
}

// Run runs the demonstration and fails when a check fails.
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
