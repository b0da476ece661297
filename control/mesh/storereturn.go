package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// When the store comes back from a copy, entries of the copy may be older than what is
// known: a server that drains may be listed as ready, and one that has left may be listed.
// Such entries are held back until the store has a later revision of them, which their
// servers wrote after the return.
const (
	// removedRetention is how long a removed server is remembered. It exceeds the age of
	// the copy and the time in which the store is away, some seconds each.
	removedRetention = 30 * time.Second
	// maxRemoved limits the memory of removed servers.
	maxRemoved = 4096
)

// removedServer is a server that was removed from the list. Its position is that of its
// last known entry.
type removedServer struct {
	Server
	at time.Time
}

// storeReturn is the state of the servers stage for a store that comes back from a copy.
type storeReturn struct {
	removed map[string]removedServer // by identifier
	// returning is true from the first news of an era until its whole list is known,
	// unless it is the first known era.
	returning   bool
	previousEra uint64    // before it
	returnedAt  time.Time // when the whole list of the era was known; zero if it is the first known era
	// copyPosition is the position of the first whole list of the era. Entries up to it
	// may be of the copy.
	copyPosition StorePosition
}

// noteEra records an era that the store or a store reader named. The first one is no
// change.
func (s *state) noteEra(now time.Time, era uint64) {
	if s.eraKnown && era > s.era {
		s.eraChangedAt = now
	}
	s.era, s.eraKnown = max(s.era, era), true
}

// advancePosition moves the position of the list forward.
func (s *serversStage) advancePosition(now time.Time, at StorePosition, out *control.Output) {
	if at.Era > s.state.listPosition.Era {
		s.state.listIncomplete = true
		s.returning, s.previousEra, s.returnedAt = s.listKnown, s.state.listPosition.Era, time.Time{}
		out.Publish()
	}
	s.state.noteEra(now, at.Era)
	if at.Compare(s.state.listPosition) > 0 {
		s.state.listPosition = at
	}
}

// endReturn records that the whole list of an era was read at a position, and reports
// whether that completes a return of the store.
func (s *serversStage) endReturn(now time.Time, at StorePosition, out *control.Output) bool {
	if at.Era > s.copyPosition.Era {
		s.copyPosition = at
	}
	if s.state.listIncomplete {
		s.state.listIncomplete = false
		out.Publish()
	}
	if !s.returning {
		return false
	}
	s.returning, s.returnedAt = false, now
	return true
}

// confirmList records that the list equals that of a store reader in an era that is not
// older. The revisions of its entries in a newer era remain unknown.
func (s *serversStage) confirmList(now time.Time, era uint64, out *control.Output) {
	s.advancePosition(now, StorePosition{Era: era}, out)
	if s.returning {
		s.returning, s.returnedAt = false, now
		s.logReturn(0, out)
	}
	if !s.state.listConfirmed {
		s.state.listConfirmed = true
		out.Publish()
	}
}

// logReturn logs that the store came back, and what of the copy was not taken over.
func (s *serversStage) logReturn(held uint64, out *control.Output) {
	at := s.state.listPosition
	emitLog(out, "platform store came back from a copy", map[string]any{
		"era": at.Era, "previous": s.previousEra, "revision": at.Revision, "held_back": held, "missing": s.countMissing(),
	})
}

// returnedWithin reports whether the store came back from a copy within the last d, or its
// whole list since then is not known yet.
func (s *serversStage) returnedWithin(now time.Time, d time.Duration) bool {
	return s.returning || (!s.returnedAt.IsZero() && now.Sub(s.returnedAt) < d)
}

// entryResult is what became of an entry that was read.
type entryResult uint8

const (
	entryUnchanged entryResult = iota
	entryChanged
	entryHeld      // for the first time
	entryStillHeld // its position was held back before
)

// putUnlessHeld adds or updates a server, except for what the entry of a copy takes back.
func (s *serversStage) putUnlessHeld(now time.Time, entry Server, out *control.Output) entryResult {
	old := s.state.servers[entry.ID]
	gone, wasRemoved := s.removed[entry.ID]
	var heldAt StorePosition
	switch {
	case old != nil && s.isOfCopy(entry, old.Server) && contradicts(entry, old.Server, false):
		heldAt = old.Position()
		held := old.Server
		held.Era, held.Revision, held.CreateRevision, held.WarmUpLeft = entry.Era, entry.Revision, entry.CreateRevision, entry.WarmUpLeft
		s.putServer(now, held, out)
	case old == nil && wasRemoved && s.isOfCopy(entry, gone.Server) && contradicts(entry, gone.Server, true):
		heldAt = gone.Position()
		gone.Era, gone.Revision = entry.Era, entry.Revision
		s.removed[entry.ID] = gone
	case s.putServer(now, entry, out):
		return entryChanged
	default:
		return entryUnchanged
	}
	if heldAt == entry.Position() {
		return entryStillHeld
	}
	s.state.heldEntries++
	return entryHeld
}

// addKnown adds to a change what is known of a server instead of an entry that is held back.
func (s *serversStage) addKnown(change *notice.ServerListChange, id string) {
	if known := s.state.servers[id]; known != nil {
		change.Put = append(change.Put, encodeServer(known.Server))
	} else {
		change.Removed = append(change.Removed, id)
	}
}

// isOfCopy reports whether an entry may be of the copy and not written since, given what is
// known of its server.
func (s *serversStage) isOfCopy(entry, known Server) bool {
	if entry.Era == known.Era {
		return entry.Era > 0 && entry.Revision == known.Revision // held back before, here or at a store reader
	}
	return entry.Era > known.Era && entry.Position().Compare(s.copyPosition) <= 0
}

// contradicts reports whether an entry would take back what is known of its server. For one
// start of a server, draining and its removal are final.
func contradicts(entry, known Server, removed bool) bool {
	if entry.StartUnixMS != known.StartUnixMS && entry.StartUnixMS != 0 && known.StartUnixMS != 0 {
		return entry.StartUnixMS < known.StartUnixMS
	}
	return removed || (known.Draining && !entry.Draining)
}

// rememberRemoved remembers a server that is removed from the list.
func (s *serversStage) rememberRemoved(now time.Time, server Server) {
	if len(s.removed) >= maxRemoved {
		oldest, oldestAt := "", now
		for id, gone := range s.removed {
			if !gone.at.After(oldestAt) {
				oldest, oldestAt = id, gone.at
			}
		}
		delete(s.removed, oldest)
	}
	s.removed[server.ID] = removedServer{Server: server, at: now}
}

// forgetRemoved forgets servers that were removed longer ago than the retention time.
func (s *serversStage) forgetRemoved(now time.Time) {
	for id, gone := range s.removed {
		if now.Sub(gone.at) >= removedRetention {
			delete(s.removed, id)
		}
	}
}

// countMissing returns the number of servers in their grace period.
func (s *serversStage) countMissing() int {
	n := 0
	for _, server := range s.state.servers {
		if !server.missingSince.IsZero() {
			n++
		}
	}
	return n
}
