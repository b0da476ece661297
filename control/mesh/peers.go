package mesh

import (
	"slices"
	"time"
)

// Peer is another process of the fleet.
type Peer struct {
	Zone             string
	Unlisted         bool      // no backend server of the host is listed any more
	KnownSince       time.Time // when the host became a peer
	HeardAt          time.Time // last status, direct or relayed
	HeardDirectlyAt  time.Time // last datagram from the peer itself
	BootID           uint32
	Seq              uint32
	Stopping         bool
	StoreUnreachable bool            // the peer was a store reader but got no answers from the store
	Unheard          map[string]bool // hosts that the peer has not heard directly within the peer timeout
}

// isHeard reports whether a peer was heard within the peer timeout.
func (s *state) isHeard(now time.Time, p *Peer) bool {
	return now.Sub(p.HeardAt) < s.scaledPeerTimeout()
}

// isAlive reports whether a peer was heard within the peer timeout and is not
// stopping.
func (s *state) isAlive(now time.Time, p *Peer) bool {
	return s.isHeard(now, p) && !p.Stopping
}

// isReachable reports whether an alive peer was also heard directly within the peer
// timeout.
func (s *state) isReachable(now time.Time, p *Peer) bool {
	return s.isAlive(now, p) && now.Sub(p.HeardDirectlyAt) < s.scaledPeerTimeout()
}

// scaledStatusInterval returns the maximum time between two statuses of a process.
func (s *state) scaledStatusInterval() time.Duration {
	return scaleInterval(statusInterval, len(s.peers), statusScalePeers)
}

// scaledPeerTimeout returns the silence after which a peer counts as lost.
func (s *state) scaledPeerTimeout() time.Duration {
	return scaleInterval(peerTimeout, len(s.peers), statusScalePeers)
}

// scaleInterval lengthens an interval in proportion to the number of peers once it
// exceeds a threshold.
func scaleInterval(interval time.Duration, peers, threshold int) time.Duration {
	return time.Duration(float64(interval) * max(1, float64(peers)/float64(threshold)))
}

// updatePeers adds the hosts of the listed servers as peers. A host without a listed
// server stays a peer while it is heard: its process serves callers until it is
// stopped and still needs the broadcasts.
func (s *serversStage) updatePeers(now time.Time) {
	hosts := make(map[string]string) // zone by host
	for _, server := range s.state.servers {
		hosts[server.Host] = server.Zone
	}
	delete(hosts, s.state.identity.Host)
	for host, peer := range s.state.peers {
		_, listed := hosts[host]
		peer.Unlisted = !listed
	}
	for host, zone := range hosts {
		if s.state.peers[host] == nil {
			s.state.peers[host] = &Peer{KnownSince: now}
		}
		s.state.peers[host].Zone = zone
	}
	s.indexHosts()
}

// indexHosts rebuilds hostsByZone and liveStatesByHost.
func (s *serversStage) indexHosts() {
	s.state.hostsByZone = make(map[string][]string)
	for host, peer := range s.state.peers {
		s.state.hostsByZone[peer.Zone] = append(s.state.hostsByZone[peer.Zone], host)
	}
	for _, hosts := range s.state.hostsByZone {
		slices.Sort(hosts)
	}
	s.state.liveStatesByHost = make(map[string][]*LiveState)
	for _, server := range s.state.servers {
		s.state.liveStatesByHost[server.Host] = append(s.state.liveStatesByHost[server.Host], server.live)
	}
}

// removeSilentPeers removes peers without a listed server that were not heard within
// the peer timeout.
func (s *serversStage) removeSilentPeers(now time.Time) {
	removed := false
	for host, peer := range s.state.peers {
		if peer.Unlisted && now.Sub(peer.HeardAt) >= s.state.scaledPeerTimeout() {
			delete(s.state.peers, host)
			removed = true
		}
	}
	if removed {
		s.indexHosts()
	}
}
