package slots

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/servicetime"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// run starts a queue with the given number of slots inside a synctest bubble. The
// returned function stops it.
func run(t *testing.T, slots int, post func(control.Event) bool) (*Filter, func()) {
	t.Helper()
	q := NewQueue(slots, post)
	ctx, cancel := context.WithCancel(context.Background())
	go q.Run(ctx, func() Backend { return Backend{Slots: slots} })
	original := func(req *pipeline.Request) string { return "original-" + req.ID }
	return &Filter{Queue: q, OriginalID: original, Log: zap.NewNop()}, func() { cancel(); <-q.stopped }
}

func discardEvent(control.Event) bool { return true }

func request(id string, wait time.Duration) *pipeline.Request {
	return &pipeline.Request{ID: id, Deadline: time.Now().Add(10 * time.Second), MaxQueueWait: wait, Fingerprint: 7}
}

// Guards against an exit proxy that sends its backend server more requests than it
// has slots, and against a slot that is not released when its request ends.
func TestSlotsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 1, discardEvent)
		defer stop()
		first := request("1", 0)
		if r := f.Handle(t.Context(), first); r != nil {
			t.Fatalf("first: %+v", r)
		}
		if r := f.Handle(t.Context(), request("2", 0)); r == nil || r.Code != pipeline.CodeQueueFull {
			t.Fatalf("second: %+v", r)
		}
		waited := make(chan *pipeline.Result, 1)
		go func() { waited <- f.Handle(t.Context(), request("3", time.Hour)) }()
		synctest.Wait()
		first.Complete(pipeline.Completion{Outcome: pipeline.Answered})
		if r := <-waited; r != nil {
			t.Fatalf("third: %+v", r)
		}
	})
}

// Guards against calls that count as retries, and consume the retry budget, because
// an unrelated request at the backend server is a retry.
func TestRetryProbabilityDependsOnParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 4, discardEvent)
		defer stop()
		for _, id := range []string{"1", "2", "3", "4"} {
			req := request(id, 0)
			req.ReachedBackend = id == "1"
			if r := f.Handle(t.Context(), req); r != nil {
				t.Fatal(r)
			}
		}
		synctest.Wait()
		for parent, want := range map[string]float64{"original-1": 1, "original-2": 0, "other": 0.25, "": 0.25} {
			if got := f.Queue.RetryProbability(parent); got != want {
				t.Errorf("RetryProbability(%q) = %v, want %v", parent, got, want)
			}
		}
	})
}

// Guards against a withdrawn attempt that runs later, and against confirming the
// withdrawal of an attempt that holds a slot.
func TestWithdrawnAttemptsNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 1, discardEvent)
		defer stop()
		if r := f.Handle(t.Context(), request("runs", 0)); r != nil {
			t.Fatal(r)
		}
		waited := make(chan *pipeline.Result, 1)
		go func() { waited <- f.Handle(t.Context(), request("waits", time.Hour)) }()
		synctest.Wait()
		<-time.After(time.Minute)
		if f.Queue.Withdraw(t.Context(), "runs", time.Second) {
			t.Error("an attempt that holds a slot was withdrawn")
		}
		if !f.Queue.Withdraw(t.Context(), "waits", time.Second) || !f.Queue.Withdraw(t.Context(), "unknown", time.Second) {
			t.Error("an attempt that does not run was not withdrawn")
		}
		if r := <-waited; r == nil || r.Outcome != pipeline.NotRun {
			t.Errorf("withdrawn while it waited: %+v", r)
		}
		if r := f.Handle(t.Context(), request("unknown", time.Hour)); r == nil || r.Code != pipeline.CodeDuplicateSend {
			t.Errorf("arrived after the withdrawal: %+v", r)
		}
	})
}

// Guards against a request that runs twice: an attempt ran, its response was lost,
// and the exit proxy confirms the withdrawal, so that the entry proxy sends the
// request elsewhere. The same holds for an attempt that may have run before this
// process was started.
func TestAttemptsThatRanAreNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 1, discardEvent)
		defer stop()
		<-time.After(time.Minute)
		ran := request("ran", 0)
		if r := f.Handle(t.Context(), ran); r != nil {
			t.Fatal(r)
		}
		ran.Complete(pipeline.Completion{Outcome: pipeline.Answered})
		synctest.Wait()
		if f.Queue.Withdraw(t.Context(), "ran", time.Second) {
			t.Error("an attempt that has run was withdrawn")
		}
		if f.Queue.Withdraw(t.Context(), "unknown", 2*time.Minute) {
			t.Error("an attempt from before the start of this process was withdrawn")
		}
		for i := range 100 {
			<-time.After(time.Second)
			other := request(fmt.Sprint(i), 0)
			if r := f.Handle(t.Context(), other); r != nil {
				t.Fatal(r)
			}
			other.Complete(pipeline.Completion{Outcome: pipeline.Answered})
		}
		synctest.Wait()
		if n := len(f.Queue.executed.expiry); n > int(minExecutedRetention/time.Second)+2 {
			t.Errorf("%d attempts are retained, want expired ones removed", n)
		}
	})
}

// Guards against canceled requests that keep their place in the queue.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 1, discardEvent)
		defer stop()
		f.Handle(t.Context(), request("1", 0))
		ctx, cancel := context.WithCancel(t.Context())
		waited := make(chan *pipeline.Result, 1)
		go func() { waited <- f.Handle(ctx, request("2", time.Hour)) }()
		synctest.Wait()
		cancel()
		if r := <-waited; r == nil || r.Outcome != pipeline.NotRun {
			t.Errorf("%+v", r)
		}
		synctest.Wait()
		if load := f.Queue.Load(); load.Waiting != 0 {
			t.Errorf("%d wait", load.Waiting)
		}
	})
}

