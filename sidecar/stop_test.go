package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/decide/shutdown"
	"github.com/ragwortyard/ragwortyard/decide/teamrate"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

func settings() platform.Settings {
	return platform.Settings{
		NodeName: "n", IP: "127.0.0.1", Zone: "a", Service: "roster",
		DatagramAddr: "127.0.0.1:1", PeersAddr: "127.0.0.1:2", StoreAddr: "127.0.0.1:3", BackendAddr: "127.0.0.1:4",
		KeyRevocationTime: 5 * time.Second, DrainTime: 2 * time.Second, StopTimeout: 6 * time.Second,
		RetryBudgetRatio: 0.2, RetryBudgetWindow: 10 * time.Second, RateTolerance: teamrate.Tolerance{Window: 5 * time.Second},
	}
}

// callerDrainTime is how long callers may continue to send new requests: they leave after
// two of the readiness checks made once a second.
const callerDrainTime = 2600 * time.Millisecond

// Guards against callers' requests that are accepted late in a planned stop and cut when
// the process is killed. One request stays open, so that the stop lasts until its
// deadline.
func TestLateRequestsAreRefusedDuringAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(settings(), zap.NewNop())
		go s.loop.Run(t.Context())
		s.openRequests.Store(1)
		done := make(chan struct{})
		go func() { defer close(done); s.shutdown() }()
		began := time.Now()
		filter := intake{s}
		for time.Now().Before(shutdown.NewSchedule(began, s.settings.StopTimeout).Deadline) {
			after := time.Since(began)
			result := filter.Handle(t.Context(), &pipeline.Request{Deadline: time.Now().Add(10 * time.Second)})
			switch {
			case after < callerDrainTime && result != nil:
				t.Fatalf("refused %v after the stop began", after)
			case after > 3*time.Second && result == nil:
				t.Fatalf("accepted %v after the stop began", after)
			case result != nil && (result.Outcome != pipeline.NotRun || result.RetryAfter <= 0):
				t.Fatalf("refused with %+v", result)
			}
			short := &pipeline.Request{Deadline: began.Add(s.settings.StopTimeout - time.Second)}
			if result := filter.Handle(t.Context(), short); result != nil {
				t.Fatalf("refused a request that ends before the stop, %v after it began", after)
			}
			<-time.After(100 * time.Millisecond)
		}
		<-done
		if time.Since(began) > s.settings.StopTimeout {
			t.Errorf("the stop took %v", time.Since(began))
		}
	})
}

// Guards against requests that are accepted late because the process of a stop gets no processor time.
func TestLateRequestsAreRefusedWithoutTheStopLoop(t *testing.T) {
	s := New(settings(), zap.NewNop())
	s.stop.begin(shutdown.NewSchedule(time.Now().Add(-3*time.Second), s.settings.StopTimeout))
	result := intake{s}.Handle(t.Context(), &pipeline.Request{Deadline: time.Now().Add(10 * time.Second)})
	if result == nil || result.Code != pipeline.CodeStopping {
		t.Errorf("%+v", result)
	}
}

// Guards against attempts that are cut because the process ends before its peers know
// that it refuses attempts.
func TestStopEndsAfterRefusalIsAnnounced(t *testing.T) {
	started := time.Now()
	at := func(d time.Duration) time.Time { return started.Add(d) }
	c := stopProgress{Schedule: shutdown.NewSchedule(started, 6*time.Second)}
	if c.isDone(at(3*time.Second), 0) {
		t.Error("ends before attempts are refused")
	}
	c.refusedAttemptsAt = at(3200 * time.Millisecond)
	if c.isDone(c.refusedAttemptsAt.Add(closeAnnouncementTime/2), 0) || !c.isDone(c.refusedAttemptsAt.Add(closeAnnouncementTime), 0) {
		t.Error("ends before the announcement time is over, or does not end after it")
	}
	if c.isDone(c.refusedAttemptsAt.Add(time.Second), 1) || !c.isDone(c.Deadline.Add(time.Millisecond), 1) {
		t.Error("ends with open requests before the deadline, or does not end after it")
	}
}
