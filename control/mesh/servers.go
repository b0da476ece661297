package mesh

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// ListSource is where a list of backend servers comes from.
type ListSource uint8

// The sources of a list.
const (
	FromStore      ListSource = iota
	FromStaleStore            // from the store, which may have answered with a copy some seconds old
	FromReader                // from a peer that is a store reader
)

// ServerListRead reports a change of the list of backend servers in the store.
type ServerListRead struct {
	Era      uint64 // of the store; 0 if it names none
	Revision uint64 // of the store; 0 when unknown
	Complete bool   // Put is the complete list
	Put      []Server
	Removed  []string
	Source   ListSource
	Host     string // of the reader, if FromReader
	// Evacuations is the set of evacuated zones of the reader; nil if it sent none.
	Evacuations *EvacuationsRead
}

// position returns the position of the store at which the list was read.
func (e ServerListRead) position() StorePosition {
	return StorePosition{Era: e.Era, Revision: e.Revision}
}

// ControlEvent marks ServerListRead as an event.
func (ServerListRead) ControlEvent() {}

// StoreUnavailable and StoreAvailable report that the platform's store stopped
// answering this process or answers it again.
type (
	StoreUnavailable struct{}
	StoreAvailable   struct{}
)

// ControlEvent marks StoreUnavailable as an event.
func (StoreUnavailable) ControlEvent() {}

// ControlEvent marks StoreAvailable as an event.
func (StoreAvailable) ControlEvent() {}

// Servers that disappear from the list during or just after a store outage are kept
// for a grace period: those whose entries expired meanwhile register again within
// 2 s. The grace period ends before the drain time.
const (
	// drainMargin is the part of the drain time that is reserved for requests in
	// transit and for the propagation delay of the list.
	drainMargin = 400 * time.Millisecond
	// minExpiryOutage is the shortest outage in which entries can expire: they
	// expire after three missed heartbeats.
	minExpiryOutage = time.Second
)

// serversStage maintains the list of backend servers and the list of peers.
type serversStage struct {
	state *state
	// drainTime is how long a server that was removed from the list may still
	// receive requests.
	drainTime      time.Duration
	storeDown      bool      // the store answers neither this process nor a store reader
	storeDownSince time.Time // when the store last stopped answering
	storeUpSince   time.Time // when the store last began to answer again
	entriesExpired bool      // the last outage was long enough for entries to expire
	listKnown      bool      // the list was read at least once

	storeReturn // what is kept of the time before the store came back from a copy
}

// FetchServers is a command to fetch the list of backend servers from a store reader.
type FetchServers struct{ Host string }

// ControlCommand marks FetchServers as a command.
func (FetchServers) ControlCommand() {}

// ServersNotFetched reports that a FetchServers failed.
type ServersNotFetched struct{}

// ControlEvent marks ServersNotFetched as an event.
func (ServersNotFetched) ControlEvent() {}

// missingGracePeriod returns how long a server is kept whose entry may have expired
// in an outage.
func (s *serversStage) missingGracePeriod() time.Duration { return max(s.drainTime-drainMargin, 0) }

// Name returns "servers".
func (s *serversStage) Name() string { return "servers" }

