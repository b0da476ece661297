package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/slotqueue"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// exitProxies simulates the exit proxies of four backend servers. answers returns the
// answer to attempt n, counted from 0.
type exitProxies struct {
	mu      sync.Mutex
	answers func(n int, req *pipeline.Request) hop.Answer
	delays  []time.Duration // response delays of the first attempts
	sent    []*pipeline.Request
}

// Do implements Sender.
func (e *exitProxies) Do(ctx context.Context, _ string, req *pipeline.Request) hop.Answer {
	e.mu.Lock()
	n := len(e.sent)
	e.sent = append(e.sent, req)
	e.mu.Unlock()
	if n < len(e.delays) {
		select {
		case <-time.After(e.delays[n]):
		case <-ctx.Done():
			return refused(pipeline.CodeCanceled)
		}
	}
	return e.answers(n, req)
}

// Withdraw implements Sender.
func (e *exitProxies) Withdraw(context.Context, string, string, time.Time) hop.WithdrawResult {
	return hop.NotWithdrawn
}

type discardCommands struct{}

func (discardCommands) Send(control.Command) bool { return true }

func snapshot() *mesh.Snapshot {
	loop := mesh.New(mesh.Options{
		Identity:  mesh.Identity{Host: "10.0.0.1", Zone: "a", StartedAt: time.Now()},
		Load:      func() pipeline.Load { return pipeline.Load{} },
		BootClock: func() time.Duration { return 0 },
	}, discardCommands{})
	var servers []mesh.Server
	for i := range 4 {
		host := fmt.Sprintf("10.0.0.%d", i+2)
		servers = append(servers, mesh.Server{ID: host, Service: "roster", Zone: "a", Host: host, Addr: host + ":80", Slots: 7})
	}
	loop.Step(time.Now(), mesh.ServerListRead{Complete: true, Put: servers})
	return loop.Snapshot()
}

// handle sends one request through the filter in a synctest bubble.
func handle(t *testing.T, req *pipeline.Request, answers func(n int, req *pipeline.Request) hop.Answer, delays ...time.Duration) (*pipeline.Result, *exitProxies) {
	t.Helper()
	snap := snapshot()
	sender := &exitProxies{answers: answers, delays: delays}
	var ids atomic.Int64
	f := &Filter{
		Snapshot:         func() *mesh.Snapshot { return snap },
		Sender:           sender,
		Budgets:          &RetryBudgets{Window: 10 * time.Second, RetriesPerRequest: 0.2, Submit: sharedRetries(3)},
		NewID:            func() string { return fmt.Sprint(ids.Add(1)) },
		RetryProbability: func(string) float64 { return 0 },
		Log:              zap.NewNop(),
	}
	result := f.Handle(t.Context(), req)
	synctest.Wait()
	return result, sender
}

// sharedRetries simulates a control loop that grants n shared retries.
func sharedRetries(n int) func(context.Context, control.Event) error {
	var requested atomic.Int64
	return func(_ context.Context, ev control.Event) error {
		ev.(mesh.TokenRequest).Reply <- mesh.TokenDecision{Granted: int(requested.Add(1)) <= n}
		return nil
	}
}

func request(idempotent bool) *pipeline.Request {
	return &pipeline.Request{
		ID: "r", Service: "roster", MaxAttempts: 2, Deadline: time.Now().Add(5 * time.Second),
		Principal: pipeline.Principal{Team: "acme"},
		Class:     pipeline.Class{Idempotent: idempotent, TargetLatency: 2 * time.Second},
	}
}

func status(code int) hop.Answer {
	return hop.Answer{Result: hop.CompleteResult(code, pipeline.Header{}, nil), Reached: true}
}

func refused(code pipeline.Code) hop.Answer {
	answer := hop.Answer{Result: pipeline.Refuse(code, ""), Reached: true}
	if code == pipeline.CodeQueueFull {
		answer.HasLoad, answer.Load = true, pipeline.Load{Running: 7, Waiting: 3, Slots: 7}
	}
	return answer
}

