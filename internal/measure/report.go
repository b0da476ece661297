package measure

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// WriteReport writes the rows as a page of tables to dir/MEASURES.md and draws
// one plot for each metric that has a target to dir/plots.
func WriteReport(dir string, seed uint64, rows []Row) error {
	if err := os.MkdirAll(filepath.Join(dir, "plots"), 0o755); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(dir, "MEASURES.md"))
	if err != nil {
		return err
	}
	defer page.Close()
	writeHeader(page, seed, rows)
	for _, group := range groupBy(rows, func(r Row) string { return r.Case }) {
		fmt.Fprintf(page, "\n## %s\n", group[0].Case)
		if err := writePlots(page, dir, group); err != nil {
			return err
		}
		writeTable(page, group)
	}
	return page.Close()
}

func writeHeader(w io.Writer, seed uint64, rows []Row) {
	fmt.Fprintf(w, "# Measures\n\n")
	fmt.Fprintf(w, "Written by `go run ./cmd/ragwortyard measure --seed %d --report docs`. The cases drive the real decision\n", seed)
	fmt.Fprintf(w, "packages in virtual time over small fakes, one at a time; the same seed gives the same figures. Plain\n")
	fmt.Fprintf(w, "baselines run beside the system. Targets come from section 1.3 of [design.md](design.md).\n\n")
	targets := 0
	for _, r := range rows {
		if r.Target != "" {
			targets++
		}
	}
	fmt.Fprintf(w, "%d of %d targets are met in this run.\n", targets-Missed(rows), targets)
}

// groupBy groups rows by key, in the order of the first row of each key.
func groupBy(rows []Row, key func(Row) string) [][]Row {
	index := make(map[string]int)
	var groups [][]Row
	for _, r := range rows {
		k := key(r)
		i, ok := index[k]
		if !ok {
			i = len(groups)
			index[k] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	return groups
}

func writePlots(page io.Writer, dir string, rows []Row) error {
	for _, metric := range groupBy(rows, func(r Row) string { return r.Metric }) {
		if !hasTarget(metric) || len(metric) < 2 {
			continue
		}
		name := fileName(metric[0].Case + " " + metric[0].Metric)
		if err := writePlot(filepath.Join(dir, "plots", name), metric); err != nil {
			return err
		}
		fmt.Fprintf(page, "\n![%s](plots/%s)\n", metric[0].Metric, name)
	}
	return nil
}

func hasTarget(rows []Row) bool {
	for _, r := range rows {
		if r.Target != "" {
			return true
		}
	}
	return false
}

func fileName(title string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(title)) + ".svg"
}

func writePlot(path string, rows []Row) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := WriteSVG(file, rows[0].Case+": "+rows[0].Metric, rows); err != nil {
		return err
	}
	return file.Close()
}

func writeTable(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "\n| deployment | fault | policy | metric | value | target | result |\n|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g %s | %s | %s |\n",
			r.Deployment, r.Fault, r.Policy, r.Metric, r.Value, r.Unit, r.Target, r.Result())
	}
}

// Result reports whether the target was met, "-" if there is none.
func (r Row) Result() string {
	switch {
	case r.Target == "":
		return "-"
	case r.Pass:
		return "met"
	}
	return "MISSED"
}
