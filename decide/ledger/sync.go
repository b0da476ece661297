package ledger

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Action is an effect that the caller must carry out.
type Action interface{ isAction() }

// SendSyncRequest sends a SyncRequest to another replica. The caller passes the answer
// to OnSyncResponse.
type SendSyncRequest struct {
	To      string
	Request SyncRequest
}

func (SendSyncRequest) isAction() {}

// shard is the state of one shard that this process holds.
//
// While processes have different host lists, two replica sets of one shard can be in
// use. Their quorums need not intersect, so a new set grants no claim before all its
// replicas use it. By then, the old set has lost its quorum.
type shard struct {
	id          uint64 // ReplicaSetID of the replica set
	size        int
	joinedLater bool     // this process was running before it joined the set
	changed     bool     // this process was in a different set of the shard before
	kept        []string // if changed, the other replicas that were in that set too
	joined      time.Time
	peers       map[string]*peer // the other replicas
	opened      time.Time        // when the set began to accept claims; zero before
	complete    bool             // all records were fetched or kept from the previous set
	pages       [PagesPerShard]map[keyID][]*attempt
}

// peer is the sync state of another replica of a shard.
type peer struct {
	agrees       bool // reported that it uses the same set
	differs      bool // reported that it uses a different set or none
	page         int  // next page to fetch; PagesPerShard when all are fetched
	seq          uint64
	pending      bool // a request awaits its response
	pendingFetch bool // the pending request is also for records
	nextRequest  time.Time
	retry        time.Duration
}

func newShard() *shard {
	s := &shard{}
	for i := range s.pages {
		s.pages[i] = make(map[keyID][]*attempt)
	}
	return s
}

// SetMembers sets the members of the fleet and returns the sync requests to send.
func (h *Replica) SetMembers(now time.Time, members []rendezvous.Member) []Action {
	for _, number := range h.ranking.SetMembers(members) {
		set := h.ReplicasOf(number)
		if slices.Contains(set, h.opt.Self) {
			h.joinSet(now, number, set)
		} else if h.shards[number] != nil {
			h.dropShard(number)
		}
	}
	h.membersSet = true
	return h.Tick(now)
}

