package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/shutdown"
	"github.com/ragwortyard/ragwortyard/internal/httpdrain"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

const (
	// drainPollInterval is how often the process checks whether all requests are answered.
	drainPollInterval = 50 * time.Millisecond
	// closeAnnouncementTime is the minimum time between announcing to peers that attempts
	// are refused and the end of the process: a status arrives within a few
	// milliseconds, and a lost one is repeated.
	closeAnnouncementTime = 250 * time.Millisecond
	// handlerEndTimeout is how long the process waits for the handlers of closed
	// connections, which log the ends of their requests.
	handlerEndTimeout = 50 * time.Millisecond
)

// plannedStop is the planned stop of the process, as its filters see it.
type plannedStop struct {
	began    chan struct{}     // closed when the stop begins
	schedule shutdown.Schedule // valid after began has been closed
}

// begin starts the stop.
func (p *plannedStop) begin(schedule shutdown.Schedule) {
	p.schedule = schedule
	close(p.began)
}

// hasBegun reports whether the stop has begun.
func (p *plannedStop) hasBegun() bool {
	select {
	case <-p.began:
		return true
	default:
		return false
	}
}

// refuses reports whether a caller's request is refused at a time because it could be cut
// when the process is killed.
func (p *plannedStop) refuses(now, deadline time.Time) bool {
	return p.hasBegun() && p.schedule.RefusesCallers(now) && !p.schedule.EndsInTime(deadline)
}

// intake is a filter that refuses callers' requests in the last part of a planned stop
// that could be cut when the process is killed.
type intake struct{ sidecar *Sidecar }

// Name returns "intake".
func (intake) Name() string { return "intake" }

// Handle refuses the request as not run. RetryAfter is the time until the process is
// expected to be running again.
func (i intake) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	now := time.Now()
	if !i.sidecar.stop.refuses(now, req.Deadline) {
		return nil
	}
	result := pipeline.Refuse(pipeline.CodeStopping, "")
	result.RetryAfter = i.sidecar.stop.schedule.RetryAfter(now)
	return result
}

// stopProgress tracks the progress of a planned stop.
type stopProgress struct {
	shutdown.Schedule
	refusedAttemptsAt time.Time // when attempts began to be refused; zero before
}

// isDone reports whether the process may end: at the deadline, or earlier if peers know
// that attempts are refused and no requests are open.
func (c *stopProgress) isDone(now time.Time, open int64) bool {
	return now.After(c.Deadline) || (!c.refusedAttemptsAt.IsZero() && now.Sub(c.refusedAttemptsAt) >= closeAnnouncementTime && open == 0)
}

// shutdown performs a planned stop. The process stops being ready and no longer performs
// tasks for other processes. It continues to serve until callers have drained and every
// request is answered, but at most until the deadline of the schedule. Requests that
// cannot start before the last start of the schedule are refused.
func (s *Sidecar) shutdown(servers ...*httpdrain.Server) {
	c := stopProgress{Schedule: shutdown.NewSchedule(time.Now(), s.settings.StopTimeout)}
	s.log.Info("stopping", zap.Int64("open", s.openRequests.Load()))
	s.stop.begin(c.Schedule)
	s.submitStopEvent(mesh.Stop{})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if c.refusedAttemptsAt.IsZero() && c.RefusesAttempts(now) {
			c.refusedAttemptsAt = now
			s.refusingAttempts.Store(true)
			s.queue.Close()
			s.submitStopEvent(mesh.RefuseAttempts{})
		}
		if c.isDone(now, s.openRequests.Load()) {
			break
		}
	}
	s.log.Info("stopped", zap.Int64("open", s.openRequests.Load()), zap.Duration("took", time.Since(c.Began)))
	ctx, cancel := context.WithDeadline(context.Background(), c.CloseAt())
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn("connections still open at the end of the stop", zap.Error(err), zap.NamedError("close_error", server.Close()))
		}
	}
	ctx, cancel = context.WithTimeout(context.Background(), handlerEndTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Wait(ctx); err != nil {
			s.log.Warn("handlers still run at the end of the stop", zap.Int64("open", s.openRequests.Load()), zap.Error(err))
		}
		if n := server.Dropped(); n > 0 {
			s.log.Warn("connections closed before requests on them were handled", zap.Int64("connections", n))
		}
	}
}

// submitStopEvent passes an event of the stop to the control loop and logs a failure.
func (s *Sidecar) submitStopEvent(ev control.Event) {
	if err := s.loop.Submit(context.Background(), ev); err != nil {
		s.log.Error("cannot submit stop event to the control loop", zap.Error(err))
	}
}
