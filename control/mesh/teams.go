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

// TokenWanted asks for a token of a team, or for a retry out of those that the
// fleet shares for a service. The verdict is sent to Reply, which has room for it.
type TokenWanted struct {
	Purpose notice.Purpose
	Team    *routing.Team // for requests of a team
	Service string        // for retries
	Reply   chan TokenVerdict
}

func (w *TokenWanted) name() string {
	if w.Purpose == notice.ForTeam {
		return w.Team.Name
	}
	return w.Service
}

// ownerKey is what the owner of tokens is chosen by.
func ownerKey(purpose notice.Purpose, name string) uint64 {
	if purpose == notice.ForTeam {
		return rendezvous.Hash(name)
	}
	return rendezvous.Hash("retries of " + name)
}

// ControlEvent marks TokenWanted as an event.
func (TokenWanted) ControlEvent() {}

// TokenVerdict answers TokenWanted.
type TokenVerdict struct {
	Granted bool
	Wait    time.Duration // until the next token when not granted
	Source  string        // who decided: "self", "owner" or "alone"
}

// Timeouts of an ask. An answer takes a millisecond or two.
const (
	// askRepeat is when an ask is sent again: the datagram may be lost.
	askRepeat = 40 * time.Millisecond
	// askTimeout is when the share of this process decides instead.
	askTimeout = 120 * time.Millisecond
	// detourTime is how long asks avoid the direct path to an owner after one was
	// not answered: paths are cut for seconds, and single datagrams get lost.
	detourTime = 2 * time.Second
	// ownerDelay is how long after its start a process owns no team: it has not
	// heard its peers yet and would take every team for its own.
	ownerDelay = 2 * time.Second
)

// ask is a request for a token that was sent to the owner.
type ask struct {
	wanted TokenWanted
	owner  string
	via    string // the owner, or a process that passes the ask on
	sent   time.Time
	again  bool
}

// relay is an ask that was passed on for a peer that does not reach the owner.
type relay struct {
	host string // that asked
	id   uint32 // of its ask
	sent time.Time
}

// teamsStage holds teams to their rates and services to the retries that the
// fleet shares.
type teamsStage struct {
	state   *state
	retries *retryPools
	buckets map[string]*teamrate.Bucket // of the teams that this process owns
	alone   map[string]*teamrate.Bucket // of teams whose owner did not answer
	asks    map[uint32]*ask
	relays  map[uint32]relay     // asks of peers that were passed on to the owner
	detours map[string]time.Time // until when asks to an owner go through another process
	nextID  uint32
	// tolerance is how far teams may exceed their rates.
	tolerance teamrate.Tolerance
	members   int       // processes that were heard at the last look
	settled   time.Time // when that number last changed
}

// Name returns "teams".
func (s *teamsStage) Name() string { return "teams" }

