package mesh

import (
	"maps"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/decide/teamrate"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// TokenRequest requests a token of a team, or one of the retries that the fleet
// shares for a service. The decision is sent to Reply, which must be buffered.
type TokenRequest struct {
	Purpose notice.Purpose
	Team    *routing.Team // for requests of a team
	Service string        // for retries
	Reply   chan TokenDecision
}

func (r *TokenRequest) name() string {
	if r.Purpose == notice.ForTeam {
		return r.Team.Name
	}
	return r.Service
}

// ownerKey returns the rendezvous hash key that determines the owner of tokens.
func ownerKey(purpose notice.Purpose, name string) uint64 {
	if purpose == notice.ForTeam {
		return rendezvous.Hash(name)
	}
	return rendezvous.Hash("retries of " + name)
}

// ControlEvent marks TokenRequest as an event.
func (TokenRequest) ControlEvent() {}

// TokenDecision is the answer to a TokenRequest.
type TokenDecision struct {
	Granted bool
	Wait    time.Duration // time until the next token if not granted
	Source  string        // what decided: "self", "owner" or DecidedAlone
}

// DecidedAlone is the source of a decision that the owner of the tokens did not make.
const DecidedAlone = "alone"

// Timeouts of token requests. An answer takes a millisecond or two.
const (
	// tokenRetryDelay is when an unanswered request is sent again: the datagram may
	// be lost.
	tokenRetryDelay = 40 * time.Millisecond
	// tokenRequestTimeout is when this process decides locally, from its share of
	// the rate.
	tokenRequestTimeout = 120 * time.Millisecond
	// tokenRelayDuration is how long requests to an owner are sent through another
	// peer after one was not answered. It is short, since paths fail for seconds and
	// the cause may be a single lost datagram.
	tokenRelayDuration = 2 * time.Second
)

// pendingRequest is a token request that was sent to the owner.
type pendingRequest struct {
	request TokenRequest
	owner   string
	via     string // the owner, or a peer that forwards the request
	sentAt  time.Time
	retried bool
}

// relayedRequest is a token request that was forwarded to the owner for a peer.
type relayedRequest struct {
	requester string // host that sent the request
	requestID uint32 // ID that the requester assigned
	relayedAt time.Time
}

// teamsStage enforces the rates of teams and the limits of the shared retries of
// services across the fleet.
type teamsStage struct {
	state           *state
	retries         *retryPools
	buckets         map[string]*teamrate.Bucket // of the teams that this process owns
	fallbackBuckets map[string]*teamrate.Bucket // of teams for which this process decided locally
	pending         map[uint32]*pendingRequest
	relayed         map[uint32]relayedRequest // requests of peers that were forwarded to the owner
	tokenRelayUntil map[string]time.Time      // by owner: until when requests go through another peer
	nextID          uint32
	// tolerance is the amount by which teams may exceed their rates.
	tolerance       teamrate.Tolerance
	candidates      map[string]bool // hosts that might own tokens at the last update
	majority        bool            // more than half of the fleet was heard at the last update
	ownersChangedAt time.Time       // when candidates or majority last changed
}

// Name returns "teams".
func (s *teamsStage) Name() string { return "teams" }

// Deadline returns when the next pending request is retried or times out.
func (s *teamsStage) Deadline() time.Time {
	var next time.Time
	for _, p := range s.pending {
		if at := p.deadline(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (p *pendingRequest) deadline() time.Time {
	if p.retried {
		return p.sentAt.Add(tokenRequestTimeout)
	}
	return p.sentAt.Add(tokenRetryDelay)
}

// Handle processes token requests of this process and of peers, and grants.
func (s *teamsStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case TokenRequest:
		s.requestToken(now, ev, out)
	case MessageReceived:
		switch {
		case ev.Message.TokenRequest != nil:
			s.serveRequest(now, ev.Host, ev.Message.TokenRequest, out)
		case ev.Message.TokenGrant != nil:
			s.receiveGrant(ev.Message.TokenGrant, out)
		}
	case TableRead:
		s.removeUnknownTeams()
	case control.Tick:
		s.expireRequests(now, out)
		s.updateCandidates(now, s.ownerCandidates(now), out)
	}
}

func (s *teamsStage) requestToken(now time.Time, request TokenRequest, out *control.Output) {
	owner := s.owner(now, ownerKey(request.Purpose, request.name()), out)
	switch {
	case owner.mine:
		n, wait := s.takeTokens(now, &request, owner, 1, out)
		request.Reply <- TokenDecision{Granted: n > 0, Wait: wait, Source: "self"}
	case owner.host == "" || owner.host == s.state.identity.Host:
		s.decideLocally(now, request, "", out)
	default:
		s.nextID++
		p := &pendingRequest{request: request, owner: owner.host, via: owner.via, sentAt: now}
		s.pending[s.nextID] = p
		s.sendRequest(s.nextID, p, out)
	}
}

func (s *teamsStage) sendRequest(id uint32, p *pendingRequest, out *control.Output) {
	out.Emit(SendMessage{
		Hosts:   []string{p.via},
		Message: notice.Message{TokenRequest: &notice.TokenRequest{ID: id, Name: p.request.name(), Purpose: p.request.Purpose, Count: 1}},
	})
}

// takeTokens takes tokens or shared retries that this process owns. It returns the
// number granted and the time until the next token.
func (s *teamsStage) takeTokens(now time.Time, request *TokenRequest, owner ownership, want int, out *control.Output) (int, time.Duration) {
	if request.Purpose == notice.ForTeam {
		return s.takeTeamTokens(now, request.Team, owner, want, out)
	}
	return s.retries.take(now, s.ownersChangedAt, request.Service, request.Purpose), 0
}

// takeTeamTokens takes tokens of a team that this process owns.
func (s *teamsStage) takeTeamTokens(now time.Time, team *routing.Team, owner ownership, want int, out *control.Output) (int, time.Duration) {
	limit := s.limit(team)
	limit.FallbackFraction = owner.unreachable
	bucket := s.buckets[team.Name]
	if bucket == nil {
		bucket = teamrate.NewBucket(s.ownersChangedAt, limit)
		s.buckets[team.Name] = bucket
		emitLog(out, "team token ownership acquired", map[string]any{
			"team": team.Name, "since_ms": now.Sub(s.ownersChangedAt).Milliseconds(),
			"heard": s.countAlivePeers(now), "peers": len(s.state.peers),
		})
	}
	n := bucket.Take(now, limit, want)
	return n, bucket.TimeToNextToken(limit)
}

func (s *teamsStage) limit(team *routing.Team) teamrate.Limit {
	return teamrate.Limit{Rate: team.Rate, Burst: team.Burst, Tolerance: s.tolerance}
}

// serveRequest answers the token request of a peer or forwards it to the owner. A
// process that is neither the owner nor hears it does not answer, and the peer decides
// locally: granting tokens as a second owner would exceed the rate.
func (s *teamsStage) serveRequest(now time.Time, host string, message *notice.TokenRequest, out *control.Output) {
	if s.state.table == nil || s.state.peers[host] == nil {
		return
	}
	request := &TokenRequest{Purpose: message.Purpose, Service: message.Name}
	if message.Purpose == notice.ForTeam {
		team, ok := s.state.table.TeamByName(message.Name)
		if !ok || team.Rate <= 0 {
			return
		}
		request.Team = team
	}
	owner := s.owner(now, ownerKey(message.Purpose, message.Name), out)
	switch {
	case owner.mine:
		s.grant(now, host, request, owner, message, out)
	case owner.host != "" && !message.Relayed && owner.host != s.state.identity.Host && s.nextHop(now, owner.host) == owner.host:
		s.relayToOwner(now, host, owner.host, message, out)
	default:
		emitLog(out, "token request not answered: this process is not the owner", map[string]any{
			"name": message.Name, "requester": host, "owner": owner.host, "heard": s.countAlivePeers(now), "peers": len(s.state.peers),
		})
	}
}

// grant takes tokens for the request of a peer and sends them.
func (s *teamsStage) grant(now time.Time, host string, request *TokenRequest, owner ownership, message *notice.TokenRequest, out *control.Output) {
	n, wait := s.takeTokens(now, request, owner, int(message.Count), out)
	grant := &notice.TokenGrant{ID: message.ID, Count: uint16(n)}
	if n == 0 {
		grant.WaitMS = uint32(wait.Milliseconds())
	}
	out.Emit(SendMessage{Hosts: []string{host}, Message: notice.Message{TokenGrant: grant}})
}

// relayToOwner forwards a token request to the owner: a peer that does not hear the owner
// may send its requests here.
func (s *teamsStage) relayToOwner(now time.Time, host, owner string, message *notice.TokenRequest, out *control.Output) {
	for id, r := range s.relayed {
		if now.Sub(r.relayedAt) > tokenRequestTimeout {
			delete(s.relayed, id)
		}
	}
	s.nextID++
	s.relayed[s.nextID] = relayedRequest{requester: host, requestID: message.ID, relayedAt: now}
	forwarded := *message
	forwarded.ID, forwarded.Relayed = s.nextID, true
	out.Emit(SendMessage{Hosts: []string{owner}, Message: notice.Message{TokenRequest: &forwarded}})
}

// receiveGrant returns a grant to the peer whose request was relayed, or decides the
// pending request that it answers.
func (s *teamsStage) receiveGrant(grant *notice.TokenGrant, out *control.Output) {
	if r, ok := s.relayed[grant.ID]; ok {
		delete(s.relayed, grant.ID)
		reply := *grant
		reply.ID = r.requestID
		out.Emit(SendMessage{Hosts: []string{r.requester}, Message: notice.Message{TokenGrant: &reply}})
		return
	}
	p := s.pending[grant.ID]
	if p == nil {
		return
	}
	delete(s.pending, grant.ID)
	wait := time.Duration(grant.WaitMS) * time.Millisecond
	p.request.Reply <- TokenDecision{Granted: grant.Count > 0, Wait: wait, Source: "owner"}
}

// retryRequest sends a request again, through a peer that hears the owner if there is
// one: requests to the owner may be lost although its statuses arrive.
func (s *teamsStage) retryRequest(now time.Time, id uint32, p *pendingRequest, out *control.Output) {
	p.retried = true
	maps.DeleteFunc(s.tokenRelayUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if forwarder := s.findForwarder(now, p.owner); forwarder != "" {
		if p.via == p.owner {
			s.tokenRelayUntil[p.owner] = now.Add(tokenRelayDuration)
		}
		p.via = forwarder
	}
	s.sendRequest(id, p, out)
}

// expireRequests retries unanswered requests, and decides them locally after the
// timeout.
func (s *teamsStage) expireRequests(now time.Time, out *control.Output) {
	for id, p := range s.pending {
		switch {
		case now.Before(p.deadline()):
		case !p.retried:
			s.retryRequest(now, id, p, out)
		default:
			delete(s.pending, id)
			s.decideLocally(now, p.request, p.owner, out)
		}
	}
}

// decideLocally decides a request without the owner. Tokens of teams are taken from
// this process's share of the rate; shared retries are refused, since only their owner
// grants them. silentOwner is the owner that did not answer, or empty if none is known.
func (s *teamsStage) decideLocally(now time.Time, request TokenRequest, silentOwner string, out *control.Output) {
	if request.Purpose != notice.ForTeam {
		emitLog(out, "shared retry refused: no answer from the owner", map[string]any{"service": request.Service, "silent_owner": silentOwner})
		request.Reply <- TokenDecision{Source: DecidedAlone}
		return
	}
	limit := s.limit(request.Team)
	processes := len(s.state.peers) + 1
	bucket := s.fallbackBuckets[request.Team.Name]
	if bucket == nil || !bucket.UsedWithin(now, s.tolerance.Window) {
		bucket = teamrate.NewFallbackBucket(now, limit, s.position(ownerKey(request.Purpose, request.Team.Name)), processes)
		s.fallbackBuckets[request.Team.Name] = bucket
	}
	n := bucket.TakeFallback(now, limit, processes, 1)
	emitLog(out, "team token decided locally: no answer from the owner", map[string]any{
		"team": request.Team.Name, "granted": n > 0, "silent_owner": silentOwner, "heard": s.countAlivePeers(now), "peers": len(s.state.peers),
	})
	request.Reply <- TokenDecision{Granted: n > 0, Wait: time.Second, Source: DecidedAlone}
}

// removeUnknownTeams removes the buckets of teams that are no longer in the
// configuration.
func (s *teamsStage) removeUnknownTeams() {
	for _, buckets := range []map[string]*teamrate.Bucket{s.buckets, s.fallbackBuckets} {
		for name := range buckets {
			if _, ok := s.state.table.TeamByName(name); !ok {
				delete(buckets, name)
			}
		}
	}
}
