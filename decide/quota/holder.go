package quota

import (
	"math"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	// urgentTTL is the life of a grant for requests that wait, at holders with
	// little demand. Their next ask, which reports what was spent, may be far
	// away; until then the keeper counts the tokens as outstanding.
	urgentTTL = 100 * time.Millisecond

	// askTimeout is the time after which an unanswered ask is given up.
	askTimeout = 100 * time.Millisecond

	// hedgeAfter is the time after which requests that wait for one part ask
	// another one as well. It is several round trips between zones.
	hedgeAfter = 10 * time.Millisecond

	// missBlock is the time for which a part without a reachable keeper is not
	// asked. Requests wait for maxWait, so several rounds fit.
	missBlock = 50 * time.Millisecond

	// maxRedirects bounds how often another process is asked at once after one
	// that is not the keeper: each rank that may keep the shard once.
	maxRedirects = lease.MaxCandidates

	// maxWait is the longest time that a request waits for a token. A keeper
	// counts tokens that were spent less than about 100 ms ago as outstanding, so
	// its bucket runs behind one that sees every request; waiting makes up for it.
	maxWait = 250 * time.Millisecond

	// demandSpan is the time over which demand is averaged, and demandSample the
	// least time between two samples.
	demandSpan   = 500 * time.Millisecond
	demandSample = 50 * time.Millisecond

	// aheadSpan is how far ahead of demand tokens are asked for.
	aheadSpan = 100 * time.Millisecond

	// aheadMin is the demand in requests per second from which one token is asked
	// for ahead; with less most such tokens would expire. From aheadMore on two
	// more are kept, because requests meet during a round trip.
	aheadMin  = 2.0
	aheadMore = 5.0

	// returnBefore is the time before its expiry at which the rest of a grant is
	// returned, so that its tokens are not lost.
	returnBefore = 250 * time.Millisecond
)

// Settled is the decision for a request that waited.
type Settled struct {
	ID       uint64
	Decision Decision // Admit, Refuse or Unavailable
}

type waiter struct {
	id       uint64
	deadline time.Duration
}

// grantInfo says which grant fills a slot of the share.
type grantInfo struct {
	seq     uint64
	version uint64
	part    int8
	ahead   bool // asked for ahead of demand, not only for requests that wait
}

// pendingAsk is the unanswered ask of a part; seq is 0 without one.
type pendingAsk struct {
	seq   uint64
	to    string // host that was asked
	sent  time.Duration
	ttl   time.Duration
	need  int
	extra int
}

// partState is what a holder knows of one part.
type partState struct {
	ask       pendingAsk
	void      uint64 // the latest ask that was given up
	blocked   time.Duration
	denied    bool // the latest answer came from the keeper, which had no token
	redirects int
}

// Holder keeps the tokens of one team at one process. The control goroutine
// owns it; traffic goroutines use its Share. Times are durations since base.
type Holder struct {
	team       string
	id         HolderID
	first      uint64 // hash of the zone: chooses the part that is asked first
	share      *Share
	dir        Directory
	limit      Limit
	minVersion uint64 // grants of older versions are not used
	seq        uint64
	slots      [slotCount]grantInfo
	parts      [MaxParts]partState
	waiters    []waiter
	attended   bool          // listed as busy in its table
	aheadAfter time.Duration // when tokens may be asked for ahead of demand again

	rate     float64 // recent demand in requests per second
	sampled  time.Duration
	lastSeen uint64 // demand counter of the share at the last sample
}

// Directory knows which process to ask about a shard. lease.Directory implements
// it.
type Directory interface {
	Target(shard uint32) (host string, ok bool)
	OnKeeper(shard uint32, host string)
	OnMiss(shard uint32, host, hint string)
}

// NewHolder returns a holder without tokens.
func NewHolder(id HolderID, zone, team string, l Limit, now time.Time, d Directory) *Holder {
	return &Holder{
		team:  team,
		id:    id,
		first: rendezvous.Hash(zone),
		share: &Share{base: now},
		limit: l,
		dir:   d,
	}
}

// Share returns the part of the holder that traffic goroutines use.
func (h *Holder) Share() *Share {
	return h.share
}

// Take spends a token if there is one.
func (h *Holder) Take(now time.Time) Decision {
	return h.share.Take(now)
}

