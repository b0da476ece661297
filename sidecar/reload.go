package sidecar

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/platform"
)

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 5 * time.Second

// followSettings reads the settings again on each signal and when the file has
// changed. The address of the store takes effect at once; the others hold until
// the next start.
func (s *Sidecar) followSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	var seen time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			s.reload("signal")
		case <-ticker.C:
			changed := modified()
			if !seen.IsZero() && changed.After(seen) {
				s.reload("file changed")
			}
			seen = changed
		}
	}
}

func modified() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (s *Sidecar) reload(reason string) {
	next, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		s.log.Error("settings refused; the last ones stay in force", zap.String("reason", reason), zap.Error(err))
		return
	}
	s.store.SetAddr(next.StoreAddr)
	s.log.Info("settings read again", zap.String("reason", reason), zap.String("store", next.StoreAddr))
}
