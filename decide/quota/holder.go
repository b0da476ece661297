package quota

import (
	"math"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	// waitingGrantTTL is the lifetime of a grant for waiting requests at a holder with
	// little demand. The next token request of such a holder, which reports what was
	// spent, may be much later; until then the leader counts the tokens as outstanding.
	waitingGrantTTL = 100 * time.Millisecond

	// tokenRequestTimeout is the time after which an unanswered token request is
	// abandoned.
	tokenRequestTimeout = 100 * time.Millisecond

	// hedgeDelay is the time after which requests that wait for the answer of one part
	// request a token of another part as well. It is several round trips between zones.
	hedgeDelay = 10 * time.Millisecond

	// unreachableBackoff is how long a part without a reachable leader gets no
	// token requests. It is short enough for several rounds within maxWait.
	unreachableBackoff = 50 * time.Millisecond

	// maxRedirects bounds how many processes are tried in succession to find the leader
	// of a part: each candidate of its shard once.
	maxRedirects = lease.MaxCandidates

	// maxWait is the longest time that a request waits for a token. A leader counts
	// tokens that were spent less than about 100 ms ago as outstanding, so its bucket
	// lags behind one that sees every request; waiting compensates for the lag.
	maxWait = 250 * time.Millisecond

	// demandAveragingTime is the time over which demand is averaged, and
	// minSampleInterval the least time between two samples.
	demandAveragingTime = 500 * time.Millisecond
	minSampleInterval   = 50 * time.Millisecond

	// prefetchHorizon is how far ahead of demand tokens are requested.
	prefetchHorizon = 100 * time.Millisecond

	// minPrefetchRate is the demand in requests per second from which one token is
	// prefetched; below it most prefetched tokens would expire unspent. From
	// extraPrefetchRate on two more are prefetched, because several requests can
	// arrive during one round trip.
	minPrefetchRate   = 2.0
	extraPrefetchRate = 5.0

	// returnLeadTime is how long before the expiry of a grant its unspent tokens are
	// returned, so that they are not lost.
	returnLeadTime = 250 * time.Millisecond
)

// RequestDecision is the decision for a request that waited.
type RequestDecision struct {
	ID       uint64
	Decision Decision // Admit, Refuse or Unavailable
}

// waiter is a request that waits for a token.
type waiter struct {
	id       uint64
	deadline time.Duration
}

// grantInfo identifies the grant in a slot of the token cache.
type grantInfo struct {
	seq        uint64
	version    uint64
	part       int8
	prefetched bool // requested ahead of demand, not only for waiting requests
}

// pendingRequest is the unanswered token request for a part; seq is 0 if there is none.
type pendingRequest struct {
	seq    uint64
	to     string // host that the request was sent to
	sentAt time.Duration
	ttl    time.Duration
	need   int
	extra  int
}

// partState is the state of one part at a holder.
type partState struct {
	pending      pendingRequest
	unusedSeq    uint64 // Seq of the latest request that was abandoned or whose grant was not used
	blockedUntil time.Duration
	denied       bool // the latest answer came from the leader, which had no token
	redirects    int
}

// Holder obtains and holds the tokens of one team in one process. It is owned by the
// control goroutine; traffic goroutines use its TokenCache. Times are durations since
// the base of the cache.
type Holder struct {
	team            string
	id              HolderID
	zoneHash        uint64 // selects the part that is tried first
	cache           *TokenCache
	directory       Directory
	limit           Limit
	minGrantVersion uint64 // grants of older versions are not used
	lastSeq         uint64
	slots           [slotCount]grantInfo
	parts           [MaxParts]partState
	waiters         []waiter
	inBusyList      bool          // whether Holders lists it as busy
	noPrefetchUntil time.Duration // no tokens are prefetched before this time

	demandRate   float64 // average recent demand in requests per second
	lastSampleAt time.Duration
	lastDemand   uint64 // demand counter of the cache at the last sample
}