// joinSet makes this process a replica in the given set. A replica that was caught up
// in the previous set stays caught up: its records cover that set as well as those of
// any of its replicas.
func (h *Replica) joinSet(now time.Time, number uint32, set []string) {
	s := h.shards[number]
	id := ReplicaSetID(set)
	if s != nil && s.id == id {
		return
	}
	var before map[string]*peer
	if s != nil {
		s.complete = s.caughtUp(now, h.window)
		before = s.peers
	} else {
		s = newShard()
		h.shards[number] = s
	}
	s.id, s.size, s.joined, s.opened = id, len(set), now, time.Time{}
	s.joinedLater, s.changed, s.kept = h.membersSet, before != nil, nil
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

// tryOpen opens the set for claims if possible and reports whether it is open. After
// a change of the set, all other replicas must have confirmed that they use it. A
// process that has just started needs no confirmation from replicas that are down, but
// none may have reported a different set.
func (s *shard) tryOpen(now time.Time) bool {
	if !s.opened.IsZero() {
		return true
	}
	waited := !s.joinedLater && now.Sub(s.joined) >= ClaimTimeout
	for _, p := range s.peers {
		if !p.agrees && (!waited || p.differs) {
			return false
		}
	}
	s.opened = now
	return true
}

// caughtUp reports whether this replica's grants may count towards a quorum: its
// records were fetched or kept, or every claim that it may have missed has expired.
// No claim is missing at two replicas of the set that are both caught up.
func (s *shard) caughtUp(now time.Time, window time.Duration) bool {
	return s.complete || !s.opened.IsZero() && now.Sub(s.opened) >= window
}

// acceptsFirstSend reports whether the first send of a key may be granted although
// this replica is not caught up. There are no earlier sends to miss, but a retry may
// have overtaken the first send and been granted by this process before a restart or
// by the previous set. Waiting for ClaimTimeout rules that out.
func (s *shard) acceptsFirstSend(now time.Time) bool {
	return !s.opened.IsZero() && now.Sub(s.opened) >= withDrift(ClaimTimeout)
}

// Tick deletes expired records and returns the sync requests that are due.
func (h *Replica) Tick(now time.Time) []Action {
	h.expire(now)
	var actions []Action
	for number := range h.opt.Shards {
		s := h.shards[number]
		if s == nil {
			continue
		}
		s.tryOpen(now)
		actions = append(actions, h.dueRequests(now, number, s)...)
	}
	return actions
}

// Next returns when to call Tick next.
func (h *Replica) Next(now time.Time) time.Time {
	for _, s := range h.shards {
		for _, p := range s.peers {
			if !p.agrees || h.needsRecords(now, s, p) {
				return now.Add(SyncRetryInterval)
			}
		}
	}
	return now.Add(time.Second)
}

// needsRecords reports whether records must be fetched from a peer. Sets with fewer
// than ReplicaCount replicas wait for the window instead: after a set has shrunk, a
// replica that is caught up may still lack a claim.
func (h *Replica) needsRecords(now time.Time, s *shard, p *peer) bool {
	waited := now.Sub(h.processStart) >= withDrift(ClaimTimeout)
	return waited && s.size == ReplicaCount && !s.caughtUp(now, h.window) && p.page < PagesPerShard
}

// dueRequests returns the sync requests to the other replicas of a shard that are due:
// to those that have not confirmed the replica set, and those whose records are needed.
func (h *Replica) dueRequests(now time.Time, number uint32, s *shard) []Action {
	var actions []Action
	for _, id := range sortedPeers(s.peers) {
		p := s.peers[id]
		fetch := h.needsRecords(now, s, p)
		if now.Before(p.nextRequest) || p.agrees && !fetch {
			continue
		}
		h.seq++
		p.seq, p.pending, p.pendingFetch = h.seq, true, fetch
		p.retry = min(max(2*p.retry, SyncRetryInterval), SyncRetryMaxInterval)
		p.nextRequest = now.Add(p.retry)
		actions = append(actions, SendSyncRequest{To: id, Request: SyncRequest{
			Seq: h.seq, Shard: number, From: h.opt.Self, ReplicaSet: s.id,
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

// OnSyncRequest handles a SyncRequest of another replica and returns the response.
func (h *Replica) OnSyncRequest(now time.Time, req SyncRequest) SyncResponse {
	resp := SyncResponse{Seq: req.Seq, Shard: req.Shard, Replica: h.opt.Self}
	s := h.shards[req.Shard]
	if s == nil {
		return resp
	}
	if s.id == req.ReplicaSet && req.Changed && !slices.Contains(req.Kept, h.opt.Self) {
		s.rejoin(now)
	}
	resp.ReplicaSet = s.id
	resp.CaughtUp = s.caughtUp(now, h.window)
	if req.Records && s.id == req.ReplicaSet && resp.CaughtUp && req.Page >= 0 && req.Page < PagesPerShard {
		resp.Records, resp.Next = s.records(now, req.Page)
	}
	return resp
}

// rejoin resets this process to a new replica of its set. It is called when another
// replica joined from a set without this process, which may have granted claims that
// this process has missed.
func (s *shard) rejoin(now time.Time) {
	s.joinedLater, s.changed, s.kept = true, false, nil
	s.joined, s.opened, s.complete = now, time.Time{}, false
	for _, p := range s.peers {
		*p = peer{}
	}
}

// OnSyncResponse handles the response to a SyncRequest and returns the requests that
// follow. The replica is caught up once it has all pages of both other replicas: any
// claim is then missing at no more than one replica that is caught up.
func (h *Replica) OnSyncResponse(now time.Time, resp SyncResponse) []Action {
	s := h.shards[resp.Shard]
	if s == nil || s.peers[resp.Replica] == nil {
		return nil
	}
	p := s.peers[resp.Replica]
	if !p.pending || p.seq != resp.Seq {
		return nil
	}
	p.pending, p.retry = false, 0
	p.nextRequest = now.Add(SyncRetryInterval)
	p.agrees, p.differs = resp.ReplicaSet == s.id, resp.ReplicaSet != s.id
	if !p.agrees || !resp.CaughtUp {
		p.page = 0
		return nil
	}
	if p.pendingFetch && resp.Next > p.page && h.mergeAll(now, resp.Records) {
		p.page = resp.Next
		p.nextRequest = now
	}
	s.tryOpen(now)
	s.complete = s.complete || s.size == ReplicaCount && s.fetchedAll()
	return h.dueRequests(now, resp.Shard, s)
}

func (h *Replica) mergeAll(now time.Time, records []Record) bool {
	for _, r := range records {
		if !h.merge(now, r) {
			return false
		}
	}
	return true
}

func (s *shard) fetchedAll() bool {
	for _, p := range s.peers {
		if p.page < PagesPerShard {
			return false
		}
	}
	return true
}
