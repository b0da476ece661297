package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// entryOfZones is a dispatch filter with three servers of four slots in each of four zones.
type entryOfZones struct {
	*Filter
	loop     *control.Loop[mesh.Snapshot]
	revision uint64
}

func newEntryOfZones(sender Sender, sharedRetriesLeft int) *entryOfZones {
	e := &entryOfZones{loop: mesh.New(mesh.Options{
		Identity:          mesh.Identity{Host: "10.0.0.1", Zone: "a", StartedAt: time.Now()},
		Load:              func() pipeline.Load { return pipeline.Load{} },
		BootClock:         func() time.Duration { return 0 },
		FollowEvacuations: true,
	}, discardCommands{})}
	var servers []mesh.Server
	for i := range 12 {
		host := fmt.Sprintf("10.0.0.%d", i+2)
		servers = append(servers, mesh.Server{ID: host, Service: "roster", Zone: zoneOf(i), Host: host, Addr: host + ":80", Slots: 4})
	}
	e.loop.Step(time.Now(), mesh.ServerListRead{Complete: true, Put: servers})
	e.evacuate()
	var ids atomic.Int64
	e.Filter = &Filter{
		Snapshot:           e.loop.Snapshot,
		Sender:             sender,
		Budgets:            &RetryBudgets{Window: 10 * time.Second, RetriesPerRequest: 0.2, Submit: sharedRetries(sharedRetriesLeft)},
		NewID:              func() string { return fmt.Sprint(ids.Add(1)) },
		RetryProbability:   func(string) float64 { return 0 },
		EvacuationRefusals: metrics.NewSet().NewCounter("refusals_total"),
		Log:                zap.NewNop(),
	}
	return e
}

func zoneOf(server int) string { return string(rune('a' + server%4)) }

// evacuate replaces the set of evacuated zones.
func (e *entryOfZones) evacuate(zones ...string) {
	e.revision++
	e.loop.Step(time.Now(), mesh.EvacuationsRead{Position: mesh.StorePosition{Revision: e.revision}, Zones: zones})
}

// zoneOfServer returns the zone of a server by its identifier.
func (e *entryOfZones) zoneOfServer(id string) string {
	for _, target := range e.loop.Snapshot().Services["roster"] {
		if target.ID == id {
			return target.Zone
		}
	}
	return ""
}

// Guards against attempts in an evacuated zone: of requests and calls, retries and hedges,
// also when the evacuation begins while the first attempt runs.
func TestEvacuatedZoneGetsNoAttempt(t *testing.T) {
	for name, prepare := range map[string]func(*pipeline.Request){
		"request": func(*pipeline.Request) {},
		"call":    func(req *pipeline.Request) { req.Principal.Team, req.ParentID = "", "parent" },
	} {
		for _, slow := range []bool{false, true} { // a slow first attempt is hedged, a failed one retried
			synctest.Test(t, func(t *testing.T) {
				sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(500) }}
				if slow {
					sender.delays = []time.Duration{3 * time.Second, 3 * time.Second}
				}
				e := newEntryOfZones(sender, 100)
				for round := range 20 {
					sender.sent = nil
					e.evacuate("d")
					if round%2 == 1 {
						go func() { <-time.After(time.Second); e.evacuate("a", "b", "d") }()
					}
					began := time.Now()
					req := request(true)
					prepare(req)
					e.Handle(t.Context(), req)
					for i, attempt := range sender.sent {
						zone := e.zoneOfServer(attempt.Backend)
						if zone == "d" || (i > 0 && slow && round%2 == 1 && zone != "c") {
							t.Errorf("%s, slow %v: attempt %d in zone %s", name, slow, i, zone)
						}
					}
					if len(sender.sent) != 2 {
						t.Errorf("%s, slow %v: %d attempts", name, slow, len(sender.sent))
					}
					<-time.After(5*time.Second - time.Since(began))
					synctest.Wait()
				}
			})
		}
	}
}

// Guards against requests that wait, or are reported as possibly run, although all servers
// are in evacuated zones.
func TestRequestIsRefusedAtOnceIfAllZonesAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(200) }}
		e := newEntryOfZones(sender, 3)
		e.evacuate("a", "b", "c", "d")
		began := time.Now()
		result := e.Handle(t.Context(), request(false))
		if result.Code != pipeline.CodeNoBackend || result.Outcome != pipeline.NotRun || result.RetryAfter <= 0 || time.Since(began) > 0 {
			t.Errorf("after %v: %+v", time.Since(began), result)
		}
		if len(sender.sent) > 0 || e.EvacuationRefusals.Get() != 1 {
			t.Errorf("%d attempts, %d refusals counted", len(sender.sent), e.EvacuationRefusals.Get())
		}
		e.evacuate("a", "b", "c")
		if result := e.Handle(t.Context(), request(false)); result.Status != 200 || e.zoneOfServer(sender.sent[0].Backend) != "d" {
			t.Errorf("one zone left: %+v", result)
		}
	})
}