// Guards against a crash that is not reported, or is reported once for each
// interrupted request.
func TestCrashIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes := make(chan mesh.ServerCrashed, 8)
		f, stop := run(t, 3, func(ev control.Event) bool {
			if c, ok := ev.(mesh.ServerCrashed); ok {
				crashes <- c
			}
			return true
		})
		defer stop()
		var requests []*pipeline.Request
		for _, id := range []string{"1", "2", "3"} {
			req := request(id, 0)
			f.Handle(t.Context(), req)
			requests = append(requests, req)
		}
		for _, req := range requests {
			req.RunResult = pipeline.RunBackendCrashed
			req.Complete(pipeline.Completion{Outcome: pipeline.Unknown})
		}
		synctest.Wait()
		if len(crashes) != 1 {
			t.Fatalf("%d crashes", len(crashes))
		}
		if c := <-crashes; len(c.InFlight) != 3 {
			t.Errorf("%d in flight", len(c.InFlight))
		}
	})
}

// Guards against attempts that wait at an exit proxy that stops, until they are cut, and
// against ending the attempts that run.
func TestClosedQueueRefusesWaitingAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 1, discardEvent)
		defer stop()
		running := request("running", 0)
		if r := f.Handle(t.Context(), running); r != nil {
			t.Fatal(r)
		}
		waiting := make(chan *pipeline.Result, 1)
		go func() { waiting <- f.Handle(t.Context(), request("waiting", time.Hour)) }()
		synctest.Wait()
		f.Queue.Close()
		if r := <-waiting; r == nil || r.Outcome != pipeline.NotRun || r.Code != pipeline.CodeStopping {
			t.Errorf("waiting: %+v", r)
		}
		if f.Queue.Withdraw(t.Context(), "running", time.Millisecond) {
			t.Error("the withdrawal of a running attempt is confirmed")
		}
		running.Complete(pipeline.Completion{Outcome: pipeline.Answered})
		synctest.Wait()
		if r := f.Handle(t.Context(), request("late", time.Hour)); r == nil || r.Code != pipeline.CodeStopping {
			t.Errorf("late: %+v", r)
		}
	})
}

// holdSlots lets requests of a route take all slots and returns the function that ends one of them.
func holdSlots(t *testing.T, f *Filter, slots int, route string) (end func()) {
	t.Helper()
	var held []*pipeline.Request
	for i := range slots {
		req := request(fmt.Sprint(route, i), 0)
		req.Route = route
		if r := f.Handle(t.Context(), req); r != nil {
			t.Fatal(r)
		}
		held = append(held, req)
	}
	return func() {
		held[0].Complete(pipeline.Completion{Outcome: pipeline.Answered})
		held = held[1:]
	}
}

// runFor lets requests of a route hold all slots for a time.
func runFor(t *testing.T, f *Filter, slots int, route string, d time.Duration) {
	t.Helper()
	end := holdSlots(t, f, slots, route)
	<-time.After(d)
	for range slots {
		end()
	}
	synctest.Wait()
}

// handleShort sends a request of the route "short" that has 900 ms left and may wait.
func handleShort(t *testing.T, f *Filter, id string) <-chan *pipeline.Result {
	req := request(id, 900*time.Millisecond)
	req.Route, req.Deadline = "short", time.Now().Add(900*time.Millisecond)
	result := make(chan *pipeline.Result, 1)
	go func() { result <- f.Handle(t.Context(), req) }()
	return result
}

// Guards against refusing a request for lack of time because requests of other routes take long.
func TestDeadlineIsNotJudgedByRequestsOfOtherRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 7, discardEvent)
		defer stop()
		runFor(t, f, 7, "long", 2*time.Second)
		end := holdSlots(t, f, 7, "long")
		result := handleShort(t, f, "short")
		<-time.After(300 * time.Millisecond)
		end()
		if r := <-result; r != nil {
			t.Errorf("%+v for a request with 600 ms left when a slot became free", r)
		}
	})
}

// Guards against refusing all requests of a route for good because the server was slow once.
func TestRouteThatWasSlowIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 7, discardEvent)
		defer stop()
		runFor(t, f, 7, "short", 2*time.Second)
		end := holdSlots(t, f, 7, "long")
		if r := <-handleShort(t, f, "slow"); r == nil || r.Outcome != pipeline.NotRun {
			t.Errorf("%+v for a request of a route that takes 2 s", r)
		}
		<-time.After(servicetime.MaxAge + 3*time.Second)
		result := handleShort(t, f, "again")
		<-time.After(300 * time.Millisecond)
		end()
		if r := <-result; r != nil {
			t.Errorf("%+v for a request of a route that has not run for %v", r, servicetime.MaxAge)
		}
	})
}

// Guards against giving up a request that would wait too long at one server although another
// one may have a shorter queue, and against sending on one that has no time left to run.
func TestWaitBeyondTheDeadlineIsNoReasonToGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 7, discardEvent)
		defer stop()
		runFor(t, f, 7, "other", 1200*time.Millisecond)
		runFor(t, f, 7, "slow", 2*time.Second)
		holdSlots(t, f, 7, "slow")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 6 {
			req := request(fmt.Sprint("waits", i), time.Hour)
			go f.Handle(ctx, req)
		}
		synctest.Wait()
		for route, want := range map[string]pipeline.Code{"other": pipeline.CodeQueueFull, "slow": pipeline.CodeDeadlineTooShort} {
			req := request(route, 900*time.Millisecond)
			req.Route, req.Deadline, req.MaxQueueWait = route, time.Now().Add(900*time.Millisecond), time.Hour
			if r := f.Handle(t.Context(), req); r == nil || r.Code != want {
				t.Errorf("%s: %+v, want code %v", route, r, want)
			}
		}
	})
}
