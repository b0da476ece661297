package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
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
	// announceTime is how long peers have to learn that no attempts are taken, before
	// the process may end: a status takes a few milliseconds, a lost one is repeated.
	announceTime = 250 * time.Millisecond
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

// course is how far a planned stop has come.
type course struct {
	started time.Time
	end     time.Time // shortly before the process is killed
	closed  time.Time // when attempts were refused; zero before
}

// closes tells whether attempts of peers are refused from now on. Until callers
// have turned away, the backend server serves on: its capacity counts while many
// processes stop in turn. Later, attempts would only delay the end, or be cut.
func (c *course) closes(now time.Time) bool {
	return c.closed.IsZero() && (now.Sub(c.started) > leaveTime || now.After(c.end.Add(-refuseBefore)))
}

// over tells whether the process may end.
func (c *course) over(now time.Time, open int64) bool {
	return now.After(c.end) || (!c.closed.IsZero() && now.Sub(c.closed) >= announceTime && open == 0)
}

// shutdown is a planned stop. The process is not ready any more and gives up its
// duties for others. It goes on serving until callers have turned away and every
// request is answered, at most until shortly before it is killed.
func (s *Sidecar) shutdown(servers ...*http.Server) {
	started := time.Now()
	c := course{started: started, end: started.Add(s.settings.StopTimeout - killMargin)}
	s.log.Info("stopping", zap.Int64("open", s.open.Load()))
	s.tell(mesh.Stop{})
	s.stopAt.Store(&c.end)
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	for now := range ticker.C {
		s.closed.Store(now.Sub(started) >= acceptTime)
		if c.closes(now) {
			c.closed = now
			s.refusing.Store(true)
			s.tell(mesh.Close{})
		}
		if c.over(now, s.open.Load()) {
			break
		}
	}
	s.log.Info("stopped", zap.Int64("open", s.open.Load()), zap.Duration("took", time.Since(started)))
	ctx, cancel := context.WithTimeout(context.Background(), killMargin/2)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn("connections were open at the end of the stop", zap.Error(err))
		}
	}
}

// tell hands a step of the stop to the control loop.
func (s *Sidecar) tell(ev control.Event) {
	if err := s.loop.Submit(context.Background(), ev); err != nil {
		s.log.Error("step of the stop not handed to the control loop", zap.Error(err))
	}
}
