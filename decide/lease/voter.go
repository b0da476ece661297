package lease

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// promise is the state of one shard at a voter.
type promise struct {
	candidate CandidateID
	sent      time.Duration // Sent of the candidate's latest message
	until     time.Time     // end of the promise; the shard is free if zero or past
	// renewed is true once the candidate has requested the shard again while the
	// promise was in force. A candidate without a quorum drops the shard instead.
	renewed bool

	reservedFor  string    // host of the successor named by the candidate
	reserveUntil time.Time // end of the reservation
}

// Voter promises shards to candidates. It is not safe for concurrent use.
type Voter struct {
	host     string
	started  time.Time
	promises [rendezvous.ShardCount]promise
}

// NewVoter returns the voter of a process that starts now.
func NewVoter(host string, now time.Time) *Voter {
	return &Voter{host: host, started: now}
}

// Promise answers a request. A shard is promised to one candidate until
// PromiseTerm after the receipt of its latest request, or until the candidate
// drops the shard.
func (v *Voter) Promise(now time.Time, req PromiseRequest) PromiseReply {
	reply := PromiseReply{Voter: v.host, Candidate: req.Candidate, Sent: req.Sent}
	v.dropShards(now, req.Candidate, req.Sent, req.Drops)
	for _, shard := range req.Shards {
		if shard >= rendezvous.ShardCount {
			continue
		}
		p := &v.promises[shard]
		if p.isDuplicate(now, req) {
			reply.Promised = append(reply.Promised, shard)
			continue
		}
		if !v.mayPromise(now, p, req) {
			reply.Refused = append(reply.Refused, Refusal{Shard: shard, Leader: p.leader(now)})
			continue
		}
		p.record(now, req)
		reply.Promised = append(reply.Promised, shard)
	}
	return reply
}

// Release ends promises to a candidate. A shard for which a later message of the
// candidate has already arrived is ignored.
func (v *Voter) Release(now time.Time, r Release) {
	v.dropShards(now, r.Candidate, r.Sent, r.Drops)
}

// Leader returns the host that holds the promise for a shard.
func (v *Voter) Leader(now time.Time, shard uint32) (string, bool) {
	host := v.promises[shard].leader(now)
	return host, host != ""
}

// PromiseRenewed reports whether the promise for a shard is in force and has been
// renewed, which shows that the candidate had a quorum.
func (v *Voter) PromiseRenewed(now time.Time, shard uint32) bool {
	p := &v.promises[shard]
	return p.renewed && now.Before(p.until)
}

func (v *Voter) mayPromise(now time.Time, p *promise, req PromiseRequest) bool {
	if now.Before(v.started.Add(VoterStartupDelay)) {
		return false
	}
	if p.candidate == req.Candidate && req.Sent <= p.sent {
		return false
	}
	if now.Before(p.until) {
		return p.candidate == req.Candidate
	}
	reserved := now.Before(p.reserveUntil)
	return !reserved || p.reservedFor == req.Candidate.Host
}

// isDuplicate reports whether the promise in force was made for the same request.
// A relay may deliver a request twice, and a refusal of the second copy would make
// the candidate lose a promise that it has. The promise is not extended, since it
// already outlasts CandidateTerm counted from the sending.
func (p *promise) isDuplicate(now time.Time, req PromiseRequest) bool {
	return p.candidate == req.Candidate && p.sent == req.Sent && now.Before(p.until)
}

// record makes or renews the promise for the candidate of the request.
func (p *promise) record(now time.Time, req PromiseRequest) {
	renewed := p.candidate == req.Candidate && now.Before(p.until)
	*p = promise{candidate: req.Candidate, sent: req.Sent, until: now.Add(PromiseTerm), renewed: renewed}
}

func (v *Voter) dropShards(now time.Time, from CandidateID, sent time.Duration, drops []Drop) {
	for _, d := range drops {
		if d.Shard >= rendezvous.ShardCount {
			continue
		}
		p := &v.promises[d.Shard]
		if p.candidate != from || sent <= p.sent {
			continue
		}
		p.release(now, sent, d)
	}
}

// release frees the shard. The candidate and the time of its latest message are kept,
// so that a delayed earlier request of the candidate does not restore the promise.
func (p *promise) release(now time.Time, sent time.Duration, d Drop) {
	live := now.Before(p.until)
	p.sent = sent
	p.until = now
	if live && d.To != "" {
		p.reservedFor = d.To
		p.reserveUntil = now.Add(ReservationTime)
	}
}

func (p *promise) leader(now time.Time) string {
	if !now.Before(p.until) {
		return ""
	}
	return p.candidate.Host
}
