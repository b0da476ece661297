package quarantine

import "time"

// Admission is whether a request may start on a backend server.
type Admission uint8

// The admissions.
const (
	Start  Admission = iota // start now
	Wait                    // ask again when a request ends
	Refuse                  // not run: the fingerprint is condemned
)

// End is how a request on a backend server ended.
type End uint8

// The ends.
const (
	Other    End = iota // never sent, refused because of load, timeout, canceled by the caller
	Answered            // the whole answer, whatever its status
	Cut                 // the connection was lost before the end of the answer
	Refused             // as Cut, and the server refused to open a new one
)

// Subject is a fingerprint with what is known of it when its request starts.
type Subject struct {
	Fingerprint Fingerprint
	Standing    Standing
	Version     uint64        // generation of the record; 0 without one
	Crash       uint64        // the last crash known
	Refused     time.Duration // until a condemnation ends
}

// cutWindow is the time within which cut calls count as cut at once. The kernel
// resets all connections of a process that died within about a millisecond; the
// rest allows for a busy host.
const cutWindow = 100 * time.Millisecond

// call is a request in flight.
type call struct {
	id       uint64
	subject  Subject
	witness  bool // in flight when the first call of the incident was cut
	reported bool // part of a crash that was reported
}

// Gate keeps suspects alone on one backend server and notices when that server
// crashes. The server's dispatcher owns it.
//
// It takes as a crash that a call was cut and the server refuses new
// connections, or that all the calls in flight, at least two, were cut within
// cutWindow. It does not see the crash of a server that runs one request and
// listens again at once, nor a crash that follows a request after its caller
// has canceled it.
type Gate struct {
	running []call // at most the slots of the server
	seed    uint64
	crashes uint64 // noticed so far

	cut   []call // calls cut in the running incident
	cutAt time.Time
}

// NewGate returns a gate. The seed makes the identifiers of its crashes unique
// in the fleet.
func NewGate(seed uint64) *Gate {
	return &Gate{seed: seed}
}

// Enter asks to start a request; id is unique among those in flight.
func (g *Gate) Enter(id uint64, s Subject) Admission {
	switch {
	case s.Standing == Condemned:
		return Refuse
	case g.Exposed() || (s.Standing == Suspect && len(g.running) > 0):
		return Wait
	}
	g.running = append(g.running, call{id: id, subject: s})
	return Start
}

// Exposed tells whether a suspect is running.
func (g *Gate) Exposed() bool {
	return len(g.running) == 1 && g.running[0].subject.Standing == Suspect
}

// Leave records the end of a request and returns what is to be reported: a
// suspect that completed alone, or the fingerprints that were in flight when the
// server crashed.
func (g *Gate) Leave(now time.Time, id uint64, end End) []Report {
	c, ok := g.remove(id)
	if !ok || c.reported {
		return nil
	}
	if now.Sub(g.cutAt) > cutWindow {
		g.endIncident()
	}
	switch end {
	case Answered:
		if c.witness {
			g.endIncident() // the server outlived the cut
		}
		return clean(c)
	case Cut, Refused:
		g.addCut(now, c)
	}
	if end == Refused || g.allCut() {
		return g.crash(now)
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

func clean(c call) []Report {
	if c.subject.Standing != Suspect || c.subject.Fingerprint == 0 {
		return nil
	}
	return []Report{{
		Fingerprint: c.subject.Fingerprint,
		Clean:       true,
		Alone:       true,
		Version:     c.subject.Version,
		Crash:       c.subject.Crash,
	}}
}

func (g *Gate) addCut(now time.Time, c call) {
	if len(g.cut) == 0 {
		g.cutAt = now
		for i := range g.running {
			g.running[i].witness = true
		}
	}
	g.cut = append(g.cut, c)
}

// allCut tells whether the calls in flight at the first cut have all ended, and
// at least two of them were cut.
func (g *Gate) allCut() bool {
	if len(g.cut) < 2 {
		return false
	}
	for _, c := range g.running {
		if c.witness {
			return false
		}
	}
	return true
}

func (g *Gate) endIncident() {
	g.cut = nil
	for i := range g.running {
		g.running[i].witness = false
	}
}

// crash reports all calls of the incident. Those still in flight are marked, so
// that their ends report nothing further.
func (g *Gate) crash(now time.Time) []Report {
	g.crashes++
	id := g.crashID(now)
	var reports []Report
	for _, c := range g.cut {
		reports = appendReport(reports, id, c)
	}
	for i, c := range g.running {
		if c.witness {
			reports = appendReport(reports, id, c)
			g.running[i].reported = true
		}
	}
	g.endIncident()
	return reports
}

// crashID returns an identifier that grows with time, so that the highest of
// several is the last crash, as far as the clocks agree. Its low bits tell
// crashes of the same millisecond apart.
func (g *Gate) crashID(now time.Time) uint64 {
	const low = 20 // bits; a millisecond of a fleet has few crashes
	return uint64(now.UnixMilli())<<low | mix(g.seed+g.crashes)&(1<<low-1)
}

func appendReport(reports []Report, id uint64, c call) []Report {
	f := c.subject.Fingerprint
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
		Alone:       c.subject.Standing == Suspect,
		Version:     c.subject.Version,
		Crash:       id,
	})
}
