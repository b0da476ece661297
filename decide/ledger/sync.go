package ledger

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Action is something that the caller carries out.
type Action interface{ isAction() }

// AskSync sends a SyncAsk to another holder. The Export goes to Import.
type AskSync struct {
	To  string
	Ask SyncAsk
}

func (AskSync) isAction() {}

// shard is one shard that this process holds.
//
// While host lists differ, two sets of holders of one shard can be in use. Their
// quorums need not intersect, so a new set grants nothing before all its members
// use it: the old set has lost its quorum by then.
type shard struct {
	id      uint64 // SetID of the set
	size    int
	late    bool     // this process ran before it came to the set
	changed bool     // it was in another set of the shard before
	kept    []string // with changed: the others that were in that set too
	joined  time.Time
	peers   map[string]*peer // the other holders
	opened  time.Time        // when the set opened; zero before
	sure    bool             // vouches by what it fetched or kept
	pages   [Pages]map[keyID][]*attempt
}

// peer is another holder of a shard.
type peer struct {
	agrees  bool // said that it uses the same set
	differs bool // said that it uses another set or none
	page    int  // next page to fetch; Pages when all are fetched
	seq     uint64
	waits   bool // an ask waits for its answer
	fetch   bool // that ask is for records
	next    time.Time
	retry   time.Duration
}

func newShard() *shard {
	s := &shard{}
	for i := range s.pages {
		s.pages[i] = make(map[keyID][]*attempt)
	}
	return s
}

// SetMembers sets the members of the fleet and returns the asks that follow.
func (h *Holder) SetMembers(now time.Time, members []rendezvous.Member) []Action {
	for _, number := range h.ranking.SetMembers(members) {
		set := h.HoldersOf(number)
		if slices.Contains(set, h.opt.Self) {
			h.hold(now, number, set)
		} else if h.shards[number] != nil {
			h.dropShard(number)
		}
	}
	h.started = true
	return h.Tick(now)
}

// hold takes part in a set of holders. A holder of both sets goes on to vouch; its
// records cover the old set as far as any holder's did.
func (h *Holder) hold(now time.Time, number uint32, set []string) {
	s := h.shards[number]
	id := SetID(set)
	if s != nil && s.id == id {
		return
	}
	var before map[string]*peer
	if s != nil {
		s.sure = s.vouches(now, h.window)
		before = s.peers
	} else {
		s = newShard()
		h.shards[number] = s
	}
	s.id, s.size, s.joined, s.opened = id, len(set), now, time.Time{}
	s.late, s.changed, s.kept = h.started, before != nil, nil
	s.peers = make(map[string]*peer)
	for _, other := range set {
		if other == h.opt.Self {
			continue
		}
		s.peers[other] = &peer{}
		if before[other] != nil {
			s.kept = append(s.kept, other)
		}
	}
}

// opens reports whether the set may grant claims, and opens it when it may. After
// a change all other holders must use the set. A process that just started may
// miss holders that are down, but none may use another set.
func (s *shard) opens(now time.Time) bool {
	if !s.opened.IsZero() {
		return true
	}
	waited := !s.late && now.Sub(s.joined) >= ClaimTimeout
	for _, p := range s.peers {
		if !p.agrees && (!waited || p.differs) {
			return false
		}
	}
	s.opened = now
	return true
}

// vouches reports whether the records cannot lack a claim that another holder of
// the set would lack too: they were fetched or kept, or every claim that they may
// lack has expired.
func (s *shard) vouches(now time.Time, window time.Duration) bool {
	return s.sure || !s.opened.IsZero() && now.Sub(s.opened) >= window
}

// vouchesFirst reports whether a first send may be granted. It needs no vouching for
// earlier sends, but a later send may have overtaken it: one that this process
// granted before a restart, or that the set before granted.
func (s *shard) vouchesFirst(now time.Time) bool {
	return !s.opened.IsZero() && now.Sub(s.opened) >= withDrift(ClaimTimeout)
}

// Tick drops expired records and returns the asks that are due.
func (h *Holder) Tick(now time.Time) []Action {
	h.expire(now)
	var actions []Action
	for number := range h.opt.Shards {
		s := h.shards[number]
		if s == nil {
			continue
		}
		s.opens(now)
		actions = append(actions, h.ask(now, number, s)...)
	}
	return actions
}

