package quarantine

import "time"

// Admission is the decision on whether a request may start on a backend server.
type Admission uint8

// The possible decisions.
const (
	AdmitNow   Admission = iota // start the request
	AdmitLater                  // try again when a running request has ended
	Reject                      // do not run the request: its fingerprint is blocked
)

// RequestEnd is how a request on a backend server ended.
type RequestEnd uint8

// The ways in which a request can end.
const (
	EndedOtherwise   RequestEnd = iota // not sent, refused because of load, timed out or canceled by the caller
	Completed                          // the server sent a complete response, of any status
	ConnectionLost                     // the connection was lost before the end of the response
	ReconnectRefused                   // as ConnectionLost, and the server refused a new connection
)

// FingerprintStatus is what is known about a fingerprint when its request starts.
type FingerprintStatus struct {
	Fingerprint Fingerprint
	Standing    Standing
	Generation  uint64        // generation of the record; 0 if there is none
	CrashID     uint64        // the last known crash
	RejectedFor time.Duration // remaining time for which a blocked fingerprint is rejected
}

// simultaneousLossWindow is the time within which lost connections count as lost at
// once. The kernel resets all connections of a process that died within about a
// millisecond; the rest allows for a busy host.
const simultaneousLossWindow = 100 * time.Millisecond

// call is a request in flight.
type call struct {
	id         uint64
	status     FingerprintStatus
	inIncident bool // in flight when the incident's first connection was lost
	reported   bool // included in the report of a crash
}

// Gate runs suspects alone on one backend server and detects crashes of that server.
// Only the server's dispatcher may use it.
//
// The server counts as crashed if a call loses its connection and the server refuses
// new connections, or if all the calls in flight, at least two, lose their
// connections within simultaneousLossWindow. A crash is not detected if the server
// ran a single request and listens again at once, or if the caller had canceled the
// request before it crashed the server.
type Gate struct {
	running    []call // at most as many as the server has slots
	seed       uint64
	crashCount uint64 // crashes detected so far

	lost        []call // calls of the current incident that lost their connection
	firstLossAt time.Time
}

// NewGate returns a gate. The seed must differ between gates, so that crash
// identifiers are unique in the fleet.
func NewGate(seed uint64) *Gate {
	return &Gate{seed: seed}
}

// Enter starts a request if the result is AdmitNow. id must be unique among the
// requests in flight.
func (g *Gate) Enter(id uint64, s FingerprintStatus) Admission {
	switch {
	case s.Standing == Blocked:
		return Reject
	case g.SuspectRunning() || (s.Standing == Suspect && len(g.running) > 0):
		return AdmitLater
	}
	g.running = append(g.running, call{id: id, status: s})
	return AdmitNow
}

// SuspectRunning reports whether a suspect is running.
func (g *Gate) SuspectRunning() bool {
	return len(g.running) == 1 && g.running[0].status.Standing == Suspect
}

// Leave records the end of a request and returns the reports to send: of a suspect
// that completed alone, or of the fingerprints that were in flight when the server
// crashed.
func (g *Gate) Leave(now time.Time, id uint64, end RequestEnd) []Report {
	c, ok := g.remove(id)
	if !ok || c.reported {
		return nil
	}
	if now.Sub(g.firstLossAt) > simultaneousLossWindow {
		g.endIncident()
	}
	switch end {
	case Completed:
		if c.inIncident {
			g.endIncident() // the server is still running, so it has not crashed
		}
		return completionReport(c)
	case ConnectionLost, ReconnectRefused:
		g.addLost(now, c)
	}
	if end == ReconnectRefused || g.allLost() {
		return g.reportCrash(now)
	}
	return nil
}

func (g *Gate) remove(id uint64) (call, bool) {
	for i, c := range g.running {
		if c.id == id {
			g.running = append(g.running[:i], g.running[i+1:]...)
			return c, true
		}
	}
	return call{}, false
}

func completionReport(c call) []Report {
	if c.status.Standing != Suspect || c.status.Fingerprint == 0 {
		return nil
	}
	return []Report{{
		Fingerprint: c.status.Fingerprint,
		Completed:   true,
		RanAlone:    true,
		Generation:  c.status.Generation,
		CrashID:     c.status.CrashID,
	}}
}

func (g *Gate) addLost(now time.Time, c call) {
	if len(g.lost) == 0 {
		g.firstLossAt = now
		for i := range g.running {
			g.running[i].inIncident = true
		}
	}
	g.lost = append(g.lost, c)
}

// allLost reports whether all calls that were in flight at the incident's first loss
// have ended and at least two of them lost their connection.
func (g *Gate) allLost() bool {
	if len(g.lost) < 2 {
		return false
	}
	for _, c := range g.running {
		if c.inIncident {
			return false
		}
	}
	return true
}

func (g *Gate) endIncident() {
	g.lost = nil
	for i := range g.running {
		g.running[i].inIncident = false
	}
}

// reportCrash returns the reports of all calls of the incident. Those still in flight
// are marked, so that their ends are not reported again.
func (g *Gate) reportCrash(now time.Time) []Report {
	g.crashCount++
	id := g.crashID(now)
	var reports []Report
	for _, c := range g.lost {
		reports = appendReport(reports, id, c)
	}
	for i, c := range g.running {
		if c.inIncident {
			reports = appendReport(reports, id, c)
			g.running[i].reported = true
		}
	}
	g.endIncident()
	return reports
}

// crashID returns an identifier that grows with time, so that the highest of several
// identifies the last crash, as far as the clocks agree. The low bits distinguish
// crashes in the same millisecond.
func (g *Gate) crashID(now time.Time) uint64 {
	const randomBits = 20 // enough, since a fleet has few crashes per millisecond
	return uint64(now.UnixMilli())<<randomBits | splitMix64(g.seed+g.crashCount)&(1<<randomBits-1)
}

func appendReport(reports []Report, id uint64, c call) []Report {
	f := c.status.Fingerprint
	if f == 0 {
		return reports
	}
	for _, r := range reports {
		if r.Fingerprint == f {
			return reports
		}
	}
	return append(reports, Report{
		Fingerprint: f,
		RanAlone:    c.status.Standing == Suspect,
		Generation:  c.status.Generation,
		CrashID:     id,
	})
}
