package ejection_test

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// An embedder counts calls with a Collector and holds the lease with a Guard
// beside each server, and feeds one Judge with all reports.
func Example() {
	const epoch = 1 // grows with each new keeper
	settings := ejection.Today()
	now := time.Unix(1_700_000_000, 0)
	judge := ejection.NewJudge(epoch)
	names := []string{"a", "b", "c", "d"}
	collectors, guards := map[string]*ejection.Collector{}, map[string]*ejection.Guard{}
	var fleet []ejection.ServerState
	for _, name := range names {
		collectors[name] = ejection.NewCollector(settings, "roster", name)
		guards[name] = ejection.NewGuard(0)
		fleet = append(fleet, ejection.ServerState{ID: name, Host: name})
	}
	judge.SetFleet(now, fleet, ejection.Floor{Share: 0.5})

	for interval := range 200 {
		now = now.Add(settings.ReportInterval)
		for _, name := range names {
			for call := range 3 {
				outcome := ejection.Success
				if name == "c" && interval > 150 && call > 0 {
					outcome = ejection.Failure
				}
				collectors[name].Observe("read", outcome, 10*time.Millisecond)
			}
			state := ejection.State{Keeper: epoch, Asked: guards[name].Asked()}
			if report, due := collectors[name].Report(now, state); due {
				guards[name].Stamp(now, epoch, &report)
				judge.Observe(now, report) // a message in a fleet of processes
			}
		}
		for _, v := range judge.Decide(now) {
			guards[v.Server].OnVerdict(now, v) // a message in a fleet of processes
		}
		if guards["c"].Lease().Share(now) == 0 {
			fmt.Println("c is ejected:", guards["c"].Lease().State.Reason)
			break
		}
	}
	fmt.Println("a takes", guards["a"].Lease().Share(now))
	// Output:
	// c is ejected: failures
	// a takes 1
}
