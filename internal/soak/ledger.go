package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
)

// Promises, as violations name them.
const (
	RunTwice       = "a request that may run once ran more than once"
	FalseRefusal   = "a request ran although its refusal says that it has not and will not"
	WrongAnswer    = "a caller got a success that is not the whole answer to its request"
	WrongTeam      = "a request ran for another team than that of its key"
	KeyPassedOn    = "a backend server saw a key"
	WithdrawnKey   = "a request ran although its key had been withdrawn"
	LateDrain      = "a request reached a backend server that had left"
	CutAtStop      = "a planned stop cut a request"
	NotRecovered   = "requests are not served after the faults have ended"
	Broken         = "the soak could not carry out a fault"
	UnknownRequest = "a backend server ran a request that nobody sent"
)

// Bounds of the platform that the promises name.
const (
	keyDeadline = 5 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 6 * time.Second
	// contact is how long a host must have been without faults to be bound by
	// promises that need the platform or its peers.
	contact = 3 * time.Second
	// acceptedStop is how long after SIGTERM a request may be sent and still be
	// cut when the grace time ends.
	acceptedStop = 3 * time.Second
)

// request is what the ledger knows of one request of a caller.
type request struct {
	id         string
	host       int
	idempotent bool
	team, key  string
	sent       time.Time
	ended      time.Time // zero while it runs
	status     int       // 0 when the connection ended without an answer
	runs       []fakebackend.Run
}

// Violation is a broken promise with what is known of the request.
type Violation struct {
	At      time.Duration
	Promise string
	Detail  string
}

// ledger records what callers and backend servers see and checks the promises.
type ledger struct {
	mu         sync.Mutex
	began      time.Time
	requests   map[string]*request
	withdrawn  map[string]time.Time // keys, when the store acknowledged it
	left       map[string]time.Time // backend servers, when the store acknowledged that they leave
	disturbed  []span               // unplanned faults by host
	stops      []span               // planned stops by host
	violations []Violation
	answered   int
}

// span is a time in which something holds for a host; -1 means all hosts.
type span struct {
	host     int
	from, to time.Time
}

func newLedger() *ledger {
	return &ledger{
		began: time.Now(), requests: make(map[string]*request),
		withdrawn: make(map[string]time.Time), left: make(map[string]time.Time),
	}
}

func (l *ledger) violate(promise, format string, args ...any) {
	l.violations = append(l.violations, Violation{time.Since(l.began), promise, fmt.Sprintf(format, args...)})
}

// disturb notes an unplanned fault at a host.
func (l *ledger) disturb(host int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed = append(l.disturbed, span{host, from, to})
}

// planned notes a planned stop of a host.
func (l *ledger) planned(host int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops = append(l.stops, span{host, at, at.Add(graceTime + time.Second)})
}

func (l *ledger) sent(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent = time.Now()
	l.requests[r.id] = r
}

// ran takes a run that a backend server began.
func (l *ledger) ran(run fakebackend.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[run.Attempt]
	if r == nil {
		l.violate(UnknownRequest, "%s at %s", run.Attempt, run.Backend)
		return
	}
	r.runs = append(r.runs, run)
	switch {
	case run.KeySeen:
		l.violate(KeyPassedOn, "%s at %s", r.id, run.Backend)
	case run.Team != r.team:
		l.violate(WrongTeam, "%s of %s ran for %s", r.id, r.team, run.Team)
	}
	if !r.idempotent && len(r.runs) > 1 {
		l.violate(RunTwice, "%s: %+v", r.id, r.runs)
	}
	if notRun(r.status) {
		l.violate(FalseRefusal, "%s was refused with %d at host %d and ran at %s", r.id, r.status, r.host, run.Backend)
	}
	if at, gone := l.withdrawn[r.key]; gone && r.sent.Sub(at) > keyDeadline {
		l.violate(WithdrawnKey, "%s was sent %v after the withdrawal, at host %d", r.id, r.sent.Sub(at), r.host)
	}
	l.checkDrain(r, run)
}

// checkDrain judges entries that were in touch only; between them and the server,
// links may hold a request up, so the whole fleet must have been calm.
func (l *ledger) checkDrain(r *request, run fakebackend.Run) {
	at, leaves := l.left[run.Backend]
	late := run.Began.Sub(at)
	if leaves && late > drainTime && l.calm(at.Add(-contact), run.Began) {
		l.violate(LateDrain, "%s reached %s %v after it left, through host %d", r.id, run.Backend, late, r.host)
	}
}

// calm tells whether there was no unplanned fault anywhere in a time. The caller
// holds the lock.
func (l *ledger) calm(from, to time.Time) bool {
	for _, s := range l.disturbed {
		if !s.from.After(to) && !s.to.Before(from) {
			return false
		}
	}
	return true
}

func notRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// leaves notes that the store took in that a backend server leaves.
func (l *ledger) leaves(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[id] = time.Now()
}

// lost takes a request that ended without an answer. cut says that the connection
// ended and not the time of the caller.
func (l *ledger) lost(r *request, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = time.Now()
	if cut {
		l.checkStop(r)
	}
}

// done takes the answer to a request.
func (l *ledger) done(r *request, status int, body, signature string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.status = time.Now(), status
	if status == http.StatusOK {
		l.answered++
		if !r.whole(body, signature) {
			l.violate(WrongAnswer, "%s at host %d", r.id, r.host)
		}
	}
	if notRun(status) && len(r.runs) > 0 {
		l.violate(FalseRefusal, "%s was refused with %d at host %d after %+v", r.id, status, r.host, r.runs)
	}
}

// whole tells whether a body is the whole answer of a backend server that ran the
// request.
func (r *request) whole(body, signature string) bool {
	for _, run := range r.runs {
		if signature == fakebackend.Signature(run.Backend, body) {
			return body == fakebackend.Body(r.id)
		}
	}
	return false
}

// checkStop judges a request whose connection ended without an answer during a
// planned stop of its entry, without faults anywhere else.
func (l *ledger) checkStop(r *request) {
	for _, s := range l.stops {
		if s.host != r.host || r.ended.Before(s.from) || r.ended.After(s.to) || !l.calm(r.sent.Add(-contact), r.ended) {
			continue
		}
		// What was sent early may be cut when the grace time ends.
		if r.sent.Sub(s.from) <= acceptedStop && r.ended.Sub(s.from) >= graceTime*5/6 {
			continue
		}
		// Connections that cross the close are not read any more.
		if len(r.runs) > 0 {
			l.violate(CutAtStop, "%s, sent %v after SIGTERM of host %d, ended after %v", r.id, r.sent.Sub(s.from), r.host, r.ended.Sub(s.from))
		}
	}
}

// recovered judges the requests that were sent after a moment.
func (l *ledger) recovered(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, all := 0, 0
	for _, r := range l.requests {
		if _, gone := l.withdrawn[r.key]; gone || r.sent.Before(from) || r.ended.IsZero() {
			continue
		}
		all++
		if r.status == http.StatusOK {
			served++
		}
	}
	// Nine of ten: servers have no faults any more, and the rate is low.
	if all == 0 || served*10 < all*9 {
		l.violate(NotRecovered, "%d of %d requests", served, all)
	}
}
