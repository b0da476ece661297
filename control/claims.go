package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// UnknownStatus is recorded for a request whose outcome is unknown.
const UnknownStatus = 0

// ClaimRequested asks for the right to run a request with an idempotency key. The
// stage fills in the replica set of the claim.
type ClaimRequested struct {
	Claim ledger.Claim
	Reply chan ClaimDecided // buffered for one decision
}

// ControlEvent marks ClaimRequested as an event.
func (ClaimRequested) ControlEvent() {}

// ClaimDecided is the decision on a claim. The receiver takes ownership of Round.
type ClaimDecided struct {
	Verdict  ledger.Verdict
	Status   int // HTTP status of the earlier run if the verdict is AlreadyRan
	Round    *ledger.ClaimRound
	Replicas []string
}

// ClaimAbandoned reports that nobody waits for the decision any more.
type ClaimAbandoned struct {
	Attempt string
}

// ControlEvent marks ClaimAbandoned as an event.
func (ClaimAbandoned) ControlEvent() {}

// ClaimEnded reports how a request that was allowed to run ended.
type ClaimEnded struct {
	Round    *ledger.ClaimRound
	Replicas []string
	Status   int  // HTTP status, or UnknownStatus
	NotRun   bool // the backend server did not run the request
}

// ControlEvent marks ClaimEnded as an event.
func (ClaimEnded) ControlEvent() {}

// pendingClaim is a claim that waits for replies from its replicas.
type pendingClaim struct {
	round    *ledger.ClaimRound
	replicas []string
	reply    chan ClaimDecided
	expires  time.Time
}

// claimsStage stores the ledger shards that this process is a replica of and sends
// the claims for requests that it receives as an entry proxy.
type claimsStage struct {
	state         *State
	replica       *ledger.Replica
	pending       map[string]*pendingClaim // by attempt
	memberVersion uint64                   // host list version of the members last passed to the replica
	nextTick      time.Time                // when replica.Tick is due
}

func newClaimsStage(state *State, window time.Duration) *claimsStage {
	options := ledger.Options{Self: state.Self.ID, Seed: state.Self.Incarnation, Window: window}
	return &claimsStage{
		state:   state,
		replica: ledger.NewReplica(state.Self.Started, options),
		pending: make(map[string]*pendingClaim),
	}
}

// Name returns "claims".
func (s *claimsStage) Name() string { return "claims" }

// Deadline returns when the replica is due or the first pending claim expires.
func (s *claimsStage) Deadline() time.Time {
	next := s.nextTick
	for _, c := range s.pending {
		if next.IsZero() || c.expires.Before(next) {
			next = c.expires
		}
	}
	return next
}

// Handle processes claims, replies and the results of requests.
func (s *claimsStage) Handle(now time.Time, ev Event, out *Output) {
	s.updateMembers(now, out)
	switch e := ev.(type) {
	case ClaimRequested:
		s.startClaim(now, e, out)
	case ClaimAbandoned:
		s.abandon(now, e.Attempt, out)
	case ClaimEnded:
		s.endClaim(now, e, out)
	case PeerRequest:
		s.handleRequest(now, e)
	case PeerResponse:
		s.handleResponse(now, e, out)
	case Tick:
		s.tick(now, out)
	}
}

func (s *claimsStage) updateMembers(now time.Time, out *Output) {
	if s.memberVersion != s.state.HostVersion {
		s.memberVersion = s.state.HostVersion
		s.sendSyncRequests(s.replica.SetMembers(now, s.state.Members), out)
		s.nextTick = s.replica.Next(now)
	}
}

// scheduleTick brings the next tick forward after a message that may require the
// replica to send a sync request. It is not called for claims and their results: they
// require none, and Next iterates over all shards.
func (s *claimsStage) scheduleTick(now time.Time) {
	if next := s.replica.Next(now); next.Before(s.nextTick) {
		s.nextTick = next
	}
}

func (s *claimsStage) sendSyncRequests(actions []ledger.Action, out *Output) {
	for _, action := range actions {
		if send, ok := action.(ledger.SendSyncRequest); ok {
			s.state.call(out, send.To, send.Request)
		}
	}
}

