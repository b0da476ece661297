package soak

import (
	"fmt"
	"strings"
	"time"
)

// Regression is a run that once violated an invariant, with the default fleet and
// length. Its faults are recorded, since the schedule of a seed changes when fault
// kinds are added.
type Regression struct {
	Seed   uint64
	Cause  string
	faults string // one per line: start in seconds, kind, host, duration in seconds
}

// Regressions are the runs that `ragwortyard soak --regressions` repeats.
var Regressions = []Regression{
	{
		205, "an exit confirmed the withdrawal of an attempt that had run to its end; its answer was lost on a cut link",
		`3.72 reload 8 2.65
		 4.12 store-compact -1 4.37
		 4.61 terminate-many -1 0.95
		 5.74 kill 0 3.30
		 5.98 link-delay 3 4.72
		 6.04 route-changed -1 3.40
		 6.91 reload 7 4.16
		 9.62 pause 7 1.58
		 10.15 kill 5 4.12
		 10.84 server-fails 8 2.53
		 11.57 link-cut-out 7 0.39
		 11.60 server-drain 5 3.03
		 11.95 link-cut-in 3 3.45
		 12.85 server-slow 3 3.15
		 14.85 kill 5 1.15
		 15.70 server-fails 7 0.30`,
	},
	{
		206, "the same, on a connection that had lost bytes before",
		`2.59 server-resets 4 2.89
		 3.18 link-cut-in 6 5.28
		 3.24 server-slow 5 5.39
		 3.71 link-silent 8 3.88
		 4.57 link-reset 0 3.08
		 6.16 server-slow 1 0.49
		 6.41 pause 6 4.22
		 7.66 terminate 6 2.64
		 8.41 link-cut-out 8 1.03
		 8.55 server-hangs 2 3.04
		 10.40 link-cut-out 3 5.59
		 11.10 server-fails 5 4.90
		 11.61 server-slow 0 4.39
		 12.43 pause 2 3.57
		 15.08 server-fails 5 0.92
		 15.47 link-cut-out 5 0.53`,
	},
	{
		214, "the same, after all processes were killed beside a cut link",
		`2.60 key-withdrawn -1 2.09
		 4.46 link-cut-out 5 3.28
		 5.75 terminate-many -1 1.29
		 6.91 kill-all -1 4.73
		 7.57 datagrams-lost 6 0.39
		 9.85 server-crash 7 0.48
		 10.44 key-withdrawn -1 4.16
		 10.62 store-compact -1 3.64
		 11.04 datagrams-lost 7 2.36
		 11.46 terminate 7 3.24
		 11.80 reload 3 3.45
		 12.03 pause 7 1.18
		 12.75 store-down -1 2.35
		 15.50 server-fails 8 0.50
		 15.86 reload 5 0.14
		 15.92 key-withdrawn -1 0.08`,
	},
	{
		28, "the end of a planned stop dropped requests that had been read, beside an overload; shown beside busy processes",
		`2.00 overload -1 14.00
		 2.59 key-withdrawn -1 2.48
		 2.89 reload 0 4.91
		 4.26 terminate-many -1 4.71
		 4.63 store-down -1 5.31
		 5.01 store-cut 1 0.85
		 6.15 server-drain 2 2.95
		 7.11 terminate 2 2.12
		 7.52 store-down -1 2.13
		 9.78 key-withdrawn -1 4.28
		 10.43 store-compact -1 1.57
		 10.72 store-down -1 3.36
		 13.88 server-drain 2 2.12
		 14.23 store-compact -1 1.77
		 14.86 reload 6 0.81
		 14.96 terminate 1 1.04
		 15.58 reload 2 0.42`,
	},
	{
		34, "the same, at the end of stops of idle processes",
		`4.77 terminate 3 5.62
		 5.17 server-drain 7 2.45
		 5.40 terminate 8 2.57
		 7.59 terminate 1 0.38
		 8.29 store-compact -1 3.91
		 8.31 terminate 5 1.60
		 9.42 server-drain 3 3.02
		 9.60 terminate 2 5.23
		 10.77 store-reset 1 0.34
		 10.85 server-drain 0 5.15
		 10.89 terminate 0 5.11
		 12.60 reload 0 3.40
		 13.09 terminate 6 2.91
		 13.39 store-cut 8 2.61
		 13.44 store-cut 3 2.56
		 14.50 terminate 8 1.50`,
	},
}

// recordedSchedule returns the faults of a regression, or nil for other seeds.
func recordedSchedule(seed uint64) []Fault {
	for _, r := range Regressions {
		if r.Seed == seed {
			return r.schedule()
		}
	}
	return nil
}

func (r *Regression) schedule() []Fault {
	var faults []Fault
	for line := range strings.Lines(r.faults) {
		var at, length float64
		var a Fault
		if _, err := fmt.Sscan(line, &at, &a.Kind, &a.Host, &length); err != nil {
			panic(fmt.Sprintf("recorded faults of seed %d: %q: %v", r.Seed, line, err))
		}
		a.At, a.Duration = time.Duration(at*float64(time.Second)), time.Duration(length*float64(time.Second))
		faults = append(faults, a)
	}
	return faults
}