// Directory tracks which process to send token requests for a shard to. lease.Directory
// implements it.
type Directory interface {
	Target(shard uint32) (host string, ok bool)
	OnLeader(shard uint32, host string)
	OnMiss(shard uint32, host, hint string)
}

// NewHolder returns a holder without tokens.
func NewHolder(id HolderID, zone, team string, l Limit, now time.Time, d Directory) *Holder {
	return &Holder{
		team:      team,
		id:        id,
		zoneHash:  rendezvous.Hash(zone),
		cache:     &TokenCache{base: now},
		limit:     l,
		directory: d,
	}
}

// TokenCache returns the part of the holder that traffic goroutines use.
func (h *Holder) TokenCache() *TokenCache {
	return h.cache
}

// Take spends a token if one is available locally.
func (h *Holder) Take(now time.Time) Decision {
	return h.cache.Take(now)
}

// SetLimit applies a limit unless the same or a higher version is already in force. If
// the burst decreases, tokens granted under older versions are dropped.
func (h *Holder) SetLimit(l Limit) {
	if l.Version <= h.limit.Version {
		return
	}
	if l.Burst < h.limit.Burst {
		h.minGrantVersion = l.Version
		h.dropOlder(l.Version)
	}
	h.limit = l
}

func (h *Holder) dropOlder(version uint64) {
	for i := range h.slots {
		if h.slots[i].version < version {
			h.cache.takeAll(i)
		}
	}
}

// Enqueue adds a request for which Take returned Pending to the queue of waiting
// requests. It returns Pending if the request waits; DecideWaiting then returns the
// decision with the same id.
func (h *Holder) Enqueue(now time.Time, id uint64, deadline time.Time) Decision {
	since := h.since(now)
	if len(h.waiters) == 0 {
		if _, ok := h.cache.spend(since); ok {
			return Admit
		}
	}
	if int64(since) < h.cache.refuseUntil.Load() || h.denied() && len(h.waiters) >= h.maxWaiters() {
		return Refuse
	}
	end := min(h.since(deadline), since+maxWait)
	h.waiters = append(h.waiters, waiter{id: id, deadline: end})
	return Pending
}

// DecideWaiting returns the decisions for waiting requests in the order of their
// arrival; undecided requests stay queued. Call it when NextTokenRequest has no more
// requests, and at the time of NextWake.
func (h *Holder) DecideWaiting(now time.Time) []RequestDecision {
	if len(h.waiters) == 0 {
		return nil
	}
	since := h.since(now)
	var decided []RequestDecision
	kept := h.waiters[:0]
	exhausted := h.exhausted()
	open := h.nextRequestTime()
	for _, w := range h.waiters {
		if since < w.deadline {
			if _, ok := h.cache.spend(since); ok {
				decided = append(decided, RequestDecision{ID: w.id, Decision: Admit})
				continue
			}
		}
		if since >= w.deadline || exhausted && (open >= w.deadline || len(kept) >= h.maxWaiters()) {
			decided = append(decided, RequestDecision{ID: w.id, Decision: h.waitFailure()})
			continue
		}
		kept = append(kept, w)
	}
	h.waiters = kept
	if exhausted && (open >= since+maxWait || len(kept) >= h.maxWaiters()) {
		h.cache.refuseUntil.Store(int64(open))
	}
	return decided
}

// maxWaiters returns how many requests may wait while the leaders have no token: one
// more than the rate of the whole fleet can serve within maxWait.
func (h *Holder) maxWaiters() int {
	return 1 + int(h.limit.Rate*maxWait.Seconds())
}