// Guards against a request that fails, or takes retries from the budget, because exit
// proxies know of an evacuation before this process.
func TestRefusalByAnEvacuatedExitCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusals := 3
		sender := &exitProxies{answers: func(n int, _ *pipeline.Request) hop.Answer {
			if n < refusals {
				return refused(pipeline.CodeZoneEvacuated)
			}
			return status(200)
		}}
		e := newEntryOfZones(sender, 0)
		if result := e.Handle(t.Context(), request(false)); result.Status != 200 || len(sender.sent) != refusals+1 {
			t.Errorf("%d attempts: %+v", len(sender.sent), result)
		}
		refusals = 100
		if result := e.Handle(t.Context(), request(false)); result.Code != pipeline.CodeNoBackend || result.RetryAfter <= 0 {
			t.Errorf("%+v", result)
		}
	})
}

// exitsWithQueues are exit proxies whose servers take serviceTime for a request, by its route.
type exitsWithQueues struct {
	filters     map[string]*slots.Filter
	serviceTime map[string]time.Duration
	statuses    uint32
}

// Do implements Sender.
func (e *exitsWithQueues) Do(ctx context.Context, host string, req *pipeline.Request) hop.Answer {
	filter := e.filters[host]
	if result := filter.Handle(ctx, req); result != nil {
		return hop.Answer{Result: result, Reached: true, HasLoad: true, Load: filter.Queue.Load()}
	}
	<-time.After(e.serviceTime[req.Route])
	req.Complete(pipeline.Completion{Outcome: pipeline.Answered, Status: 200})
	answer := status(200)
	answer.HasLoad, answer.Load, answer.ServiceTime = true, filter.Queue.Load(), e.serviceTime[req.Route]
	return answer
}

// sendStatuses reports the loads of all servers to an entry proxy.
func (e *exitsWithQueues) sendStatuses(to *entryOfZones) {
	e.statuses++
	for host, filter := range e.filters {
		load := filter.Queue.Load()
		to.loop.Step(time.Now(), mesh.MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{
			BootID: 1, Seq: e.statuses, Backend: host, BadProbability: float32(belief.PriorBadProbability),
			Running: uint16(load.Running), Waiting: uint16(load.Waiting), Urgent: uint16(load.Urgent),
			MeanServiceTimeMS: uint32(load.MeanServiceTime.Milliseconds()),
		}}})
	}
}

// Withdraw implements Sender.
func (e *exitsWithQueues) Withdraw(context.Context, string, string, time.Time) hop.WithdrawResult {
	return hop.NotWithdrawn
}

// Load: 400 requests per second at twelve servers that take 480, and 360 while one of four
// zones is evacuated. Guards against servers that collapse under the work of the fourth
// zone, and against refusals of the rest that come late.
func TestRemainingZonesTakeTheWorkOfAnEvacuatedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		exits := &exitsWithQueues{filters: make(map[string]*slots.Filter), serviceTime: map[string]time.Duration{"": 100 * time.Millisecond}}
		for i := range 12 {
			queue := slots.NewQueue(4, func(control.Event) bool { return true })
			go queue.Run(ctx, func() slots.Backend { return slots.Backend{Slots: 4} })
			exits.filters[fmt.Sprintf("10.0.0.%d", i+2)] = &slots.Filter{Queue: queue, OriginalID: func(*pipeline.Request) string { return "" }, Log: zap.NewNop()}
		}
		e := newEntryOfZones(exits, 3)
		e.evacuate("d")
		const perSecond, seconds = 400, 5
		var served, unserved, late atomic.Int64
		var requests sync.WaitGroup
		for range perSecond * seconds {
			requests.Go(func() {
				began := time.Now()
				req := request(false)
				req.Deadline, req.Class.TargetLatency = began.Add(2*time.Second), time.Second
				result := e.Handle(ctx, req)
				switch {
				case result.Status == 200:
					served.Add(1)
				case time.Since(began) > time.Second:
					late.Add(1)
				default:
					unserved.Add(1)
				}
			})
			<-time.After(time.Second / perSecond)
		}
		requests.Wait()
		cancel()
		const carried = 360 * seconds
		if float64(served.Load()) < 0.95*carried {
			t.Errorf("served %d, refused %d in time and %d late; the zones can carry %d", served.Load(), unserved.Load(), late.Load(), carried)
		}
		if late.Load() > perSecond*seconds/50 {
			t.Errorf("%d refusals after a second", late.Load())
		}
		synctest.Wait()
	})
}
