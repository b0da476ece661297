package lease

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Tenure is one uninterrupted period in which a candidate holds a shard.
type Tenure struct {
	Epoch uint64    // number of the tenure among those of this candidate, over all shards, from 1
	Since time.Time // start of the tenure
	Until time.Time // end of the tenure unless it is renewed
}

// receivedPromise is the latest promise received from one voter.
type receivedPromise struct {
	sent  time.Duration // Sent of the request that was promised
	until time.Time     // CandidateTerm after the request was sent
}

// shardState is the state of one shard that the candidate is or was ranked for.
type shardState struct {
	rank             int
	promises         map[string]receivedPromise
	tenure           Tenure
	ignoreUntil      time.Duration // replies to requests sent up to this time are ignored
	lastRequest      time.Time     // when the shard was last requested
	nextRequest      time.Time
	requesting       bool      // requests are outstanding and no tenure has started
	failedRounds     int       // consecutive request rounds without a quorum
	noLeaderSince    time.Time // zero if a leader is known
	leaderKnownUntil time.Time // until then another leader is assumed, after a refusal or a release
	handoverUntil    time.Time // end of the expected handover of the shard to this candidate
}

// Candidate acquires and renews shards for one process by requesting promises
// from their voters. It is not safe for concurrent use.
type Candidate struct {
	id             CandidateID
	started        time.Time
	placement      *Placement
	local          *Voter
	shards         map[uint32]*shardState
	suspected      map[string]bool
	acquireStopped bool
	lastSent       time.Duration
	lastEpoch      uint64
}

// NewCandidate returns the candidate of a process that starts now. The voter of
// the same process shows which shards already have a leader; it may be nil. The
// placement is shared with the caller, who must call MembersChanged after each
// change of it.
func NewCandidate(id CandidateID, now time.Time, p *Placement, local *Voter) *Candidate {
	c := &Candidate{id: id, started: now, placement: p, local: local, shards: make(map[uint32]*shardState)}
	c.MembersChanged(now)
	return c
}

// MembersChanged updates the ranks and tenures after a change of the placement.
// Promises of hosts that are no longer voters do not count.
func (c *Candidate) MembersChanged(now time.Time) {
	for shard := range uint32(rendezvous.ShardCount) {
		rank := c.placement.Rank(shard, c.id.Host)
		st := c.shards[shard]
		ranked := rank >= 0 && rank < MaxCandidates
		if st == nil && !ranked {
			continue
		}
		if st == nil {
			st = &shardState{promises: make(map[string]receivedPromise), ignoreUntil: c.lastSent}
			c.shards[shard] = st
		}
		st.rank = rank
		c.updateTenure(now, shard, st)
		if !ranked && !st.holds(now) && !st.belowMinTenure(now) {
			delete(c.shards, shard)
		}
	}
}

// SetSuspected sets the members that are suspected to be down. A candidate does
// not wait for better ranked members that are suspected.
func (c *Candidate) SetSuspected(hosts map[string]bool) {
	c.suspected = hosts
}

// StopAcquiring stops requests for shards that are not held, before a planned
// stop of the process. Held shards are renewed until Release.
func (c *Candidate) StopAcquiring() {
	c.acquireStopped = true
}

// Holds reports whether the candidate holds the shard at the given time. Check it
// at each use, with a time read after the event to decide on.
func (c *Candidate) Holds(now time.Time, shard uint32) bool {
	st := c.shards[shard]
	return st != nil && st.holds(now)
}

// Epoch returns the epoch of the current tenure, or 0 if the candidate does not
// hold the shard.
func (c *Candidate) Epoch(now time.Time, shard uint32) uint64 {
	t, _ := c.Tenure(now, shard)
	return t.Epoch
}

// Tenure returns the current tenure; ok is false if the candidate does not hold
// the shard.
func (c *Candidate) Tenure(now time.Time, shard uint32) (t Tenure, ok bool) {
	st := c.shards[shard]
	if st == nil || !st.holds(now) {
		return Tenure{}, false
	}
	return st.tenure, true
}

