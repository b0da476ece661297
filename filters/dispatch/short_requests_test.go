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

// overload is a load of requests of 1.1 s on twelve servers with seven slots each, which can
// run 76 of them per second.
type overload struct {
	perSecond, rank int
}

// Guards against refusing the requests of a route because those of other routes take long.
func TestShortRequestsAreServedBesideLongOnes(t *testing.T) {
	requireServedBeside(t, overload{perSecond: 100, rank: 4})
}

// Guards against short requests that wait behind long ones for longer than they can.
func TestShortRequestsAreNotRefusedForTheLongOnesAhead(t *testing.T) {
	for name, load := range map[string]overload{
		"one rank less urgent": {perSecond: 460, rank: 2},
		"equally urgent":       {perSecond: 230, rank: 1},
		"one rank more urgent": {perSecond: 100, rank: 0},
	} {
		t.Run(name, func(t *testing.T) { requireServedBeside(t, load) })
	}
}

// requireServedBeside fails the test if short requests are served less than a quarter as often as the
// long ones of an overload.
func requireServedBeside(t *testing.T, load overload) {
	synctest.Test(t, func(t *testing.T) {
		long, short := serveBeside(t, load)
		t.Logf("served: long %d of %d, short %d of %d", long.served, long.ended, short.served, short.ended)
		if short.share() < long.share()/4 {
			t.Errorf("served %d of %d short requests and %d of %d long ones, want at least a quarter as often", short.served, short.ended, long.served, long.ended)
		}
	})
}

// serveBeside sends 8 requests of 20 ms per second, of rank 1 and with 900 ms until their deadlines, beside a load of
// long ones.
func serveBeside(t *testing.T, load overload) (long, short *outcomes) {
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
	long, short = &outcomes{}, &outcomes{}
	var requests sync.WaitGroup
	send := func(route string, rank int, timeout time.Duration, of *outcomes) {
		requests.Go(func() {
			req := request(false)
			req.Route, req.Rank, req.Deadline = route, rank, time.Now().Add(timeout)
			of.add(e.Handle(ctx, req).Status == 200)
		})
	}
	const seconds = 20
	for tick := range seconds * load.perSecond {
		send("long", load.rank, 5*time.Second, long)
		if tick%(load.perSecond/8) == 0 && tick > 8*load.perSecond {
			send("short", 1, 900*time.Millisecond, short)
		}
		if tick%(load.perSecond/10) == 0 {
			exits.sendStatuses(e)
		}
		<-time.After(time.Second / time.Duration(load.perSecond))
	}
	requests.Wait()
	<-time.After(exits.serviceTime["long"]) // for requests that still run at a server after their deadline
	cancel()
	synctest.Wait()
	return long, short
}