// Guards against a non-idempotent request that is sent to a second backend server
// although the first one may have run it.
func TestRequestsThatRunOnceAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, answer := range []hop.Answer{status(500), refused(pipeline.CodeConnectionLost), refused(pipeline.CodeDeadlineInRun)} {
			result, sender := handle(t, request(false), func(int, *pipeline.Request) hop.Answer { return answer })
			if len(sender.sent) != 1 || result.Outcome == pipeline.NotRun {
				t.Errorf("%+v: sent %d times, result %+v", answer.Result, len(sender.sent), result)
			}
		}
	})
}

// Guards against a request that fails after a refusal, although it did not run and
// other servers are free.
func TestRefusedAttemptsGoElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, code := range []pipeline.Code{pipeline.CodeBackendLeaving, pipeline.CodePathBroken, pipeline.CodeShed, pipeline.CodeQueueFull} {
			result, sender := handle(t, request(false), func(n int, _ *pipeline.Request) hop.Answer {
				if n == 0 {
					return refused(code)
				}
				return status(200)
			})
			if result.Status != 200 || len(sender.sent) != 2 || sender.sent[0].Backend == sender.sent[1].Backend {
				t.Errorf("%v: sent %d times, result %+v", code, len(sender.sent), result)
			}
		}
	})
}

// Guards against an idempotent request that is not retried after a failure, and
// against more attempts than the route permits.
func TestIdempotentRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, sender := handle(t, request(true), func(n int, _ *pipeline.Request) hop.Answer {
			return status([]int{500, 200}[n])
		})
		if result.Status != 200 || len(sender.sent) != 2 || !sender.sent[1].ReachedBackend || sender.sent[0].ReachedBackend {
			t.Errorf("sent %d times, result %+v", len(sender.sent), result)
		}
		result, sender = handle(t, request(true), func(int, *pipeline.Request) hop.Answer { return status(500) })
		if result.Status != 500 || len(sender.sent) != 2 {
			t.Errorf("all fail: sent %d times, result %+v", len(sender.sent), result)
		}
	})
}

// Guards against urgent requests that avoid a healthy server, or fail, because of
// queued requests that they would overtake.
func TestUrgentRequestsIgnoreTheQueueOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snap := snapshot()
		for _, target := range snap.Services["roster"] {
			target.Live.SetLoad(time.Now(), &pipeline.Load{Running: 7, Waiting: 60, Urgent: 0, Slots: 7})
		}
		for rank, waiting := range map[int]int{pipeline.MaxUrgentRank: 0, pipeline.MaxUrgentRank + 1: 60} {
			req := request(true)
			req.Rank = rank
			r := requestState{filter: &Filter{}, req: req}
			if c := r.candidate(time.Now(), snap, snap.Services["roster"][0]); c.QueuedAhead != waiting {
				t.Errorf("rank %d waits for %d, want %d", rank, c.QueuedAhead, waiting)
			}
		}
	})
}

// Guards against an idempotent request that waits for a slow server instead of being
// hedged.
func TestSlowAttemptIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		result, sender := handle(t, request(true), func(int, *pipeline.Request) hop.Answer { return status(200) }, 4*time.Second)
		if result.Status != 200 || len(sender.sent) != 2 || time.Since(start) > 2*time.Second {
			t.Errorf("sent %d times in %v, result %+v", len(sender.sent), time.Since(start), result)
		}
	})
}

// Guards against a caller that waits beyond its deadline, and against reporting a
// request as not run while its attempt is still open.
func TestDeadlineEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		result, _ := handle(t, request(false), func(int, *pipeline.Request) hop.Answer { return status(200) }, 8*time.Second)
		took := time.Since(start)
		if took > 5250*time.Millisecond || result.Code != pipeline.CodeDeadlineInRun || result.Outcome != pipeline.Unknown {
			t.Errorf("after %v: %+v", took, result)
		}
	})
}

