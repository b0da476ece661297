package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// TokenWanted asks for a token of a team that traffic has none at hand for.
type TokenWanted struct {
	Team     string
	Deadline time.Time
	Reply    chan quota.Decision // with room for one decision
}

// ControlEvent marks TokenWanted as an event.
func (TokenWanted) ControlEvent() {}

// TokenTaken says that traffic spent a token, so that more can be fetched ahead
// of demand.
type TokenTaken struct {
	Team string
}

// ControlEvent marks TokenTaken as an event.
func (TokenTaken) ControlEvent() {}

// quotaTick is how often the keeper drops old tenures.
const quotaTick = time.Second

// quotaStage holds the tokens of the local backend servers' teams and grants
// those of the parts whose shards this process keeps.
type quotaStage struct {
	state   *State
	shares  *ShareTable
	keeper  *quota.Keeper
	holders *quota.Holders
	config  *config.Config // that the keeper's limits come from
	waiting map[uint64]chan quota.Decision
	lastID  uint64
	next    time.Time
	buffer  []*quota.Holder
}

func newQuotaStage(state *State, shares *ShareTable) *quotaStage {
	self := state.Self
	id := quota.HolderID{Host: self.ID, Incarnation: self.Incarnation}
	return &quotaStage{
		state:   state,
		shares:  shares,
		keeper:  quota.NewKeeper(self.Incarnation, self.Started, state.Leases.Candidate),
		holders: quota.NewHolders(id, self.Zone, state.Leases.Directory),
		waiting: make(map[uint64]chan quota.Decision),
		next:    self.Started,
	}
}

// Name returns "quota".
func (s *quotaStage) Name() string { return "quota" }

// Deadline returns when a holder needs attention, or the keeper's next tick.
func (s *quotaStage) Deadline() time.Time { return s.next }

// Handle takes wants, asks and grants.
func (s *quotaStage) Handle(now time.Time, ev Event, out *Output) {
	s.followConfig(now)
	switch e := ev.(type) {
	case TokenWanted:
		s.want(now, e, out)
	case TokenTaken:
		s.taken(now, e.Team, out)
	case PeerAsked:
		s.answer(now, e)
	case PeerReplied:
		s.takeReply(now, e, out)
	case Tick:
		s.tick(now, out)
	}
}

// followConfig hands changed limits to the keeper. A team that was removed gets
// the zero rate.
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
		s.keeper.SetLimit(now, team.Name, limit)
		if s.holders.Get(team.Name) != nil {
			s.holders.SetLimit(now, team.Name, limit)
		}
	})
}

func (s *quotaStage) dropRemoved(now time.Time, previous *config.Config) {
	previous.ChangedTeams(s.config, func(team *config.Team) {
		if _, ok := s.config.Team(team.Name); !ok {
			limit := quota.Limit{Version: s.config.Version()}
			s.keeper.SetLimit(now, team.Name, limit)
			if s.holders.Get(team.Name) != nil {
				s.holders.SetLimit(now, team.Name, limit)
			}
		}
	})
}

func limitOf(team *config.Team, version uint64) quota.Limit {
	return quota.Limit{Rate: team.Rate, Burst: team.Burst, Version: version}
}

// holder returns the holder of a team and makes it on first use.
func (s *quotaStage) holder(now time.Time, name string) *quota.Holder {
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
	s.shares.add(name, h.TokenCache())
	return h
}

func (s *quotaStage) want(now time.Time, e TokenWanted, out *Output) {
	h := s.holder(now, e.Team)
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
	s.waiting[s.lastID] = e.Reply
	s.pump(now, h, out)
}

func (s *quotaStage) taken(now time.Time, team string, out *Output) {
	if h := s.holders.Get(team); h != nil {
		s.holders.MarkBusy(team)
		s.pump(now, h, out)
	}
}

// pump sends what a holder needs and settles its waiting requests.
func (s *quotaStage) pump(now time.Time, h *quota.Holder, out *Output) {
	for {
		ask, ok := h.NextAsk(now)
		if !ok {
			break
		}
		s.ask(now, h, ask, out)
	}
	for {
		back, ok := h.NextReturn(now)
		if !ok {
			break
		}
		s.giveBack(now, back, out)
	}
	for _, settled := range h.DecideWaiting(now) {
		s.waiting[settled.ID] <- settled.Decision
		delete(s.waiting, settled.ID)
	}
	if wake, ok := h.NextWake(now); ok && wake.Before(s.next) {
		s.next = wake
	}
}

func (s *quotaStage) ask(now time.Time, h *quota.Holder, ask quota.Ask, out *Output) {
	if ask.To == s.state.Self.ID {
		h.OnGrant(now, s.grant(now, ask))
		return
	}
	s.state.call(out, ask.To, ask)
}

// grant answers an ask and names the keeper when this process is not it.
func (s *quotaStage) grant(now time.Time, ask quota.Ask) quota.Grant {
	g := s.keeper.Grant(now, ask)
	if s.config != nil && g.Status != quota.NotKeeper {
		// The keeper has applied this configuration whole. The version of the
		// limit alone depends on which versions this process has seen.
		g.Version = s.config.Version()
	}
	if g.Status == quota.NotKeeper {
		g.Hint = s.state.keeperOf(now, ask.Key.Shard())
	}
	return g
}

func (s *quotaStage) giveBack(now time.Time, back quota.Return, out *Output) {
	target, ok := s.state.Leases.Directory.Target(back.Key.Shard())
	switch {
	case !ok:
	case target == s.state.Self.ID:
		s.keeper.Return(now, back)
	default:
		s.state.call(out, target, back)
	}
}

func (s *quotaStage) answer(now time.Time, e PeerAsked) {
	switch m := e.Message.(type) {
	case quota.Ask:
		e.Answer(s.grant(now, m))
	case quota.Return:
		s.keeper.Return(now, m)
		e.Answer(Ack{})
	}
}

func (s *quotaStage) takeReply(now time.Time, e PeerReplied, out *Output) {
	ask, ok := e.Message.(quota.Ask)
	if !ok {
		return
	}
	h := s.holders.Get(ask.Key.Team)
	if h == nil {
		return
	}
	if grant, ok := e.Reply.(quota.Grant); ok && e.Err == nil {
		h.OnGrant(now, grant)
	}
	s.pump(now, h, out)
}

func (s *quotaStage) tick(now time.Time, out *Output) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(quotaTick)
	s.keeper.Tick(now)
	s.buffer = s.holders.Due(now, s.buffer[:0])
	for _, h := range s.buffer {
		s.pump(now, h, out)
	}
}
