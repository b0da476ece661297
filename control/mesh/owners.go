package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// ownershipTimeout is how long an owner grants tokens without hearing more than half of
// the fleet. It is longer than statusInterval, and a second shorter than peerTimeout,
// after which the other processes choose another owner. It is scaled like both.
const ownershipTimeout = 1500 * time.Millisecond

// ownership is this process's view of who owns the tokens of a key.
type ownership struct {
	host string // empty if it is unknown
	via  string // host to send token requests to: the owner, or a peer that forwards them
	mine bool   // this process owns the tokens and may grant them
	// unreachable is the fraction of the hosts with a listed server that cannot be reached,
	// also not through a peer: their processes may decide on their own.
	unreachable float64
}

// owner returns the owner of the tokens of a key: the host ranked first by rendezvous
// hashing among the hosts with a listed server that this process or one of its reachable
// peers hears. Processes therefore agree on it even in a partial network partition; two
// owners would grant the rate twice.
// The owner is unknown while this process hears less than half of the fleet. It grants
// tokens itself only while it has heard more than half within ownershipTimeout, because
// processes on the other side of a partition choose another owner.
func (s *teamsStage) owner(now time.Time, key uint64, out *control.Output) ownership {
	candidates := s.ownerCandidates(now)
	s.updateCandidates(now, candidates, out)
	best := rendezvous.Rank(key, candidates.members, 1)
	if len(best) == 0 || !candidates.isMajority(candidates.heard+candidates.presumed) {
		return ownership{}
	}
	host := best[0].ID
	return ownership{
		host: host,
		via:  s.tokenHop(now, host),
		mine: host == s.state.identity.Host && candidates.isMajority(candidates.recent),

		unreachable: float64(candidates.unreachable) / float64(candidates.listed),
	}
}

// tokenHop returns the host to send token requests for an owner to.
func (s *teamsStage) tokenHop(now time.Time, owner string) string {
	if now.Before(s.tokenRelayUntil[owner]) {
		if forwarder := s.findForwarder(now, owner); forwarder != "" {
			return forwarder
		}
	}
	if s.isPresumedAlive(now, owner) {
		return owner
	}
	return s.nextHop(now, owner)
}

// candidates are the hosts that may own tokens.
type candidates struct {
	members     []rendezvous.Member
	listed      int // hosts with a listed server
	heard       int // listed hosts that this process hears, including its own and those that stop
	recent      int // listed hosts heard within the ownership timeout, including its own
	presumed    int // listed hosts that it has not heard since its start, shortly after it
	unreachable int // listed hosts that it hears neither itself nor through a peer
}

// isMajority reports whether hosts are more than half of those with a listed server.
func (c candidates) isMajority(hosts int) bool { return 2*hosts > c.listed }

// ownerCandidates returns the hosts that may own tokens. Only hosts with a listed server
// are candidates: the list is the same for all processes, also for one that has just
// started.
func (s *teamsStage) ownerCandidates(now time.Time) candidates {
	var c candidates
	if len(s.state.liveStatesByHost[s.state.identity.Host]) > 0 {
		c.listed, c.heard, c.recent = 1, 1, 1
		if !s.state.stopping {
			c.members = append(c.members, rendezvous.Member{ID: s.state.identity.Host})
		}
	}
	for host, peer := range s.state.peers {
		if peer.Unlisted {
			continue
		}
		c.listed++
		alive, presumed := s.state.isAlive(now, peer), s.isPresumedAlive(now, host)
		if s.state.isHeard(now, peer) {
			c.heard++
		}
		if s.isRecent(now, peer) {
			c.recent++
		}
		if presumed {
			c.presumed++
		}
		switch {
		case alive, presumed, !peer.Stopping && s.nextHop(now, host) != "":
			c.members = append(c.members, rendezvous.Member{ID: host})
		case !peer.Stopping:
			c.unreachable++
		}
	}
	return c
}

// isRecent reports whether a peer was heard within the ownership timeout.
func (s *teamsStage) isRecent(now time.Time, peer *Peer) bool {
	timeout := scaleInterval(ownershipTimeout, len(s.state.peers), statusScalePeers)
	return now.Sub(peer.HeardAt) < timeout || now.Sub(peer.HeardDirectlyAt) < timeout
}

// isPresumedAlive reports whether a peer counts as alive although it has not been heard:
// this process has started within the peer timeout. After a restart of all hosts, the
// processes agree on the owners from the list before they have heard each other.
func (s *teamsStage) isPresumedAlive(now time.Time, host string) bool {
	peer := s.state.peers[host]
	return peer != nil && peer.HeardAt.IsZero() && now.Sub(s.state.identity.StartedAt) < s.state.scaledPeerTimeout()
}

// position returns the position of this process among all of the fleet in the order of
// the hash for a key.
func (s *teamsStage) position(key uint64) int {
	members := make([]rendezvous.Member, 0, len(s.state.peers))
	for host := range s.state.peers {
		members = append(members, rendezvous.Member{ID: host})
	}
	return rendezvous.Position(key, members, s.state.identity.Host)
}

// nextHop returns the host to send messages for a host to: the host itself, or a
// peer that hears it. It is empty when there is none.
func (s *teamsStage) nextHop(now time.Time, host string) string {
	if host == s.state.identity.Host || s.state.isReachable(now, s.state.peers[host]) {
		return host
	}
	return s.findForwarder(now, host)
}

// findForwarder returns a reachable peer that hears a host and can forward messages
// to it. It is empty when there is none.
func (s *teamsStage) findForwarder(now time.Time, host string) string {
	for other, peer := range s.state.peers {
		if other != host && s.state.isReachable(now, peer) && !peer.Unheard[host] {
			return other
		}
	}
	return ""
}

// countAlivePeers returns the number of peers that may own tokens.
func (s *teamsStage) countAlivePeers(now time.Time) int {
	n := 0
	for _, peer := range s.state.peers {
		if s.state.isAlive(now, peer) {
			n++
		}
	}
	return n
}

// updateCandidates records when the hosts that may own tokens, or the majority that this
// process needs for owning any, last changed: before that, another process may have owned
// a team. It is called with each decision about an owner, so that a new owner's bucket
// holds no tokens from before the change.
func (s *teamsStage) updateCandidates(now time.Time, c candidates, out *control.Output) {
	majority := c.isMajority(c.recent)
	changed := majority != s.majority || len(c.members) != len(s.candidates)
	for _, member := range c.members {
		changed = changed || !s.candidates[member.ID]
	}
	if !changed {
		return
	}
	s.candidates = make(map[string]bool, len(c.members))
	for _, member := range c.members {
		s.candidates[member.ID] = true
	}
	s.majority, s.ownersChangedAt = majority, now
	s.releaseBuckets(c, out)
}

// releaseBuckets removes the buckets of teams and the shared retries of services that this
// process does not own any more. While another process grants them, they would fill up.
func (s *teamsStage) releaseBuckets(c candidates, out *control.Output) {
	owns := func(key uint64) bool {
		best := rendezvous.Rank(key, c.members, 1)
		return s.majority && len(best) > 0 && best[0].ID == s.state.identity.Host
	}
	for name := range s.buckets {
		if !owns(ownerKey(notice.ForTeam, name)) {
			delete(s.buckets, name)
			emitLog(out, "team token ownership released", map[string]any{"team": name, "heard": c.heard, "hosts": c.listed})
		}
	}
	for service := range s.retries.budgets {
		if !owns(ownerKey(notice.ForCallRetry, service)) {
			delete(s.retries.budgets, service)
		}
	}
}