// Guards against a request that no server accepts being reported as possibly run,
// or being refused without Retry-After. Each of the four servers must be tried
// first.
func TestUnservedRequestsGetRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, sender := handle(t, request(false), func(int, *pipeline.Request) hop.Answer { return refused(pipeline.CodePathBroken) })
		if result.Outcome != pipeline.NotRun || result.RetryAfter <= 0 {
			t.Errorf("%+v", result)
		}
		var hosts []string
		for _, req := range sender.sent {
			hosts = append(hosts, req.Backend)
		}
		if len(hosts) != 4 {
			t.Errorf("tried %s, want each of four servers", strings.Join(hosts, ", "))
		}
	})
}

// Guards against requests to a server from an entry proxy that has passed on an answer
// saying that the server is leaving, also after its exit proxy has started again.
func TestServerThatSaysItLeavesIsNotChosenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snap := snapshot()
		target := snap.Services["roster"][0]
		r := requestState{filter: &Filter{}, req: request(true)}
		r.updateTarget(t.Context(), target, hop.Answer{Result: hop.CompleteResult(200, pipeline.Header{}, nil), Reached: true, HasLoad: true, Load: pipeline.Load{Leaving: true}})
		r.updateTarget(t.Context(), target, hop.Answer{Result: hop.CompleteResult(200, pipeline.Header{}, nil), Reached: true, HasLoad: true})
		if !r.candidate(time.Now(), snap, target).Excluded {
			t.Error("the server may be chosen")
		}
	})
}

// Guards against a request that asks most servers of an overloaded service, one after the
// other, before it is refused.
func TestOverloadedServiceRefusesAfterThreeQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, sender := handle(t, request(true), func(int, *pipeline.Request) hop.Answer { return refused(pipeline.CodeQueueFull) })
		if len(sender.sent) != 3 || result.Code != pipeline.CodeQueueFull || result.Outcome != pipeline.NotRun || result.RetryAfter <= 0 {
			t.Errorf("sent %d times, result %+v", len(sender.sent), result)
		}
		call := request(true)
		call.Principal.Team, call.ParentID, call.IsCall = "", "parent", true
		if _, sender = handle(t, call, func(int, *pipeline.Request) hop.Answer { return refused(pipeline.CodeQueueFull) }); len(sender.sent) < 4 {
			t.Errorf("call sent %d times, want to each of four servers", len(sender.sent))
		}
	})
}

// Guards against attempts at servers whose queue is known to be full, and against requests
// that wait for their deadline when all are.
func TestFullServersAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snap := snapshot()
		full := pipeline.Load{Running: 7, Waiting: 28, Urgent: 28, Slots: 7}
		for _, target := range snap.Services["roster"][1:] {
			target.Live.SetLoad(time.Now(), &full)
		}
		sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(200) }}
		f := &Filter{
			Snapshot: func() *mesh.Snapshot { return snap }, Sender: sender, NewID: func() string { return "1" },
			Budgets: &RetryBudgets{Window: 10 * time.Second, Submit: sharedRetries(0)}, Log: zap.NewNop(),
		}
		for range 20 {
			f.Handle(t.Context(), request(true))
		}
		for _, req := range sender.sent {
			if req.Backend != snap.Services["roster"][0].ID {
				t.Fatalf("a server with a full queue was asked")
			}
		}
		snap.Services["roster"][0].Live.SetLoad(time.Now(), &full)
		f.ServiceTimes.of(request(true).Route).observe(time.Now(), time.Second)
		start, sent := time.Now(), len(sender.sent)
		result := f.Handle(t.Context(), request(true))
		if len(sender.sent) != sent || time.Since(start) > 0 || result.Code != pipeline.CodeQueueFull || result.RetryAfter < time.Second {
			t.Errorf("after %v: sent %d times, result %+v", time.Since(start), len(sender.sent)-sent, result)
		}
	})
}

