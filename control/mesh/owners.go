package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// owner returns the host that owns the tokens of a key and the host to send token
// requests to: the owner, or a peer that forwards them when this process does not
// hear the owner directly. The owner is ranked first by rendezvous hashing among all
// hosts that this process or one of its reachable peers hears. Processes therefore
// agree on it even in a partial network partition; two owners would grant the rate
// twice.
// Both are empty while this process hears less than half of the fleet.
func (s *teamsStage) owner(now time.Time, key uint64) (owner, via string) {
	members, heard := s.ownerCandidates(now)
	if 2*heard <= len(s.state.peers) {
		return "", ""
	}
	best := rendezvous.Rank(key, members, 1)
	if len(best) == 0 {
		return "", ""
	}
	owner = best[0].ID
	if now.Before(s.tokenRelayUntil[owner]) {
		if forwarder := s.findForwarder(now, owner); forwarder != "" {
			return owner, forwarder
		}
	}
	return owner, s.nextHop(now, owner)
}

// ownerCandidates returns the hosts that may own tokens, and how many of them this
// process hears itself.
func (s *teamsStage) ownerCandidates(now time.Time) (members []rendezvous.Member, heard int) {
	if now.Sub(s.state.identity.StartedAt) >= ownershipDelay && !s.state.stopping {
		members = append(members, rendezvous.Member{ID: s.state.identity.Host})
		heard++
	}
	for host, peer := range s.state.peers {
		alive := s.state.isAlive(now, peer)
		if alive {
			heard++
		}
		if alive || (!peer.Stopping && s.nextHop(now, host) != "") {
			members = append(members, rendezvous.Member{ID: host})
		}
	}
	return members, heard
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

// updateAliveCount records when the number of alive peers last changed: before that,
// another process may have owned a team.
func (s *teamsStage) updateAliveCount(now time.Time, alivePeers int) {
	if alivePeers != s.alivePeers {
		s.alivePeers, s.ownersChangedAt = alivePeers, now
	}
}
