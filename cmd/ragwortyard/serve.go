package main

import (
	"context"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ragwortyard/ragwortyard/node"
)

// serveCommand runs a proxy until SIGTERM or SIGINT.
type serveCommand struct {
	node.Settings `embed:""`
}

// Run serves until the signal and then stops gracefully.
func (c *serveCommand) Run() error {
	log, err := newLogger(c.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	setHeapFloor()
	n, err := node.New(c.Settings, node.HTTPPlatform(c.ConfigURL, c.HostsURL), log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &node.SettingError{Setting: "log-level", Reason: err.Error()}
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncoderConfig.TimeKey = "time"
	return cfg.Build()
}