// SetLimit puts a limit in force unless a higher version already is. When the
// burst falls, tokens granted under older versions are dropped.
func (h *Holder) SetLimit(l Limit) {
	if l.Version <= h.limit.Version {
		return
	}
	if l.Burst < h.limit.Burst {
		h.minVersion = l.Version
		h.dropOlder(l.Version)
	}
	h.limit = l
}

func (h *Holder) dropOlder(version uint64) {
	for i := range h.slots {
		if h.slots[i].version < version {
			h.share.empty(i)
		}
	}
}

// Join queues a request that found no token (AskFirst). AskFirst means that it
// waits; Settle tells the decision. The id is returned by Settle.
func (h *Holder) Join(now time.Time, id uint64, deadline time.Time) Decision {
	since := h.since(now)
	if len(h.waiters) == 0 {
		if _, ok := h.share.spend(since); ok {
			return Admit
		}
	}
	if int64(since) < h.share.refuseUntil.Load() || h.denied() && len(h.waiters) >= h.room() {
		return Refuse
	}
	end := min(h.since(deadline), since+maxWait)
	h.waiters = append(h.waiters, waiter{id: id, deadline: end})
	return AskFirst
}

// Settle decides requests that wait, in the order of their arrival. Call it
// after NeedAsk has no more asks, and when Wake has come.
func (h *Holder) Settle(now time.Time) []Settled {
	if len(h.waiters) == 0 {
		return nil
	}
	since := h.since(now)
	var settled []Settled
	kept := h.waiters[:0]
	exhausted := h.exhausted()
	open := h.nextOpen()
	for _, w := range h.waiters {
		if since < w.deadline {
			if _, ok := h.share.spend(since); ok {
				settled = append(settled, Settled{ID: w.id, Decision: Admit})
				continue
			}
		}
		if since >= w.deadline || exhausted && (open >= w.deadline || len(kept) >= h.room()) {
			settled = append(settled, Settled{ID: w.id, Decision: h.refusal()})
			continue
		}
		kept = append(kept, w)
	}
	h.waiters = kept
	if exhausted && (open >= since+maxWait || len(kept) >= h.room()) {
		h.share.refuseUntil.Store(int64(open))
	}
	return settled
}

// room is how many requests may wait while the keepers have no token: as many as
// the rate of the whole fleet could serve in the time that they wait.
func (h *Holder) room() int {
	return 1 + int(h.limit.Rate*maxWait.Seconds())
}

// NeedAsk returns the next ask that is due. Call it until ok is false: after
// Join, OnGrant and an observed request, and when Wake has come.
func (h *Holder) NeedAsk(now time.Time) (ask Ask, ok bool) {
	since := h.since(now)
	h.sample(since)
	h.giveUpLate(since)
	part := h.askablePart(since)
	if part < 0 {
		return Ask{}, false
	}
	need := h.shortfall(since)
	extra := h.ahead(now)
	if need <= 0 && extra <= 0 {
		return Ask{}, false
	}
	key := Key{Team: h.team, Part: part}
	to, ok := h.dir.Target(key.Shard())
	if !ok {
		return Ask{}, false
	}
	return h.ask(since, key, to, max(need, 0), extra), true
}

// OnGrant takes in a grant. Only the answer to the pending ask of a part is
// used; its life counts from the moment the ask was sent.
func (h *Holder) OnGrant(now time.Time, g Grant) {
	if g.Holder != h.id || g.Key.Team != h.team || g.Key.Part < 0 || g.Key.Part >= MaxParts {
		return
	}
	p := &h.parts[g.Key.Part]
	if g.Seq == 0 || g.Seq != p.ask.seq {
		return
	}
	asked := p.ask
	p.ask = pendingAsk{}
	since := h.since(now)
	if g.Status == NotKeeper || g.Status == NoLimit {
		h.onMiss(since, g, asked.to)
		return
	}
	h.dir.OnKeeper(g.Key.Shard(), asked.to)
	p.redirects = 0
	if g.Tokens > 0 {
		h.put(since, g, asked)
	}
	p.denied = g.Status == Empty || g.Status == Busy
	if g.Tokens < asked.need {
		p.blocked = since + g.RetryAfter
	}
	if g.Tokens < asked.need+asked.extra {
		h.aheadAfter = since + aheadSpan
	}
}

