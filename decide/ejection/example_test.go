package ejection_test

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// A program uses a Collector and a LeaseHolder per server, and one Detector that
// gets all reports.
func Example() {
	const epoch = 1 // grows with each new leader
	settings := ejection.SmallFleetSettings()
	now := time.Unix(1_700_000_000, 0)
	detector := ejection.NewDetector(epoch)
	names := []string{"a", "b", "c", "d"}
	collectors, leases := map[string]*ejection.Collector{}, map[string]*ejection.LeaseHolder{}
	var fleet []ejection.ServerState
	for _, name := range names {
		collectors[name] = ejection.NewCollector(settings, "roster", name)
		leases[name] = ejection.NewLeaseHolder(0)
		fleet = append(fleet, ejection.ServerState{ID: name, Host: name})
	}
	detector.SetServers(now, fleet, ejection.Floor{Share: 0.5})

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
			state := ejection.LocalState{LeaderEpoch: epoch, ReportRequested: leases[name].ReportRequested()}
			if report, due := collectors[name].Report(now, state); due {
				leases[name].PrepareReport(now, epoch, &report)
				detector.Observe(now, report) // a network message in a real deployment
			}
		}
		for _, v := range detector.Decide(now) {
			leases[v.Server].ApplyVerdict(now, v) // a network message in a real deployment
		}
		if leases["c"].Lease().Share(now) == 0 {
			fmt.Println("c is ejected:", leases["c"].Lease().State.Reason)
			break
		}
	}
	fmt.Println("a takes", leases["a"].Lease().Share(now))
	// Output:
	// c is ejected: failures
	// a takes 1
}
