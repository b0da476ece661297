package demo

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// checkResult is one line of the summary.
type checkResult struct {
	what      string
	saw       string
	target    string
	pass      bool
	invariant bool // must hold on any machine, however slow
}

// report collects the checks.
type report struct {
	options Options
	checks  []checkResult
}

func newReport(o Options) *report { return &report{options: o} }

func (r *report) invariant(what, saw, target string, pass bool) {
	r.checks = append(r.checks, checkResult{what, saw, target, pass, true})
}

func (r *report) timing(what, saw, target string, pass bool) {
	r.checks = append(r.checks, checkResult{what, saw, target, pass, false})
}

// print writes the summary and tells whether all judged checks passed.
func (r *report) print() bool {
	table := tabwriter.NewWriter(r.options.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nCHECK\tSAW\tTARGET\tRESULT")
	failed := 0
	for _, c := range r.checks {
		judged := c.invariant || !r.options.InvariantsOnly
		result := "met"
		switch {
		case !c.pass && judged:
			result = "MISSED"
			failed++
		case !c.pass:
			result = "missed, not judged"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", c.what, c.saw, c.target, result)
	}
	_ = table.Flush()
	if failed > 0 {
		fmt.Fprintf(r.options.Out, "\n%d of %d checks failed\n", failed, len(r.checks))
		return false
	}
	fmt.Fprintf(r.options.Out, "\nall %d checks passed\n", len(r.checks))
	return true
}

// judge compares what callers saw with the targets.
func (d *demoRun) judge(calls []callResult) {
	d.judgeTruth(calls)
	d.judgeKeys()
	d.judgeSteady(calls)
	d.judgeGray(calls)
	d.judgeNoisy(calls)
	d.judgeWithdrawn(calls)
	d.judgeLeaving(calls)
}

// executions returns how often each request ran, by its identifier.
func (f *Fleet) executions() map[string]int {
	runs := make(map[string]int)
	for _, m := range f.Members {
		for _, record := range m.Backend.Log() {
			if record.Executed {
				runs[record.Header.Get("X-Request-Id")]++
			}
		}
	}
	return runs
}

// judgeTruth checks that no non-idempotent request ran twice and that callers
// were told the truth.
func (d *demoRun) judgeTruth(calls []callResult) {
	runs := d.fleet.executions()
	twice, untrue, broken := 0, 0, 0
	for _, c := range calls {
		if c.Service != "roster" && runs[c.ID] > 1 {
			twice++
		}
		if c.Outcome == "not-run" && runs[c.ID] > 0 {
			untrue++
		}
		if !c.NoAnswer && !c.Whole {
			broken++
		}
	}
	sent := fmt.Sprintf("of %d requests", len(calls))
	d.report.invariant("non-idempotent requests that ran more than once", fmt.Sprintf("%d %s", twice, sent), "0", twice == 0)
	d.report.invariant("requests reported as not run that ran", fmt.Sprintf("%d %s", untrue, sent), "0", untrue == 0)
	d.report.invariant("answers that were not whole or not the caller's own", fmt.Sprintf("%d %s", broken, sent), "0", broken == 0)
}

// judgeKeys checks that no backend server received a caller's key.
func (d *demoRun) judgeKeys() {
	seen := 0
	for _, m := range d.fleet.Members {
		for _, record := range m.Backend.Log() {
			if carriesKey(record.Header) {
				seen++
			}
		}
	}
	d.report.invariant("requests that carried a caller's key to a backend server", fmt.Sprint(seen), "0", seen == 0)
}

func carriesKey(h http.Header) bool {
	for _, values := range h {
		if strings.Contains(strings.Join(values, " "), "demo-key-of-") {
			return true
		}
	}
	return false
}

// window returns the calls of some teams that were sent in a time span.
func window(calls []callResult, from, to time.Time, keep func(callResult) bool) []callResult {
	var kept []callResult
	for _, c := range calls {
		if !c.At.Before(from) && c.At.Before(to) && keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func background(c callResult) bool { return c.Team == "clinics" || c.Team == "schools" }

func shareOK(calls []callResult) float64 {
	if len(calls) == 0 {
		return 0
	}
	good := 0
	for _, c := range calls {
		if c.ok() {
			good++
		}
	}
	return float64(good) / float64(len(calls))
}

func (d *demoRun) judgeSteady(calls []callResult) {
	quiet := window(calls, time.Time{}, d.marks.grayAt, background)
	share := shareOK(quiet)
	d.report.timing("steady traffic: requests answered", percent(share), ">= 99.99%", share >= 0.9999)
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// judgeGray measures the time from the onset to the last call that the gray
// backend server received before its return.
func (d *demoRun) judgeGray(calls []callResult) {
	victim := d.fleet.member("roster", 0).Backend
	detected := ejectedAfter(victim.Log(), d.marks.grayAt, d.marks.grayUntil)
	d.report.timing("gray backend server: time until it is ejected", detected.String(), "<= 3s", detected <= 3*time.Second)
	during := window(calls, d.marks.grayAt, d.marks.grayUntil, func(c callResult) bool { return background(c) && c.Service == "roster" })
	share := shareOK(during)
	d.report.timing("gray backend server: idempotent requests answered well", percent(share), ">= 99%", share >= 0.99)
}

func (d *demoRun) judgeNoisy(calls []callResult) {
	noisy := window(calls, d.marks.noisyAt, d.marks.noisyUntil.Add(time.Second), func(c callResult) bool { return c.Team == "shops" })
	admitted := 0
	for _, c := range noisy {
		if c.Outcome != "not-run" {
			admitted++
		}
	}
	span := d.marks.noisyUntil.Sub(d.marks.noisyAt).Seconds() + classDeadline.Seconds()
	bound := int(shopsRate*span + shopsRate*burstSeconds)
	d.report.invariant("noisy team: requests admitted", fmt.Sprintf("%d of %d", admitted, len(noisy)),
		fmt.Sprintf("<= %d", bound), admitted <= bound)
	least := shopsRate * d.marks.noisyUntil.Sub(d.marks.noisyAt).Seconds() * 0.95
	d.report.timing("noisy team: it still gets its rate", fmt.Sprintf("%d admitted", admitted),
		fmt.Sprintf(">= %.0f", least), float64(admitted) >= least)
	others := window(calls, d.marks.noisyAt, d.marks.noisyUntil, background)
	share := shareOK(others)
	d.report.timing("noisy team: the other teams' requests answered", percent(share), ">= 99%", share >= 0.99)
}

func (d *demoRun) judgeWithdrawn(calls []callResult) {
	var last time.Duration
	refused := 0
	for _, c := range calls {
		if c.Team != "visitors" {
			continue
		}
		if c.ok() {
			last = max(last, c.At.Sub(d.marks.withdrawnAt))
		} else if c.Outcome == "not-run" {
			refused++
		}
	}
	d.report.invariant("withdrawn key: requests refused", fmt.Sprint(refused), "> 0", refused > 0)
	d.report.timing("withdrawn key: last request that it opened", last.Round(time.Millisecond).String(),
		"<= 2s after publication", last <= 2*time.Second)
}

func (d *demoRun) judgeLeaving(calls []callResult) {
	leaving := d.fleet.member("bookings", 0).Backend
	var last time.Duration
	for _, record := range leaving.Log() {
		last = max(last, record.At.Sub(d.marks.leavingAt))
	}
	d.report.timing("leaving host: last new work of its backend server", last.Round(time.Millisecond).String(),
		"<= 2s", last <= 2*time.Second)
	after := window(calls, d.marks.leavingAt, time.Now(), background)
	lost := slices.DeleteFunc(slices.Clone(after), func(c callResult) bool { return c.ok() })
	d.report.invariant("leaving host: requests cut off or refused", fmt.Sprintf("%d of %d", len(lost), len(after)), "0", len(lost) == 0)
}
