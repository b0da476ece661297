package lease

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Tenure is one uninterrupted hold of a shard.
type Tenure struct {
	Epoch uint64    // counts the tenures of this candidate over all shards, from 1
	Since time.Time // start of the tenure
	Until time.Time // end, unless it is renewed
}

// vote is the latest promise of one witness.
type vote struct {
	sent  time.Duration // of the request that was promised
	until time.Time     // end of the promise as the candidate counts it
}

// claim is what a candidate knows of one shard that it is ranked for.
type claim struct {
	rank     int
	votes    map[string]vote
	tenure   Tenure
	ignore   time.Duration // replies to requests sent up to here do not count
	asked    time.Time     // when the shard was asked for last
	nextAsk  time.Time
	asking   bool      // a round without a tenure is under way
	failures int       // rounds in a row that got no quorum
	quiet    time.Time // since when no keeper is known; zero if one is known
	seen     time.Time // until when a refusal makes another keeper known
	invited  time.Time // until when a keeper hands the shard over to this candidate
}

// Candidate asks witnesses for the shards of one process. One goroutine owns
// it.
type Candidate struct {
	id        CandidateID
	started   time.Time
	placement *Placement
	local     *Witness
	claims    map[uint32]*claim
	suspected map[string]bool
	leaving   bool
	lastSent  time.Duration
	lastEpoch uint64
}

// NewCandidate returns the candidate of a process that starts now. The local
// witness tells which keepers other candidates already have; it may be nil. The
// placement is shared with the caller, who calls MembersChanged after each
// change.
func NewCandidate(id CandidateID, now time.Time, p *Placement, local *Witness) *Candidate {
	c := &Candidate{id: id, started: now, placement: p, local: local, claims: make(map[uint32]*claim)}
	c.MembersChanged(now)
	return c
}

// MembersChanged adapts to a changed placement. Promises of hosts that are no
// longer witnesses do not count.
func (c *Candidate) MembersChanged(now time.Time) {
	for shard := range uint32(rendezvous.ShardCount) {
		rank := c.placement.Rank(shard, c.id.Host)
		cl := c.claims[shard]
		ranked := rank >= 0 && rank < CandidateRanks
		if cl == nil && !ranked {
			continue
		}
		if cl == nil {
			cl = &claim{votes: make(map[string]vote), ignore: c.lastSent}
			c.claims[shard] = cl
		}
		cl.rank = rank
		c.recount(now, shard, cl)
		if !ranked && !cl.holds(now) && !cl.young(now) {
			delete(c.claims, shard)
		}
	}
}

// SetSuspected tells which members seem to be down. They are passed over when a
// candidate works out how long to wait for better ranks.
func (c *Candidate) SetSuspected(hosts map[string]bool) {
	c.suspected = hosts
}

// Leave stops asking for shards that are not held, for a planned stop. Shards
// that are held are renewed until Release.
func (c *Candidate) Leave() {
	c.leaving = true
}

// Holds tells whether the candidate keeps the shard at this moment. Check it at
// each use, with a time read after the event that is decided on.
func (c *Candidate) Holds(now time.Time, shard uint32) bool {
	cl := c.claims[shard]
	return cl != nil && cl.holds(now)
}

// Epoch returns the number of the present tenure, 0 when the candidate does not
// hold the shard.
func (c *Candidate) Epoch(now time.Time, shard uint32) uint64 {
	t, _ := c.Tenure(now, shard)
	return t.Epoch
}

// Tenure returns the present tenure; ok is false when the candidate does not
// hold the shard.
func (c *Candidate) Tenure(now time.Time, shard uint32) (t Tenure, ok bool) {
	cl := c.claims[shard]
	if cl == nil || !cl.holds(now) {
		return Tenure{}, false
	}
	return cl.tenure, true
}

// Held returns the shards held now in ascending order.
func (c *Candidate) Held(now time.Time) []uint32 {
	var held []uint32
	for shard, cl := range c.claims {
		if cl.holds(now) {
			held = append(held, shard)
		}
	}
	slices.Sort(held)
	return held
}

// Displaced returns the shards held now for which the process is no longer
// ranked as a candidate. They are to be handed over and released; they are not
// renewed.
func (c *Candidate) Displaced(now time.Time) []uint32 {
	var displaced []uint32
	for _, shard := range c.Held(now) {
		if rank := c.claims[shard].rank; rank < 0 || rank >= CandidateRanks {
			displaced = append(displaced, shard)
		}
	}
	return displaced
}

// Successor returns the best ranked host other than this one that is not
// suspected, to which a shard is handed over.
func (c *Candidate) Successor(shard uint32) (string, bool) {
	for i, m := range c.placement.Witnesses(shard) {
		if i >= CandidateRanks {
			break
		}
		if m.ID != c.id.Host && !c.suspected[m.ID] {
			return m.ID, true
		}
	}
	return "", false
}

