package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
)

// ServersRead is a change of the platform's list of backend servers.
type ServersRead struct {
	Whole bool // Put is the whole list
	Put   []Server
	Gone  []string
}

// ControlEvent marks ServersRead as an event.
func (ServersRead) ControlEvent() {}

// StoreLost and StoreFound say that the platform's store stopped or began to
// answer.
type (
	StoreLost  struct{}
	StoreFound struct{}
)

// ControlEvent marks StoreLost as an event.
func (StoreLost) ControlEvent() {}

// ControlEvent marks StoreFound as an event.
func (StoreFound) ControlEvent() {}

// Servers that vanish around an outage of the store are kept for a while: those
// whose entries lapsed meanwhile register again within 2 s. They are not kept for
// longer than a server that leaves may still get requests.
const (
	// drainMargin is the part of the drain time that is left for requests on
	// their way and for the delay of the list.
	drainMargin = 400 * time.Millisecond
	// lapseOutage is the shortest outage in which entries lapse: they live for
	// three heartbeats.
	lapseOutage = time.Second
)

// serversStage keeps the list of backend servers and of the processes in front
// of them.
type serversStage struct {
	state *state
	// drain is how long a server that leaves may still get requests.
	drain  time.Duration
	away   bool      // the store does not answer
	lost   time.Time // when it stopped
	found  time.Time // when it last began to answer again
	lapsed bool      // the last outage was long enough for entries to lapse
}

// keep is how long a server that may only have lapsed is kept.
func (s *serversStage) keep() time.Duration { return max(s.drain-drainMargin, 0) }

// Name returns "servers".
func (s *serversStage) Name() string { return "servers" }

// Deadline returns when the next server that vanished is dropped.
func (s *serversStage) Deadline() time.Time {
	var next time.Time
	for _, server := range s.state.servers {
		if server.missing.IsZero() {
			continue
		}
		if at := server.missing.Add(s.keep()); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Handle reacts to changes of the list.
func (s *serversStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case ServersRead:
		s.read(now, ev, out)
	case StoreLost:
		if !s.away {
			log(out, "platform store lost", nil)
			s.lost = now
		}
		s.away = true
	case StoreFound:
		if s.away {
			log(out, "platform store regained", map[string]any{"away_ms": now.Sub(s.lost).Milliseconds()})
			s.found, s.lapsed = now, now.Sub(s.lost) >= lapseOutage
		}
		s.away = false
	case control.Tick:
		s.dropMissing(now, out)
	}
}

func (s *serversStage) read(now time.Time, ev ServersRead, out *control.Output) {
	changed := false
	seen := make(map[string]bool, len(ev.Put))
	for _, server := range ev.Put {
		seen[server.ID] = true
		changed = s.put(now, server, out) || changed
	}
	for _, id := range ev.Gone {
		changed = s.gone(now, id, out) || changed
	}
	if ev.Whole {
		for id := range s.state.servers {
			if !seen[id] {
				changed = s.gone(now, id, out) || changed
			}
		}
	}
	if changed {
		s.updatePeers()
		out.Publish()
	}
}

func (s *serversStage) put(now time.Time, server Server, out *control.Output) bool {
	old := s.state.servers[server.ID]
	fresh := old == nil || old.Born != server.Born || old.Host != server.Host
	if !fresh && old.missing.IsZero() && sameEntry(old.Server, server) {
		return false
	}
	next := &listed{Server: server, coldUntil: now.Add(server.Cold)}
	if fresh {
		next.live = newLive(now)
		log(out, "backend server listed", map[string]any{"backend": server.ID, "service": server.Service, "host": server.Host})
	} else {
		next.live, next.quietFrom = old.live, old.quietFrom
	}
	switch {
	case !server.Draining:
		next.quietFrom = time.Time{}
	case next.quietFrom.IsZero():
		next.quietFrom = now.Add(s.keep())
		if !fresh {
			log(out, "backend server drains", map[string]any{"backend": server.ID})
		}
	}
	s.state.servers[server.ID] = next
	if s.state.left[server.ID] {
		s.state.left = without(s.state.left, server.ID)
	}
	return true
}

// sameEntry compares what traffic depends on. The remaining cold time falls with
// each entry and is taken from the first.
func sameEntry(a, b Server) bool {
	a.Cold, b.Cold = 0, 0
	return a == b
}

func newLive(now time.Time) *Live {
	live := &Live{}
	live.health.Store(&Health{Bad: belief.Prior, Evidence: now, Heard: now})
	return live
}

// gone drops a server at once unless the store was away just before: its entry
// may only have lapsed.
func (s *serversStage) gone(now time.Time, id string, out *control.Output) bool {
	server := s.state.servers[id]
	if server == nil {
		return false
	}
	if s.away || (s.lapsed && now.Sub(s.found) < s.keep()) {
		if server.missing.IsZero() {
			server.missing = now
		}
		return false
	}
	s.drop(id)
	log(out, "backend server gone", map[string]any{"backend": id})
	return true
}

// drop takes a server off the list. Those of this host are remembered, so that
// entries that do not know yet are refused.
func (s *serversStage) drop(id string) {
	if s.state.servers[id].Host == s.state.self.Host {
		left := without(s.state.left, id)
		left[id] = true
		s.state.left = left
	}
	delete(s.state.servers, id)
}

// without returns a copy; snapshots hold the original.
func without(set map[string]bool, id string) map[string]bool {
	copied := make(map[string]bool, len(set)+1)
	for known := range set {
		if known != id {
			copied[known] = true
		}
	}
	return copied
}

func (s *serversStage) dropMissing(now time.Time, out *control.Output) {
	if s.away {
		return
	}
	for id, server := range s.state.servers {
		if !server.missing.IsZero() && now.Sub(server.missing) >= s.keep() {
			s.drop(id)
			log(out, "backend server gone", map[string]any{"backend": id, "after": "store outage"})
			s.updatePeers()
			out.Publish()
		}
	}
}

// superseded tells whether a later server has the address of this one: the entry
// of a server that ended without leaving stays listed for some seconds.
func (s *state) superseded(server *listed) bool {
	for _, other := range s.servers {
		if other.Addr == server.Addr && other.Created > server.Created && other.missing.IsZero() {
			return true
		}
	}
	return false
}

// updatePeers follows the hosts of the listed servers.
func (s *serversStage) updatePeers() {
	hosts := make(map[string]bool)
	for _, server := range s.state.servers {
		hosts[server.Host] = true
	}
	delete(hosts, s.state.self.Host)
	for host := range s.state.peers {
		if !hosts[host] {
			delete(s.state.peers, host)
		}
	}
	for host := range hosts {
		if s.state.peers[host] == nil {
			s.state.peers[host] = &Peer{}
		}
	}
}
