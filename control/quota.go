package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// TokenRequested asks for a token of a team whose token cache is empty.
type TokenRequested struct {
	Team     string
	Deadline time.Time
	Reply    chan quota.Decision // buffered for one decision
}

// ControlEvent marks TokenRequested as an event.
func (TokenRequested) ControlEvent() {}

// TokenSpent reports that a token was spent, so that more can be fetched ahead of
// demand.
type TokenSpent struct {
	Team string
}

// ControlEvent marks TokenSpent as an event.
func (TokenSpent) ControlEvent() {}

// leaderTickInterval is the time between two ticks of the leader, which drop outdated
// state.
const leaderTickInterval = time.Second

// quotaStage holds tokens for the teams that send requests to this process and, as a
// leader, grants tokens of the parts whose shards this process leads.
type quotaStage struct {
	state          *State
	tokenCaches    *TokenCacheTable
	leader         *quota.Leader
	holders        *quota.Holders
	config         *config.Config // source of the leader's limits
	pendingReplies map[uint64]chan quota.Decision
	lastID         uint64
	nextTick       time.Time
	dueHolders     []*quota.Holder
}

func newQuotaStage(state *State, tokenCaches *TokenCacheTable) *quotaStage {
	self := state.Self
	id := quota.HolderID{Host: self.ID, Incarnation: self.Incarnation}
	return &quotaStage{
		state:          state,
		tokenCaches:    tokenCaches,
		leader:         quota.NewLeader(self.Incarnation, self.Started, state.Leases.Candidate),
		holders:        quota.NewHolders(id, self.Zone, state.Leases.Directory),
		pendingReplies: make(map[uint64]chan quota.Decision),
		nextTick:       self.Started,
	}
}

// Name returns "quota".
func (s *quotaStage) Name() string { return "quota" }

// Deadline returns when the first token holder is due or the leader's next tick.
func (s *quotaStage) Deadline() time.Time { return s.nextTick }

// Handle processes token requests of this and of other processes, and grants.
func (s *quotaStage) Handle(now time.Time, ev Event, out *Output) {
	s.followConfig(now)
	switch e := ev.(type) {
	case TokenRequested:
		s.requestToken(now, e, out)
	case TokenSpent:
		s.tokenSpent(now, e.Team, out)
	case PeerRequest:
		s.handleRequest(now, e)
	case PeerResponse:
		s.handleResponse(now, e, out)
	case Tick:
		s.tick(now, out)
	}
}

// followConfig passes changed limits to the leader and the token holders. A removed team
// gets a rate of zero.
func (s *quotaStage) followConfig(now time.Time) {
	next := s.state.Config
	if next == s.config {
		return
	}
	previous := s.config
	s.config = next
	if previous != nil {
		s.dropRemoved(now, previous)
	}
	next.ChangedTeams(previous, func(team *config.Team) {
		limit := limitOf(team, next.Version())
		s.leader.SetLimit(now, team.Name, limit)
		if s.holders.Get(team.Name) != nil {
			s.holders.SetLimit(now, team.Name, limit)
		}
	})
}

func (s *quotaStage) dropRemoved(now time.Time, previous *config.Config) {
	previous.ChangedTeams(s.config, func(team *config.Team) {
		if _, ok := s.config.Team(team.Name); !ok {
			limit := quota.Limit{Version: s.config.Version()}
			s.leader.SetLimit(now, team.Name, limit)
			if s.holders.Get(team.Name) != nil {
				s.holders.SetLimit(now, team.Name, limit)
			}
		}
	})
}

func limitOf(team *config.Team, version uint64) quota.Limit {
	return quota.Limit{Rate: team.Rate, Burst: team.Burst, Version: version}
}

// holderOf returns the token holder of a team and creates it on first use.
func (s *quotaStage) holderOf(now time.Time, name string) *quota.Holder {
	if h := s.holders.Get(name); h != nil {
		return h
	}
	if s.config == nil {
		return nil
	}
	team, ok := s.config.Team(name)
	if !ok {
		return nil
	}
	h := s.holders.SetLimit(now, name, limitOf(team, s.config.Version()))
	s.tokenCaches.add(name, h.TokenCache())
	return h
}

