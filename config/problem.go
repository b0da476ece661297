package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Problem is one reason to reject a configuration.
type Problem struct {
	Code    pipeline.Code // 8001 to 8009
	Part    string        // name of the value
	Path    string        // path of the field in the value, for example "classes[2].worth"; empty for the whole value
	Message string
}

// String returns the problem on one line.
func (p Problem) String() string {
	place := p.Part
	if p.Path != "" {
		place += ": " + p.Path
	}
	return p.Code.String() + ": " + place + ": " + p.Message
}

// Problems lists the problems of a rejected configuration: those of the manifest,
// then of the fleet, then of each team part.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// sort groups the problems by value and keeps the order within a value.
func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int { return cmp.Compare(a.rank(), b.rank()) })
}

func (p Problem) rank() int {
	number, isTeamPart := teamPartNumber(p.Part)
	switch {
	case isTeamPart:
		return 2 + number
	case p.Part == FleetName:
		return 1
	default:
		return 0
	}
}

// result returns the sorted problems. A final entry counts the problems beyond
// MaxProblems.
func (r *problemCollector) result() Problems {
	r.problems.sort()
	if r.omitted > 0 {
		note := fmt.Sprintf("%d further problems are not listed", r.omitted)
		r.problems = append(r.problems, Problem{pipeline.CodeConfigTooLarge, ManifestName, "", note})
	}
	return r.problems
}

type problemLocation struct{ part, path string }

// MaxProblems is the maximum number of problems listed. A malformed value of 1 MB
// can have a million of them, which would exceed the memory limit of a process.
const MaxProblems = 10_000

// problemCollector collects problems. It keeps only the first one of each field, so
// that a field of the wrong type is not also reported as out of range.
type problemCollector struct {
	problems Problems
	seen     map[problemLocation]bool
	omitted  int // number of problems beyond MaxProblems
}

func (r *problemCollector) full() bool { return len(r.problems) >= MaxProblems }

func (r *problemCollector) add(code pipeline.Code, part, path, message string) {
	if r.full() {
		r.omitted++
		return
	}
	at := problemLocation{part, path}
	if path != "" && r.seen[at] {
		return
	}
	if r.seen == nil {
		r.seen = make(map[problemLocation]bool)
	}
	r.seen[at] = true
	r.problems = append(r.problems, Problem{code, part, path, message})
}
