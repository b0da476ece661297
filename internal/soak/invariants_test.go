package soak

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
)

// Guards against a checker that misses a violated invariant, or reports one that was
// not violated.
func TestInvariantCheckerReportsViolations(t *testing.T) {
	execution := func(id string) fakebackend.Execution {
		return fakebackend.Execution{Attempt: id, Team: "a", Backend: "i-1", Began: time.Now()}
	}
	cases := map[string]struct {
		invariant string // empty if none is violated
		record    func(checker *invariantChecker, r *request)
	}{
		"served": {"", func(checker *invariantChecker, r *request) {
			checker.recordExecution(execution(r.id))
			checker.recordResponse(r, http.StatusOK, fakebackend.Body(r.id), fakebackend.Signature("i-1", fakebackend.Body(r.id)))
		}},
		"executed twice": {ExecutedTwice, func(checker *invariantChecker, r *request) {
			checker.recordExecution(execution(r.id))
			checker.recordExecution(execution(r.id))
		}},
		"rejected after execution": {ExecutedAfterRejection, func(checker *invariantChecker, r *request) {
			checker.recordExecution(execution(r.id))
			checker.recordResponse(r, http.StatusServiceUnavailable, "", "")
		}},
		"executed after rejection": {ExecutedAfterRejection, func(checker *invariantChecker, r *request) {
			checker.recordResponse(r, http.StatusTooManyRequests, "", "")
			checker.recordExecution(execution(r.id))
		}},
		"response of another request": {WrongResponse, func(checker *invariantChecker, r *request) {
			checker.recordExecution(execution(r.id))
			checker.recordResponse(r, http.StatusOK, fakebackend.Body("x"), fakebackend.Signature("i-1", fakebackend.Body("x")))
		}},
		"truncated response": {WrongResponse, func(checker *invariantChecker, r *request) {
			checker.recordExecution(execution(r.id))
			checker.recordResponse(r, http.StatusOK, "answer", fakebackend.Signature("i-1", fakebackend.Body(r.id)))
		}},
		"another team": {WrongTeam, func(checker *invariantChecker, r *request) {
			other := execution(r.id)
			other.Team = "b"
			checker.recordExecution(other)
		}},
		"key forwarded": {KeyForwarded, func(checker *invariantChecker, r *request) {
			seen := execution(r.id)
			seen.KeySeen = true
			checker.recordExecution(seen)
		}},
		"withdrawn key": {WithdrawnKeyAccepted, func(checker *invariantChecker, r *request) {
			checker.withdrawn[r.key] = r.sent.Add(-keyRevocationTime - time.Second)
			checker.recordExecution(execution(r.id))
		}},
		"drained server": {RequestAfterDrain, func(checker *invariantChecker, r *request) {
			checker.recordDrain("i-1")
			<-time.After(drainTime + time.Second)
			checker.recordExecution(execution(r.id))
		}},
		"drained server during a fault": {"", func(checker *invariantChecker, r *request) {
			checker.recordDrain("i-1")
			checker.recordFault(1, time.Now(), time.Now().Add(time.Second))
			<-time.After(drainTime + time.Second)
			checker.recordExecution(execution(r.id))
		}},
		"aborted by a shutdown": {AbortedByShutdown, func(checker *invariantChecker, r *request) {
			checker.recordShutdown(r.host, time.Now())
			checker.recordExecution(execution(r.id))
			<-time.After(time.Second)
			checker.recordConnEnd(r, time.Now(), false)
		}},
		"aborted by a shutdown while it waited": {AbortedByShutdown, func(checker *invariantChecker, r *request) {
			checker.recordShutdown(r.host, time.Now())
			<-time.After(graceTime - 200*time.Millisecond)
			checker.recordConnEnd(r, time.Now(), false)
		}},
		"not read before a shutdown": {"", func(checker *invariantChecker, r *request) {
			checker.recordShutdown(r.host, time.Now())
			<-time.After(100 * time.Millisecond)
			checker.recordConnEnd(r, time.Now(), false)
		}},
		"read and dropped by a shutdown": {AbortedByShutdown, func(checker *invariantChecker, r *request) {
			checker.recordShutdown(r.host, time.Now())
			<-time.After(100 * time.Millisecond)
			checker.recordConnEnd(r, time.Now(), true)
		}},
		"given up by a shutdown": {AbortedByShutdown, func(checker *invariantChecker, r *request) {
			checker.recordShutdown(r.host, time.Now())
			checker.recordExecution(execution(r.id))
			<-time.After(time.Second)
			checker.recordResponse(r, http.StatusBadGateway, `{"code":6006,"reason":"stopped"}`, "")
		}},
		"aborted by a shutdown while the store is down": {AbortedByShutdown, func(checker *invariantChecker, r *request) {
			checker.recordStoreFault(-1, time.Now(), time.Now().Add(time.Minute))
			checker.recordShutdown(r.host, time.Now())
			checker.recordExecution(execution(r.id))
			checker.recordConnEnd(r, time.Now(), false)
		}},
		"aborted at the end of the grace time of the first of two signals": {"", func(checker *invariantChecker, r *request) {
			checker.recordShutdown(r.host, time.Now())
			checker.recordExecution(execution(r.id))
			<-time.After(2 * time.Second)
			checker.recordShutdown(r.host, time.Now())
			<-time.After(graceTime - 2200*time.Millisecond)
			checker.recordConnEnd(r, time.Now(), false)
		}},
		"aborted by a kill": {"", func(checker *invariantChecker, r *request) {
			checker.recordFault(r.host, time.Now(), time.Now().Add(time.Second))
			checker.recordShutdown(r.host, time.Now())
			checker.recordExecution(execution(r.id))
			checker.recordConnEnd(r, time.Now(), false)
		}},
		"drained server after the store lost the drain": {RequestAfterDrain, func(checker *invariantChecker, r *request) {
			checker.recordDrain("i-1")
			<-time.After(knownAfter)
			checker.recordStoreReturn(time.Now())
			<-time.After(storeReturnTime)
			checker.recordExecution(execution(r.id))
		}},
		"drained server that has left": {RequestAfterDrain, func(checker *invariantChecker, r *request) {
			checker.recordDrain("i-1")
			<-time.After(drainTime + time.Second)
			checker.recordMisdirected(r.id, "i-1")
		}},
		"drain that the store lost at once": {"", func(checker *invariantChecker, r *request) {
			checker.recordDrain("i-1")
			checker.recordStoreReturn(time.Now())
			<-time.After(drainTime + time.Millisecond)
			checker.recordExecution(execution(r.id))
		}},
		"evacuated zone": {RequestAfterEvacuation, func(checker *invariantChecker, r *request) {
			checker.recordEvacuation(zoneName(1))
			<-time.After(evacuationTime + time.Millisecond)
			evacuated := execution(r.id)
			evacuated.Backend = "i-1-1"
			checker.recordExecution(evacuated)
		}},
		"evacuated zone with a fault": {"", func(checker *invariantChecker, r *request) {
			checker.recordEvacuation(zoneName(1))
			<-time.After(evacuationTime + time.Millisecond)
			checker.recordFault(1, time.Now(), time.Now())
			evacuated := execution(r.id)
			evacuated.Backend = "i-1-1"
			checker.recordExecution(evacuated)
		}},
		"zone at the end of its evacuation": {"", func(checker *invariantChecker, r *request) {
			checker.recordEvacuation(zoneName(1))
			<-time.After(evacuationTime + time.Millisecond)
			checker.recordEvacuationEnd(zoneName(1))
			<-time.After(time.Millisecond)
			evacuated := execution(r.id)
			evacuated.Backend = "i-1-1"
			checker.recordExecution(evacuated)
		}},
		"cold server above its rate": {ColdRateExceeded, func(checker *invariantChecker, _ *request) {
			for range 13 {
				checker.recordColdRequest("i-1", time.Now())
				<-time.After(time.Second / 14)
			}
			checker.checkRates()
		}},
		"cold server within its rate": {"", func(checker *invariantChecker, _ *request) {
			for range 24 {
				checker.recordColdRequest("i-1", time.Now())
				<-time.After(time.Second / 11)
			}
			checker.checkRates()
		}},
		"old configuration after the new one": {ConfigReverted, func(checker *invariantChecker, r *request) {
			checker.withdrawn[r.key] = r.sent
			<-time.After(time.Second)
			checker.recordResponse(r, http.StatusUnauthorized, "", "")
			<-time.After(time.Second)
			later := &request{id: "later", team: "a", key: r.key}
			checker.recordSent(later)
			checker.recordExecution(execution(later.id))
		}},
		"new key that its host did not know at first": {"", func(checker *invariantChecker, r *request) {
			checker.recordResponse(r, http.StatusUnauthorized, "", "")
			<-time.After(time.Second)
			later := &request{id: "later", team: "a", key: r.key}
			checker.recordSent(later)
			checker.recordExecution(execution(later.id))
		}},
		"never sent": {UnknownRequest, func(checker *invariantChecker, _ *request) { checker.recordExecution(execution("other")) }},
		"not recovered": {NotRecovered, func(checker *invariantChecker, r *request) {
			checker.recordConnEnd(r, time.Now(), false)
			checker.checkRecovery(r.sent)
		}},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			checker := newInvariantChecker()
			<-time.After(time.Minute)
			r := &request{id: "r", team: "a", key: "k"}
			checker.recordSent(r)
			c.record(checker, r)
			switch {
			case c.invariant == "" && len(checker.violations) > 0:
				t.Errorf("%s: %+v", name, checker.violations)
			case c.invariant != "" && (len(checker.violations) == 0 || checker.violations[0].Invariant != c.invariant):
				t.Errorf("%s: %+v, want %q", name, checker.violations, c.invariant)
			}
		})
	}
}

// Guards against a checker that misses a team or a server above its rate, or reports one
// that keeps to it.
func TestRatesAreChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			pause     time.Duration // between two requests
			invariant string
		}{
			"within the rates":            {700 * time.Millisecond, ""},
			"server above its rate":       {100 * time.Millisecond, NamedRateExceeded},
			"team above its rate as well": {20 * time.Millisecond, TeamRateExceeded},
		} {
			checker := newInvariantChecker()
			named := time.Now()
			for i := range 400 {
				r := &request{id: fmt.Sprint(i), team: teamName(limitedTeam), idempotent: true}
				checker.recordSent(r)
				checker.recordExecution(fakebackend.Execution{Attempt: r.id, Team: r.team, Backend: "i-1", Began: time.Now(), NamedRate: namedRate, NamedSince: named})
				<-time.After(c.pause)
			}
			checker.checkRates()
			found := c.invariant == "" && len(checker.violations) == 0
			for _, v := range checker.violations {
				found = found || v.Invariant == c.invariant
			}
			if !found {
				t.Errorf("%s: violations %v", name, checker.violations)
			}
		}
	})
}