// Deadline returns when the next ask is repeated or given up.
func (s *teamsStage) Deadline() time.Time {
	var next time.Time
	for _, a := range s.asks {
		if at := a.due(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (a *ask) due() time.Time {
	if a.again {
		return a.sent.Add(askTimeout)
	}
	return a.sent.Add(askRepeat)
}

// Handle reacts to asks, of traffic and of peers, and to grants.
func (s *teamsStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case TokenWanted:
		s.want(now, ev, out)
	case Received:
		switch {
		case ev.Message.TokenRequest != nil:
			s.serve(now, ev.Host, ev.Message.TokenRequest, out)
		case ev.Message.TokenGrant != nil:
			s.granted(ev.Message.TokenGrant, out)
		}
	case TableRead:
		s.forgetTeams()
	case control.Tick:
		s.expire(now, out)
		s.settle(now, s.heard(now))
	}
}

func (s *teamsStage) want(now time.Time, wanted TokenWanted, out *control.Output) {
	owner, via := s.owner(now, ownerKey(wanted.Purpose, wanted.name()))
	switch {
	case owner == "":
		s.decideAlone(now, wanted, "", out)
	case owner == s.state.self.Host:
		n, wait := s.grant(now, &wanted, 1, out)
		wanted.Reply <- TokenVerdict{Granted: n > 0, Wait: wait, Source: "self"}
	default:
		s.nextID++
		a := &ask{wanted: wanted, owner: owner, via: via, sent: now}
		s.asks[s.nextID] = a
		s.send(s.nextID, a, out)
	}
}

func (s *teamsStage) send(id uint32, a *ask, out *control.Output) {
	out.Emit(Send{
		Hosts:   []string{a.via},
		Message: notice.Message{TokenRequest: &notice.TokenRequest{ID: id, Name: a.wanted.name(), Purpose: a.wanted.Purpose, Count: 1}},
	})
}

// grant spends tokens that this process owns.
func (s *teamsStage) grant(now time.Time, wanted *TokenWanted, want int, out *control.Output) (int, time.Duration) {
	if wanted.Purpose == notice.ForTeam {
		return s.take(now, wanted.Team, want, out)
	}
	return s.retries.take(now, s.settled, wanted.Service, wanted.Purpose), 0
}

// take spends tokens of a team that this process owns.
func (s *teamsStage) take(now time.Time, team *routing.Team, want int, out *control.Output) (int, time.Duration) {
	limit := s.limit(team)
	bucket := s.buckets[team.Name]
	if bucket == nil {
		log(out, "team owned", map[string]any{"team": team.Name, "since_ms": now.Sub(s.settled).Milliseconds()})
		bucket = teamrate.NewBucket(s.settled, limit)
		s.buckets[team.Name] = bucket
	}
	n := bucket.Take(now, limit, want)
	return n, bucket.TimeToNextToken(limit)
}

func (s *teamsStage) limit(team *routing.Team) teamrate.Limit {
	return teamrate.Limit{Rate: team.Rate, Burst: team.Burst, Tolerance: s.tolerance}
}

// serve answers the ask of a peer. A process that does not know the team yet
// lets the peer decide alone.
func (s *teamsStage) serve(now time.Time, host string, asked *notice.TokenRequest, out *control.Output) {
	if s.state.table == nil || s.state.peers[host] == nil {
		return
	}
	wanted := &TokenWanted{Purpose: asked.Purpose, Service: asked.Name}
	if asked.Purpose == notice.ForTeam {
		team, ok := s.state.table.TeamByName(asked.Name)
		if !ok || team.Rate <= 0 {
			return
		}
		wanted.Team = team
	}
	if owner, via := s.owner(now, ownerKey(asked.Purpose, asked.Name)); owner == via && owner != "" && owner != s.state.self.Host && !asked.Relayed {
		s.pass(now, host, owner, asked, out)
		return
	}
	n, wait := s.grant(now, wanted, int(asked.Count), out)
	grant := &notice.TokenGrant{ID: asked.ID, Count: uint16(n)}
	if n == 0 {
		grant.WaitMS = uint32(wait.Milliseconds())
	}
	out.Emit(Send{Hosts: []string{host}, Message: notice.Message{TokenGrant: grant}})
}

// pass sends an ask on to the owner: the peer takes this process for the owner,
// since it does not hear the owner. Two owners would grant the rate twice.
func (s *teamsStage) pass(now time.Time, host, owner string, asked *notice.TokenRequest, out *control.Output) {
	for id, r := range s.relays {
		if now.Sub(r.sent) > askTimeout {
			delete(s.relays, id)
		}
	}
	s.nextID++
	s.relays[s.nextID] = relay{host: host, id: asked.ID, sent: now}
	onward := *asked
	onward.ID, onward.Relayed = s.nextID, true
	out.Emit(Send{Hosts: []string{owner}, Message: notice.Message{TokenRequest: &onward}})
}

func (s *teamsStage) granted(grant *notice.TokenGrant, out *control.Output) {
	if r, ok := s.relays[grant.ID]; ok {
		delete(s.relays, grant.ID)
		back := *grant
		back.ID = r.id
		out.Emit(Send{Hosts: []string{r.host}, Message: notice.Message{TokenGrant: &back}})
		return
	}
	a := s.asks[grant.ID]
	if a == nil {
		return
	}
	delete(s.asks, grant.ID)
	wait := time.Duration(grant.WaitMS) * time.Millisecond
	a.wanted.Reply <- TokenVerdict{Granted: grant.Count > 0, Wait: wait, Source: "owner"}
}

// repeat sends an ask again through a process that hears the owner: the path to
// the owner may be cut although the owner's statuses arrive.
func (s *teamsStage) repeat(now time.Time, id uint32, a *ask, out *control.Output) {
	a.again = true
	maps.DeleteFunc(s.detours, func(_ string, until time.Time) bool { return !now.Before(until) })
	if around := s.around(now, a.owner); around != "" {
		if a.via == a.owner {
			s.detours[a.owner] = now.Add(detourTime)
		}
		a.via = around
	}
	s.send(id, a, out)
}

// expire repeats asks and decides those without an answer.
func (s *teamsStage) expire(now time.Time, out *control.Output) {
	for id, a := range s.asks {
		switch {
		case now.Before(a.due()):
		case !a.again:
			s.repeat(now, id, a, out)
		default:
			delete(s.asks, id)
			s.decideAlone(now, a.wanted, a.owner, out)
		}
	}
}

// decideAlone spends the share of this process; shared retries are only granted
// by their owner. silent is the owner that did not answer, empty when none is
// known.
func (s *teamsStage) decideAlone(now time.Time, wanted TokenWanted, silent string, out *control.Output) {
	if wanted.Purpose != notice.ForTeam {
		log(out, "retry refused without the owner of the retries", map[string]any{"service": wanted.Service, "silent_owner": silent})
		wanted.Reply <- TokenVerdict{Source: "alone"}
		return
	}
	limit := s.limit(wanted.Team)
	bucket := s.alone[wanted.Team.Name]
	if bucket == nil {
		bucket = teamrate.NewFallbackBucket(now)
		s.alone[wanted.Team.Name] = bucket
	}
	n := bucket.TakeFallback(now, limit, len(s.state.peers)+1, 1)
	log(out, "token decided without the owner of the team", map[string]any{
		"team": wanted.Team.Name, "granted": n > 0, "silent_owner": silent, "heard": s.heard(now), "peers": len(s.state.peers),
	})
	wanted.Reply <- TokenVerdict{Granted: n > 0, Wait: time.Second, Source: "alone"}
}

// forgetTeams drops the buckets of teams that the configuration no longer names.
func (s *teamsStage) forgetTeams() {
	for _, buckets := range []map[string]*teamrate.Bucket{s.buckets, s.alone} {
		for name := range buckets {
			if _, ok := s.state.table.TeamByName(name); !ok {
				delete(buckets, name)
			}
		}
	}
}
