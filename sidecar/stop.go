package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Course of a planned stop.
const (
	// leaveTime is how long callers may still send new requests: readiness is
	// asked once a second and counts after two misses.
	leaveTime = 2600 * time.Millisecond
	// acceptTime is how long requests of callers are taken at all. The platform
	// allows a stop to cut requests that were sent up to 3 s after it began; the
	// difference covers a clock read late and a request on its way.
	acceptTime = 2800 * time.Millisecond
	// restartTime is the advice to callers that are refused during a stop, on top
	// of what is left of it: a process starts within a second.
	restartTime = time.Second
	// quietCheck is how often the process looks whether all requests are answered.
	quietCheck = 50 * time.Millisecond
	// refuseBefore is when, before the process is killed, attempts that have no slot
	// yet are refused as not run: 19 of 20 runs take less.
	refuseBefore = 2500 * time.Millisecond
	// killMargin is left for closing connections.
	killMargin = 300 * time.Millisecond
)

// intake refuses requests of callers in the last part of a planned stop: they
// would be cut when the process is killed.
type intake struct{ sidecar *Sidecar }

// Name returns "intake".
func (intake) Name() string { return "intake" }

// Handle refuses the request as not run, with the time until the process is back.
func (i intake) Handle(context.Context, *pipeline.Request) *pipeline.Result {
	if !i.sidecar.closed.Load() {
		return nil
	}
	result := pipeline.Refuse(pipeline.CodeStopping, "")
	result.RetryAfter = max(time.Until(*i.sidecar.stopAt.Load()), 0) + restartTime
	return result
}

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
	s.stopAt.Store(&end)
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	for now := range ticker.C {
		s.closed.Store(now.Sub(started) >= acceptTime)
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