// Guards against entry proxies that judge by another limit than the exit proxy's whether a queue is full.
func TestFullQueueHasTheSizeOfTheExitProxysQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, slots := range []int{2, 4, 5, 8} {
			for waiting, want := range map[int]int{slotqueue.MaxWaiting - 1: 1, slotqueue.MaxWaiting: 0} {
				snap := snapshot()
				for _, target := range snap.Services["roster"] {
					target.Slots = slots
					target.Live.SetLoad(time.Now(), &pipeline.Load{Running: slots, Waiting: waiting, Urgent: waiting, Slots: slots})
				}
				sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(200) }}
				f := &Filter{
					Snapshot: func() *mesh.Snapshot { return snap }, Sender: sender, NewID: func() string { return "1" },
					Budgets: &RetryBudgets{Window: 10 * time.Second, Submit: sharedRetries(0)}, Log: zap.NewNop(),
				}
				f.ServiceTimes.of(request(true).Route).observe(time.Now(), time.Second)
				f.Handle(t.Context(), request(true))
				if len(sender.sent) != want {
					t.Errorf("%d slots, %d requests wait: sent %d times, want %d", slots, waiting, len(sender.sent), want)
				}
			}
		}
	})
}

// Guards against servers that are never asked again because their last report, of a full queue, was followed by none.
func TestServerIsAskedAgainIfItsReportOfAFullQueueIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snap := snapshot()
		for _, target := range snap.Services["roster"] {
			target.Live.SetLoad(time.Now(), &pipeline.Load{Running: 7, Waiting: slotqueue.MaxWaiting, Urgent: slotqueue.MaxWaiting, Slots: 7})
		}
		sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(200) }}
		f := &Filter{
			Snapshot: func() *mesh.Snapshot { return snap }, Sender: sender, NewID: func() string { return "1" },
			Budgets: &RetryBudgets{Window: 10 * time.Second, Submit: sharedRetries(0)}, Log: zap.NewNop(),
		}
		time.Sleep(snap.PeerTimeout)
		if result := f.Handle(t.Context(), request(true)); len(sender.sent) != 1 || result.Status != 200 {
			t.Errorf("sent %d times, result %+v", len(sender.sent), result)
		}
	})
}

// Guards against requests without a key that are refused as calls of a retried request although no backend server made them.
func TestCallerWithoutKeyIsNotRefusedForTheRetriesOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snap := snapshot()
		sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(200) }}
		f := &Filter{
			Snapshot: func() *mesh.Snapshot { return snap }, Sender: sender, NewID: func() string { return "1" },
			Budgets:          &RetryBudgets{Window: 10 * time.Second, Submit: sharedRetries(0)},
			RetryProbability: func(string) float64 { return 1 }, // all requests at the server of this host are retries
			Log:              zap.NewNop(),
		}
		req := request(true)
		req.Principal = pipeline.Principal{}
		if result := f.Handle(t.Context(), req); result.Code != pipeline.CodeOK {
			t.Errorf("without a parent: %+v", result)
		}
		req.ParentID = "parent"
		if result := f.Handle(t.Context(), req); result.Code != pipeline.CodeRetriesSpent {
			t.Errorf("of a retried parent: %+v", result)
		}
	})
}

// Guards against requests that are not sent to a queue full of calls, although the exit proxy has places for them.
func TestQueueFullOfCallsIsNotFullForOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for others, want := range map[int]int{slotqueue.MinOthers - 1: 1, slotqueue.MinOthers: 0} {
			snap := snapshot()
			for _, target := range snap.Services["roster"] {
				target.Live.SetLoad(time.Now(), &pipeline.Load{Running: 7, Waiting: slotqueue.MaxWaiting, Urgent: slotqueue.MaxWaiting - others, Slots: 7})
			}
			sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(200) }}
			f := &Filter{
				Snapshot: func() *mesh.Snapshot { return snap }, Sender: sender, NewID: func() string { return "1" },
				Budgets: &RetryBudgets{Window: 10 * time.Second, Submit: sharedRetries(0)}, Log: zap.NewNop(),
			}
			req := request(true)
			req.Rank = pipeline.MaxUrgentRank + 1
			f.ServiceTimes.of(req.Route).observe(time.Now(), time.Second)
			f.Handle(t.Context(), req)
			if len(sender.sent) != want {
				t.Errorf("%d others wait: sent %d times, want %d", others, len(sender.sent), want)
			}
		}
	})
}
