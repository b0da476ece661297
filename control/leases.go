package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// leaseCheckInterval is the time between two checks of the leases. The candidate
// requires a tick at least every RenewInterval/5.
const leaseCheckInterval = lease.RenewInterval / 5

// Leases are the parts of the lease protocol that other stages read.
type Leases struct {
	Placement *lease.Placement
	Candidate *lease.Candidate
	Directory *lease.Directory
	Voter     *lease.Voter
}

// leasesStage takes part in the leases of shards as a voter and as a
// candidate.
type leasesStage struct {
	state         *State
	voter         *lease.Voter
	memberVersion uint64 // host list version of the members last passed to the placement
	nextCheck     time.Time
}

func newLeasesStage(state *State) *leasesStage {
	started := state.Self.Started
	voter := lease.NewVoter(state.Self.ID, started)
	placement := lease.NewPlacement(nil)
	id := lease.CandidateID{Host: state.Self.ID, Incarnation: state.Self.Incarnation}
	state.Leases = Leases{
		Placement: placement,
		Candidate: lease.NewCandidate(id, started, placement, voter),
		Directory: lease.NewDirectory(placement),
		Voter:     voter,
	}
	// Voters that started at the same time promise nothing during this delay,
	// and each round without a quorum delays the next one.
	return &leasesStage{state: state, voter: voter, nextCheck: started.Add(lease.VoterStartupDelay)}
}

// Name returns "leases".
func (s *leasesStage) Name() string { return "leases" }

// Deadline returns the time of the next check of the leases.
func (s *leasesStage) Deadline() time.Time { return s.nextCheck }

// Handle processes promise requests and replies and requests the promises that are
// due.
func (s *leasesStage) Handle(now time.Time, ev Event, out *Output) {
	s.updateMembers(now)
	switch e := ev.(type) {
	case PeerRequest:
		s.handleRequest(now, e)
	case PeerResponse:
		if reply, ok := e.Reply.(lease.PromiseReply); ok && e.Err == nil {
			s.state.Leases.Candidate.OnReply(now, reply)
		}
	case statusRequest:
		e.status.HeldShards = len(s.state.Leases.Candidate.HeldShards(now))
	case Tick:
		s.tick(now, out)
	}
}

func (s *leasesStage) updateMembers(now time.Time) {
	if s.memberVersion == s.state.HostVersion {
		return
	}
	s.memberVersion = s.state.HostVersion
	s.state.Leases.Placement.SetMembers(s.state.Members)
	s.state.Leases.Candidate.MembersChanged(now)
}

func (s *leasesStage) handleRequest(now time.Time, e PeerRequest) {
	switch m := e.Message.(type) {
	case lease.PromiseRequest:
		e.Respond(s.voter.Promise(now, m))
	case lease.Release:
		s.voter.Release(now, m)
		e.Respond(Ack{})
	}
}

func (s *leasesStage) tick(now time.Time, out *Output) {
	if now.Before(s.nextCheck) {
		return
	}
	candidate := s.state.Leases.Candidate
	s.nextCheck = now.Add(leaseCheckInterval)
	if candidate.HandoverPending(now) {
		s.nextCheck = now.Add(lease.HandoverRetryInterval)
	}
	candidate.SetSuspected(s.state.unresponsiveMembers())
	for _, request := range candidate.Tick(now) {
		if request.Voter == s.state.Self.ID {
			candidate.OnReply(now, s.voter.Promise(now, request))
			continue
		}
		s.state.call(out, request.Voter, request)
	}
	s.checkLeadersKnown(now, out)
}

// checkLeadersKnown sets LeadersKnown once all shards of which this process is a
// voter have a leader. From then on, token requests for these shards can be
// granted.
func (s *leasesStage) checkLeadersKnown(now time.Time, out *Output) {
	if s.state.LeadersKnown || s.state.HostVersion == 0 {
		return
	}
	for shard := range uint32(rendezvous.ShardCount) {
		if s.state.Leases.Placement.Rank(shard, s.state.Self.ID) >= 0 && !s.voter.PromiseRenewed(now, shard) {
			return
		}
	}
	s.state.LeadersKnown = true
	out.Publish()
}

// expectHandover requests the lease of a shard at once when its leader hands it over
// to this process.
func (s *leasesStage) expectHandover(now time.Time, shard uint32) {
	s.state.Leases.Candidate.ExpectHandover(now, shard)
	s.nextCheck = now
}

// unresponsiveMembers returns the members that are unlikely to reply: suspected and
// leaving ones.
func (s *State) unresponsiveMembers() map[string]bool {
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

// likelyLeader returns another process that probably leads a shard, "" if none is
// known. A promise of the local voter is more recent than the directory, which is
// updated from replies.
func (s *State) likelyLeader(now time.Time, shard uint32) string {
	if host, ok := s.Leases.Voter.Leader(now, shard); ok && host != s.Self.ID {
		return host
	}
	return s.leaderHint(shard)
}

// leaderHint returns the process that the directory lists as the leader of a shard,
// "" if there is none or it is this process.
func (s *State) leaderHint(shard uint32) string {
	if host, ok := s.Leases.Directory.Target(shard); ok && host != s.Self.ID {
		return host
	}
	return ""
}

// releaseShard releases the lease of a shard and informs its voters. It reports
// false if the shard is not held or was acquired too recently.
func (s *leasesStage) releaseShard(now time.Time, shard uint32, successor string, out *Output) bool {
	releases, ok := s.state.Leases.Candidate.Release(now, shard, successor)
	if ok {
		s.state.Leases.Directory.OnLeader(shard, successor)
	}
	for _, r := range releases {
		if r.Voter == s.state.Self.ID {
			s.voter.Release(now, r)
			continue
		}
		s.state.call(out, r.Voter, r)
	}
	return ok
}
