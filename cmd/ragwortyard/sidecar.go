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

// sidecarCommand runs the proxy on a platform that manages the configuration.
type sidecarCommand struct {
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Minimum level of log lines."`
}

// Run serves until SIGTERM or SIGINT and then stops gracefully.
func (c *sidecarCommand) Run() error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return eris.Errorf("environment variable %s must name the settings file", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return eris.Wrap(err, "parse the log level")
	}
	lines := asynclog.New(os.Stdout)
	defer lines.Close()
	log := sidecarLogger(lines, level)
	ctx := untilTerminated(log.With(zap.String("node", settings.NodeName)))
	process := sidecar.New(settings, log)
	process.RegisterDroppedLogLines(lines.Dropped)
	return process.Run(ctx, reloadRequests(ctx))
}

// untilTerminated returns a context that ends at the first SIGTERM or SIGINT. Each of these
// signals is logged, also while the process stops.
func untilTerminated(log *zap.Logger) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for received := range signals {
			log.Info("signal received", zap.Stringer("signal", received), zap.Bool("first", ctx.Err() == nil))
			cancel()
		}
	}()
	return ctx
}

// reloadRequests returns a channel that receives a value on SIGHUP. Signals that
// arrive during a reload are merged into one value.
func reloadRequests(ctx context.Context) <-chan struct{} {
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

// Sampling of log lines with the same level and message: in each interval the first
// sampleFirst lines are written, then one in sampleThereafter. A host serves about ten
// requests per second.
const (
	sampleInterval   = time.Second
	sampleFirst      = 200
	sampleThereafter = 10
)

// sidecarLogger returns a logger that writes sampled JSON lines without blocking.
func sidecarLogger(lines *asynclog.Writer, level zapcore.Level) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.TimeKey = "time"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), lines, level)
	return zap.New(zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThereafter))
}
