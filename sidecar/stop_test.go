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
		Node: "n", IP: "127.0.0.1", Zone: "a", Service: "roster",
		NoticeAddr: "127.0.0.1:1", PeersAddr: "127.0.0.1:2", StoreAddr: "127.0.0.1:3", BackendAddr: "127.0.0.1:4",
		KeyDeadline: 5 * time.Second, Drain: 2 * time.Second, StopTime: 6 * time.Second,
		RetryShare: 0.2, RetryWindow: 10 * time.Second, Tolerance: teamrate.Tolerance{Window: 5 * time.Second},
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
		for time.Since(begun) < s.settings.StopTime-killMargin {
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
		if time.Since(begun) > s.settings.StopTime {
			t.Errorf("the stop took %v", time.Since(begun))
		}
	})
}
