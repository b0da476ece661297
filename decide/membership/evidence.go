package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// OnPing takes a ping and returns the answer. ok is false if the ping is for
// another process, which must not be answered.
func (t *Table) OnPing(now time.Time, p Ping) (ack Ack, ok bool, actions []Action) {
	if p.Target != t.opt.Self {
		return Ack{}, false, nil
	}
	actions = t.hear(now, p.From, p.Rumours)
	return Ack{Seq: p.Seq, From: t.self, Rumours: t.gossip()}, true, actions
}

// OnAck takes the answer to a ping, direct or passed on by a peer. If the ping was
// on behalf of another process, that one gets the Ack.
func (t *Table) OnAck(now time.Time, a Ack) []Action {
	if r, ok := t.relays[a.Seq]; ok {
		delete(t.relays, a.Seq)
		actions := t.hear(now, a.From, a.Rumours)
		return append(actions, ForwardAck{To: r.origin, Ack: Ack{Seq: r.seq, From: a.From}})
	}
	p, ok := t.probes[a.Seq]
	if !ok || p.target != a.From.ID {
		return nil
	}
	delete(t.probes, a.Seq)
	return t.hear(now, a.From, a.Rumours)
}

// OnPingVia takes a peer's request for an indirect ping.
func (t *Table) OnPingVia(now time.Time, p PingVia) []Action {
	for seq, r := range t.relays {
		if now.Sub(r.sent) > IndirectTimeout {
			delete(t.relays, seq)
		}
	}
	if len(t.relays) >= maxRelays || t.peers[p.Target] == nil {
		return nil
	}
	t.seq++
	t.relays[t.seq] = relay{origin: p.From, seq: p.Seq, sent: now}
	return []Action{SendPing{To: p.Target, Ping: t.newPing(t.seq, p.Target)}}
}

// OnLeaving takes a member's announcement that it leaves.
func (t *Table) OnLeaving(now time.Time, l Leaving) []Action {
	return t.hear(now, l.From, nil)
}

// OnHeard takes other direct evidence that a member answers, such as a reply to
// another control message.
func (t *Table) OnHeard(_ time.Time, id string) []Action {
	p := t.peers[id]
	if p == nil || p.State == Alive {
		return nil
	}
	p.State = Alive
	return []Action{Cleared{ID: id}}
}

// hear takes a message that came from a member itself, with what it passes on.
func (t *Table) hear(now time.Time, from Rumour, rumours []Rumour) []Action {
	from.State = Alive
	actions := t.learn(from)
	actions = append(actions, t.OnHeard(now, from.ID)...)
	for _, r := range rumours {
		actions = append(actions, t.learn(r)...)
	}
	return actions
}

// learn merges a rumour and passes it on if it is news.
func (t *Table) learn(r Rumour) []Action {
	if r.ID == t.opt.Self {
		t.refute(r)
		return nil
	}
	p := t.peers[r.ID]
	if p == nil {
		return nil
	}
	before := p.Rumour
	p.Rumour = merge(before, r)
	if p.Rumour == before {
		return nil
	}
	if !firstHeard(before, p.Rumour) {
		t.pass(p.Rumour)
	}
	return changes(before, p.Rumour)
}

// firstHeard reports whether only the incarnation of a member is news. At the start
// of a large fleet such rumours on all members would hold up those on suspects.
func firstHeard(before, after Rumour) bool {
	return before.Incarnation == 0 && before.State == after.State && before.Leaving == after.Leaving
}

// merge returns what two rumours on one member amount to.
func merge(a, b Rumour) Rumour {
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

func changes(before, after Rumour) []Action {
	var actions []Action
	if before.State != after.State {
		if after.State == Suspect {
			actions = append(actions, Suspected{ID: after.ID})
		} else {
			actions = append(actions, Cleared{ID: after.ID})
		}
	}
	switch {
	case after.Leaving && !before.Leaving:
		actions = append(actions, LeftSoon{ID: after.ID})
	case before.Leaving && !after.Leaving:
		actions = append(actions, Returned{ID: after.ID})
	}
	return actions
}

// refute answers a suspicion of this process, or a rumour of an earlier life, with
// a higher incarnation, which every message carries from then on.
func (t *Table) refute(r Rumour) {
	stale := r.Incarnation > t.self.Incarnation
	accused := r.Incarnation == t.self.Incarnation && r.State == Suspect
	if stale || accused {
		t.self.Incarnation = r.Incarnation + 1
	}
}

func (t *Table) pass(r Rumour) {
	t.rumours[r.ID] = &outgoing{rumour: r, sends: RumourFactor * bits.Len(uint(len(t.peers)+1))}
}

// gossip returns the rumours for one message, those sent least first.
func (t *Table) gossip() []Rumour {
	pending := make([]*outgoing, 0, len(t.rumours))
	for _, o := range t.rumours {
		pending = append(pending, o)
	}
	slices.SortFunc(pending, func(a, b *outgoing) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.rumour.ID, b.rumour.ID))
	})
	pending = pending[:min(MaxRumours, len(pending))]
	rumours := make([]Rumour, 0, len(pending))
	for _, o := range pending {
		rumours = append(rumours, o.rumour)
		if o.sends--; o.sends <= 0 {
			delete(t.rumours, o.rumour.ID)
		}
	}
	return rumours
}
