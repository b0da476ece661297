package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/decide/teamrate"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

func settings() platform.Settings {
	return platform.Settings{
		NodeName: "n", IP: "127.0.0.1", Zone: "a", Service: "roster",
		NoticeAddr: "127.0.0.1:1", PeersAddr: "127.0.0.1:2", StoreAddr: "127.0.0.1:3", BackendAddr: "127.0.0.1:4",
		KeyRevocationTime: 5 * time.Second, DrainTime: 2 * time.Second, StopTimeout: 6 * time.Second,
		RetryBudgetRatio: 0.2, RetryBudgetWindow: 10 * time.Second, RateTolerance: teamrate.Tolerance{Window: 5 * time.Second},
	}
}

// Guards against requests that are taken late in a planned stop and cut when the
// process is killed. A request that is never answered keeps the stop open.
func TestLateRequestsAreRefusedDuringAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(settings(), zap.NewNop())
		go s.loop.Run(t.Context())
		s.open.Store(1)
		done := make(chan struct{})
		go func() { defer close(done); s.shutdown() }()
		begun := time.Now()
		filter := intake{s}
		for time.Since(begun) < s.settings.StopTimeout-killMargin {
			after := time.Since(begun)
			result := filter.Handle(t.Context(), &pipeline.Request{})
			switch {
			case after < leaveTime && result != nil:
				t.Fatalf("refused %v after the stop began", after)
			case after > 3*time.Second && result == nil:
				t.Fatalf("taken %v after the stop began", after)
			case result != nil && (result.Outcome != pipeline.NotRun || result.RetryAfter <= 0):
				t.Fatalf("refused with %+v", result)
			}
			<-time.After(100 * time.Millisecond)
		}
		<-done
		if time.Since(begun) > s.settings.StopTimeout {
			t.Errorf("the stop took %v", time.Since(begun))
		}
	})
}

// Guards against capacity that is lost because a process refuses attempts as soon
// as it begins to stop, and against attempts that arrive at a process that ends.
func TestCourseOfAStop(t *testing.T) {
	started := time.Now()
	at := func(d time.Duration) time.Time { return started.Add(d) }
	c := course{started: started, end: at(5700 * time.Millisecond)}
	for _, d := range []time.Duration{0, time.Second, leaveTime} {
		if c.closes(at(d)) || c.over(at(d), 0) {
			t.Errorf("busy process refuses attempts %v after the stop began", d)
		}
	}
	if !c.closes(at(leaveTime + quietCheck)) {
		t.Error("the process goes on taking attempts after its callers left")
	}
	short := course{started: started, end: at(3 * time.Second)}
	if !short.closes(at(3*time.Second - refuseBefore + quietCheck)) {
		t.Error("attempts are taken that would be cut")
	}
	c.closed = at(3200 * time.Millisecond)
	if c.over(c.closed.Add(announceTime/2), 0) || !c.over(c.closed.Add(announceTime), 0) {
		t.Error("the process ends before its peers know, or does not end")
	}
	if c.over(c.closed.Add(time.Second), 1) || !c.over(c.end.Add(time.Millisecond), 1) {
		t.Error("requests are cut before the end, or the process outlives it")
	}
}