// NextTokenRequest returns the next token request that is due. Call it until ok is
// false: after Enqueue, OnGrant and an observed request, and at the time of NextWake.
func (h *Holder) NextTokenRequest(now time.Time) (req TokenRequest, ok bool) {
	since := h.since(now)
	h.sampleDemand(since)
	h.expireTokenRequests(since)
	part := h.requestablePart(since)
	if part < 0 {
		return TokenRequest{}, false
	}
	need := h.shortfall(since)
	extra := h.prefetchTokens(now)
	if need <= 0 && extra <= 0 {
		return TokenRequest{}, false
	}
	key := Key{Team: h.team, Part: part}
	to, ok := h.directory.Target(key.Shard())
	if !ok {
		return TokenRequest{}, false
	}
	return h.newTokenRequest(since, key, to, max(need, 0), extra), true
}

// OnGrant processes a grant. Only the answer to the pending token request of a part is
// used; the lifetime of the grant counts from the sending of the request.
func (h *Holder) OnGrant(now time.Time, g Grant) {
	if g.Holder != h.id || g.Key.Team != h.team || g.Key.Part < 0 || g.Key.Part >= MaxParts {
		return
	}
	p := &h.parts[g.Key.Part]
	if g.Seq == 0 || g.Seq != p.pending.seq {
		return
	}
	pending := p.pending
	p.pending = pendingRequest{}
	since := h.since(now)
	if g.Status == NotLeader || g.Status == NoLimit {
		h.onMiss(since, g, pending.to)
		return
	}
	h.directory.OnLeader(g.Key.Shard(), pending.to)
	p.redirects = 0
	if g.Tokens > 0 {
		h.storeGrant(since, g, pending)
	}
	p.denied = g.Status == Empty || g.Status == Busy
	if g.Tokens < pending.need {
		p.blockedUntil = since + g.RetryAfter
	}
	if g.Tokens < pending.need+pending.extra {
		h.noPrefetchUntil = since + prefetchHorizon
	}
}

// storeGrant stores the tokens of a grant in a free slot. A grant that expired, has a
// version that is too old or finds no free slot is reported as unused with the next
// token request.
func (h *Holder) storeGrant(since time.Duration, g Grant, pending pendingRequest) {
	expiry := pending.sentAt + pending.ttl
	slot := h.freeSlot(since)
	if since >= expiry || g.Version < h.minGrantVersion || slot < 0 {
		h.parts[g.Key.Part].unusedSeq = g.Seq
		return
	}
	h.slots[slot] = grantInfo{
		seq:        g.Seq,
		version:    g.Version,
		part:       int8(g.Key.Part),
		prefetched: pending.ttl > waitingGrantTTL,
	}
	h.cache.store(slot, g.Tokens, expiry)
	h.cache.refuseUntil.Store(0)
}

func (h *Holder) onMiss(since time.Duration, g Grant, host string) {
	h.directory.OnMiss(g.Key.Shard(), host, g.Hint)
	h.parts[g.Key.Part].recordMiss(since)
}

// recordMiss records that the process that got the request is not the leader or did not
// answer. After maxRedirects misses the part gets no token requests for
// unreachableBackoff.
func (p *partState) recordMiss(since time.Duration) {
	p.denied = false
	p.redirects++
	if p.redirects >= maxRedirects {
		p.redirects = 0
		p.blockedUntil = since + unreachableBackoff
	}
}

// NextReturn returns the next grant whose unspent tokens are to be returned to the
// leader. Call it until ok is false, at the time of NextWake.
func (h *Holder) NextReturn(now time.Time) (r Return, ok bool) {
	if len(h.waiters) > 0 {
		return Return{}, false
	}
	since := h.since(now)
	for slot := range h.slots {
		if !h.returnable(slot, since) {
			continue
		}
		info := h.slots[slot]
		tokens := h.cache.takeAll(slot)
		if tokens == 0 {
			continue
		}
		return Return{
			Key:    Key{Team: h.team, Part: int(info.part)},
			Holder: h.id,
			Left:   UnspentGrant{Seq: info.seq, Tokens: tokens},
		}, true
	}
	return Return{}, false
}

