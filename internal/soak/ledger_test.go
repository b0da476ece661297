package soak

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
)

// Guards against checks that let a broken promise pass.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	run := func(id string) fakebackend.Run {
		return fakebackend.Run{Attempt: id, Team: "a", Backend: "i-1", Began: time.Now()}
	}
	cases := map[string]struct {
		promise string // empty when none is broken
		play    func(l *ledger, r *request)
	}{
		"served": {"", func(l *ledger, r *request) {
			l.ran(run(r.id))
			l.done(r, http.StatusOK, fakebackend.Body(r.id), fakebackend.Signature("i-1", fakebackend.Body(r.id)))
		}},
		"run twice": {RunTwice, func(l *ledger, r *request) { l.ran(run(r.id)); l.ran(run(r.id)) }},
		"refused after a run": {FalseRefusal, func(l *ledger, r *request) {
			l.ran(run(r.id))
			l.done(r, http.StatusServiceUnavailable, "", "")
		}},
		"run after a refusal": {FalseRefusal, func(l *ledger, r *request) {
			l.done(r, http.StatusTooManyRequests, "", "")
			l.ran(run(r.id))
		}},
		"answer of another": {WrongAnswer, func(l *ledger, r *request) {
			l.ran(run(r.id))
			l.done(r, http.StatusOK, fakebackend.Body("x"), fakebackend.Signature("i-1", fakebackend.Body("x")))
		}},
		"cut answer": {WrongAnswer, func(l *ledger, r *request) {
			l.ran(run(r.id))
			l.done(r, http.StatusOK, "answer", fakebackend.Signature("i-1", fakebackend.Body(r.id)))
		}},
		"another team": {WrongTeam, func(l *ledger, r *request) {
			other := run(r.id)
			other.Team = "b"
			l.ran(other)
		}},
		"key passed on": {KeyPassedOn, func(l *ledger, r *request) {
			seen := run(r.id)
			seen.KeySeen = true
			l.ran(seen)
		}},
		"withdrawn key": {WithdrawnKey, func(l *ledger, r *request) {
			l.withdrawn[r.key] = r.sent.Add(-keyDeadline - time.Second)
			l.ran(run(r.id))
		}},
		"left server": {LateDrain, func(l *ledger, r *request) {
			l.leaves("i-1")
			<-time.After(drainTime + time.Second)
			l.ran(run(r.id))
		}},
		"left server, fleet disturbed": {"", func(l *ledger, r *request) {
			l.leaves("i-1")
			l.disturb(1, time.Now(), time.Now().Add(time.Second))
			<-time.After(drainTime + time.Second)
			l.ran(run(r.id))
		}},
		"cut at a stop": {CutAtStop, func(l *ledger, r *request) {
			l.planned(r.host, time.Now())
			l.ran(run(r.id))
			<-time.After(time.Second)
			l.lost(r, true)
		}},
		"cut at a kill": {"", func(l *ledger, r *request) {
			l.disturb(r.host, time.Now(), time.Now().Add(time.Second))
			l.planned(r.host, time.Now())
			l.ran(run(r.id))
			l.lost(r, true)
		}},
		"nobody sent it": {UnknownRequest, func(l *ledger, _ *request) { l.ran(run("other")) }},
		"not recovered":  {NotRecovered, func(l *ledger, r *request) { l.lost(r, true); l.recovered(r.sent) }},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			l := newLedger()
			<-time.After(time.Minute)
			r := &request{id: "r", team: "a", key: "k"}
			l.sent(r)
			c.play(l, r)
			switch {
			case c.promise == "" && len(l.violations) > 0:
				t.Errorf("%s: %+v", name, l.violations)
			case c.promise != "" && (len(l.violations) == 0 || l.violations[0].Promise != c.promise):
				t.Errorf("%s: %+v, want %q", name, l.violations, c.promise)
			}
		})
	}
}
