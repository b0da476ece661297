package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
)

// Invariants that the soak checks, as violations report them.
const (
	ExecutedTwice          = "a non-idempotent request was executed more than once"
	ExecutedAfterRejection = "a request was executed although its response says that it was not and will not be"
	WrongResponse          = "a caller got a success without the complete response to its request"
	WrongTeam              = "a request was executed for a team other than that of its key"
	KeyForwarded           = "a key was forwarded to a backend server"
	WithdrawnKeyAccepted   = "a request was executed although its key had been withdrawn"
	RequestAfterDrain      = "a request was sent to a backend server after its drain time"
	AbortedByShutdown      = "a graceful shutdown aborted a request"
	TeamRateExceeded       = "a team got more than its rate and burst"
	NamedRateExceeded      = "a backend server got more than the rate that it named"
	NotRecovered           = "requests fail after the faults have ended"
	FaultInjectionFailed   = "the soak failed to inject a fault"
	RequestAfterEvacuation = "a request reached a backend server of an evacuated zone"
	ColdRateExceeded       = "a cold backend server got more than its rate"
	ConfigReverted         = "a request was executed although its host had refused its withdrawn key before"
	UnknownRequest         = "a backend server executed a request that no caller sent"
)

// Time limits that the settings give to the processes and that the invariants use.
const (
	keyRevocationTime = 5 * time.Second
	drainTime         = 2 * time.Second
	graceTime         = 6 * time.Second
	// faultRecoveryTime is how long a host must have been free of faults before the
	// invariants that depend on the platform or on its peers apply to it.
	faultRecoveryTime = 3 * time.Second
	// shutdownSendWindow is the time after SIGTERM in which a request may still be
	// sent and be aborted at the end of the grace time.
	shutdownSendWindow = 3 * time.Second
	// unreadTimeout is how long a request may take from its start until the process closes
	// the connection without having read it: the time to connect, and 200 ms.
	unreadTimeout = connectTimeout + 200*time.Millisecond
)

// request is what the checker knows about one request of a caller.
type request struct {
	id         string
	host       int
	idempotent bool
	team, key  string
	timeout    time.Duration
	sent       time.Time
	ended      time.Time // zero while in flight
	status     int       // HTTP status; 0 if there was no response
	executions []fakebackend.Execution
}

// Violation is one violated invariant, with details about the request.
type Violation struct {
	At        time.Duration
	Invariant string
	Detail    string
}

// invariantChecker records what callers and backend servers observe and checks the
// invariants.
type invariantChecker struct {
	mu             sync.Mutex
	started        time.Time
	requests       map[string]*request
	withdrawn      map[string]time.Time   // by key: when the store acknowledged the withdrawal
	draining       map[string]time.Time   // by backend server: when the store acknowledged its drain
	stopped        map[string]time.Time   // by backend server
	evacuations    map[string]*evacuation // by availability zone
	refusedKeys    map[hostKey]time.Time  // first refusal by the running process of a host
	coldRequests   map[string][]time.Time // by backend server: requests while it was cold
	storeReturns   []storeReturn
	faultIntervals []hostInterval // injected faults, without graceful shutdowns and faults of the store
	// storeFaultIntervals are the faults of the store. They permit no shutdown to abort a
	// request.
	storeFaultIntervals []hostInterval
	shutdownIntervals   []hostInterval // graceful shutdowns
	violations          []Violation
	succeeded           int
}

// hostInterval is an interval that concerns one host, or all hosts if host is -1.
type hostInterval struct {
	host     int
	from, to time.Time
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{
		started: time.Now(), requests: make(map[string]*request),
		withdrawn: make(map[string]time.Time), draining: make(map[string]time.Time), stopped: make(map[string]time.Time),
		evacuations: make(map[string]*evacuation), refusedKeys: make(map[hostKey]time.Time), coldRequests: make(map[string][]time.Time),
	}
}

func (c *invariantChecker) report(invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{time.Since(c.started), invariant, fmt.Sprintf(format, args...)})
}

