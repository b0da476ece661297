package mesh

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// EvacuationsRead reports the set of evacuated availability zones in the platform's store.
type EvacuationsRead struct {
	Position StorePosition
	Zones    []string // complete
}

// ControlEvent marks EvacuationsRead as an event.
func (EvacuationsRead) ControlEvent() {}

// EvacuationsChanged is a command that tells the queue of this host's backend server that
// the snapshot has other evacuated zones.
type EvacuationsChanged struct{}

// ControlCommand marks EvacuationsChanged as a command.
func (EvacuationsChanged) ControlCommand() {}

// formerEraDuration is how long the zones that were evacuated before the store came back
// from a copy stay evacuated: the operator writes the items again that the copy lacks.
const formerEraDuration = 3 * time.Second

// A change is announced more than once, since processes that missed it may find no store
// reader to ask: without the store, readers soon stop answering.
const (
	announcements        = 3
	announcementInterval = 400 * time.Millisecond
)

// evacuationStage maintains the set of evacuated availability zones. The set with the
// newest position applies; store readers announce changes.
type evacuationStage struct {
	state       *state
	position    StorePosition
	zones       []string // at position, sorted
	former      []string // evacuated at the end of the former era, sorted
	formerUntil time.Time
	since       map[string]time.Time // when each zone was evacuated
	announced   []string             // last set that this process announced
	repeats     int                  // announcements that are left
	repeatAt    time.Time            // when the next one is due
}

// Name returns "evacuation".
func (s *evacuationStage) Name() string { return "evacuation" }

// Deadline returns when the zones of the former era are no longer evacuated, or when an
// announcement is due.
func (s *evacuationStage) Deadline() time.Time {
	if s.repeats > 0 && (s.formerUntil.IsZero() || s.repeatAt.Before(s.formerUntil)) {
		return s.repeatAt
	}
	return s.formerUntil
}

// Handle processes sets from the store and from peers.
func (s *evacuationStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	if !s.state.evacuationsFollowed {
		return
	}
	switch ev := ev.(type) {
	case EvacuationsRead:
		s.apply(now, ev, "the store", out)
		s.announce(now, ev, out)
	case ServerListRead:
		if ev.Evacuations != nil {
			s.apply(now, *ev.Evacuations, "a store reader's list", out)
		}
	case MessageReceived:
		if m := ev.Message.Evacuations; m != nil && s.state.peers[ev.Host] != nil {
			s.apply(now, decodeEvacuations(&ev.Message), ev.Host, out)
		}
	case control.Tick:
		if !s.formerUntil.IsZero() && !now.Before(s.formerUntil) {
			s.former, s.formerUntil = nil, time.Time{}
			s.update(now, "the end of the former era", out)
		}
		if s.repeats > 0 && !now.Before(s.repeatAt) {
			s.broadcast(now, out)
		}
	}
}

// apply makes a set current if its position is newer than that of the known one.
func (s *evacuationStage) apply(now time.Time, read EvacuationsRead, source string, out *control.Output) {
	if s.state.evacuations != nil && read.Position.Compare(s.position) <= 0 {
		return
	}
	if s.state.evacuations != nil && read.Position.Era > s.position.Era {
		s.former, s.formerUntil = s.effectiveZones(), now.Add(formerEraDuration)
	}
	s.position, s.zones = read.Position, sortedSet(read.Zones)
	s.update(now, source, out)
}

// announce broadcasts a set that this store reader has read. Each reader announces each
// change, since another one may be lost before it has sent to all peers.
func (s *evacuationStage) announce(now time.Time, read EvacuationsRead, out *control.Output) {
	if !s.state.storeReader || slices.Equal(s.announced, read.Zones) {
		return
	}
	s.announced, s.repeats = read.Zones, announcements
	s.broadcast(now, out)
}

// broadcast sends the known set to all peers.
func (s *evacuationStage) broadcast(now time.Time, out *control.Output) {
	s.repeats--
	s.repeatAt = now.Add(announcementInterval)
	s.state.broadcast(now, withEvacuations(notice.Message{}, s.state.evacuations), urgentRelaysPerZone, out)
}

// effectiveZones returns the evacuated zones, including those of the former era.
func (s *evacuationStage) effectiveZones() []string {
	return sortedSet(append(slices.Clone(s.zones), s.former...))
}

// update publishes the evacuated zones if they changed, and logs the changes.
func (s *evacuationStage) update(now time.Time, source string, out *control.Output) {
	first := s.state.evacuations == nil
	s.state.evacuations = &EvacuationsRead{Position: s.position, Zones: s.zones}
	evacuated := make(map[string]bool)
	for _, zone := range s.effectiveZones() {
		evacuated[zone] = true
		if !s.state.evacuated[zone] {
			s.since[zone] = now
			emitLog(out, "availability zone evacuated", map[string]any{"zone": zone, "revision": s.position.Revision, "learned_from": source})
		}
	}
	changed := len(evacuated) != len(s.state.evacuated)
	for zone := range s.state.evacuated {
		if evacuated[zone] {
			continue
		}
		changed = true
		s.state.returnedAt[zone] = now
		emitLog(out, "availability zone taken back", map[string]any{
			"zone": zone, "revision": s.position.Revision, "learned_from": source, "evacuated_ms": now.Sub(s.since[zone]).Milliseconds(),
		})
		delete(s.since, zone)
	}
	s.state.evacuated = evacuated
	if first || changed || s.state.storeReader {
		out.Publish() // a reader's snapshot holds the position for its peers
	}
	if changed {
		out.Emit(EvacuationsChanged{})
	}
}

// withEvacuations returns a message that a set of evacuated zones accompanies. It leaves
// out a set that is unknown, or that belongs to another era than the message.
func withEvacuations(message notice.Message, read *EvacuationsRead) notice.Message {
	if read == nil || (message.Era != 0 && message.Era != read.Position.Era) {
		return message
	}
	message.Era = read.Position.Era
	message.Evacuations = &notice.Evacuations{Revision: read.Position.Revision, Zones: read.Zones}
	return message
}

// decodeEvacuations returns the set of evacuated zones that accompanies a message.
func decodeEvacuations(message *notice.Message) EvacuationsRead {
	return EvacuationsRead{
		Position: StorePosition{Era: message.Era, Revision: message.Evacuations.Revision},
		Zones:    message.Evacuations.Zones,
	}
}

// sortedSet returns the elements in order and without duplicates.
func sortedSet(elements []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(elements)))
}