func (s *claimsStage) startClaim(now time.Time, e ClaimRequested, out *Output) {
	shard := ledger.ShardOf(e.Claim.Team, e.Claim.Key, rendezvous.ShardCount)
	replicas := s.replica.ReplicasOf(shard)
	claim := e.Claim
	claim.ReplicaSet = ledger.ReplicaSetID(replicas)
	c := &pendingClaim{
		round:    ledger.NewClaimRound(now, claim, replicas),
		replicas: replicas,
		reply:    e.Reply,
		expires:  now.Add(ledger.ClaimTimeout),
	}
	s.pending[claim.Attempt] = c
	for _, replica := range replicas {
		if replica == s.state.Self.ID {
			c.round.OnReply(now, s.replica.Claim(now, claim))
			continue
		}
		s.state.call(out, replica, claim)
	}
	s.tryDecide(now, claim.Attempt, c, out)
}

// tryDecide decides a claim once it has enough replies or has expired.
func (s *claimsStage) tryDecide(now time.Time, attempt string, c *pendingClaim, out *Output) {
	verdict := c.round.Verdict(now)
	if verdict == ledger.Undecided {
		return
	}
	delete(s.pending, attempt)
	if verdict != ledger.Run {
		s.notifyReplicas(now, c.replicas, c.round.Release(), out)
	}
	c.reply <- ClaimDecided{Verdict: verdict, Status: c.round.Status(), Round: c.round, Replicas: c.replicas}
}

func (s *claimsStage) abandon(now time.Time, attempt string, out *Output) {
	c, ok := s.pending[attempt]
	if !ok {
		return
	}
	delete(s.pending, attempt)
	s.notifyReplicas(now, c.replicas, c.round.Release(), out)
}

func (s *claimsStage) endClaim(now time.Time, e ClaimEnded, out *Output) {
	if e.NotRun {
		s.notifyReplicas(now, e.Replicas, e.Round.Release(), out)
		return
	}
	s.notifyReplicas(now, e.Replicas, e.Round.Finish(e.Status), out)
}

// notifyReplicas sends the end of a claim to its replicas.
func (s *claimsStage) notifyReplicas(now time.Time, replicas []string, message any, out *Output) {
	for _, replica := range replicas {
		if replica != s.state.Self.ID {
			s.state.call(out, replica, message)
			continue
		}
		switch m := message.(type) {
		case ledger.Finish:
			s.replica.Finish(now, m)
		case ledger.Release:
			s.replica.Release(now, m)
		}
	}
}

func (s *claimsStage) handleRequest(now time.Time, e PeerRequest) {
	switch m := e.Message.(type) {
	case ledger.Claim:
		e.Respond(s.replica.Claim(now, m))
	case ledger.Finish:
		s.replica.Finish(now, m)
		e.Respond(Ack{})
	case ledger.Release:
		s.replica.Release(now, m)
		e.Respond(Ack{})
	case ledger.SyncRequest:
		e.Respond(s.replica.OnSyncRequest(now, m))
		s.scheduleTick(now)
	}
}

func (s *claimsStage) handleResponse(now time.Time, e PeerResponse, out *Output) {
	if e.Err != nil {
		return
	}
	switch reply := e.Reply.(type) {
	case ledger.ClaimReply:
		if c, ok := s.pending[reply.Attempt]; ok {
			c.round.OnReply(now, reply)
			s.tryDecide(now, reply.Attempt, c, out)
		}
	case ledger.SyncResponse:
		s.sendSyncRequests(s.replica.OnSyncResponse(now, reply), out)
		s.scheduleTick(now)
	}
}

func (s *claimsStage) tick(now time.Time, out *Output) {
	if !now.Before(s.nextTick) {
		s.sendSyncRequests(s.replica.Tick(now), out)
		s.nextTick = s.replica.Next(now)
	}
	for attempt, c := range s.pending {
		s.tryDecide(now, attempt, c, out)
	}
}
