package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Problem is one reason to refuse a configuration.
type Problem struct {
	Code    pipeline.Code // 8001 to 8009
	Part    string        // name of the value
	Path    string        // place within the value, for example "classes[2].worth"
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

// Problems lists every problem of a refused configuration: manifest first, then
// value by value.
type Problems []Problem

// Error joins the problems, one a line.
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
	number, isTeams := teamPartNumber(p.Part)
	switch {
	case isTeams:
		return 2 + number
	case p.Part == FleetName:
		return 1
	default:
		return 0
	}
}

// result returns the problems in order, with a note if some are not listed.
func (r *report) result() Problems {
	r.problems.sort()
	if r.unlisted > 0 {
		note := fmt.Sprintf("%d further problems are not listed", r.unlisted)
		r.problems = append(r.problems, Problem{pipeline.CodeConfigTooLarge, ManifestName, "", note})
	}
	return r.problems
}

type place struct{ part, path string }

// MaxProblems bounds the problems that are listed. A malformed value of 1 MB can
// have a million of them, which would take more memory than a process may use.
const MaxProblems = 10_000

// report collects problems. It keeps the first one at each field, so that a
// field of the wrong type is not also reported as out of range.
type report struct {
	problems Problems
	seen     map[place]bool
	unlisted int // problems beyond MaxProblems
}

func (r *report) full() bool { return len(r.problems) >= MaxProblems }

func (r *report) add(code pipeline.Code, part, path, message string) {
	if r.full() {
		r.unlisted++
		return
	}
	at := place{part, path}
	if path != "" && r.seen[at] {
		return
	}
	if r.seen == nil {
		r.seen = make(map[place]bool)
	}
	r.seen[at] = true
	r.problems = append(r.problems, Problem{code, part, path, message})
}
