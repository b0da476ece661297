package lease

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// promise is what a witness remembers of one shard.
type promise struct {
	holder CandidateID
	sent   time.Duration // of the holder's latest message
	until  time.Time     // zero or past: the shard is free
	// renewed is true once the holder has asked again while it had the promise.
	// A candidate without a quorum gives the shard up instead.
	renewed bool

	reservedFor  string    // host of the successor that the holder named
	reserveUntil time.Time // end of the reservation
}

// Witness promises shards to candidates. One goroutine owns it.
type Witness struct {
	host     string
	started  time.Time
	promises [rendezvous.ShardCount]promise
}

// NewWitness returns the witness of a process that starts now.
func NewWitness(host string, now time.Time) *Witness {
	return &Witness{host: host, started: now}
}

// Promise answers a request. A shard is promised to one candidate until Term
// after the receipt of its latest request, or until it drops the shard.
func (w *Witness) Promise(now time.Time, req PromiseRequest) PromiseReply {
	reply := PromiseReply{Witness: w.host, Candidate: req.Candidate, Sent: req.Sent}
	w.drop(now, req.Candidate, req.Sent, req.Drops)
	for _, shard := range req.Shards {
		if shard >= rendezvous.ShardCount {
			continue
		}
		p := &w.promises[shard]
		if p.repeats(now, req) {
			reply.Promised = append(reply.Promised, shard)
			continue
		}
		if !w.mayPromise(now, p, req) {
			reply.Refused = append(reply.Refused, Refused{Shard: shard, Keeper: p.keeper(now)})
			continue
		}
		p.renew(now, req)
		reply.Promised = append(reply.Promised, shard)
	}
	return reply
}

// Release ends promises of a candidate. A release that overtook a later message
// of the same candidate is ignored.
func (w *Witness) Release(now time.Time, r Release) {
	w.drop(now, r.Candidate, r.Sent, r.Drops)
}

// Keeper returns the host that has the promise for a shard.
func (w *Witness) Keeper(now time.Time, shard uint32) (string, bool) {
	host := w.promises[shard].keeper(now)
	return host, host != ""
}

// Kept tells whether the holder of the promise for a shard had a quorum: it has
// renewed the promise.
func (w *Witness) Kept(now time.Time, shard uint32) bool {
	p := &w.promises[shard]
	return p.renewed && now.Before(p.until)
}

func (w *Witness) mayPromise(now time.Time, p *promise, req PromiseRequest) bool {
	if now.Before(w.started.Add(StartSilence)) {
		return false
	}
	if p.holder == req.Candidate && req.Sent <= p.sent {
		return false
	}
	if now.Before(p.until) {
		return p.holder == req.Candidate
	}
	reserved := now.Before(p.reserveUntil)
	return !reserved || p.reservedFor == req.Candidate.Host
}

// repeats tells whether the promise in force answers this very request. A relay
// may deliver a request twice; a refusal of the second copy would make the
// candidate lose a vote that it has. The promise is not prolonged, since it
// already outlasts what the candidate counts from sending.
func (p *promise) repeats(now time.Time, req PromiseRequest) bool {
	return p.holder == req.Candidate && p.sent == req.Sent && now.Before(p.until)
}

func (p *promise) renew(now time.Time, req PromiseRequest) {
	renewed := p.holder == req.Candidate && now.Before(p.until)
	*p = promise{holder: req.Candidate, sent: req.Sent, until: now.Add(Term), renewed: renewed}
}

func (w *Witness) drop(now time.Time, from CandidateID, sent time.Duration, drops []Drop) {
	for _, d := range drops {
		if d.Shard >= rendezvous.ShardCount {
			continue
		}
		p := &w.promises[d.Shard]
		if p.holder != from || sent <= p.sent {
			continue
		}
		p.end(now, sent, d)
	}
}

// end frees the shard. The holder and its latest message stay known, so that a
// delayed earlier request of the holder does not bring the promise back.
func (p *promise) end(now time.Time, sent time.Duration, d Drop) {
	live := now.Before(p.until)
	p.sent = sent
	p.until = now
	if live && d.To != "" {
		p.reservedFor = d.To
		p.reserveUntil = now.Add(ReserveTime)
	}
}

func (p *promise) keeper(now time.Time) string {
	if !now.Before(p.until) {
		return ""
	}
	return p.holder.Host
}