func (h *Holder) put(since time.Duration, g Grant, asked pendingAsk) {
	expiry := asked.sent + asked.ttl
	slot := h.freeSlot(since)
	if since >= expiry || g.Version < h.minVersion || slot < 0 {
		h.parts[g.Key.Part].void = g.Seq
		return
	}
	h.slots[slot] = grantInfo{
		seq:     g.Seq,
		version: g.Version,
		part:    int8(g.Key.Part),
		ahead:   asked.ttl > urgentTTL,
	}
	h.share.put(slot, g.Tokens, expiry)
	h.share.refuseUntil.Store(0)
}

func (h *Holder) onMiss(since time.Duration, g Grant, host string) {
	h.dir.OnMiss(g.Key.Shard(), host, g.Hint)
	h.parts[g.Key.Part].miss(since)
}

// miss records that the process asked is not the keeper or did not answer. After
// as many misses as there are ranks no keeper is reachable for now.
func (p *partState) miss(since time.Duration) {
	p.denied = false
	p.redirects++
	if p.redirects >= maxRedirects {
		p.redirects = 0
		p.blocked = since + missBlock
	}
}

// NeedReturn returns the next grant whose rest is to be given back. Call it
// until ok is false, when Wake has come.
func (h *Holder) NeedReturn(now time.Time) (r Return, ok bool) {
	if len(h.waiters) > 0 {
		return Return{}, false
	}
	since := h.since(now)
	for slot := range h.slots {
		if !h.returnable(slot, since) {
			continue
		}
		info := h.slots[slot]
		tokens := h.share.empty(slot)
		if tokens == 0 {
			continue
		}
		return Return{
			Key:    Key{Team: h.team, Part: int(info.part)},
			Holder: h.id,
			Left:   Left{Seq: info.seq, Tokens: tokens},
		}, true
	}
	return Return{}, false
}

// returnable tells whether a grant will not be spent: demand has stopped, or
// the grant expires soon.
func (h *Holder) returnable(slot int, since time.Duration) bool {
	if h.share.left(slot, since) == 0 {
		return false
	}
	if h.rate < aheadMin {
		return true
	}
	return h.slots[slot].ahead && since >= h.share.expiry(slot)-returnBefore
}

// Wake returns when the holder needs attention without any event; ok is false
// when it is idle.
func (h *Holder) Wake(now time.Time) (at time.Time, ok bool) {
	if h.idle(now) {
		return time.Time{}, false
	}
	since := h.since(now)
	next := since + demandSample
	for i := range h.parts {
		if ask := h.parts[i].ask; ask.seq != 0 {
			next = min(next, ask.attention(since))
		}
	}
	if len(h.waiters) > 0 {
		next = min(next, max(h.nextOpen(), since+time.Millisecond))
	}
	for _, w := range h.waiters {
		next = min(next, w.deadline)
	}
	return h.share.base.Add(next), true
}

// idle tells whether the holder has neither tokens, asks, waiting requests nor
// recent demand.
func (h *Holder) idle(now time.Time) bool {
	if len(h.waiters) > 0 || h.rate >= 0.1 || h.share.Left(now) > 0 {
		return false
	}
	for i := range h.parts {
		if h.parts[i].ask.seq != 0 {
			return false
		}
	}
	return h.share.demand.Load() == h.lastSeen
}

func (h *Holder) since(now time.Time) time.Duration {
	return now.Sub(h.share.base)
}

// sample updates the average of demand.
func (h *Holder) sample(since time.Duration) {
	span := since - h.sampled
	if span < demandSample {
		return
	}
	seen := h.share.demand.Load()
	current := float64(seen-h.lastSeen) / span.Seconds()
	weight := 1 - math.Exp(-float64(span)/float64(demandSpan))
	h.rate += weight * (current - h.rate)
	h.sampled, h.lastSeen = since, seen
}

// giveUpLate ends asks without an answer; a grant that comes later is not used.
func (h *Holder) giveUpLate(since time.Duration) {
	for i := range h.parts {
		p := &h.parts[i]
		if p.ask.seq == 0 || since < p.ask.sent+askTimeout {
			continue
		}
		h.dir.OnMiss(Key{Team: h.team, Part: i}.Shard(), p.ask.to, "")
		p.void = p.ask.seq
		p.ask = pendingAsk{}
		p.miss(since)
	}
}

