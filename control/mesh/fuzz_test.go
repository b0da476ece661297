package mesh

import (
	"math"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against a malformed message of a peer that ends the control loop, or that leaves
// a value which no comparison orders.
func FuzzMessagesOfPeers(f *testing.F) {
	nan := float32(math.NaN())
	for _, message := range []notice.Message{
		{Status: &notice.Status{BootID: 5, Seq: 9, Backend: "s", BadProbability: nan, Running: 9, Waiting: 9}},
		{Status: &notice.Status{BootID: 5, Seq: 9, Backend: "s", AgeMS: math.MaxUint32, Unheard: []string{"", "x"}}, BackendLimit: &notice.BackendLimit{Limited: true, PerSecond: nan}},
		{ServerListChange: &notice.ServerListChange{Revision: math.MaxUint64, Put: []notice.Server{{ID: "s", Addr: "nowhere"}, {}}, Removed: []string{"s", "none"}}},
		{ConfigVersion: &notice.ConfigVersion{Version: math.MaxUint64}},
		{Era: math.MaxUint64, ServerListChange: &notice.ServerListChange{Removed: []string{"s"}}},
		{StoreState: &notice.StoreState{ID: 1, Version: 1, AgeMS: math.MaxUint32}},
		{TokenRequest: &notice.TokenRequest{ID: 1, Name: "none", Purpose: 200, Count: math.MaxUint16}},
		{TokenGrant: &notice.TokenGrant{ID: 1, Count: math.MaxUint16, WaitMS: math.MaxUint32}},
		{Crash: &notice.Crash{ID: 1, InFlight: []uint64{0, 1}}},
	} {
		data, err := notice.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := notice.Decode(data)
		if err != nil {
			return
		}
		now := time.Now()
		loop := New(Options{
			Identity:         Identity{Host: "10.0.0.1", Zone: "a", Service: "roster", BootID: 1, StartedAt: now},
			KeyTrustDuration: 4 * time.Second, DrainTime: drainTime, SharedRetries: SharedRetries{Window: retryWindow, MaxPerWindow: 40},
			Load: func() pipeline.Load { return pipeline.Load{} }, BootClock: func() time.Duration { return time.Hour },
		}, discardCommands{})
		loop.Step(now, ServerListRead{Complete: true, Put: []Server{newServer("mine", "10.0.0.1", 1), newServer("s", "10.0.0.2", 2)}})
		for range 2 {
			loop.Step(now, MessageReceived{Host: "10.0.0.2", Direct: true, Message: message})
			now = now.Add(time.Second)
			loop.Step(now, control.Tick{})
		}
		for _, targets := range loop.Snapshot().Services {
			for _, target := range targets {
				if p := target.Live.Health().BadProbability; !(p >= 0 && p <= 1) {
					t.Fatalf("probability %v", p)
				}
			}
		}
	})
}

// discardCommands accepts commands and ignores them.
type discardCommands struct{}

func (discardCommands) Send(control.Command) bool { return true }
