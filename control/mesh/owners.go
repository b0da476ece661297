package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// owner returns the process that keeps the tokens of a key, and the process to
// send asks to: the owner, or one that hears it when this one does not. The owner
// is the first by rendezvous hash of the processes that anyone was heard to hear;
// processes that are cut from each other in part agree on it that way, since two
// owners would grant the rate twice. It is empty while less than half of the
// fleet is heard.
func (s *teamsStage) owner(now time.Time, key uint64) (owner, via string) {
	members, heard := s.owners(now)
	if 2*heard <= len(s.state.peers) {
		return "", ""
	}
	best := rendezvous.Rank(key, members, 1)
	if len(best) == 0 {
		return "", ""
	}
	owner = best[0].ID
	if now.Before(s.detours[owner]) {
		if around := s.around(now, owner); around != "" {
			return owner, around
		}
	}
	return owner, s.via(now, owner)
}

// owners returns the processes that may own teams, and how many of them this one
// hears itself.
func (s *teamsStage) owners(now time.Time) (members []rendezvous.Member, heard int) {
	if now.Sub(s.state.self.Started) >= ownerDelay && !s.state.stopping {
		members = append(members, rendezvous.Member{ID: s.state.self.Host})
		heard++
	}
	for host, peer := range s.state.peers {
		live := s.state.live(now, peer)
		if live {
			heard++
		}
		if live || (!peer.Stopping && s.via(now, host) != "") {
			members = append(members, rendezvous.Member{ID: host})
		}
	}
	return members, heard
}

// via returns a process through which a host is reached: the host itself, or a
// peer that hears it; empty when there is none.
func (s *teamsStage) via(now time.Time, host string) string {
	if host == s.state.self.Host || s.state.reached(now, s.state.peers[host]) {
		return host
	}
	return s.around(now, host)
}

// around returns a peer that hears a host, other than the host itself; empty when
// there is none.
func (s *teamsStage) around(now time.Time, host string) string {
	for other, peer := range s.state.peers {
		if other != host && s.state.reached(now, peer) && !peer.Unheard[host] {
			return other
		}
	}
	return ""
}

// heard counts the other processes that may own teams.
func (s *teamsStage) heard(now time.Time) int {
	n := 0
	for _, peer := range s.state.peers {
		if s.state.live(now, peer) {
			n++
		}
	}
	return n
}

// settle notes when the processes that share the teams last changed: before it,
// another process may have owned a team.
func (s *teamsStage) settle(now time.Time, members int) {
	if members != s.members {
		s.members, s.settled = members, now
	}
}
