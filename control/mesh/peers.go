package mesh

import (
	"slices"
	"time"
)

// Peer is another process of the fleet.
type Peer struct {
	Zone     string
	Unlisted bool      // the platform lists no backend server of the host any more
	Known    time.Time // since when the host is a peer
	Heard    time.Time // of the last status, also through another process
	Direct   time.Time // of the last datagram that came from the peer itself
	Boot     uint32
	Seq      uint32
	Stopping bool
	Blind    bool            // the peer cannot read the store
	Unheard  map[string]bool // hosts that the peer has not heard directly for a while
}

// live tells whether a peer was heard lately and takes part.
func (s *state) live(now time.Time, p *Peer) bool {
	return now.Sub(p.Heard) < s.timeout() && !p.Stopping
}

// reached tells whether a live peer was heard lately without a detour.
func (s *state) reached(now time.Time, p *Peer) bool {
	return s.live(now, p) && now.Sub(p.Direct) < s.timeout()
}

// restInterval is the longest time between two statuses of a process.
func (s *state) restInterval() time.Duration {
	return stretch(statusInterval, len(s.peers), restPeers)
}

// timeout is the silence after which a peer is taken for lost.
func (s *state) timeout() time.Duration {
	return stretch(peerTimeout, len(s.peers), restPeers)
}

// stretch lengthens an interval in proportion to the peers above a number.
func stretch(interval time.Duration, peers, above int) time.Duration {
	return time.Duration(float64(interval) * max(1, float64(peers)/float64(above)))
}

// updatePeers follows the hosts of the listed servers. A host without a server
// stays a peer while it is heard: its process serves callers until it is stopped
// and needs what the others tell.
func (s *serversStage) updatePeers(now time.Time) {
	hosts := make(map[string]string) // to their zones
	for _, server := range s.state.servers {
		hosts[server.Host] = server.Zone
	}
	delete(hosts, s.state.self.Host)
	for host, peer := range s.state.peers {
		_, listed := hosts[host]
		peer.Unlisted = !listed
	}
	for host, zone := range hosts {
		if s.state.peers[host] == nil {
			s.state.peers[host] = &Peer{Known: now}
		}
		s.state.peers[host].Zone = zone
	}
	s.indexHosts()
}

// indexHosts rebuilds the tables by availability zone and by host.
func (s *serversStage) indexHosts() {
	s.state.zones = make(map[string][]string)
	for host, peer := range s.state.peers {
		s.state.zones[peer.Zone] = append(s.state.zones[peer.Zone], host)
	}
	for _, hosts := range s.state.zones {
		slices.Sort(hosts)
	}
	s.state.lives = make(map[string][]*Live)
	for _, server := range s.state.servers {
		s.state.lives[server.Host] = append(s.state.lives[server.Host], server.live)
	}
}

// dropSilent forgets peers without a server that are not heard any more.
func (s *serversStage) dropSilent(now time.Time) {
	dropped := false
	for host, peer := range s.state.peers {
		if peer.Unlisted && now.Sub(peer.Heard) >= s.state.timeout() {
			delete(s.state.peers, host)
			dropped = true
		}
	}
	if dropped {
		s.indexHosts()
	}
}