// Invite makes the candidate ask for a shard at the next Tick, because its
// keeper hands it over. It asks again every InviteRetry: a request that reaches
// a witness before the keeper's release is refused there.
func (c *Candidate) Invite(now time.Time, shard uint32) {
	if cl := c.claims[shard]; cl != nil {
		cl.invited = now.Add(ReserveTime)
		cl.seen = time.Time{}
	}
}

// Invited tells whether a shard that is handed over to this candidate is not
// held yet. Call Tick every InviteRetry meanwhile.
func (c *Candidate) Invited(now time.Time) bool {
	for _, cl := range c.claims {
		if now.Before(cl.invited) && !cl.holds(now) {
			return true
		}
	}
	return false
}

// Tick returns the messages that are due, one for each witness. Call it at
// least every RenewInterval/5.
func (c *Candidate) Tick(now time.Time) []PromiseRequest {
	out := newOutbox(c, now)
	for shard := range uint32(rendezvous.ShardCount) {
		cl := c.claims[shard]
		if cl == nil {
			continue
		}
		if cl.holds(now) {
			c.renew(now, shard, cl, out)
			continue
		}
		if cl.rank < 0 || cl.rank >= CandidateRanks {
			continue
		}
		c.compete(now, shard, cl, out)
	}
	return out.messages()
}

func (c *Candidate) renew(now time.Time, shard uint32, cl *claim, out *outbox) {
	if cl.rank < 0 || cl.rank >= CandidateRanks || now.Before(cl.nextAsk) {
		return
	}
	c.ask(now, shard, cl, out)
	cl.nextAsk = c.nextRenewal(now)
}

// nextRenewal returns the next multiple of RenewInterval since the start, so
// that the shards of a candidate are renewed together, in one message for each
// witness.
func (c *Candidate) nextRenewal(now time.Time) time.Time {
	rounds := now.Sub(c.started)/RenewInterval + 1
	return c.started.Add(rounds * RenewInterval)
}

// compete asks for a shard without a known keeper. A round that got no quorum
// is given up, so that rival candidates do not block each other for good.
func (c *Candidate) compete(now time.Time, shard uint32, cl *claim, out *outbox) {
	if c.leaving && !cl.asking {
		return
	}
	if now.Before(cl.invited) {
		c.followInvitation(now, shard, cl, out)
		return
	}
	if cl.asking {
		if now.Before(cl.nextAsk) {
			return
		}
		c.giveUp(now, shard, cl, out)
		return
	}
	if c.keeperKnown(now, shard, cl) {
		cl.quiet = time.Time{}
		cl.failures = 0
		return
	}
	if cl.quiet.IsZero() {
		cl.quiet = now
	}
	wait := time.Duration(c.liveRank(shard, cl)) * RenewInterval
	due := !now.Before(cl.quiet.Add(wait)) && !now.Before(cl.nextAsk)
	if due {
		cl.asking = true
		c.ask(now, shard, cl, out)
	}
}

func (c *Candidate) followInvitation(now time.Time, shard uint32, cl *claim, out *outbox) {
	if cl.asking && now.Before(cl.asked.Add(InviteRetry)) {
		return
	}
	cl.asking = true
	c.ask(now, shard, cl, out)
}

func (c *Candidate) ask(now time.Time, shard uint32, cl *claim, out *outbox) {
	cl.asked = now
	cl.nextAsk = now.Add(RenewInterval)
	for _, m := range c.placement.Witnesses(shard) {
		out.to(m.ID).Shards = append(out.to(m.ID).Shards, shard)
	}
}

func (c *Candidate) giveUp(now time.Time, shard uint32, cl *claim, out *outbox) {
	for _, m := range c.placement.Witnesses(shard) {
		out.to(m.ID).Drops = append(out.to(m.ID).Drops, Drop{Shard: shard})
	}
	cl.asking = false
	cl.failures++
	cl.ignore = out.sent
	cl.votes = make(map[string]vote)
	cl.nextAsk = now.Add(c.backoff(shard, cl))
}

// backoff grows with the rank and the failures and differs between hosts, so
// that two candidates that split the witnesses do not meet again every round.
func (c *Candidate) backoff(shard uint32, cl *claim) time.Duration {
	steps := uint64(cl.rank + min(cl.failures, 4))
	spread := rendezvous.Hash(c.id.Host) ^ ShardKey(shard+uint32(cl.failures)*rendezvous.ShardCount)
	return time.Duration((spread>>32)%(steps+1)) * RenewInterval / 2
}

