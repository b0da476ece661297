package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// OnPing handles a ping and returns its Ack. ok is false if the ping is for another
// process; such a ping must not be answered.
func (t *Table) OnPing(now time.Time, p Ping) (ack Ack, ok bool, actions []Action) {
	if p.Target != t.opt.Self {
		return Ack{}, false, nil
	}
	actions = t.onMessageFrom(now, p.From, p.Updates)
	return Ack{Seq: p.Seq, From: t.self, Updates: t.takeUpdates()}, true, actions
}

// OnAck handles the Ack of a ping, direct or forwarded by a peer. If the ping was sent
// on behalf of another process, the Ack is forwarded to it.
func (t *Table) OnAck(now time.Time, a Ack) []Action {
	if r, ok := t.relays[a.Seq]; ok {
		delete(t.relays, a.Seq)
		actions := t.onMessageFrom(now, a.From, a.Updates)
		return append(actions, ForwardAck{To: r.origin, Ack: Ack{Seq: r.seq, From: a.From}})
	}
	p, ok := t.probes[a.Seq]
	if !ok || p.target != a.From.ID {
		return nil
	}
	delete(t.probes, a.Seq)
	return t.onMessageFrom(now, a.From, a.Updates)
}

// OnPingVia handles a peer's request for an indirect ping.
func (t *Table) OnPingVia(now time.Time, p PingVia) []Action {
	for seq, r := range t.relays {
		if now.Sub(r.sent) > IndirectTimeout {
			delete(t.relays, seq)
		}
	}
	if len(t.relays) >= maxPendingRelays || t.peers[p.Target] == nil {
		return nil
	}
	t.seq++
	t.relays[t.seq] = relay{origin: p.From, seq: p.Seq, sent: now}
	return []Action{SendPing{To: p.Target, Ping: t.newPing(t.seq, p.Target)}}
}

// OnLeaving handles a member's announcement that it is leaving.
func (t *Table) OnLeaving(now time.Time, l Leaving) []Action {
	return t.onMessageFrom(now, l.From, nil)
}

// OnContact marks a member as alive on direct evidence other than a ping, such as its
// reply to another control message.
func (t *Table) OnContact(_ time.Time, id string) []Action {
	p := t.peers[id]
	if p == nil || p.State == Alive {
		return nil
	}
	p.State = Alive
	return []Action{SuspicionCleared{ID: id}}
}

// onMessageFrom handles a message sent by a member itself: the sender is alive, and
// the updates that the message carries are applied.
func (t *Table) onMessageFrom(now time.Time, from MemberUpdate, updates []MemberUpdate) []Action {
	from.State = Alive
	actions := t.applyUpdate(from)
	actions = append(actions, t.OnContact(now, from.ID)...)
	for _, u := range updates {
		actions = append(actions, t.applyUpdate(u)...)
	}
	return actions
}

// applyUpdate merges an update into the table and gossips the result if it changed
// anything.
func (t *Table) applyUpdate(u MemberUpdate) []Action {
	if u.ID == t.opt.Self {
		t.refute(u)
		return nil
	}
	p := t.peers[u.ID]
	if p == nil {
		return nil
	}
	before := p.MemberUpdate
	p.MemberUpdate = mergeUpdates(before, u)
	if p.MemberUpdate == before {
		return nil
	}
	if !onlyIncarnationLearned(before, p.MemberUpdate) {
		t.enqueueUpdate(p.MemberUpdate)
	}
	return actionsFor(before, p.MemberUpdate)
}

// onlyIncarnationLearned reports whether an update changes nothing but a previously
// unknown incarnation. Such updates are not gossiped: when a large fleet starts, those
// about all members would delay those about suspects.
func onlyIncarnationLearned(before, after MemberUpdate) bool {
	return before.Incarnation == 0 && before.State == after.State && before.Leaving == after.Leaving
}

// mergeUpdates combines two updates about the same member.
func mergeUpdates(a, b MemberUpdate) MemberUpdate {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	a.State = max(a.State, b.State)
	a.Leaving = a.Leaving || b.Leaving
	return a
}

// actionsFor returns the actions that report a change of a member.
func actionsFor(before, after MemberUpdate) []Action {
	var actions []Action
	if before.State != after.State {
		if after.State == Suspect {
			actions = append(actions, MemberSuspected{ID: after.ID})
		} else {
			actions = append(actions, SuspicionCleared{ID: after.ID})
		}
	}
	switch {
	case after.Leaving && !before.Leaving:
		actions = append(actions, MemberLeaving{ID: after.ID})
	case before.Leaving && !after.Leaving:
		actions = append(actions, MemberReturned{ID: after.ID})
	}
	return actions
}

// refute raises this process's incarnation if an update suspects it, or has a higher
// incarnation from before a restart. Every message carries the new incarnation from
// then on.
func (t *Table) refute(u MemberUpdate) {
	fromBeforeRestart := u.Incarnation > t.self.Incarnation
	suspected := u.Incarnation == t.self.Incarnation && u.State == Suspect
	if fromBeforeRestart || suspected {
		t.self.Incarnation = u.Incarnation + 1
	}
}

// enqueueUpdate schedules an update for gossip and replaces an older one about the
// same member.
func (t *Table) enqueueUpdate(u MemberUpdate) {
	t.pendingUpdates[u.ID] = &pendingUpdate{update: u, remainingSends: RetransmitFactor * bits.Len(uint(len(t.peers)+1))}
}

// takeUpdates returns the updates for one message, those with the most remaining
// sends first, and counts the send.
func (t *Table) takeUpdates() []MemberUpdate {
	pending := make([]*pendingUpdate, 0, len(t.pendingUpdates))
	for _, p := range t.pendingUpdates {
		pending = append(pending, p)
	}
	slices.SortFunc(pending, func(a, b *pendingUpdate) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), cmp.Compare(a.update.ID, b.update.ID))
	})
	pending = pending[:min(MaxUpdatesPerMessage, len(pending))]
	updates := make([]MemberUpdate, 0, len(pending))
	for _, p := range pending {
		updates = append(updates, p.update)
		if p.remainingSends--; p.remainingSends <= 0 {
			delete(t.pendingUpdates, p.update.ID)
		}
	}
	return updates
}
