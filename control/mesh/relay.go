package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Broadcasts go directly to the processes of the same availability zone and to a
// relay in each other zone, which forwards them within its zone. Traffic between
// zones is billed, and this way it grows with the number of zones and not with the
// number of hosts. Relays rotate, so that a lost or partitioned relay affects only
// some of the messages.
const (
	// relaysPerZone suffices for messages that are repeated within a second.
	relaysPerZone = 1
	// urgentRelaysPerZone tolerates one lost datagram or relay, for changes that
	// have to arrive at once.
	urgentRelaysPerZone = 2
)

// relayStage forwards messages to the processes of its availability zone.
type relayStage struct{ state *state }

// Name returns "relay".
func (s *relayStage) Name() string { return "relay" }

// Deadline returns the zero time: the stage needs no ticks.
func (s *relayStage) Deadline() time.Time { return time.Time{} }

// Handle forwards messages that have ForwardToZone set.
func (s *relayStage) Handle(_ time.Time, ev control.Event, out *control.Output) {
	received, ok := ev.(MessageReceived)
	if !ok || !received.Message.ForwardToZone || s.state.peers[received.Host] == nil {
		return
	}
	message := received.Message
	message.ForwardToZone, message.Origin = false, received.Host
	sendTo(out, s.state.hostsByZone[s.state.identity.Zone], message)
}

func sendTo(out *control.Output, hosts []string, message notice.Message) {
	if len(hosts) > 0 {
		out.Emit(SendMessage{Hosts: hosts, Message: message})
	}
}

// broadcast sends a message to all peers, through relayCount relays in each other
// availability zone. In zones without a reachable relay it is sent to each host.
func (s *state) broadcast(now time.Time, message notice.Message, relayCount int, out *control.Output) {
	s.nextRelay++
	direct := s.hostsByZone[s.identity.Zone]
	var relays []string
	for zone, hosts := range s.hostsByZone {
		if zone == s.identity.Zone {
			continue
		}
		picked := s.pickRelays(now, hosts, relayCount)
		if len(picked) == 0 {
			direct = append(direct[:len(direct):len(direct)], hosts...)
		}
		relays = append(relays, picked...)
	}
	sendTo(out, direct, message)
	message.ForwardToZone = true
	sendTo(out, relays, message)
}

// pickRelays returns the next reachable hosts in rotation. It returns none if the
// zone has no more than relayCount hosts, since relaying would save nothing.
func (s *state) pickRelays(now time.Time, hosts []string, relayCount int) []string {
	if len(hosts) <= relayCount {
		return nil
	}
	var picked []string
	for i := range hosts {
		host := hosts[(s.nextRelay+i)%len(hosts)]
		if s.isReachable(now, s.peers[host]) {
			picked = append(picked, host)
		}
		if len(picked) == relayCount {
			break
		}
	}
	return picked
}