// liveRank counts the better ranked members that are not suspected.
func (c *Candidate) liveRank(shard uint32, cl *claim) int {
	rank := 0
	for _, m := range c.placement.Witnesses(shard)[:cl.rank] {
		if !c.suspected[m.ID] {
			rank++
		}
	}
	return rank
}

func (c *Candidate) keeperKnown(now time.Time, shard uint32, cl *claim) bool {
	if now.Before(cl.seen) {
		return true
	}
	if c.local == nil {
		return false
	}
	host, ok := c.local.Keeper(now, shard)
	return ok && host != c.id.Host
}

// OnReply takes in the answer of a witness. Answers to another run of the
// process, and late ones, have no effect.
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
	cl := c.claims[shard]
	if cl == nil || r.Sent <= cl.ignore {
		return
	}
	if r.Sent <= cl.votes[r.Witness].sent {
		return
	}
	cl.votes[r.Witness] = vote{
		sent:  r.Sent,
		until: c.started.Add(r.Sent).Add(HoldTime),
	}
	c.recount(now, shard, cl)
}

func (c *Candidate) onRefusal(now time.Time, r PromiseReply, f Refused) {
	cl := c.claims[f.Shard]
	if cl == nil || f.Keeper == "" || f.Keeper == c.id.Host {
		return
	}
	if !cl.holds(now) && !now.Before(cl.invited) {
		cl.seen = now.Add(RenewInterval)
	}
}

// recount finds until when a quorum of the present witnesses promises, and
// starts a tenure if that is at least MinTenure away.
func (c *Candidate) recount(now time.Time, shard uint32, cl *claim) {
	until, ok := c.quorumUntil(shard, cl)
	if cl.holds(now) {
		cl.tenure.Until = until
		return
	}
	if !ok || until.Sub(now) < MinTenure || cl.young(now) {
		return
	}
	cl.asking = false
	cl.invited = time.Time{}
	cl.failures = 0
	c.lastEpoch++
	cl.tenure = Tenure{Epoch: c.lastEpoch, Since: now, Until: until}
}

func (c *Candidate) quorumUntil(shard uint32, cl *claim) (time.Time, bool) {
	witnesses := c.placement.Witnesses(shard)
	quorum := Quorum(len(witnesses))
	var ends [MaxWitnesses]time.Time
	n := 0
	for _, m := range witnesses {
		if v, ok := cl.votes[m.ID]; ok {
			ends[n] = v.until
			n++
		}
	}
	if n < quorum || quorum == 0 {
		return time.Time{}, false
	}
	slices.SortFunc(ends[:n], func(a, b time.Time) int { return b.Compare(a) })
	return ends[quorum-1], true
}

// Release ends the tenure of a shard at once and names the successor, "" to
// leave it open. It returns false, and changes nothing, when the shard is not
// held or the tenure is younger than MinTenure; wait and call again.
func (c *Candidate) Release(now time.Time, shard uint32, to string) ([]Release, bool) {
	cl := c.claims[shard]
	if cl == nil || !cl.holds(now) || cl.young(now) {
		return nil, false
	}
	sent := c.nextSent(now)
	drops := []Drop{{Shard: shard, To: to}}
	var releases []Release
	for _, m := range c.placement.Witnesses(shard) {
		releases = append(releases, Release{Witness: m.ID, Candidate: c.id, Sent: sent, Drops: drops})
	}
	cl.ignore = sent
	cl.votes = make(map[string]vote)
	cl.tenure.Until = now
	cl.invited = time.Time{}
	cl.seen = now.Add(Term)
	return releases, true
}

func (cl *claim) holds(now time.Time) bool {
	return now.Before(cl.tenure.Until)
}

// young tells whether the latest tenure, ended or not, started less than
// MinTenure ago. No other tenure starts meanwhile, not even of this candidate.
func (cl *claim) young(now time.Time) bool {
	return cl.tenure.Epoch > 0 && now.Sub(cl.tenure.Since) < MinTenure
}

func (c *Candidate) nextSent(now time.Time) time.Duration {
	c.lastSent = max(now.Sub(c.started), c.lastSent+1)
	return c.lastSent
}

// outbox collects the messages of one Tick by witness.
type outbox struct {
	id    CandidateID
	sent  time.Duration
	hosts []string
	byID  map[string]*PromiseRequest
}

func newOutbox(c *Candidate, now time.Time) *outbox {
	return &outbox{id: c.id, sent: c.nextSent(now), byID: make(map[string]*PromiseRequest)}
}

func (o *outbox) to(host string) *PromiseRequest {
	if req := o.byID[host]; req != nil {
		return req
	}
	req := &PromiseRequest{Witness: host, Candidate: o.id, Sent: o.sent}
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