// returnable reports whether the tokens of a slot are to be returned: demand has
// stopped, or the grant was prefetched and expires soon.
func (h *Holder) returnable(slot int, since time.Duration) bool {
	if h.cache.unspentInSlot(slot, since) == 0 {
		return false
	}
	if h.demandRate < minPrefetchRate {
		return true
	}
	return h.slots[slot].prefetched && since >= h.cache.expiry(slot)-returnLeadTime
}

// NextWake returns the time at which the holder must be processed even without an
// event; ok is false if it is idle.
func (h *Holder) NextWake(now time.Time) (at time.Time, ok bool) {
	if h.idle(now) {
		return time.Time{}, false
	}
	since := h.since(now)
	next := since + minSampleInterval
	for i := range h.parts {
		if req := h.parts[i].pending; req.seq != 0 {
			next = min(next, req.nextDeadline(since))
		}
	}
	if len(h.waiters) > 0 {
		next = min(next, max(h.nextRequestTime(), since+time.Millisecond))
	}
	for _, w := range h.waiters {
		next = min(next, w.deadline)
	}
	return h.cache.base.Add(next), true
}

// idle reports whether the holder has no tokens, token requests, waiting requests or
// recent demand.
func (h *Holder) idle(now time.Time) bool {
	if len(h.waiters) > 0 || h.demandRate >= 0.1 || h.cache.Unspent(now) > 0 {
		return false
	}
	for i := range h.parts {
		if h.parts[i].pending.seq != 0 {
			return false
		}
	}
	return h.cache.demand.Load() == h.lastDemand
}

func (h *Holder) since(now time.Time) time.Duration {
	return now.Sub(h.cache.base)
}

// sampleDemand updates the average of the demand.
func (h *Holder) sampleDemand(since time.Duration) {
	span := since - h.lastSampleAt
	if span < minSampleInterval {
		return
	}
	seen := h.cache.demand.Load()
	current := float64(seen-h.lastDemand) / span.Seconds()
	weight := 1 - math.Exp(-float64(span)/float64(demandAveragingTime))
	h.demandRate += weight * (current - h.demandRate)
	h.lastSampleAt, h.lastDemand = since, seen
}

// expireTokenRequests abandons token requests that were not answered within
// tokenRequestTimeout. Later grants for them are ignored.
func (h *Holder) expireTokenRequests(since time.Duration) {
	for i := range h.parts {
		p := &h.parts[i]
		if p.pending.seq == 0 || since < p.pending.sentAt+tokenRequestTimeout {
			continue
		}
		h.directory.OnMiss(Key{Team: h.team, Part: i}.Shard(), p.pending.to, "")
		p.unusedSeq = p.pending.seq
		p.pending = pendingRequest{}
		p.recordMiss(since)
	}
}

// shortfall returns the number of waiting requests for which no token is available or
// requested. A token request that is unanswered after hedgeDelay no longer counts.
// Unspent tokens count, because a leader in the same process answers before the
// requests are decided.
func (h *Holder) shortfall(since time.Duration) int {
	if len(h.waiters) == 0 {
		return 0
	}
	need := len(h.waiters)
	for slot := range h.slots {
		need -= h.cache.unspentInSlot(slot, since)
	}
	for i := range h.parts {
		req := h.parts[i].pending
		if req.seq != 0 && since < req.sentAt+hedgeDelay {
			need -= req.need
		}
	}
	return need
}

// prefetchTokens returns how many tokens to request ahead of demand: none while enough
// are left or another token request is pending.
func (h *Holder) prefetchTokens(now time.Time) int {
	if h.demandRate < minPrefetchRate || h.since(now) < h.noPrefetchUntil {
		return 0
	}
	for i := range h.parts {
		if h.parts[i].pending.seq != 0 {
			return 0
		}
	}
	want := int(math.Ceil(h.demandRate * prefetchHorizon.Seconds()))
	low := 0
	if h.demandRate >= extraPrefetchRate {
		want += 2
		low = max(1, want/4)
	}
	left := h.cache.Unspent(now)
	if left > low {
		return 0
	}
	return want - left
}

