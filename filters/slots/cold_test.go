package slots

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// exitBesideServer is the queue of an exit proxy, which may be started again, beside one
// backend server of ten slots.
type exitBesideServer struct {
	t       *testing.T
	mu      sync.Mutex
	backend Backend
	filter  *Filter
	stop    func()
	starts  []time.Time // of requests at the backend server
	refused map[pipeline.Code]int
	running sync.WaitGroup
}

func newExitBesideServer(t *testing.T, backend Backend) *exitBesideServer {
	e := &exitBesideServer{t: t, backend: backend, refused: make(map[pipeline.Code]int)}
	e.start()
	return e
}

// start starts the process; an earlier one ends.
func (e *exitBesideServer) start() {
	if e.stop != nil {
		e.stop()
	}
	q := NewQueue(10, discardEvent)
	ctx, cancel := context.WithCancel(context.Background())
	go q.Run(ctx, func() Backend {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.backend
	})
	e.filter = &Filter{Queue: q, OriginalID: func(*pipeline.Request) string { return "" }, Log: zap.NewNop()}
	e.stop = func() { cancel(); <-q.stopped }
}

// set changes what the control loop knows about the server.
func (e *exitBesideServer) set(change func(*Backend)) {
	e.mu.Lock()
	change(&e.backend)
	e.mu.Unlock()
	e.filter.Queue.Refresh()
	synctest.Wait()
}

// load sends requests at a rate for a duration; each runs for 50 ms and ends with code.
func (e *exitBesideServer) load(perSecond int, d time.Duration, code pipeline.Code) {
	for i := range int(d.Seconds() * float64(perSecond)) {
		filter := e.filter
		e.running.Go(func() {
			req := request(fmt.Sprint(i), 150*time.Millisecond)
			if r := filter.Handle(e.t.Context(), req); r != nil {
				e.mu.Lock()
				e.refused[r.Code]++
				e.mu.Unlock()
				return
			}
			e.mu.Lock()
			e.starts = append(e.starts, time.Now())
			e.mu.Unlock()
			<-time.After(50 * time.Millisecond)
			outcome := pipeline.Answered
			if code != pipeline.CodeOK {
				outcome = pipeline.NotRun
			}
			req.Complete(pipeline.Completion{Outcome: outcome, Code: code})
		})
		<-time.After(time.Second / time.Duration(perSecond))
	}
	e.running.Wait()
}

// mostInASecond returns the highest number of starts in any second within a period.
func (e *exitBesideServer) mostInASecond(from, to time.Time) int {
	starts := slices.DeleteFunc(slices.Clone(e.starts), func(at time.Time) bool { return at.Before(from) || !at.Before(to) })
	most, first := 0, 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

const (
	coldTime = 3 * time.Second
	coldRate = 12
)

// Load: 100 requests per second at a server that takes 200 when warm. Guards against more
// than its rate while it is cold after an evacuation, also when the process starts again.
func TestColdServerGetsItsRateAfterAnEvacuation(t *testing.T) {
	for _, restart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := newExitBesideServer(t, Backend{Slots: 10, Evacuated: true, WarmUpTime: coldTime, WarmUpRate: coldRate})
			defer func() { e.stop() }()
			e.load(100, time.Second, pipeline.CodeOK)
			if len(e.starts) > 0 || e.refused[pipeline.CodeZoneEvacuated] != 100 {
				t.Fatalf("%d starts in an evacuated zone, refused %v", len(e.starts), e.refused)
			}
			e.set(func(b *Backend) { b.Evacuated, b.WarmUpUntil = false, time.Now().Add(coldTime) })
			returned := time.Now()
			e.load(100, coldTime/2, pipeline.CodeOK)
			if limit := e.filter.Queue.Load().Limit; limit != (pipeline.RateLimit{Known: true, Limited: true, PerSecond: coldRate}) {
				t.Errorf("entries learn of the limit %+v", limit)
			}
			if e.filter.Queue.ObserveLimit("", pipeline.RateLimit{Known: true}) {
				t.Error("an answer without a limit counts as a change")
			}
			if restart {
				e.start()
			}
			e.load(100, coldTime/2-300*time.Millisecond, pipeline.CodeOK)
			if most := e.mostInASecond(returned, returned.Add(coldTime)); most > coldRate+1 || most < coldRate-1 {
				t.Errorf("restart %v: %d starts within a second, want at most %d", restart, most, coldRate+1)
			}
			if n := int(e.filter.Queue.ColdRefusals()); n == 0 {
				t.Error("no refusal is counted")
			}
			<-time.After(500 * time.Millisecond)
			synctest.Wait()
			if limit := e.filter.Queue.Load().Limit; limit != (pipeline.RateLimit{Known: true}) {
				t.Errorf("entries learn of the limit %+v after the server is warm", limit)
			}
			warm := time.Now()
			e.load(100, time.Second, pipeline.CodeOK)
			if most := e.mostInASecond(warm, time.Now()); most < 95 {
				t.Errorf("%d starts within a second at a warm server", most)
			}
		})
	}
}

