package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// outcomes counts the requests of one route.
type outcomes struct {
	mu            sync.Mutex
	served, ended int
}

func (o *outcomes) add(served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended++
	if served {
		o.served++
	}
}

func (o *outcomes) share() float64 { return float64(o.served) / float64(max(o.ended, 1)) }

// Load: 1.3 times what twelve servers with seven slots can run of requests of 1.1 s, beside 8 urgent
// requests of 20 ms per second. Guards against refusing the requests of a route because those of other routes take long.
func TestShortRequestsAreServedBesideLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		exits := &exitsWithQueues{
			filters:     make(map[string]*slots.Filter),
			serviceTime: map[string]time.Duration{"long": 1100 * time.Millisecond, "short": 20 * time.Millisecond},
		}
		for i := range 12 {
			queue := slots.NewQueue(7, func(control.Event) bool { return true })
			go queue.Run(ctx, func() slots.Backend { return slots.Backend{Slots: 7} })
			exits.filters[fmt.Sprintf("10.0.0.%d", i+2)] = &slots.Filter{Queue: queue, OriginalID: func(*pipeline.Request) string { return "" }, Log: zap.NewNop()}
		}
		e := newEntryOfZones(exits, 3)
		var long, short outcomes
		var requests sync.WaitGroup
		send := func(route string, rank int, timeout time.Duration, of *outcomes) {
			requests.Go(func() {
				req := request(false)
				req.Route, req.Rank, req.Deadline = route, rank, time.Now().Add(timeout)
				of.add(e.Handle(ctx, req).Status == 200)
			})
		}
		const ticksPerSecond = 100
		for tick := range 20 * ticksPerSecond {
			send("long", 4, 5*time.Second, &long)
			if tick%12 == 0 && tick > 8*ticksPerSecond {
				send("short", 1, 900*time.Millisecond, &short)
			}
			<-time.After(time.Second / ticksPerSecond)
		}
		requests.Wait()
		<-time.After(exits.serviceTime["long"]) // for requests that still run at a server after their deadline
		cancel()
		t.Logf("served: long %d of %d, short %d of %d", long.served, long.ended, short.served, short.ended)
		if short.share() < long.share()/4 {
			t.Errorf("served %d of %d short requests and %d of %d long ones, want at least a quarter as often", short.served, short.ended, long.served, long.ended)
		}
		synctest.Wait()
	})
}
