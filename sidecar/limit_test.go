package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

// exitBeside returns a process whose backend server is a handler, and runs its queue.
func exitBeside(t *testing.T, handler http.HandlerFunc) *Sidecar {
	backend := httptest.NewServer(handler)
	t.Cleanup(backend.Close)
	s := settings()
	s.BackendAddr = strings.TrimPrefix(backend.URL, "http://")
	exit := New(s, zap.NewNop())
	go exit.queue.Run(t.Context(), func() slots.Backend { return slots.Backend{Slots: 50} })
	return exit
}

// attempt returns an attempt that waits at most 100 ms for a slot.
func attempt(id string) *pipeline.Request {
	return &pipeline.Request{
		ID: id, Method: http.MethodGet, Path: "/x/", Host: "a.example", Backend: "i-1",
		Header: pipeline.Header{platform.HeaderAttemptID: {id}}, Deadline: time.Now().Add(5 * time.Second), MaxQueueWait: 100 * time.Millisecond,
	}
}

// run runs an attempt through the exit chain.
func (s *Sidecar) run(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	result := s.exit.Run(ctx, req)
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	return result
}

// Guards against a backend server that gets far more requests than the rate that it names
// in its answers.
func TestBackendServerGetsNoMoreThanTheRateItNames(t *testing.T) {
	const perSecond = 4
	var arrived atomic.Int64
	exit := exitBeside(t, func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set(platform.HeaderAttemptID, r.Header.Get(platform.HeaderAttemptID))
		w.Header().Set(platform.HeaderResponseSignature, "s")
		w.Header().Set(platform.HeaderServerLimit, fmt.Sprint(perSecond))
	})
	if result := exit.run(t.Context(), attempt("first")); result.Status != http.StatusOK {
		t.Fatalf("first attempt: %+v", result)
	}
	began, refused := time.Now(), atomic.Int64{}
	var attempts sync.WaitGroup
	for i := range 100 {
		attempts.Go(func() {
			result := exit.run(t.Context(), attempt(fmt.Sprint(i)))
			if result.Outcome == pipeline.NotRun && result.RetryAfter > 0 {
				refused.Add(1)
			}
		})
	}
	attempts.Wait()
	ran := arrived.Load() - 1
	if permitted := perSecond * (1 + time.Since(began).Seconds()); float64(ran) > permitted {
		t.Errorf("%d requests at once, permitted %.1f", ran, permitted)
	}
	if ran+refused.Load() != 100 {
		t.Errorf("%d of 100 requests ran and %d were refused with the time to come back", ran, refused.Load())
	}
}

// Guards against a backend server that gets as many requests as it has slots when the
// process beside it has started again and has no answer of the server yet.
func TestStartedExitKeepsToTheRateThatEntriesKnow(t *testing.T) {
	var arrived atomic.Int64
	release := make(chan struct{})
	exit := exitBeside(t, func(http.ResponseWriter, *http.Request) {
		arrived.Add(1)
		<-release
	})
	t.Cleanup(func() { close(release) })
	const attempts = 20
	refused := make(chan *pipeline.Result, attempts)
	for i := range attempts {
		go func() {
			req := attempt(fmt.Sprint(i))
			req.BackendLimit = pipeline.RateLimit{Limited: true, PerSecond: 1}
			refused <- exit.run(t.Context(), req)
		}()
	}
	timeout := time.After(3 * time.Second)
	for n := 1; n < attempts; n++ {
		select {
		case result := <-refused:
			if result.Outcome != pipeline.NotRun {
				t.Errorf("result %+v", result)
			}
		case <-timeout:
			t.Fatalf("%d requests at once at a server that accepts 1 per second", arrived.Load())
		}
	}
	if n := arrived.Load(); n > 1 {
		t.Errorf("%d requests at once at a server that accepts 1 per second", n)
	}
}