// recordStoreFault records the interval of a fault of the store, or of the path to it.
func (c *invariantChecker) recordStoreFault(host int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFaultIntervals = append(c.storeFaultIntervals, hostInterval{host, from, to})
}

// recordFault records the interval of a fault at a host.
func (c *invariantChecker) recordFault(host int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultIntervals = append(c.faultIntervals, hostInterval{host, from, to})
}

// recordShutdown records that a graceful shutdown of a host began.
func (c *invariantChecker) recordShutdown(host int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutdownIntervals = append(c.shutdownIntervals, hostInterval{host, at, at.Add(graceTime + time.Second)})
}

// recordSent records that a caller sends a request.
func (c *invariantChecker) recordSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sent = time.Now()
	c.requests[r.id] = r
}

// recordExecution records that a backend server began to execute a request, and checks it.
func (c *invariantChecker) recordExecution(execution fakebackend.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[execution.Attempt]
	if r == nil {
		c.report(UnknownRequest, "%s at %s", execution.Attempt, execution.Backend)
		return
	}
	r.executions = append(r.executions, execution)
	switch {
	case execution.KeySeen:
		c.report(KeyForwarded, "%s at %s", r.id, execution.Backend)
	case execution.Team != r.team:
		c.report(WrongTeam, "%s of %s was executed for %s", r.id, r.team, execution.Team)
	}
	if !r.idempotent && len(r.executions) > 1 {
		c.report(ExecutedTwice, "%s: %+v", r.id, r.executions)
	}
	if isRejection(r.status) {
		c.report(ExecutedAfterRejection, "%s was rejected with %d at host %d and then executed at %s", r.id, r.status, r.host, execution.Backend)
	}
	if at, withdrawn := c.withdrawn[r.key]; withdrawn && r.sent.Sub(at) > keyRevocationTime {
		c.report(WithdrawnKeyAccepted, "%s was sent %v after the withdrawal, at host %d", r.id, r.sent.Sub(at), r.host)
	}
	c.checkRefusedKey(r)
	c.checkDrain(r, execution)
	c.checkEvacuation(r, execution)
}

// recordMisdirected records an attempt that expected a server which has left its address.
func (c *invariantChecker) recordMisdirected(attempt, expected string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[attempt]; r != nil {
		c.checkDrain(r, fakebackend.Execution{Backend: expected, Began: time.Now()})
	}
}

// checkDrain reports requests that reach a backend server after its drain time. It
// checks only while the whole fleet is free of faults: otherwise a host may not know
// of the drain, or a slow connection may have delayed the request.
func (c *invariantChecker) checkDrain(r *request, execution fakebackend.Execution) {
	at, draining := c.draining[execution.Backend]
	late := execution.Began.Sub(c.acknowledgedAgain(at, serverReturnTime+heartbeatInterval))
	if draining && late > drainTime && !c.faulty(at.Add(-faultRecoveryTime), execution.Began, true) {
		c.report(RequestAfterDrain, "%s reached %s %v after the drain was announced, through host %d", r.id, execution.Backend, late, r.host)
	}
}

// faulty reports whether any host had a fault between from and to. Faults of the store
// count if storeFaults is true. The caller holds the lock.
func (c *invariantChecker) faulty(from, to time.Time, storeFaults bool) bool {
	intervals := c.faultIntervals
	if storeFaults {
		intervals = append(slices.Clone(intervals), c.storeFaultIntervals...)
	}
	for _, s := range intervals {
		if !s.from.After(to) && !s.to.Before(from) {
			return true
		}
	}
	return false
}

