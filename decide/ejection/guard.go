package ejection

import "time"

// Lease is the ejection lease of one backend server. It is immutable; traffic
// reads it from a snapshot. The zero value lets all traffic pass.
type Lease struct {
	Until time.Time // the lease has no effect from here on
	State Ejected   // State.Left is relative to Given
	Given time.Time // when the exit accepted the verdict
}

// Share returns the share of its traffic that the server takes now, 0 to 1.
func (l Lease) Share(now time.Time) float64 {
	if !now.Before(l.Until) {
		return 1
	}
	return l.State.Share
}

// Admits tells whether the exit takes a request. The draw is uniform in [0, 1)
// and spreads the partial shares of a return over all callers.
func (l Lease) Admits(now time.Time, draw float64) bool {
	return draw < l.Share(now)
}

// sentKept is how many sent reports a guard remembers. Only the reports of
// the last EjectionTerm can still be answered: 30 at the shortest interval.
const sentKept = 32

type sent struct {
	seq uint64
	at  time.Time
}

// Guard holds the ejection lease of one local backend server at its exit. The
// control loop owns it and publishes Lease.
type Guard struct {
	epoch uint64 // highest epoch that a report was addressed to
	seq   uint64
	ack   uint64
	sent  [sentKept]sent
	lease Lease
	asked bool
}

// NewGuard returns a guard whose first report has a number above start. A
// restarted process passes a start above the numbers of its earlier life, such
// as the wall clock in milliseconds, so that no verdict of that life matches.
func NewGuard(start uint64) *Guard {
	return &Guard{seq: start}
}

// Lease returns the lease to publish to traffic.
func (g *Guard) Lease() Lease {
	return g.lease
}

// Asked tells whether the keeper asked for a report since the last one.
func (g *Guard) Asked() bool {
	return g.asked
}

// Stamp completes a report that is sent now to the keeper of the given epoch.
// From then on, verdicts of earlier epochs are refused: the keeper counts on
// what this report says. Epochs must grow from keeper to keeper.
func (g *Guard) Stamp(now time.Time, epoch uint64, r *Report) {
	g.epoch = max(g.epoch, epoch)
	g.seq++
	g.asked = false
	g.sent[g.seq%sentKept] = sent{seq: g.seq, at: now}
	r.Epoch, r.Seq, r.Ack = g.epoch, g.seq, g.ack
	r.Ejected = g.state(now)
}

func (g *Guard) state(now time.Time) *Ejected {
	if !now.Before(g.lease.Until) {
		return nil
	}
	state := g.lease.State
	state.Left = max(0, state.Left-now.Sub(g.lease.Given))
	return &state
}

// Refusal says why a verdict was not accepted; it is empty otherwise.
type Refusal string

// The refusals.
const (
	Accepted    Refusal = ""
	OtherKeeper Refusal = "verdict of another keeper"
	Overtaken   Refusal = "a later verdict was accepted"
	TooLate     Refusal = "the report that the verdict answers is too old"
	Malformed   Refusal = "share out of range"
)

// OnVerdict applies a verdict.
func (g *Guard) OnVerdict(now time.Time, v Verdict) Refusal {
	if v.Epoch != g.epoch {
		return OtherKeeper
	}
	if v.Kind == Ask {
		g.asked = true
		return Accepted
	}
	if v.Seq <= g.ack {
		return Overtaken
	}
	answered := g.sent[v.Seq%sentKept]
	until := answered.at.Add(EjectionTerm)
	if answered.seq != v.Seq || !now.Before(until) {
		return TooLate
	}
	if !(v.Share >= 0 && v.Share <= 1) {
		return Malformed
	}
	g.ack = v.Seq
	g.lease = Lease{}
	if v.Share < 1 {
		g.lease = Lease{Until: until, State: v.Ejected, Given: now}
	}
	return Accepted
}