// requestablePart returns the first part that has no pending token request and is not
// blocked, or -1 if there is none. The order starts at the part selected by the zone of
// the process.
func (h *Holder) requestablePart(since time.Duration) int {
	if h.freeSlot(since) < 0 {
		return -1
	}
	n := Parts(h.limit.Rate, h.limit.Burst)
	for i := range n {
		part := (int(h.zoneHash%uint64(n)) + i) % n
		p := &h.parts[part]
		if p.pending.seq == 0 && since >= p.blockedUntil {
			return part
		}
	}
	return -1
}

func (h *Holder) newTokenRequest(since time.Duration, key Key, to string, need, extra int) TokenRequest {
	ttl := waitingGrantTTL
	if extra > 0 {
		ttl = MaxGrantTTL
	}
	h.lastSeq++
	p := &h.parts[key.Part]
	p.pending = pendingRequest{seq: h.lastSeq, to: to, sentAt: since, ttl: ttl, need: need, extra: extra}
	req := TokenRequest{
		To:     to,
		Key:    key,
		Holder: h.id,
		Seq:    h.lastSeq,
		Need:   need,
		Extra:  extra,
		TTL:    ttl,
		Held:   h.unspentGrants(since, key.Part),
		Void:   p.unusedSeq,
	}
	p.unusedSeq = 0
	return req
}

// unspentGrants returns the grants of a part that have unspent tokens.
func (h *Holder) unspentGrants(since time.Duration, part int) []UnspentGrant {
	var held []UnspentGrant
	for i := range h.slots {
		if int(h.slots[i].part) != part {
			continue
		}
		if tokens := h.cache.unspentInSlot(i, since); tokens > 0 {
			held = append(held, UnspentGrant{Seq: h.slots[i].seq, Tokens: tokens})
		}
	}
	return held
}

// freeSlot returns a slot without usable tokens, or -1.
func (h *Holder) freeSlot(since time.Duration) int {
	for i := range h.slots {
		if h.cache.unspentInSlot(i, since) == 0 {
			return i
		}
	}
	return -1
}

// exhausted reports whether the leaders of all parts have no token and no token request
// is pending. While the leader of a part is not reachable it is unknown whether the
// team is over its rate.
func (h *Holder) exhausted() bool {
	for i := range h.parts {
		if h.parts[i].pending.seq != 0 {
			return false
		}
	}
	return h.denied()
}

// denied reports whether the leaders of all parts answered that they have no token.
func (h *Holder) denied() bool {
	for i := range Parts(h.limit.Rate, h.limit.Burst) {
		if !h.parts[i].denied {
			return false
		}
	}
	return true
}

// waitFailure returns the decision for a request that can wait no longer.
func (h *Holder) waitFailure() Decision {
	if h.denied() {
		return Refuse
	}
	return Unavailable
}

// nextRequestTime returns when tokens of the first part may be requested again. For a
// part with a pending request this is at the latest when that request is abandoned.
func (h *Holder) nextRequestTime() time.Duration {
	open := h.parts[0].nextRequestTime()
	for i := 1; i < Parts(h.limit.Rate, h.limit.Burst); i++ {
		open = min(open, h.parts[i].nextRequestTime())
	}
	return open
}

func (p *partState) nextRequestTime() time.Duration {
	if p.pending.seq != 0 {
		return p.pending.sentAt + tokenRequestTimeout
	}
	return p.blockedUntil
}

// nextDeadline returns when an unanswered token request is hedged or, after that,
// abandoned.
func (r pendingRequest) nextDeadline(since time.Duration) time.Duration {
	if hedge := r.sentAt + hedgeDelay; since < hedge {
		return hedge
	}
	return r.sentAt + tokenRequestTimeout
}
