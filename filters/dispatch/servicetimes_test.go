package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/slotqueue"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against short requests that are refused without being sent since all queues are full of long ones, and against long ones that are sent in vain.
func TestShortRequestsAreSentToQueuesFullOfLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return refused(pipeline.CodeQueueFull) }}
		e := newEntryOfZones(sender, 0)
		seq := uint32(0)
		expect := func(when, route string, want int) {
			t.Helper()
			seq++
			for _, target := range e.loop.Snapshot().Services["roster"] {
				e.loop.Step(time.Now(), mesh.MessageReceived{Host: target.Host, Direct: true, Message: notice.Message{Status: &notice.Status{
					BootID: 1, Seq: seq, Backend: target.ID, Running: 4, Waiting: slotqueue.MaxWaiting, Urgent: slotqueue.MaxWaiting, MeanServiceTimeMS: 1000,
				}}})
			}
			sender.sent = nil
			req := request(true)
			req.Route = route
			if e.Handle(t.Context(), req); len(sender.sent) != want {
				t.Errorf("%s, route %s: sent %d times, want %d", when, route, len(sender.sent), want)
			}
		}
		e.ServiceTimes.of("short").observe(time.Now(), 10*time.Millisecond)
		e.ServiceTimes.of("long").observe(time.Now(), 800*time.Millisecond)
		expect("known", "short", maxQueuesTried)
		expect("known", "short", maxQueuesTried)
		expect("known", "long", 0)
		expect("first", "new", maxQueuesTried)
		expect("second", "new", 0)
		<-time.After(probeInterval)
		expect("after an interval", "new", maxQueuesTried)
	})
}

// Guards against long requests that count as short because a server fails them at once.
func TestFailuresDoNotMakeARouteShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := status(500)
		answer.ServiceTime = time.Millisecond
		e := newEntryOfZones(&exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return answer }}, 0)
		e.Handle(t.Context(), request(false))
		if got := e.ServiceTimes.of(request(false).Route).expected(time.Now()); got != 0 {
			t.Errorf("a route whose only request failed is expected to take %v", got)
		}
	})
}