// HeldShards returns the shards that are held now, in ascending order.
func (c *Candidate) HeldShards(now time.Time) []uint32 {
	var held []uint32
	for shard, st := range c.shards {
		if st.holds(now) {
			held = append(held, shard)
		}
	}
	slices.Sort(held)
	return held
}

// DisplacedShards returns the held shards for which the process is no longer
// ranked as a candidate. They are not renewed; the caller hands them over and
// releases them.
func (c *Candidate) DisplacedShards(now time.Time) []uint32 {
	var displaced []uint32
	for _, shard := range c.HeldShards(now) {
		if rank := c.shards[shard].rank; rank < 0 || rank >= MaxCandidates {
			displaced = append(displaced, shard)
		}
	}
	return displaced
}

// Successor returns the host to which a shard is handed over: the best ranked
// candidate other than this one that is not suspected.
func (c *Candidate) Successor(shard uint32) (string, bool) {
	for i, m := range c.placement.Voters(shard) {
		if i >= MaxCandidates {
			break
		}
		if m.ID != c.id.Host && !c.suspected[m.ID] {
			return m.ID, true
		}
	}
	return "", false
}

// ExpectHandover makes the candidate request a shard at the next Tick, because the
// leader is handing it over. The request is repeated every HandoverRetryInterval,
// since a voter refuses a request that arrives before the leader's release.
func (c *Candidate) ExpectHandover(now time.Time, shard uint32) {
	if st := c.shards[shard]; st != nil {
		st.handoverUntil = now.Add(ReservationTime)
		st.leaderKnownUntil = time.Time{}
	}
}

// HandoverPending reports whether the candidate expects the handover of a shard
// that it does not hold yet. Until then, call Tick every HandoverRetryInterval.
func (c *Candidate) HandoverPending(now time.Time) bool {
	for _, st := range c.shards {
		if now.Before(st.handoverUntil) && !st.holds(now) {
			return true
		}
	}
	return false
}

// Tick returns the requests that are due, at most one for each voter. Call it at
// least every RenewInterval/5.
func (c *Candidate) Tick(now time.Time) []PromiseRequest {
	out := newOutbox(c, now)
	for shard := range uint32(rendezvous.ShardCount) {
		st := c.shards[shard]
		if st == nil {
			continue
		}
		if st.holds(now) {
			c.renewIfDue(now, shard, st, out)
			continue
		}
		if st.rank < 0 || st.rank >= MaxCandidates {
			continue
		}
		c.tryAcquire(now, shard, st, out)
	}
	return out.messages()
}

func (c *Candidate) renewIfDue(now time.Time, shard uint32, st *shardState, out *outbox) {
	if st.rank < 0 || st.rank >= MaxCandidates || now.Before(st.nextRequest) {
		return
	}
	c.request(now, shard, st, out)
	st.nextRequest = c.nextRenewal(now)
}

// nextRenewal returns the next multiple of RenewInterval since the start, so that
// the shards of a candidate are renewed together in one message for each voter.
func (c *Candidate) nextRenewal(now time.Time) time.Time {
	rounds := now.Sub(c.started)/RenewInterval + 1
	return c.started.Add(rounds * RenewInterval)
}

// tryAcquire requests a shard that has no known leader. A round without a quorum
// is abandoned and its promises are dropped, so that competing candidates do not
// block each other indefinitely.
func (c *Candidate) tryAcquire(now time.Time, shard uint32, st *shardState, out *outbox) {
	if c.acquireStopped && !st.requesting {
		return
	}
	if now.Before(st.handoverUntil) {
		c.requestHandover(now, shard, st, out)
		return
	}
	if st.requesting {
		if now.Before(st.nextRequest) {
			return
		}
		c.abandonRound(now, shard, st, out)
		return
	}
	if c.leaderKnown(now, shard, st) {
		st.noLeaderSince = time.Time{}
		st.failedRounds = 0
		return
	}
	if st.noLeaderSince.IsZero() {
		st.noLeaderSince = now
	}
	wait := time.Duration(c.unsuspectedRank(shard, st)) * RenewInterval
	due := !now.Before(st.noLeaderSince.Add(wait)) && !now.Before(st.nextRequest)
	if due {
		st.requesting = true
		c.request(now, shard, st, out)
	}
}