// Deadline returns when the grace period of the next missing server ends.
func (s *serversStage) Deadline() time.Time {
	var next time.Time
	for _, server := range s.state.servers {
		if server.missingSince.IsZero() {
			continue
		}
		if at := server.missingSince.Add(s.missingGracePeriod()); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Handle processes changes of the list and of the store's availability.
func (s *serversStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case ServerListRead:
		s.applyRead(now, ev, out)
	case MessageReceived:
		if m := ev.Message.ServerListChange; m != nil && s.state.peers[ev.Host] != nil {
			s.applyAnnounced(now, ev.Message.Era, m, out)
		}
	case StoreUnavailable:
		if !s.storeDown {
			emitLog(out, "platform store unavailable", nil)
			s.storeDownSince = now
		}
		s.storeDown = true
	case StoreAvailable:
		s.endOutage(now, "read by this process", out)
	case control.Tick:
		s.removeMissing(now, out)
		s.removeSilentPeers(now)
		s.forgetRemoved(now)
	}
}

// readerAnswered ends an outage if the store answered a store reader after it began; readSince
// is before the reader's last read. This process may not read the store itself again.
func (s *serversStage) readerAnswered(now, readSince time.Time, out *control.Output) {
	if readSince.After(s.storeDownSince) {
		s.endOutage(now, "answer of a store reader", out)
	}
}

// endOutage records that the store answers again.
func (s *serversStage) endOutage(now time.Time, after string, out *control.Output) {
	if !s.storeDown {
		return
	}
	away := now.Sub(s.storeDownSince)
	emitLog(out, "platform store available again", map[string]any{"away_ms": away.Milliseconds(), "after": after})
	s.storeDown, s.storeUpSince, s.entriesExpired = false, now, away >= minExpiryOutage
}

// applyRead applies a change that this process read from the store, or the list of a
// reader. An older list than the known one would bring back servers that have left.
func (s *serversStage) applyRead(now time.Time, ev ServerListRead, out *control.Output) {
	known := s.state.listPosition
	if ev.Era < known.Era || (ev.Source != FromStore && ev.position().Compare(known) < 0) {
		emitLog(out, "older list of backend servers ignored", map[string]any{
			"era": ev.Era, "revision": ev.Revision, "known_era": known.Era, "known": known.Revision,
		})
		return
	}
	s.advancePosition(now, ev.position(), out)
	if s.state.storeReader && s.state.listPosition != known {
		out.Publish() // peers whose lists are newer than the published position ignore that of this reader
	}
	returned := ev.Complete && s.endReturn(now, ev.position(), out)
	if confirmed := s.state.listConfirmed || ev.Source != FromStaleStore; confirmed != s.state.listConfirmed {
		s.state.listConfirmed = confirmed
		out.Publish()
	}
	change, correction := notice.ServerListChange{Revision: ev.Revision}, notice.ServerListChange{Revision: ev.Revision}
	seen := make(map[string]bool, len(ev.Put))
	held := s.state.heldEntries
	for _, server := range ev.Put {
		seen[server.ID] = true
		switch s.putUnlessHeld(now, server, out) {
		case entryChanged:
			change.Put = append(change.Put, encodeServer(server))
		case entryHeld:
			s.addKnown(&change, server.ID)
			s.addKnown(&correction, server.ID)
		case entryStillHeld:
			s.addKnown(&correction, server.ID)
		case entryUnchanged:
		}
	}
	if ev.Source == FromReader {
		// The reader started after the return, or missed what is known here.
		for _, part := range splitChange(&correction) {
			sendTo(out, []string{ev.Host}, notice.Message{ServerListChange: &part, Era: ev.Era})
		}
	}
	removed := ev.Removed
	if ev.Complete {
		for id := range s.state.servers {
			if !seen[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		if s.removeOrMarkMissing(now, id, ev.position(), out) {
			change.Removed = append(change.Removed, id)
		}
	}
	if returned {
		s.logReturn(s.state.heldEntries-held, out)
	}
	s.repeatWarmUps(ev, out)
	first := !s.listKnown
	s.listKnown = true
	s.publishChange(now, &change, first, out)
}

// publishChange publishes a change, and broadcasts it if this process is a store
// reader. The first list that a process reads is not broadcast.
func (s *serversStage) publishChange(now time.Time, change *notice.ServerListChange, first bool, out *control.Output) {
	if len(change.Put) == 0 && len(change.Removed) == 0 {
		return
	}
	s.updatePeers(now)
	out.Publish()
	if first || !s.state.storeReader {
		return
	}
	for _, part := range splitChange(change) {
		s.state.broadcast(now, notice.Message{ServerListChange: &part, Era: s.state.listPosition.Era}, urgentRelaysPerZone, out)
	}
}

// splitChange splits a change into parts that each fit into a datagram.
func splitChange(change *notice.ServerListChange) []notice.ServerListChange {
	var parts []notice.ServerListChange
	for put := range slices.Chunk(change.Put, notice.MaxServersPerChange) {
		parts = append(parts, notice.ServerListChange{Revision: change.Revision, Put: put})
	}
	for removed := range slices.Chunk(change.Removed, notice.MaxServersPerChange) {
		parts = append(parts, notice.ServerListChange{Revision: change.Revision, Removed: removed})
	}
	return parts
}

// applyAnnounced applies a change that a store reader broadcast. A change of an earlier era
// is ignored.
func (s *serversStage) applyAnnounced(now time.Time, era uint64, change *notice.ServerListChange, out *control.Output) {
	at := StorePosition{Era: era, Revision: change.Revision}
	if era < s.state.listPosition.Era {
		return
	}
	s.advancePosition(now, at, out)
	changed := false
	for _, entry := range change.Put {
		changed = s.putServer(now, decodeServer(entry, era), out) || changed
	}
	for _, id := range change.Removed {
		if server := s.state.servers[id]; server != nil && server.Position().Compare(at) <= 0 {
			s.remove(now, id)
			emitLog(out, "backend server removed", map[string]any{"backend": id, "after": "announcement by a store reader"})
			changed = true
		}
	}
	if changed {
		s.updatePeers(now)
		out.Publish()
	}
}

// EncodeServerList encodes the list of backend servers of a store reader, and its set of
// evacuated zones, for FetchServers. It returns nil if the process is no reader or has not
// read the whole list.
func EncodeServerList(now time.Time, snap *Snapshot) ([]byte, error) {
	if !snap.StoreReader || !snap.ListComplete {
		return nil, nil
	}
	list := notice.ServerListChange{Revision: snap.ListPosition.Revision}
	for _, server := range snap.Listed {
		server.WarmUpLeft = max(server.WarmUpLeft-now.Sub(snap.ListedAt), 0)
		list.Put = append(list.Put, encodeServer(server))
	}
	message := notice.Message{ServerListChange: &list, Era: snap.ListPosition.Era}
	return notice.Encode(withEvacuations(message, snap.Evacuations))
}

// DecodeServerList decodes the list of a store reader.
func DecodeServerList(data []byte) (ServerListRead, error) {
	message, err := notice.Decode(data)
	if err != nil {
		return ServerListRead{}, err
	}
	if message.ServerListChange == nil {
		return ServerListRead{}, errors.New("the message contains no list of backend servers")
	}
	read := ServerListRead{Era: message.Era, Revision: message.ServerListChange.Revision, Complete: true, Source: FromReader}
	for _, entry := range message.ServerListChange.Put {
		read.Put = append(read.Put, decodeServer(entry, message.Era))
	}
	if message.Evacuations != nil {
		evacuations := decodeEvacuations(&message)
		read.Evacuations = &evacuations
	}
	return read, nil
}

func encodeServer(s Server) notice.Server {
	return notice.Server{
		ID: s.ID, Service: s.Service, Zone: s.Zone, Addr: s.Addr, CreateRevision: s.CreateRevision, Revision: s.Revision,
		Slots: clampUint16(s.Slots), Draining: s.Draining, WarmUpLeftMS: uint32(s.WarmUpLeft.Milliseconds()), StartUnixMS: s.StartUnixMS,
	}
}

func decodeServer(n notice.Server, era uint64) Server {
	host, _, _ := strings.Cut(n.Addr, ":")
	return Server{
		ID: n.ID, Service: n.Service, Zone: n.Zone, Host: host, Addr: n.Addr, CreateRevision: n.CreateRevision, Era: era, Revision: n.Revision,
		Slots: int(n.Slots), Draining: n.Draining, WarmUpLeft: time.Duration(n.WarmUpLeftMS) * time.Millisecond, StartUnixMS: n.StartUnixMS,
	}
}

// putServer adds or updates a server and reports whether its entry changed. An entry
// with an older position is ignored. A server that was restarted or moved to another
// host gets a new live state.
func (s *serversStage) putServer(now time.Time, server Server, out *control.Output) bool {
	old := s.state.servers[server.ID]
	if old != nil && server.Position().Compare(old.Position()) < 0 {
		return false
	}
	if gone, ok := s.removed[server.ID]; ok {
		if server.Era > 0 && server.Position().Compare(gone.Position()) < 0 && contradicts(server, gone.Server, true) {
			return false
		}
		delete(s.removed, server.ID)
	}
	fresh := old == nil || old.StartUnixMS != server.StartUnixMS || old.Host != server.Host
	if !fresh && old.missingSince.IsZero() && equalForTraffic(old.Server, server) && !s.coldAgain(now, old, &server) {
		old.Era, old.Revision = server.Era, server.Revision
		return false
	}
	next := &serverRecord{Server: server, warmUpUntil: now.Add(server.WarmUpLeft)}
	if fresh {
		next.live = newLiveState(now)
		emitLog(out, "backend server listed", map[string]any{"backend": server.ID, "service": server.Service, "host": server.Host})
	} else {
		next.live = old.live
		if server.Draining && !old.Draining {
			emitLog(out, "backend server draining", map[string]any{"backend": server.ID})
		}
	}
	s.state.servers[server.ID] = next
	if s.state.delisted[server.ID] {
		s.state.delisted = copyWithout(s.state.delisted, server.ID)
	}
	return true
}

// equalForTraffic reports whether two entries are equal for routing. It ignores the
// remaining warm-up time and the position, which change with each update.
func equalForTraffic(a, b Server) bool {
	a.WarmUpLeft, b.WarmUpLeft = 0, 0
	a.Era, b.Era, a.Revision, b.Revision = 0, 0, 0, 0
	return a == b
}

func newLiveState(now time.Time) *LiveState {
	live := &LiveState{}
	live.health.Store(&Health{BadProbability: belief.PriorBadProbability, LastOutcomeAt: now})
	live.recordHeardDirectly(now)
	return live
}

// removeOrMarkMissing removes a server and reports whether it did. During or just
// after a store outage, or after the store came back from a copy, it only marks the server
// as missing, since its entry may have expired or been lost while the server runs.
func (s *serversStage) removeOrMarkMissing(now time.Time, id string, at StorePosition, out *control.Output) bool {
	server := s.state.servers[id]
	if server == nil || (at.Revision != 0 && server.Position().Compare(at) > 0) {
		return false
	}
	if s.storeDown || s.returnedWithin(now, s.missingGracePeriod()) || (s.entriesExpired && now.Sub(s.storeUpSince) < s.missingGracePeriod()) {
		if server.missingSince.IsZero() {
			server.missingSince = now
		}
		return false
	}
	s.remove(now, id)
	emitLog(out, "backend server removed", map[string]any{"backend": id})
	return true
}

// remove deletes a server from the list. Servers of this host are added to delisted,
// so that attempts from entry proxies with an older list are refused.
func (s *serversStage) remove(now time.Time, id string) {
	s.rememberRemoved(now, s.state.servers[id].Server)
	if s.state.servers[id].Host == s.state.identity.Host {
		delisted := copyWithout(s.state.delisted, id)
		delisted[id] = true
		s.state.delisted = delisted
	}
	delete(s.state.servers, id)
}

// copyWithout returns a copy of a set without one element. Snapshots refer to the
// original, so it must not be modified.
func copyWithout(set map[string]bool, id string) map[string]bool {
	copied := make(map[string]bool, len(set)+1)
	for known := range set {
		if known != id {
			copied[known] = true
		}
	}
	return copied
}

// removeMissing removes servers whose grace period has ended, unless the store is
// unavailable.
func (s *serversStage) removeMissing(now time.Time, out *control.Output) {
	if s.storeDown {
		return
	}
	var change notice.ServerListChange
	for id, server := range s.state.servers {
		if !server.missingSince.IsZero() && now.Sub(server.missingSince) >= s.missingGracePeriod() {
			if server.Era == s.state.listPosition.Era {
				change.Revision = max(change.Revision, server.Revision)
			}
			change.Removed = append(change.Removed, id)
			s.remove(now, id)
			emitLog(out, "backend server removed", map[string]any{"backend": id, "after": "store outage"})
		}
	}
	s.publishChange(now, &change, false, out)
}

// newestAtAddress returns the newest of the servers at each address. A server that
// crashed stays listed for some seconds beside its successor at the same address. A missing
// server counts only if its entry was lost with an era.
func (s *state) newestAtAddress() map[string]Server {
	newest := make(map[string]Server, len(s.servers))
	for _, server := range s.servers {
		if !server.missingSince.IsZero() && server.Era == s.listPosition.Era {
			continue
		}
		if known, ok := newest[server.Addr]; !ok || compareAge(server.Server, known) > 0 {
			newest[server.Addr] = server.Server
		}
	}
	return newest
}

// compareAge returns +1 if a is a newer server than b, -1 if it is older and 0 if neither
// is known. Create revisions are comparable within an era only.
func compareAge(a, b Server) int {
	if a.Era != b.Era && a.StartUnixMS != 0 && b.StartUnixMS != 0 {
		return cmp.Compare(a.StartUnixMS, b.StartUnixMS)
	}
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.CreateRevision, b.CreateRevision))
}