// isRejection reports whether a status guarantees that the request was not executed.
func isRejection(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordDrain records that the store accepted the draining state of a backend server.
func (c *invariantChecker) recordDrain(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining[id] = time.Now()
}

// recordStopped records that a backend server is stopped.
func (c *invariantChecker) recordStopped(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[id] = time.Now()
}

// recordFailure records a request whose caller timed out or could not connect.
func (c *invariantChecker) recordFailure(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ended = time.Now()
}

// recordConnEnd records a request whose connection ended without a complete response. read
// reports whether the process had read the request before.
func (c *invariantChecker) recordConnEnd(r *request, at time.Time, read bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ended = at
	c.checkShutdown(r, read)
}

// recordResponse records the response to a request and checks it.
func (c *invariantChecker) recordResponse(r *request, status int, body, signature string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ended, r.status = time.Now(), status
	if status == http.StatusUnauthorized {
		c.recordRefusedKey(r)
	}
	if status == http.StatusOK {
		c.succeeded++
		if !r.isCompleteResponse(body, signature) {
			c.report(WrongResponse, "%s at host %d", r.id, r.host)
		}
	}
	if isRejection(status) && len(r.executions) > 0 {
		c.report(ExecutedAfterRejection, "%s was rejected with %d at host %d after %+v", r.id, status, r.host, r.executions)
	}
	if status == http.StatusBadGateway && len(r.executions) > 0 && !c.stoppedWhileRunning(r) {
		c.checkShutdown(r, true) // an answer of the process in place of the response counts like a closed connection
	}
}

// stoppedWhileRunning reports whether a backend server that executed a request was stopped
// before the request ended.
func (c *invariantChecker) stoppedWhileRunning(r *request) bool {
	for _, execution := range r.executions {
		if at, stopped := c.stopped[execution.Backend]; stopped && !at.After(r.ended) {
			return true
		}
	}
	return false
}

// isCompleteResponse reports whether body is the complete response of a backend
// server that executed the request.
func (r *request) isCompleteResponse(body, signature string) bool {
	for _, execution := range r.executions {
		if signature == fakebackend.Signature(execution.Backend, body) {
			return body == fakebackend.Body(r.id)
		}
	}
	return false
}

// checkShutdown checks a request whose connection failed during a graceful shutdown
// of the host it was sent to, provided that nothing but the store had a fault.
func (c *invariantChecker) checkShutdown(r *request, read bool) {
	aborted := false
	var after time.Duration
	for _, s := range c.shutdownIntervals {
		if s.host != r.host || r.ended.Before(s.from) || r.ended.After(s.to) || c.faulty(r.sent.Add(-faultRecoveryTime), r.ended, false) {
			continue
		}
		if len(r.executions) == 0 {
			// A request that arrives while the process closes the connection is never read.
			aborted = aborted || read || r.ended.Sub(r.sent) > unreadTimeout
			after = r.ended.Sub(s.from)
			continue
		}
		// The end of the grace time may abort requests that were sent in time. A further
		// signal doesn't postpone it.
		if r.sent.Sub(s.from) <= shutdownSendWindow && r.ended.Sub(s.from) >= graceTime*5/6 {
			return
		}
		aborted, after = true, r.ended.Sub(s.from)
	}
	if aborted {
		c.report(AbortedByShutdown, "%s, sent %v before its connection ended, %v after SIGTERM of host %d, executions: %d",
			r.id, r.ended.Sub(r.sent), after, r.host, len(r.executions))
	}
}

// refusedByShutdown reports whether a request was refused by a process that was stopping. The
// caller holds the lock.
func (c *invariantChecker) refusedByShutdown(r *request) bool {
	for _, s := range c.shutdownIntervals {
		if s.host == r.host && isRejection(r.status) && !r.sent.Before(s.from) && r.sent.Before(s.to) {
			return true
		}
	}
	return false
}

// checkRecovery checks that the requests sent after from succeed.
func (c *invariantChecker) checkRecovery(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	succeeded, total := 0, 0
	for _, r := range c.requests {
		if _, withdrawn := c.withdrawn[r.key]; withdrawn || r.sent.Before(from) || r.ended.IsZero() || r.isOverTeamRate() || c.refusedByShutdown(r) {
			continue
		}
		total++
		if r.status == http.StatusOK {
			succeeded++
		}
	}
	// At least 90 % must succeed: the faults have ended and the request rate is low.
	if total == 0 || succeeded*10 < total*9 {
		c.report(NotRecovered, "%d of %d requests succeeded", succeeded, total)
	}
}