// requestHandover requests a shard whose leader is handing it over to this
// candidate.
func (c *Candidate) requestHandover(now time.Time, shard uint32, st *shardState, out *outbox) {
	if st.requesting && now.Before(st.lastRequest.Add(HandoverRetryInterval)) {
		return
	}
	st.requesting = true
	c.request(now, shard, st, out)
}

// request adds the shard to the requests to all its voters.
func (c *Candidate) request(now time.Time, shard uint32, st *shardState, out *outbox) {
	st.lastRequest = now
	st.nextRequest = now.Add(RenewInterval)
	for _, m := range c.placement.Voters(shard) {
		out.to(m.ID).Shards = append(out.to(m.ID).Shards, shard)
	}
}

// abandonRound drops the promises of a round that got no quorum.
func (c *Candidate) abandonRound(now time.Time, shard uint32, st *shardState, out *outbox) {
	for _, m := range c.placement.Voters(shard) {
		out.to(m.ID).Drops = append(out.to(m.ID).Drops, Drop{Shard: shard})
	}
	st.requesting = false
	st.failedRounds++
	st.ignoreUntil = out.sent
	st.promises = make(map[string]receivedPromise)
	st.nextRequest = now.Add(c.backoff(shard, st))
}

// backoff returns the time until the next round. It grows with the rank and the
// failed rounds and differs between hosts, so that two candidates that split the
// voters do not collide again in every round.
func (c *Candidate) backoff(shard uint32, st *shardState) time.Duration {
	steps := uint64(st.rank + min(st.failedRounds, 4))
	spread := rendezvous.Hash(c.id.Host) ^ ShardKey(shard+uint32(st.failedRounds)*rendezvous.ShardCount)
	return time.Duration((spread>>32)%(steps+1)) * RenewInterval / 2
}

// unsuspectedRank returns the number of better ranked members that are not
// suspected.
func (c *Candidate) unsuspectedRank(shard uint32, st *shardState) int {
	rank := 0
	for _, m := range c.placement.Voters(shard)[:st.rank] {
		if !c.suspected[m.ID] {
			rank++
		}
	}
	return rank
}

// leaderKnown reports whether another leader is known from a recent refusal or
// from the voter of this process.
func (c *Candidate) leaderKnown(now time.Time, shard uint32, st *shardState) bool {
	if now.Before(st.leaderKnownUntil) {
		return true
	}
	if c.local == nil {
		return false
	}
	host, ok := c.local.Leader(now, shard)
	return ok && host != c.id.Host
}

// OnReply processes the reply of a voter. Replies to another incarnation of the
// process are ignored, as are promises for abandoned or earlier requests.
func (c *Candidate) OnReply(now time.Time, r PromiseReply) {
	if r.Candidate != c.id {
		return
	}
	for _, shard := range r.Promised {
		c.onPromise(now, r, shard)
	}
	for _, f := range r.Refused {
		c.onRefusal(now, r, f)
	}
}

func (c *Candidate) onPromise(now time.Time, r PromiseReply, shard uint32) {
	st := c.shards[shard]
	if st == nil || r.Sent <= st.ignoreUntil {
		return
	}
	if r.Sent <= st.promises[r.Voter].sent {
		return
	}
	st.promises[r.Voter] = receivedPromise{
		sent:  r.Sent,
		until: c.started.Add(r.Sent).Add(CandidateTerm),
	}
	c.updateTenure(now, shard, st)
}

func (c *Candidate) onRefusal(now time.Time, r PromiseReply, f Refusal) {
	st := c.shards[f.Shard]
	if st == nil || f.Leader == "" || f.Leader == c.id.Host {
		return
	}
	if !st.holds(now) && !now.Before(st.handoverUntil) {
		st.leaderKnownUntil = now.Add(RenewInterval)
	}
}

