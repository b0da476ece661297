package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ragwortyard/ragwortyard/internal/asynclog"
	"github.com/ragwortyard/ragwortyard/platform"
	"github.com/ragwortyard/ragwortyard/sidecar"
)

// sidecarCommand runs the process on a platform that owns the configuration.
type sidecarCommand struct {
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Least severe level that is logged."`
}

// Run serves until SIGTERM or SIGINT and then stops gracefully.
func (c *sidecarCommand) Run() error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return eris.Errorf("%s does not name a settings file", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return eris.Wrap(err, "log level")
	}
	lines := asynclog.New(os.Stdout)
	defer lines.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process := sidecar.New(settings, sidecarLogger(lines, level))
	process.RegisterDroppedLogLines(lines.Dropped)
	return process.Run(ctx, reloads(ctx))
}

// reloads turns SIGHUP into a message. Signals that come during a reload count
// as one.
func reloads(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case reload <- struct{}{}:
				default:
				}
			}
		}
	}()
	return reload
}

// Sampling of equal log lines: the first lines of each interval are written and
// then one of each sampleEach. A host has some ten requests a second.
const (
	sampleInterval = time.Second
	sampleFirst    = 200
	sampleEach     = 10
)

// sidecarLogger writes JSON lines without blocking and bounds their volume.
func sidecarLogger(lines *asynclog.Writer, level zapcore.Level) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.TimeKey = "time"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), lines, level)
	return zap.New(zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleEach))
}
