package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Messages for all processes go directly to those of the own availability zone
// and to a relay in each other zone, which passes them on: bytes between zones are
// priced, and this way they grow with the number of zones and not of hosts. Relays
// take turns, so that one that is lost or cut off costs single messages.
const (
	// usualCopies is enough for messages that are repeated within a second.
	usualCopies = 1
	// urgentCopies covers a lost datagram or relay for changes that matter at once.
	urgentCopies = 2
)

// relayStage passes on messages for the processes of this availability zone.
type relayStage struct{ state *state }

// Name returns "relay".
func (s *relayStage) Name() string { return "relay" }

// Deadline returns the zero time.
func (s *relayStage) Deadline() time.Time { return time.Time{} }

// Handle passes on what a peer asks to pass on.
func (s *relayStage) Handle(_ time.Time, ev control.Event, out *control.Output) {
	received, ok := ev.(Received)
	if !ok || !received.Message.ForwardToZone || s.state.peers[received.Host] == nil {
		return
	}
	message := received.Message
	message.ForwardToZone, message.Origin = false, received.Host
	emit(out, s.state.zones[s.state.self.Zone], message)
}

func emit(out *control.Output, hosts []string, message notice.Message) {
	if len(hosts) > 0 {
		out.Emit(Send{Hosts: hosts, Message: message})
	}
}

// tell sends a message to all processes, through a number of relays in each other
// availability zone. Zones without live relays are told host by host.
func (s *state) tell(now time.Time, message notice.Message, copies int, out *control.Output) {
	s.turn++
	direct := s.zones[s.self.Zone]
	var relays []string
	for zone, hosts := range s.zones {
		if zone == s.self.Zone {
			continue
		}
		picked := s.relays(now, hosts, copies)
		if len(picked) == 0 {
			direct = append(direct[:len(direct):len(direct)], hosts...)
		}
		relays = append(relays, picked...)
	}
	emit(out, direct, message)
	message.ForwardToZone = true
	emit(out, relays, message)
}

// relays picks the next live hosts in turn; none where passing on saves nothing.
func (s *state) relays(now time.Time, hosts []string, copies int) []string {
	if len(hosts) <= copies {
		return nil
	}
	var picked []string
	for i := range hosts {
		host := hosts[(s.turn+i)%len(hosts)]
		if s.reached(now, s.peers[host]) {
			picked = append(picked, host)
		}
		if len(picked) == copies {
			break
		}
	}
	return picked
}
