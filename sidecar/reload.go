package sidecar

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/platform"
)

// settingsPollInterval is how often the modification time of the settings file is
// checked, since the file may change without a signal.
const settingsPollInterval = 5 * time.Second

// followSettings reloads the settings on each signal and whenever the file changes. Only
// the address of the store takes effect immediately; changes to other settings take
// effect at the next start.
func (s *Sidecar) followSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastModTime time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			s.reload("signal")
		case <-ticker.C:
			modTime := settingsModTime()
			if !lastModTime.IsZero() && modTime.After(lastModTime) {
				s.reload("file changed")
			}
			lastModTime = modTime
		}
	}
}

// settingsModTime returns the modification time of the settings file, or the zero time
// if the file cannot be examined.
func settingsModTime() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (s *Sidecar) reload(reason string) {
	next, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		s.log.Error("cannot reload settings; the previous settings remain in effect", zap.String("reason", reason), zap.Error(err))
		return
	}
	s.store.SetAddr(next.StoreAddr)
	s.log.Info("settings reloaded", zap.String("reason", reason), zap.String("store", next.StoreAddr))
}