// Next returns the time at which Tick is to be called next.
func (h *Holder) Next(now time.Time) time.Time {
	for _, s := range h.shards {
		for _, p := range s.peers {
			if !p.agrees || h.fetches(now, s, p) {
				return now.Add(SyncRetry)
			}
		}
	}
	return now.Add(time.Second)
}

// fetches reports whether records are to be fetched from a peer. Sets of fewer than
// HolderCount wait for the window instead: a set that shrank may have a holder that
// vouches and lacks a claim.
func (h *Holder) fetches(now time.Time, s *shard, p *peer) bool {
	waited := now.Sub(h.start) >= withDrift(ClaimTimeout)
	return waited && s.size == HolderCount && !s.vouches(now, h.window) && p.page < Pages
}

func (h *Holder) ask(now time.Time, number uint32, s *shard) []Action {
	var actions []Action
	for _, id := range sortedPeers(s.peers) {
		p := s.peers[id]
		fetch := h.fetches(now, s, p)
		if now.Before(p.next) || p.agrees && !fetch {
			continue
		}
		h.seq++
		p.seq, p.waits, p.fetch = h.seq, true, fetch
		p.retry = min(max(2*p.retry, SyncRetry), SyncRetryMax)
		p.next = now.Add(p.retry)
		actions = append(actions, AskSync{To: id, Ask: SyncAsk{
			Seq: h.seq, Shard: number, From: h.opt.Self, Holders: s.id,
			Changed: s.changed && !p.agrees, Kept: s.kept, Records: fetch, Page: p.page,
		}})
	}
	return actions
}

func sortedPeers(peers map[string]*peer) []string {
	ids := make([]string, 0, len(peers))
	for id := range peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Export answers a SyncAsk of another holder.
func (h *Holder) Export(now time.Time, ask SyncAsk) Export {
	e := Export{Seq: ask.Seq, Shard: ask.Shard, Holder: h.opt.Self}
	s := h.shards[ask.Shard]
	if s == nil {
		return e
	}
	if s.id == ask.Holders && ask.Changed && !slices.Contains(ask.Kept, h.opt.Self) {
		s.rejoin(now)
	}
	e.Holders = s.id
	e.Vouches = s.vouches(now, h.window)
	if ask.Records && s.id == ask.Holders && e.Vouches && ask.Page >= 0 && ask.Page < Pages {
		e.Records, e.Next = s.records(now, ask.Page)
	}
	return e
}

// rejoin makes this process a new holder of its set. Another holder came to the set
// from one without this process, in which claims may have been granted.
func (s *shard) rejoin(now time.Time) {
	s.late, s.changed, s.kept = true, false, nil
	s.joined, s.opened, s.sure = now, time.Time{}, false
	for _, p := range s.peers {
		*p = peer{}
	}
}

// Import takes the answer to a SyncAsk. It vouches once all pages of both other
// holders are there: of any claim, at most one holder that vouches lacks the record.
func (h *Holder) Import(now time.Time, e Export) []Action {
	s := h.shards[e.Shard]
	if s == nil || s.peers[e.Holder] == nil {
		return nil
	}
	p := s.peers[e.Holder]
	if !p.waits || p.seq != e.Seq {
		return nil
	}
	p.waits, p.retry = false, 0
	p.next = now.Add(SyncRetry)
	p.agrees, p.differs = e.Holders == s.id, e.Holders != s.id
	if !p.agrees || !e.Vouches {
		p.page = 0
		return nil
	}
	if p.fetch && e.Next > p.page && h.takeAll(now, e.Records) {
		p.page = e.Next
		p.next = now
	}
	s.opens(now)
	s.sure = s.sure || s.size == HolderCount && s.fetchedAll()
	return h.ask(now, e.Shard, s)
}

func (h *Holder) takeAll(now time.Time, records []Record) bool {
	for _, r := range records {
		if !h.merge(now, r) {
			return false
		}
	}
	return true
}

func (s *shard) fetchedAll() bool {
	for _, p := range s.peers {
		if p.page < Pages {
			return false
		}
	}
	return true
}