// Load: 100 requests per second at a server that crashes and starts again. Guards against
// the full rate before its list entry tells, and against a limit where none is configured.
func TestServerThatWasLostGetsTheRateOfAColdOne(t *testing.T) {
	for _, rate := range []float64{coldRate, 0} {
		synctest.Test(t, func(t *testing.T) {
			e := newExitBesideServer(t, Backend{Slots: 10, WarmUpTime: coldTime, WarmUpRate: rate})
			defer func() { e.stop() }()
			e.load(100, 200*time.Millisecond, pipeline.CodeConnectFailed)
			lost := time.Now()
			e.load(100, 500*time.Millisecond, pipeline.CodeConnectFailed)
			e.load(100, coldTime, pipeline.CodeOK)
			most := e.mostInASecond(lost, lost.Add(coldTime))
			if rate > 0 && most > coldRate+1 {
				t.Errorf("%d starts within a second", most)
			}
			if rate == 0 && most < 95 {
				t.Errorf("%d starts within a second without a configured rate", most)
			}
			<-time.After(time.Second)
			warm := time.Now()
			e.load(100, time.Second, pipeline.CodeOK)
			if most := e.mostInASecond(warm, time.Now()); most < 95 {
				t.Errorf("%d starts within a second when it is warm again", most)
			}
		})
	}
}

// Guards against attempts that wait in an evacuated zone until a slot is free, against
// ending the attempts that run, and against a queue that stays closed.
func TestEvacuationRefusesWaitingAttemptsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newExitBesideServer(t, Backend{Slots: 1})
		defer func() { e.stop() }()
		running := request("running", 0)
		if r := e.filter.Handle(t.Context(), running); r != nil {
			t.Fatalf("%+v", r)
		}
		waiting := make(chan *pipeline.Result, 1)
		go func() { waiting <- e.filter.Handle(t.Context(), request("waiting", time.Hour)) }()
		synctest.Wait()
		began := time.Now()
		e.set(func(b *Backend) { b.Evacuated = true })
		if r := <-waiting; r == nil || r.Code != pipeline.CodeZoneEvacuated || r.Outcome != pipeline.NotRun || time.Since(began) > 0 {
			t.Errorf("after %v: %+v", time.Since(began), r)
		}
		if e.filter.Queue.Withdraw(t.Context(), "running", time.Millisecond) {
			t.Error("the withdrawal of a running attempt is confirmed")
		}
		running.Complete(pipeline.Completion{Outcome: pipeline.Answered})
		e.set(func(b *Backend) { b.Evacuated = false })
		if r := e.filter.Handle(t.Context(), request("later", 0)); r != nil {
			t.Errorf("after the end of the evacuation: %+v", r)
		}
	})
}