// updateTenure extends or shortens the tenure to the time until which a quorum of
// the current voters promises the shard. Without a tenure it starts one if that
// time is at least MinTenure away.
func (c *Candidate) updateTenure(now time.Time, shard uint32, st *shardState) {
	until, ok := c.quorumExpiry(shard, st)
	if st.holds(now) {
		st.tenure.Until = until
		return
	}
	if !ok || until.Sub(now) < MinTenure || st.belowMinTenure(now) {
		return
	}
	st.requesting = false
	st.handoverUntil = time.Time{}
	st.failedRounds = 0
	c.lastEpoch++
	st.tenure = Tenure{Epoch: c.lastEpoch, Since: now, Until: until}
}

// quorumExpiry returns the time until which promises of a quorum are in force; ok
// is false if no quorum has promised.
func (c *Candidate) quorumExpiry(shard uint32, st *shardState) (time.Time, bool) {
	voters := c.placement.Voters(shard)
	quorum := Quorum(len(voters))
	var ends [MaxVoters]time.Time
	n := 0
	for _, m := range voters {
		if p, ok := st.promises[m.ID]; ok {
			ends[n] = p.until
			n++
		}
	}
	if n < quorum || quorum == 0 {
		return time.Time{}, false
	}
	slices.SortFunc(ends[:n], func(a, b time.Time) int { return b.Compare(a) })
	return ends[quorum-1], true
}

// Release ends the tenure of a shard immediately and returns the messages to its
// voters, which then reserve the shard for the host to, unless that is "". It
// changes nothing and returns false if the shard is not held or the tenure started
// less than MinTenure ago; in the latter case call it again later.
func (c *Candidate) Release(now time.Time, shard uint32, to string) ([]Release, bool) {
	st := c.shards[shard]
	if st == nil || !st.holds(now) || st.belowMinTenure(now) {
		return nil, false
	}
	sent := c.nextSendTime(now)
	drops := []Drop{{Shard: shard, To: to}}
	var releases []Release
	for _, m := range c.placement.Voters(shard) {
		releases = append(releases, Release{Voter: m.ID, Candidate: c.id, Sent: sent, Drops: drops})
	}
	st.ignoreUntil = sent
	st.promises = make(map[string]receivedPromise)
	st.tenure.Until = now
	st.handoverUntil = time.Time{}
	st.leaderKnownUntil = now.Add(PromiseTerm)
	return releases, true
}

func (st *shardState) holds(now time.Time) bool {
	return now.Before(st.tenure.Until)
}

// belowMinTenure reports whether the latest tenure, ended or not, started less
// than MinTenure ago. Until then no candidate, including this one, starts another
// tenure of the shard.
func (st *shardState) belowMinTenure(now time.Time) bool {
	return st.tenure.Epoch > 0 && now.Sub(st.tenure.Since) < MinTenure
}

// nextSendTime returns a strictly increasing time since the start for PromiseRequest.Sent.
func (c *Candidate) nextSendTime(now time.Time) time.Duration {
	c.lastSent = max(now.Sub(c.started), c.lastSent+1)
	return c.lastSent
}

// outbox collects the requests of one Tick by voter.
type outbox struct {
	id    CandidateID
	sent  time.Duration
	hosts []string
	byID  map[string]*PromiseRequest
}

func newOutbox(c *Candidate, now time.Time) *outbox {
	return &outbox{id: c.id, sent: c.nextSendTime(now), byID: make(map[string]*PromiseRequest)}
}

func (o *outbox) to(host string) *PromiseRequest {
	if req := o.byID[host]; req != nil {
		return req
	}
	req := &PromiseRequest{Voter: host, Candidate: o.id, Sent: o.sent}
	o.byID[host] = req
	o.hosts = append(o.hosts, host)
	return req
}

func (o *outbox) messages() []PromiseRequest {
	requests := make([]PromiseRequest, 0, len(o.hosts))
	for _, host := range o.hosts {
		requests = append(requests, *o.byID[host])
	}
	return requests
}
