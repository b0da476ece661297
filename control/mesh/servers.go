package mesh

import (
	"slices"
	"strings"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// ServersRead is a change of the platform's list of backend servers.
type ServersRead struct {
	At    uint64 // revision of the store; 0 when not stated
	Whole bool   // Put is the whole list
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
	known  bool      // the list was read once
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
	case Received:
		if m := ev.Message.ServerListChange; m != nil && s.state.peers[ev.Host] != nil {
			s.relayed(now, m, out)
		}
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
		s.dropSilent(now)
	}
}

// read takes in what this process read of the store.
func (s *serversStage) read(now time.Time, ev ServersRead, out *control.Output) {
	change := notice.ServerListChange{At: ev.At}
	seen := make(map[string]bool, len(ev.Put))
	for _, server := range ev.Put {
		seen[server.ID] = true
		if s.put(now, server, out) {
			change.Put = append(change.Put, encodeServer(server))
		}
	}
	gone := ev.Gone
	if ev.Whole {
		for id := range s.state.servers {
			if !seen[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if s.gone(now, id, ev.At, out) {
			change.Gone = append(change.Gone, id)
		}
	}
	first := !s.known
	s.known = true
	s.changed(now, &change, first, out)
}

// changed publishes a change and tells the others when this process reads the
// store for them. The first list of a process is no change.
func (s *serversStage) changed(now time.Time, change *notice.ServerListChange, first bool, out *control.Output) {
	if len(change.Put) == 0 && len(change.Gone) == 0 {
		return
	}
	s.updatePeers(now)
	out.Publish()
	if first || !s.state.reading {
		return
	}
	for _, part := range split(change) {
		s.state.tell(now, notice.Message{ServerListChange: &part}, urgentCopies, out)
	}
}

// split divides a change into parts that fit a datagram.
func split(change *notice.ServerListChange) []notice.ServerListChange {
	var parts []notice.ServerListChange
	for put := range slices.Chunk(change.Put, notice.MaxServersPerChange) {
		parts = append(parts, notice.ServerListChange{At: change.At, Put: put})
	}
	for gone := range slices.Chunk(change.Gone, notice.MaxServersPerChange) {
		parts = append(parts, notice.ServerListChange{At: change.At, Gone: gone})
	}
	return parts
}

// relayed takes in a change that a reader of the store tells.
func (s *serversStage) relayed(now time.Time, change *notice.ServerListChange, out *control.Output) {
	changed := false
	for _, entry := range change.Put {
		changed = s.put(now, decodeServer(entry), out) || changed
	}
	for _, id := range change.Gone {
		if server := s.state.servers[id]; server != nil && server.Revision <= change.At {
			s.drop(id)
			log(out, "backend server gone", map[string]any{"backend": id, "after": "message of a reader"})
			changed = true
		}
	}
	if changed {
		s.updatePeers(now)
		out.Publish()
	}
}

func encodeServer(s Server) notice.Server {
	return notice.Server{
		ID: s.ID, Service: s.Service, Zone: s.Zone, Addr: s.Addr, Created: s.Created, Revision: s.Revision,
		Slots: clamp(s.Slots), Draining: s.Draining, ColdMS: uint32(s.Cold.Milliseconds()), Born: s.Born,
	}
}

func decodeServer(n notice.Server) Server {
	host, _, _ := strings.Cut(n.Addr, ":")
	return Server{
		ID: n.ID, Service: n.Service, Zone: n.Zone, Host: host, Addr: n.Addr, Created: n.Created, Revision: n.Revision,
		Slots: int(n.Slots), Draining: n.Draining, Cold: time.Duration(n.ColdMS) * time.Millisecond, Born: n.Born,
	}
}

func (s *serversStage) put(now time.Time, server Server, out *control.Output) bool {
	old := s.state.servers[server.ID]
	if old != nil && server.Revision < old.Revision {
		return false
	}
	fresh := old == nil || old.Born != server.Born || old.Host != server.Host
	if !fresh && old.missing.IsZero() && sameEntry(old.Server, server) {
		return false
	}
	next := &listed{Server: server, coldUntil: now.Add(server.Cold)}
	if fresh {
		next.live = newLive(now)
		log(out, "backend server listed", map[string]any{"backend": server.ID, "service": server.Service, "host": server.Host})
	} else {
		next.live = old.live
		if server.Draining && !old.Draining {
			log(out, "backend server drains", map[string]any{"backend": server.ID})
		}
	}
	s.state.servers[server.ID] = next
	if s.state.left[server.ID] {
		s.state.left = without(s.state.left, server.ID)
	}
	return true
}

// sameEntry compares what traffic depends on. The remaining cold time falls and
// the revision grows with each entry.
func sameEntry(a, b Server) bool {
	a.Cold, b.Cold = 0, 0
	a.Revision, b.Revision = 0, 0
	return a == b
}

func newLive(now time.Time) *Live {
	live := &Live{}
	live.health.Store(&Health{Bad: belief.PriorBadProbability, Evidence: now})
	live.hear(now)
	return live
}

// gone drops a server at once unless the store was away just before: its entry
// may only have lapsed.
func (s *serversStage) gone(now time.Time, id string, at uint64, out *control.Output) bool {
	server := s.state.servers[id]
	if server == nil || (at != 0 && server.Revision > at) {
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
	var change notice.ServerListChange
	for id, server := range s.state.servers {
		if !server.missing.IsZero() && now.Sub(server.missing) >= s.keep() {
			change.At = max(change.At, server.Revision)
			change.Gone = append(change.Gone, id)
			s.drop(id)
			log(out, "backend server gone", map[string]any{"backend": id, "after": "store outage"})
		}
	}
	s.changed(now, &change, false, out)
}

// newest returns when the last server at each address was created. The entry of a
// server that ended without leaving stays listed for some seconds beside that of
// its successor.
func (s *state) newest() map[string]uint64 {
	newest := make(map[string]uint64, len(s.servers))
	for _, server := range s.servers {
		if server.missing.IsZero() {
			newest[server.Addr] = max(newest[server.Addr], server.Created)
		}
	}
	return newest
}
