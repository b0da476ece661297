package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// UnknownStatus is recorded for a request whose outcome is unknown.
const UnknownStatus = 0

// ClaimWanted asks for the right to run a request with an idempotency key. The
// stage sets the holders of the claim.
type ClaimWanted struct {
	Claim ledger.Claim
	Reply chan ClaimDecided // with room for one decision
}

// ControlEvent marks ClaimWanted as an event.
func (ClaimWanted) ControlEvent() {}

// ClaimDecided is the decision on a claim. The receiver owns the round.
type ClaimDecided struct {
	Verdict ledger.Verdict
	Status  int // of the earlier run, with AlreadyRan
	Round   *ledger.ClaimRound
	Holders []string
}

// ClaimAbandoned says that nobody waits for the decision any more.
type ClaimAbandoned struct {
	Attempt string
}

// ControlEvent marks ClaimAbandoned as an event.
func (ClaimAbandoned) ControlEvent() {}

// ClaimEnded says how a request that held its key ended.
type ClaimEnded struct {
	Round   *ledger.ClaimRound
	Holders []string
	Status  int // HTTP status, or UnknownStatus
	NotRun  bool
}

// ControlEvent marks ClaimEnded as an event.
func (ClaimEnded) ControlEvent() {}

// openClaim is a claim that waits for the replies of its holders.
type openClaim struct {
	round   *ledger.ClaimRound
	holders []string
	reply   chan ClaimDecided
	expires time.Time
}

// claimsStage holds the ledger shards of this process and carries out the claims
// of its entries.
type claimsStage struct {
	state   *State
	holder  *ledger.Holder
	open    map[string]*openClaim // by attempt
	version uint64                // of the member set that the holder knows
	next    time.Time             // when the holder needs attention
}

func newClaimsStage(state *State, window time.Duration) *claimsStage {
	options := ledger.Options{Self: state.Self.ID, Seed: state.Self.Incarnation, Window: window}
	return &claimsStage{
		state:  state,
		holder: ledger.NewHolder(state.Self.Started, options),
		open:   make(map[string]*openClaim),
	}
}

// Name returns "claims".
func (s *claimsStage) Name() string { return "claims" }

// Deadline returns when the holder or an open claim needs attention.
func (s *claimsStage) Deadline() time.Time {
	next := s.next
	for _, c := range s.open {
		if next.IsZero() || c.expires.Before(next) {
			next = c.expires
		}
	}
	return next
}

// Handle takes claims, replies and the ends of requests.
func (s *claimsStage) Handle(now time.Time, ev Event, out *Output) {
	s.followMembers(now, out)
	switch e := ev.(type) {
	case ClaimWanted:
		s.want(now, e, out)
	case ClaimAbandoned:
		s.abandon(now, e.Attempt, out)
	case ClaimEnded:
		s.ended(now, e, out)
	case PeerAsked:
		s.answer(now, e)
	case PeerReplied:
		s.takeReply(now, e, out)
	case Tick:
		s.tick(now, out)
	}
}

func (s *claimsStage) followMembers(now time.Time, out *Output) {
	if s.version != s.state.HostVersion {
		s.version = s.state.HostVersion
		s.apply(s.holder.SetMembers(now, s.state.Members), out)
		s.next = s.holder.Next(now)
	}
}

// attend plans the next tick after a message that may have given the holder
// something to ask for. Events of traffic do not, and Next looks at every shard,
// so it is not called for each of them.
func (s *claimsStage) attend(now time.Time) {
	if next := s.holder.Next(now); next.Before(s.next) {
		s.next = next
	}
}

func (s *claimsStage) apply(actions []ledger.Action, out *Output) {
	for _, action := range actions {
		if ask, ok := action.(ledger.SendSyncRequest); ok {
			s.state.call(out, ask.To, ask.Request)
		}
	}
}

func (s *claimsStage) want(now time.Time, e ClaimWanted, out *Output) {
	shard := ledger.ShardOf(e.Claim.Team, e.Claim.Key, rendezvous.ShardCount)
	holders := s.holder.HoldersOf(shard)
	claim := e.Claim
	claim.HolderSet = ledger.HolderSetID(holders)
	c := &openClaim{
		round:   ledger.NewClaimRound(now, claim, holders),
		holders: holders,
		reply:   e.Reply,
		expires: now.Add(ledger.ClaimTimeout),
	}
	s.open[claim.Attempt] = c
	for _, holder := range holders {
		if holder == s.state.Self.ID {
			c.round.OnReply(now, s.holder.Claim(now, claim))
			continue
		}
		s.state.call(out, holder, claim)
	}
	s.settle(now, claim.Attempt, c, out)
}

// settle decides a claim once its replies suffice or its time is over.
func (s *claimsStage) settle(now time.Time, attempt string, c *openClaim, out *Output) {
	verdict := c.round.Verdict(now)
	if verdict == ledger.Undecided {
		return
	}
	delete(s.open, attempt)
	if verdict != ledger.Run {
		s.send(now, c.holders, c.round.Release(), out)
	}
	c.reply <- ClaimDecided{Verdict: verdict, Status: c.round.Status(), Round: c.round, Holders: c.holders}
}

func (s *claimsStage) abandon(now time.Time, attempt string, out *Output) {
	c, ok := s.open[attempt]
	if !ok {
		return
	}
	delete(s.open, attempt)
	s.send(now, c.holders, c.round.Release(), out)
}

func (s *claimsStage) ended(now time.Time, e ClaimEnded, out *Output) {
	if e.NotRun {
		s.send(now, e.Holders, e.Round.Release(), out)
		return
	}
	s.send(now, e.Holders, e.Round.Finish(e.Status), out)
}

// send tells the holders how a claim ended.
func (s *claimsStage) send(now time.Time, holders []string, message any, out *Output) {
	for _, holder := range holders {
		if holder != s.state.Self.ID {
			s.state.call(out, holder, message)
			continue
		}
		switch m := message.(type) {
		case ledger.Finish:
			s.holder.Finish(now, m)
		case ledger.Release:
			s.holder.Release(now, m)
		}
	}
}

func (s *claimsStage) answer(now time.Time, e PeerAsked) {
	switch m := e.Message.(type) {
	case ledger.Claim:
		e.Answer(s.holder.Claim(now, m))
	case ledger.Finish:
		s.holder.Finish(now, m)
		e.Answer(Ack{})
	case ledger.Release:
		s.holder.Release(now, m)
		e.Answer(Ack{})
	case ledger.SyncRequest:
		e.Answer(s.holder.OnSyncRequest(now, m))
		s.attend(now)
	}
}

func (s *claimsStage) takeReply(now time.Time, e PeerReplied, out *Output) {
	if e.Err != nil {
		return
	}
	switch reply := e.Reply.(type) {
	case ledger.ClaimReply:
		if c, ok := s.open[reply.Attempt]; ok {
			c.round.OnReply(now, reply)
			s.settle(now, reply.Attempt, c, out)
		}
	case ledger.SyncResponse:
		s.apply(s.holder.OnSyncResponse(now, reply), out)
		s.attend(now)
	}
}

func (s *claimsStage) tick(now time.Time, out *Output) {
	if !now.Before(s.next) {
		s.apply(s.holder.Tick(now), out)
		s.next = s.holder.Next(now)
	}
	for attempt, c := range s.open {
		s.settle(now, attempt, c, out)
	}
}
