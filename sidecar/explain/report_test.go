package explain

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against a change of the text that hides why a server was chosen or excluded.
func TestReportText(t *testing.T) {
	chosen := Server{
		ID: "i-1", Host: "10.0.0.2", Zone: "a", Cost: 0.114, Parts: Parts{Failure: 0.08, Load: 0.034},
		Running: 2, Slots: 7, QueueRoom: 28, GrayFailureProbability: 0.05,
	}
	waits := Server{
		ID: "i-2", Host: "10.0.0.3", Zone: "b", Cost: 0.8, Parts: Parts{Failure: 0.1, Load: 0.12, Wait: 0.4, Leave: 0.18},
		Running: 7, Slots: 7, QueuedAhead: 3, QueueRoom: 25, Wait: 120 * time.Millisecond, GrayFailureProbability: 0.1,
	}
	draining := Server{ID: "i-3", Host: "10.0.0.4", Zone: "a", Excluded: "draining", Slots: 7, QueueRoom: 28}
	route := Route{Name: "read", Idempotent: true, MaxAttempts: 3, Timeout: 2 * time.Second, TargetLatency: time.Second}
	reports := map[string]Report{
		"chosen": {
			Method: "GET", Host: "a.example", Path: "/read/1", Team: "blue", Bytes: 512, ConfigVersion: 7, Route: route, Rank: 3,
			NotChecked: []string{"whether the team is within its rate of 300/s and burst of 300"},
			Services: []Service{
				{Name: "roster", Share: 0.75, Chosen: "i-1", Sampled: true, Servers: []Server{chosen, waits, draining}},
				{Name: "trial", Share: 0.25, Chosen: "i-2", Wait: waits.Wait, Servers: []Server{waits}},
			},
		},
		"refused": {
			Method: "POST", Host: "a.example", Path: "/book/1", ConfigVersion: 7, Route: Route{Name: "book", MaxAttempts: 1, Timeout: time.Second},
			Services: []Service{
				{Name: "roster", Share: 0.5, Refusal: &Refusal{4001, "no-backend", "", 500 * time.Millisecond}, Servers: []Server{draining}},
				{Name: "trial", Share: 0.5, Chosen: "i-2", Wait: 1200 * time.Millisecond, TooLate: true, Servers: []Server{waits}},
			},
		},
		"no_key": {
			Method: "GET", Host: "a.example", Path: "/read/1", ConfigVersion: 7, Route: route,
			Refusal: &Refusal{2001, "key-missing", "", 0},
		},
	}
	for name, report := range reports {
		var text bytes.Buffer
		if err := report.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, text.Bytes())
	}
}
