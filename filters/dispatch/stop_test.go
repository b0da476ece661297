package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/shutdown"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// busyExitProxies simulates exit proxies at which attempts wait for a slot or run.
type busyExitProxies struct {
	mu          sync.Mutex
	runsFor     time.Duration // 0 if the attempt waits until it is withdrawn
	unanswered  int           // withdrawals that get no answer
	attempts    int
	withdrawals int
	withdrawn   chan struct{}
	silent      bool // a withdrawn attempt is not answered
}

// Do implements Sender.
func (e *busyExitProxies) Do(ctx context.Context, _ string, _ *pipeline.Request) hop.Answer {
	e.mu.Lock()
	e.attempts++
	e.mu.Unlock()
	var ended <-chan time.Time
	if e.runsFor > 0 {
		ended = time.After(e.runsFor)
	}
	withdrawn := e.withdrawn
	if e.silent {
		withdrawn = nil
	}
	select {
	case <-ended:
		return status(200)
	case <-withdrawn:
		return refused(pipeline.CodeDuplicateSend)
	case <-ctx.Done():
		return refused(pipeline.CodeCanceled)
	}
}

// Withdraw implements Sender.
func (e *busyExitProxies) Withdraw(context.Context, string, string, time.Time) hop.WithdrawResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawals++
	switch {
	case e.withdrawals <= e.unanswered:
		return hop.Unanswered
	case e.runsFor > 0:
		return hop.NotWithdrawn
	}
	close(e.withdrawn)
	return hop.Withdrawn
}

// handleBesideStop sends one request through the filter. A planned stop of 6 s begins
// after a delay.
func handleBesideStop(t *testing.T, req *pipeline.Request, sender Sender, delay time.Duration) (*pipeline.Result, shutdown.Schedule) {
	t.Helper()
	schedule := shutdown.NewSchedule(time.Now().Add(delay), 6*time.Second)
	began := make(chan struct{})
	time.AfterFunc(delay, func() { close(began) })
	return handleDuringStop(t, req, sender, began, schedule), schedule
}

// handleDuringStop sends one request through the filter of a process whose planned stop
// begins when began is closed.
func handleDuringStop(t *testing.T, req *pipeline.Request, sender Sender, began <-chan struct{}, schedule shutdown.Schedule) *pipeline.Result {
	t.Helper()
	snap := snapshot()
	var ids atomic.Int64
	f := &Filter{
		Snapshot:         func() *mesh.Snapshot { return snap },
		Sender:           sender,
		Budgets:          &RetryBudgets{Window: 10 * time.Second, RetriesPerRequest: 0.2, Submit: sharedRetries(3)},
		NewID:            func() string { return fmt.Sprint(ids.Add(1)) },
		RetryProbability: func(string) float64 { return 0 },
		StopBegan:        began,
		StopSchedule:     func() shutdown.Schedule { return schedule },
		Log:              zap.NewNop(),
	}
	return f.Handle(t.Context(), req)
}

// Guards against requests that wait for a slot at another process until a planned stop
// cuts their connections without an answer.
func TestWaitingRequestsAreRefusedBeforeTheStopEnds(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for _, sender := range []*busyExitProxies{{}, {unanswered: 2}, {silent: true}} {
			synctest.Test(t, func(t *testing.T) {
				sender.withdrawn = make(chan struct{})
				req := request(idempotent)
				req.Deadline = time.Now().Add(15 * time.Second)
				req.MaxAttempts = 1
				result, schedule := handleBesideStop(t, req, sender, time.Second)
				if time.Now().After(schedule.Deadline.Add(-time.Second)) {
					t.Errorf("answered %v before the end", time.Until(schedule.Deadline))
				}
				if result.Outcome != pipeline.NotRun || result.Code != pipeline.CodeStopping || !time.Now().Add(result.RetryAfter).After(schedule.Deadline) {
					t.Errorf("%+v", result)
				}
				if sender.attempts != 1 {
					t.Errorf("%d attempts", sender.attempts)
				}
			})
		}
	}
}

// Guards against a planned stop that gives up requests at which a backend server works.
func TestRunningRequestsAreAnsweredDuringAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		req := request(false)
		req.Deadline = time.Now().Add(15 * time.Second)
		result, _ := handleBesideStop(t, req, &busyExitProxies{runsFor: 5500 * time.Millisecond}, 0)
		if result.Status != 200 {
			t.Errorf("%+v", result)
		}
	})
}

// Guards against connections that a planned stop closes without an answer because a backend server, or the path to it, takes longer.
func TestOpenRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	for name, sender := range map[string]*busyExitProxies{
		"running":                    {runsFor: 12 * time.Second},
		"withdrawal is not answered": {unanswered: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender.withdrawn = make(chan struct{})
				req := request(false)
				req.Deadline = time.Now().Add(15 * time.Second)
				result, schedule := handleBesideStop(t, req, sender, 0)
				if result.Code != pipeline.CodeStopped || result.Outcome != pipeline.Unknown {
					t.Errorf("%+v", result)
				}
				if left := time.Until(schedule.CloseAt()); left <= 0 || time.Now().Before(schedule.Deadline) {
					t.Errorf("answered %v before connections are closed", left)
				}
			})
		})
	}
}

// Guards against requests that are sent to a backend server so late in a planned stop that
// they would be cut.
func TestNoAttemptStartsAtTheEndOfAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &busyExitProxies{runsFor: time.Millisecond}
		began := time.Now()
		req := request(true)
		req.Deadline = began.Add(15 * time.Second)
		req.Class.TargetLatency = 10 * time.Second // not hedged before the attempt fails
		result, _ := handleBesideStop(t, req, failingSender{sender, began.Add(4 * time.Second)}, 0)
		if sender.attempts != 1 || result.Code != pipeline.CodeConnectionLost {
			t.Errorf("%d attempts, %+v", sender.attempts, result)
		}
	})
}

// failingSender fails all attempts at a given time.
type failingSender struct {
	*busyExitProxies
	at time.Time
}

// Do implements Sender.
func (f failingSender) Do(ctx context.Context, host string, req *pipeline.Request) hop.Answer {
	f.busyExitProxies.Do(ctx, host, req)
	<-time.After(time.Until(f.at))
	return refused(pipeline.CodeConnectionLost)
}

// Guards against calls of backend servers that are refused or withdrawn in a planned stop
// although they end before it: the requests that make them would fail.
func TestShortRequestsAreServedUntilTheStopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		<-time.After(time.Second)
		req := request(true)
		req.Deadline = time.Now().Add(4500 * time.Millisecond)
		sender := &busyExitProxies{runsFor: 3500 * time.Millisecond}
		if result, _ := handleBesideStop(t, req, sender, 0); result.Status != 200 || sender.withdrawals != 0 {
			t.Errorf("running: %+v, %d withdrawals", result, sender.withdrawals)
		}
		late := request(true)
		late.Deadline = time.Now().Add(time.Second)
		began := make(chan struct{})
		close(began)
		schedule := shutdown.NewSchedule(time.Now().Add(-4*time.Second), 6*time.Second)
		result := handleDuringStop(t, late, &busyExitProxies{runsFor: 100 * time.Millisecond}, began, schedule)
		if result.Status != 200 {
			t.Errorf("after the last start: %+v", result)
		}
	})
}
