package ejection

import "time"

// Lease is the ejection lease of one backend server. It is immutable; the request
// path reads it from a snapshot. The zero value admits all traffic.
type Lease struct {
	Until      time.Time // end of the lease
	State      Ejected   // State.Left is relative to AcceptedAt
	AcceptedAt time.Time // when the exit proxy accepted the verdict
}

// Share returns the share of its traffic that the server gets now, 0 to 1.
func (l Lease) Share(now time.Time) float64 {
	if !now.Before(l.Until) {
		return 1
	}
	return l.State.Share
}

// Admits reports whether the exit proxy accepts a request. The draw is a random number
// from [0, 1), so that a partial share applies equally to all callers.
func (l Lease) Admits(now time.Time, draw float64) bool {
	return draw < l.Share(now)
}

// maxSentReports is the number of sent reports that a LeaseHolder remembers. Only
// reports of the last LeaseDuration can still be answered, which are 30 at the
// shortest interval.
const maxSentReports = 32

type sentReport struct {
	seq    uint64
	sentAt time.Time
}

// LeaseHolder applies verdicts to the ejection lease of one local backend server.
// The control loop owns it and publishes Lease.
type LeaseHolder struct {
	epoch           uint64 // highest leader epoch that a report was sent to
	lastSeq         uint64
	ackedSeq        uint64
	sent            [maxSentReports]sentReport
	lease           Lease
	reportRequested bool
}

// NewLeaseHolder returns a LeaseHolder whose first report has the sequence number
// lastSeq+1. After a restart, lastSeq must exceed all numbers used before, as the
// wall clock in milliseconds does, so that no verdict on an earlier report matches.
func NewLeaseHolder(lastSeq uint64) *LeaseHolder {
	return &LeaseHolder{lastSeq: lastSeq}
}

// Lease returns the current lease.
func (h *LeaseHolder) Lease() Lease {
	return h.lease
}

// ReportRequested reports whether the leader has requested a report since the
// last one was sent.
func (h *LeaseHolder) ReportRequested() bool {
	return h.reportRequested
}

// PrepareReport sets the fields of a report that is about to be sent to the leader
// of the given epoch. Verdicts of earlier epochs are refused from then on, because
// the leader relies on the lease state in this report. Each leader must have a
// higher epoch than its predecessor.
func (h *LeaseHolder) PrepareReport(now time.Time, epoch uint64, r *Report) {
	h.epoch = max(h.epoch, epoch)
	h.lastSeq++
	h.reportRequested = false
	h.sent[h.lastSeq%maxSentReports] = sentReport{seq: h.lastSeq, sentAt: now}
	r.Epoch, r.Seq, r.Ack = h.epoch, h.lastSeq, h.ackedSeq
	r.Ejected = h.remainingEjection(now)
}

func (h *LeaseHolder) remainingEjection(now time.Time) *Ejected {
	if !now.Before(h.lease.Until) {
		return nil
	}
	state := h.lease.State
	state.Left = max(0, state.Left-now.Sub(h.lease.AcceptedAt))
	return &state
}

// Refusal is the reason why a verdict was not accepted, or Accepted.
type Refusal string

// The results of ApplyVerdict.
const (
	Accepted     Refusal = ""
	OtherLeader  Refusal = "verdict of another leader"
	Superseded   Refusal = "a later verdict was accepted"
	Expired      Refusal = "the report that the verdict answers is too old"
	InvalidShare Refusal = "share out of range"
)

// ApplyVerdict updates the lease from a verdict, or returns why the verdict was
// refused.
func (h *LeaseHolder) ApplyVerdict(now time.Time, v Verdict) Refusal {
	if v.Epoch != h.epoch {
		return OtherLeader
	}
	if v.Kind == RequestReport {
		h.reportRequested = true
		return Accepted
	}
	if v.Seq <= h.ackedSeq {
		return Superseded
	}
	answered := h.sent[v.Seq%maxSentReports]
	until := answered.sentAt.Add(LeaseDuration)
	if answered.seq != v.Seq || !now.Before(until) {
		return Expired
	}
	if !(v.Share >= 0 && v.Share <= 1) {
		return InvalidShare
	}
	h.ackedSeq = v.Seq
	h.lease = Lease{}
	if v.Share < 1 {
		h.lease = Lease{Until: until, State: v.Ejected, AcceptedAt: now}
	}
	return Accepted
}