// shortfall counts the waiting requests for which no token is at hand or on its
// way. An ask that is late no longer counts as on its way. A keeper in the same
// process answers before the requests are settled, so tokens at hand count.
func (h *Holder) shortfall(since time.Duration) int {
	if len(h.waiters) == 0 {
		return 0
	}
	need := len(h.waiters)
	for slot := range h.slots {
		need -= h.share.left(slot, since)
	}
	for i := range h.parts {
		ask := h.parts[i].ask
		if ask.seq != 0 && since < ask.sent+hedgeAfter {
			need -= ask.need
		}
	}
	return need
}

// ahead returns how many tokens to ask for ahead of demand: none while enough
// are left or another ask is under way.
func (h *Holder) ahead(now time.Time) int {
	if h.rate < aheadMin || h.since(now) < h.aheadAfter {
		return 0
	}
	for i := range h.parts {
		if h.parts[i].ask.seq != 0 {
			return 0
		}
	}
	want := int(math.Ceil(h.rate * aheadSpan.Seconds()))
	low := 0
	if h.rate >= aheadMore {
		want += 2
		low = max(1, want/4)
	}
	left := h.share.Left(now)
	if left > low {
		return 0
	}
	return want - left
}

// askablePart returns the first part, from that of the own zone on, that has no
// pending ask and is not blocked; -1 if there is none.
func (h *Holder) askablePart(since time.Duration) int {
	if h.freeSlot(since) < 0 {
		return -1
	}
	n := Parts(h.limit.Rate, h.limit.Burst)
	for i := range n {
		part := (int(h.first%uint64(n)) + i) % n
		p := &h.parts[part]
		if p.ask.seq == 0 && since >= p.blocked {
			return part
		}
	}
	return -1
}

func (h *Holder) ask(since time.Duration, key Key, to string, need, extra int) Ask {
	ttl := urgentTTL
	if extra > 0 {
		ttl = GrantTTL
	}
	h.seq++
	p := &h.parts[key.Part]
	p.ask = pendingAsk{seq: h.seq, to: to, sent: since, ttl: ttl, need: need, extra: extra}
	ask := Ask{
		To:     to,
		Key:    key,
		Holder: h.id,
		Seq:    h.seq,
		Need:   need,
		Extra:  extra,
		TTL:    ttl,
		Held:   h.held(since, key.Part),
		Void:   p.void,
	}
	p.void = 0
	return ask
}

func (h *Holder) held(since time.Duration, part int) []Left {
	var held []Left
	for i := range h.slots {
		if int(h.slots[i].part) != part {
			continue
		}
		if tokens := h.share.left(i, since); tokens > 0 {
			held = append(held, Left{Seq: h.slots[i].seq, Tokens: tokens})
		}
	}
	return held
}

// freeSlot returns a slot without usable tokens, or -1.
func (h *Holder) freeSlot(since time.Duration) int {
	for i := range h.slots {
		if h.share.left(i, since) == 0 {
			return i
		}
	}
	return -1
}

// exhausted tells that the keepers of all parts have no token and no ask is under
// way. A part without a reachable keeper leaves open whether the team is over its
// rate.
func (h *Holder) exhausted() bool {
	for i := range h.parts {
		if h.parts[i].ask.seq != 0 {
			return false
		}
	}
	return h.denied()
}

// denied tells whether the keepers of all parts answered that they have no
// token.
func (h *Holder) denied() bool {
	for i := range Parts(h.limit.Rate, h.limit.Burst) {
		if !h.parts[i].denied {
			return false
		}
	}
	return true
}

// refusal is the decision for a request that can wait no longer.
func (h *Holder) refusal() Decision {
	if h.denied() {
		return Refuse
	}
	return Unavailable
}

// nextOpen returns when the first part may be asked again. A part with an
// unanswered ask opens at the latest when the ask is given up.
func (h *Holder) nextOpen() time.Duration {
	open := h.parts[0].opens()
	for i := 1; i < Parts(h.limit.Rate, h.limit.Burst); i++ {
		open = min(open, h.parts[i].opens())
	}
	return open
}

func (p *partState) opens() time.Duration {
	if p.ask.seq != 0 {
		return p.ask.sent + askTimeout
	}
	return p.blocked
}

// attention returns when an unanswered ask is hedged or, after that, given up.
func (a pendingAsk) attention(since time.Duration) time.Duration {
	if hedge := a.sent + hedgeAfter; since < hedge {
		return hedge
	}
	return a.sent + askTimeout
}
