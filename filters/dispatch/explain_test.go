package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against an explanation that names another server or refusal than the request gets,
// or that sends, counts or takes something.
func TestExplanationHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &exitProxies{answers: func(int, *pipeline.Request) hop.Answer { return status(200) }}
		e := newEntryOfZones(sender, 3)
		targets := e.Snapshot().Services["roster"]
		for i, target := range targets {
			if i != 1 {
				target.Live.SetLoad(time.Now(), &pipeline.Load{Running: target.Slots, Waiting: 5})
			}
		}
		explained := e.Explain(request(true), 0)
		balance := e.Budgets.forService("roster").Balance(time.Now())
		if explained.Refusal != nil || len(explained.Servers) != len(targets) || len(sender.sent) > 0 || balance != 0 {
			t.Fatalf("%+v, %d attempts, balance %v", explained, len(sender.sent), balance)
		}
		e.Handle(t.Context(), request(true))
		synctest.Wait()
		if sender.sent[0].Backend != explained.Best.ID {
			t.Errorf("sent to %s, explained as %s", sender.sent[0].Backend, explained.Best.ID)
		}

		core, logs := observer.New(zap.DebugLevel)
		e.Log = zap.New(core)
		for _, target := range targets {
			target.Live.SetLoad(time.Now(), &pipeline.Load{Running: 4, Waiting: 1000, Urgent: 1000})
		}
		explained = e.Explain(request(true), 0)
		if logs.Len() > 0 || explained.Refusal == nil || explained.Refusal.Code != pipeline.CodeQueueFull || explained.Servers[0].Exclusion != string(queueIsFull) {
			t.Errorf("full queues: %+v, %d log lines", explained, logs.Len())
		}

		e.evacuate("a", "b", "c", "d")
		explained = e.Explain(request(true), 0)
		if e.EvacuationRefusals.Get() != 0 {
			t.Error("an explanation counts as a refusal")
		}
		result := e.Handle(t.Context(), request(true))
		if explained.Best != nil || explained.Refusal.Code != result.Code || explained.Servers[0].Exclusion != string(zoneEvacuated) {
			t.Errorf("explained as %+v, result %+v", explained, result)
		}
	})
}
