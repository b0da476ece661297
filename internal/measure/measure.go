// Package measure runs simulation benchmarks of the decision packages. Each case runs
// in virtual time on small fakes with a fixed seed and compares the system with simple
// baselines. The same seed gives the same figures.
package measure

import (
	"fmt"
	"sort"
)

// Row is one measured figure.
type Row struct {
	Case       string  `json:"case"`       // name of the case
	Deployment string  `json:"deployment"` // "kowhai", "capsulas" or "" where it does not matter
	Fault      string  `json:"fault"`      // the injected fault, "none" without one
	Policy     string  `json:"policy"`     // "ragwortyard" or the name of the baseline
	Metric     string  `json:"metric"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
	Target     string  `json:"target"` // the stated target, "" for baselines and context
	Pass       bool    `json:"pass"`   // true where there is no target
	// Trace describes the events that missed the target, for debugging.
	Trace []string `json:"trace,omitempty"`
}

// Case is one named measurement.
type Case struct {
	Name string
	Run  func(seed uint64) []Row
}

var registry []Case

// Register adds a case; each file of this package registers its own in init.
func Register(c Case) {
	registry = append(registry, c)
}

// Cases returns all cases sorted by name.
func Cases() []Case {
	cases := append([]Case(nil), registry...)
	sort.Slice(cases, func(i, j int) bool { return cases[i].Name < cases[j].Name })
	return cases
}

// Run runs the named cases, or all of them when names is empty. An unknown name
// is an error.
func Run(names []string, seed uint64) ([]Row, error) {
	selected, err := selectCases(names)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, c := range selected {
		rows = append(rows, c.Run(seed)...)
	}
	return rows, nil
}

func selectCases(names []string) ([]Case, error) {
	if len(names) == 0 {
		return Cases(), nil
	}
	var selected []Case
	for _, name := range names {
		c, ok := findCase(name)
		if !ok {
			return nil, fmt.Errorf("unknown case %q", name)
		}
		selected = append(selected, c)
	}
	return selected, nil
}

func findCase(name string) (Case, bool) {
	for _, c := range registry {
		if c.Name == name {
			return c, true
		}
	}
	return Case{}, false
}

// Missed counts the rows whose target was not met.
func Missed(rows []Row) int {
	missed := 0
	for _, r := range rows {
		if r.Target != "" && !r.Pass {
			missed++
		}
	}
	return missed
}
