package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// leaseTick is the time between two looks at the leases. The candidate asks for
// a fifth of the renewal interval at most.
const leaseTick = lease.RenewInterval / 5

// Leases are the parts of the lease protocol that other stages read.
type Leases struct {
	Placement *lease.Placement
	Candidate *lease.Candidate
	Directory *lease.Directory
	Witness   *lease.Witness
}

// leasesStage takes part in the leases of shards as a witness and as a
// candidate.
type leasesStage struct {
	state   *State
	witness *lease.Witness
	version uint64 // of the member set that the placement knows
	next    time.Time
}

func newLeasesStage(state *State) *leasesStage {
	started := state.Self.Started
	witness := lease.NewWitness(state.Self.ID, started)
	placement := lease.NewPlacement(nil)
	id := lease.CandidateID{Host: state.Self.ID, Incarnation: state.Self.Incarnation}
	state.Leases = Leases{
		Placement: placement,
		Candidate: lease.NewCandidate(id, started, placement, witness),
		Directory: lease.NewDirectory(placement),
		Witness:   witness,
	}
	// Asking earlier would only meet the silence of witnesses that started at
	// the same time, and each round without a quorum makes the next one later.
	return &leasesStage{state: state, witness: witness, next: started.Add(lease.WitnessStartupDelay)}
}

// Name returns "leases".
func (s *leasesStage) Name() string { return "leases" }

// Deadline returns the time of the next look at the leases.
func (s *leasesStage) Deadline() time.Time { return s.next }

// Handle takes promises and asks for those that are due.
func (s *leasesStage) Handle(now time.Time, ev Event, out *Output) {
	s.followMembers(now)
	switch e := ev.(type) {
	case PeerAsked:
		s.answer(now, e)
	case PeerReplied:
		if reply, ok := e.Reply.(lease.PromiseReply); ok && e.Err == nil {
			s.state.Leases.Candidate.OnReply(now, reply)
		}
	case statusAsked:
		e.status.KeptShards = len(s.state.Leases.Candidate.HeldShards(now))
	case Tick:
		s.tick(now, out)
	}
}

func (s *leasesStage) followMembers(now time.Time) {
	if s.version == s.state.HostVersion {
		return
	}
	s.version = s.state.HostVersion
	s.state.Leases.Placement.SetMembers(s.state.Members)
	s.state.Leases.Candidate.MembersChanged(now)
}

func (s *leasesStage) answer(now time.Time, e PeerAsked) {
	switch m := e.Message.(type) {
	case lease.PromiseRequest:
		e.Answer(s.witness.Promise(now, m))
	case lease.Release:
		s.witness.Release(now, m)
		e.Answer(Ack{})
	}
}

func (s *leasesStage) tick(now time.Time, out *Output) {
	if now.Before(s.next) {
		return
	}
	candidate := s.state.Leases.Candidate
	s.next = now.Add(leaseTick)
	if candidate.HandoverPending(now) {
		s.next = now.Add(lease.HandoverRetryInterval)
	}
	candidate.SetSuspected(s.state.unlikely())
	for _, request := range candidate.Tick(now) {
		if request.Witness == s.state.Self.ID {
			candidate.OnReply(now, s.witness.Promise(now, request))
			continue
		}
		s.state.call(out, request.Witness, request)
	}
	s.noteKeepers(now, out)
}

// noteKeepers notes once that all shards of which this process is a witness have
// a keeper. From then on its teams find tokens.
func (s *leasesStage) noteKeepers(now time.Time, out *Output) {
	if s.state.KeepersKnown || s.state.HostVersion == 0 {
		return
	}
	for shard := range uint32(rendezvous.ShardCount) {
		if s.state.Leases.Placement.Rank(shard, s.state.Self.ID) >= 0 && !s.witness.PromiseRenewed(now, shard) {
			return
		}
	}
	s.state.KeepersKnown = true
	out.Publish()
}

// invite asks at once for a shard that its keeper hands over to this process.
func (s *leasesStage) invite(now time.Time, shard uint32) {
	s.state.Leases.Candidate.ExpectHandover(now, shard)
	s.next = now
}

// unlikely returns the members that probably do not answer: suspects and those
// that are leaving.
func (s *State) unlikely() map[string]bool {
	if len(s.View.Leaving) == 0 {
		return s.View.Suspect
	}
	all := make(map[string]bool, len(s.View.Suspect)+len(s.View.Leaving))
	for id := range s.View.Suspect {
		all[id] = true
	}
	for id := range s.View.Leaving {
		all[id] = true
	}
	return all
}

// keeperOf names another process that probably keeps a shard, "" if none is
// known. A promise at the local witness is fresher than what the directory
// learned from answers.
func (s *State) keeperOf(now time.Time, shard uint32) string {
	if host, ok := s.Leases.Witness.Keeper(now, shard); ok && host != s.Self.ID {
		return host
	}
	return s.hint(shard)
}

// hint names the process that the directory takes for the keeper of a shard that
// this process does not keep, "" if it knows of none.
func (s *State) hint(shard uint32) string {
	if host, ok := s.Leases.Directory.Target(shard); ok && host != s.Self.ID {
		return host
	}
	return ""
}

// release gives up a shard and tells its witnesses; false when it is not held or
// was taken over too recently.
func (s *leasesStage) release(now time.Time, shard uint32, successor string, out *Output) bool {
	releases, ok := s.state.Leases.Candidate.Release(now, shard, successor)
	if ok {
		s.state.Leases.Directory.OnKeeper(shard, successor)
	}
	for _, r := range releases {
		if r.Witness == s.state.Self.ID {
			s.witness.Release(now, r)
			continue
		}
		s.state.call(out, r.Witness, r)
	}
	return ok
}
