package demo

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// checkResult is one line of the summary.
type checkResult struct {
	name      string
	observed  string
	target    string
	passed    bool
	invariant bool // must hold regardless of the speed of the machine
}

// report collects the results of the checks.
type report struct {
	options Options
	checks  []checkResult
}

func newReport(o Options) *report { return &report{options: o} }

func (r *report) addInvariant(name, observed, target string, passed bool) {
	r.checks = append(r.checks, checkResult{name, observed, target, passed, true})
}

func (r *report) addTimingTarget(name, observed, target string, passed bool) {
	r.checks = append(r.checks, checkResult{name, observed, target, passed, false})
}

// print writes the summary and reports whether all enforced checks passed. With
// Options.InvariantsOnly, only invariants are enforced.
func (r *report) print() bool {
	table := tabwriter.NewWriter(r.options.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nCHECK\tSAW\tTARGET\tRESULT")
	failed := 0
	for _, c := range r.checks {
		enforced := c.invariant || !r.options.InvariantsOnly
		result := "met"
		switch {
		case !c.passed && enforced:
			result = "MISSED"
			failed++
		case !c.passed:
			result = "missed, not judged"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", c.name, c.observed, c.target, result)
	}
	_ = table.Flush()
	if failed > 0 {
		fmt.Fprintf(r.options.Out, "\n%d of %d checks failed\n", failed, len(r.checks))
		return false
	}
	fmt.Fprintf(r.options.Out, "\nall %d checks passed\n", len(r.checks))
	return true
}

// checkAll compares what callers observed with the targets.
func (d *demoRun) checkAll(calls []callResult) {
	d.checkReportedOutcomes(calls)
	d.checkKeysNotForwarded()
	d.checkSteadyTraffic(calls)
	d.checkGrayServer(calls)
	d.checkNoisyTeam(calls)
	d.checkWithdrawnKey(calls)
	d.checkLeavingHost(calls)
}

// executions returns how often each request was executed, by request ID.
func (f *Fleet) executions() map[string]int {
	runs := make(map[string]int)
	for _, m := range f.Members {
		for _, record := range m.Backend.RequestLog() {
			if record.Executed {
				runs[record.Header.Get("X-Request-Id")]++
			}
		}
	}
	return runs
}

// checkReportedOutcomes checks that no non-idempotent request was executed more than
// once, that no executed request was reported as not run, and that all answers are
// intact.
func (d *demoRun) checkReportedOutcomes(calls []callResult) {
	runs := d.fleet.executions()
	repeated, misreported, corrupted := 0, 0, 0
	for _, c := range calls {
		if c.Service != "roster" && runs[c.ID] > 1 {
			repeated++
		}
		if c.Outcome == "not-run" && runs[c.ID] > 0 {
			misreported++
		}
		if !c.NoAnswer && !c.Intact {
			corrupted++
		}
	}
	sent := fmt.Sprintf("of %d requests", len(calls))
	d.report.addInvariant("non-idempotent requests that ran more than once", fmt.Sprintf("%d %s", repeated, sent), "0", repeated == 0)
	d.report.addInvariant("requests reported as not run that ran", fmt.Sprintf("%d %s", misreported, sent), "0", misreported == 0)
	d.report.addInvariant("answers that were not whole or not the caller's own", fmt.Sprintf("%d %s", corrupted, sent), "0", corrupted == 0)
}

// checkKeysNotForwarded checks that no backend server received an API key of a caller.
func (d *demoRun) checkKeysNotForwarded() {
	seen := 0
	for _, m := range d.fleet.Members {
		for _, record := range m.Backend.RequestLog() {
			if containsAPIKey(record.Header) {
				seen++
			}
		}
	}
	d.report.addInvariant("requests that carried a caller's key to a backend server", fmt.Sprint(seen), "0", seen == 0)
}

func containsAPIKey(h http.Header) bool {
	for _, values := range h {
		if strings.Contains(strings.Join(values, " "), "demo-key-of-") {
			return true
		}
	}
	return false
}

// callsBetween returns the calls sent in the interval [from, to) for which keep returns
// true.
func callsBetween(calls []callResult, from, to time.Time, keep func(callResult) bool) []callResult {
	var kept []callResult
	for _, c := range calls {
		if !c.SentAt.Before(from) && c.SentAt.Before(to) && keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

// isBackground reports whether a call belongs to the steady background traffic.
func isBackground(c callResult) bool { return c.Team == "clinics" || c.Team == "schools" }

func successRate(calls []callResult) float64 {
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

func (d *demoRun) checkSteadyTraffic(calls []callResult) {
	steadyCalls := callsBetween(calls, time.Time{}, d.timeline.grayAt, isBackground)
	rate := successRate(steadyCalls)
	d.report.addTimingTarget("steady traffic: requests answered", percent(rate), ">= 99.99%", rate >= 0.9999)
}

func percent(rate float64) string { return fmt.Sprintf("%.2f%%", 100*rate) }

// checkGrayServer measures the time from the onset of the failure to the last call that
// the gray backend server received before its return, and the success rate of
// background traffic in the meantime.
func (d *demoRun) checkGrayServer(calls []callResult) {
	grayBackend := d.fleet.member("roster", 0).Backend
	detected := timeToEjection(grayBackend.RequestLog(), d.timeline.grayAt, d.timeline.grayUntil)
	d.report.addTimingTarget("gray backend server: time until it is ejected", detected.String(), "<= 3s", detected <= 3*time.Second)
	during := callsBetween(calls, d.timeline.grayAt, d.timeline.grayUntil, func(c callResult) bool { return isBackground(c) && c.Service == "roster" })
	rate := successRate(during)
	d.report.addTimingTarget("gray backend server: idempotent requests answered well", percent(rate), ">= 99%", rate >= 0.99)
}

// checkNoisyTeam checks that the noisy team is admitted at most at its rate plus burst,
// that it still gets its rate, and that other teams are not affected.
func (d *demoRun) checkNoisyTeam(calls []callResult) {
	noisy := callsBetween(calls, d.timeline.noisyAt, d.timeline.noisyUntil.Add(time.Second), func(c callResult) bool { return c.Team == "shops" })
	admitted := 0
	for _, c := range noisy {
		if c.Outcome != "not-run" {
			admitted++
		}
	}
	span := d.timeline.noisyUntil.Sub(d.timeline.noisyAt).Seconds() + classDeadline.Seconds()
	bound := int(shopsRate*span + shopsRate*burstSeconds)
	d.report.addInvariant("noisy team: requests admitted", fmt.Sprintf("%d of %d", admitted, len(noisy)),
		fmt.Sprintf("<= %d", bound), admitted <= bound)
	least := shopsRate * d.timeline.noisyUntil.Sub(d.timeline.noisyAt).Seconds() * 0.95
	d.report.addTimingTarget("noisy team: it still gets its rate", fmt.Sprintf("%d admitted", admitted),
		fmt.Sprintf(">= %.0f", least), float64(admitted) >= least)
	others := callsBetween(calls, d.timeline.noisyAt, d.timeline.noisyUntil, isBackground)
	rate := successRate(others)
	d.report.addTimingTarget("noisy team: the other teams' requests answered", percent(rate), ">= 99%", rate >= 0.99)
}

// checkWithdrawnKey checks how long a withdrawn key was still accepted.
func (d *demoRun) checkWithdrawnKey(calls []callResult) {
	var last time.Duration
	refused := 0
	for _, c := range calls {
		if c.Team != "visitors" {
			continue
		}
		if c.ok() {
			last = max(last, c.SentAt.Sub(d.timeline.withdrawnAt))
		} else if c.Outcome == "not-run" {
			refused++
		}
	}
	d.report.addInvariant("withdrawn key: requests refused", fmt.Sprint(refused), "> 0", refused > 0)
	d.report.addTimingTarget("withdrawn key: last request that it opened", last.Round(time.Millisecond).String(),
		"<= 2s after publication", last <= 2*time.Second)
}

// checkLeavingHost checks that the backend server of a leaving host soon gets no new
// work and that no background request is cut off or refused afterwards.
func (d *demoRun) checkLeavingHost(calls []callResult) {
	leaving := d.fleet.member("bookings", 0).Backend
	var last time.Duration
	for _, record := range leaving.RequestLog() {
		last = max(last, record.At.Sub(d.timeline.leavingAt))
	}
	d.report.addTimingTarget("leaving host: last new work of its backend server", last.Round(time.Millisecond).String(),
		"<= 2s", last <= 2*time.Second)
	after := callsBetween(calls, d.timeline.leavingAt, time.Now(), isBackground)
	lost := slices.DeleteFunc(slices.Clone(after), func(c callResult) bool { return c.ok() })
	d.report.addInvariant("leaving host: requests cut off or refused", fmt.Sprintf("%d of %d%s", len(lost), len(after), reasons(lost)), "0", len(lost) == 0)
}

// reasons returns how often each code was the answer of failed calls, as
// " (CODE: COUNT, ...)", or "" if there are none.
func reasons(failed []callResult) string {
	counts := make(map[string]int)
	for _, c := range failed {
		switch {
		case c.NoAnswer:
			counts["no answer"]++
		case c.Code != "":
			counts[c.Code]++
		default:
			counts[fmt.Sprintf("status %d", c.Status)]++
		}
	}
	if len(counts) == 0 {
		return ""
	}
	parts := make([]string, 0, len(counts))
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", code, counts[code]))
	}
	return " (" + strings.Join(parts, ", ") + ")"
}