func (s *quotaStage) requestToken(now time.Time, e TokenRequested, out *Output) {
	h := s.holderOf(now, e.Team)
	if h == nil {
		e.Reply <- quota.Unavailable
		return
	}
	s.holders.MarkBusy(e.Team)
	s.lastID++
	decision := h.Enqueue(now, s.lastID, e.Deadline)
	if decision != quota.Pending {
		e.Reply <- decision
		return
	}
	s.pendingReplies[s.lastID] = e.Reply
	s.serveHolder(now, h, out)
}

func (s *quotaStage) tokenSpent(now time.Time, team string, out *Output) {
	if h := s.holders.Get(team); h != nil {
		s.holders.MarkBusy(team)
		s.serveHolder(now, h, out)
	}
}

// serveHolder sends the token requests and returns of a holder and decides its waiting
// requests.
func (s *quotaStage) serveHolder(now time.Time, h *quota.Holder, out *Output) {
	for {
		req, ok := h.NextTokenRequest(now)
		if !ok {
			break
		}
		s.sendTokenRequest(now, h, req, out)
	}
	for {
		returned, ok := h.NextReturn(now)
		if !ok {
			break
		}
		s.returnTokens(now, returned, out)
	}
	for _, decided := range h.DecideWaiting(now) {
		s.pendingReplies[decided.ID] <- decided.Decision
		delete(s.pendingReplies, decided.ID)
	}
	if wake, ok := h.NextWake(now); ok && wake.Before(s.nextTick) {
		s.nextTick = wake
	}
}

func (s *quotaStage) sendTokenRequest(now time.Time, h *quota.Holder, req quota.TokenRequest, out *Output) {
	if req.To == s.state.Self.ID {
		h.OnGrant(now, s.grant(now, req))
		return
	}
	s.state.call(out, req.To, req)
}

// grant answers a token request. If this process is not the leader, it adds a hint.
func (s *quotaStage) grant(now time.Time, req quota.TokenRequest) quota.Grant {
	g := s.leader.Grant(now, req)
	if s.config != nil && g.Status != quota.NotLeader {
		// The leader has applied the whole configuration. The version of the limit
		// alone depends on which versions this process has seen.
		g.Version = s.config.Version()
	}
	if g.Status == quota.NotLeader {
		g.Hint = s.state.likelyLeader(now, req.Key.Shard())
	}
	return g
}

func (s *quotaStage) returnTokens(now time.Time, returned quota.Return, out *Output) {
	target, ok := s.state.Leases.Directory.Target(returned.Key.Shard())
	switch {
	case !ok:
	case target == s.state.Self.ID:
		s.leader.Return(now, returned)
	default:
		s.state.call(out, target, returned)
	}
}

func (s *quotaStage) handleRequest(now time.Time, e PeerRequest) {
	switch m := e.Message.(type) {
	case quota.TokenRequest:
		e.Respond(s.grant(now, m))
	case quota.Return:
		s.leader.Return(now, m)
		e.Respond(Ack{})
	}
}

func (s *quotaStage) handleResponse(now time.Time, e PeerResponse, out *Output) {
	req, ok := e.Message.(quota.TokenRequest)
	if !ok {
		return
	}
	h := s.holders.Get(req.Key.Team)
	if h == nil {
		return
	}
	if grant, ok := e.Reply.(quota.Grant); ok && e.Err == nil {
		h.OnGrant(now, grant)
	}
	s.serveHolder(now, h, out)
}

func (s *quotaStage) tick(now time.Time, out *Output) {
	if now.Before(s.nextTick) {
		return
	}
	s.nextTick = now.Add(leaderTickInterval)
	s.leader.Tick(now)
	s.dueHolders = s.holders.Due(now, s.dueHolders[:0])
	for _, h := range s.dueHolders {
		s.serveHolder(now, h, out)
	}
}
