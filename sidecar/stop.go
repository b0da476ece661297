package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control/mesh"
)

// Course of a planned stop.
const (
	// leaveTime is how long callers may still send new requests: readiness is
	// asked once a second and counts after two misses.
	leaveTime = 2600 * time.Millisecond
	// quietCheck is how often the process looks whether all requests are answered.
	quietCheck = 50 * time.Millisecond
	// refuseBefore is when, before the process is killed, requests that wait for a
	// slot are refused as not run.
	refuseBefore = 1500 * time.Millisecond
	// killMargin is left for closing connections.
	killMargin = 300 * time.Millisecond
)

// shutdown is a planned stop. The process is not ready any more and tells its
// peers; it goes on serving until callers have turned away and every request is
// answered, at most until shortly before it is killed.
func (s *Sidecar) shutdown(servers ...*http.Server) {
	started := time.Now()
	end := started.Add(s.settings.StopTime - killMargin)
	s.log.Info("stopping", zap.Int64("open", s.open.Load()))
	if err := s.loop.Submit(context.Background(), mesh.Stop{}); err != nil {
		s.log.Error("stop not handed to the control loop", zap.Error(err))
	}
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	for now := range ticker.C {
		s.refusing.Store(now.After(end.Add(-refuseBefore)))
		if now.After(end) || (now.Sub(started) > leaveTime && s.open.Load() == 0) {
			break
		}
	}
	s.refusing.Store(true)
	s.log.Info("stopped", zap.Int64("open", s.open.Load()), zap.Duration("took", time.Since(started)))
	ctx, cancel := context.WithTimeout(context.Background(), killMargin/2)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn("connections were open at the end of the stop", zap.Error(err))
		}
	}
}
