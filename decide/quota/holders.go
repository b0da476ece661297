package quota

import "time"

// Holders holds the holders of all teams in one process. It is not safe for concurrent
// use.
type Holders struct {
	id        HolderID
	zone      string
	directory Directory
	teams     map[string]*Holder
	busy      []*Holder // not idle
}

// NewHolders returns a table without holders.
func NewHolders(id HolderID, zone string, d Directory) *Holders {
	return &Holders{id: id, zone: zone, directory: d, teams: make(map[string]*Holder)}
}

// SetLimit applies the limit of a team and creates its holder if there is none.
func (t *Holders) SetLimit(now time.Time, team string, l Limit) *Holder {
	h := t.teams[team]
	if h == nil {
		h = NewHolder(t.id, t.zone, team, l, now, t.directory)
		t.teams[team] = h
		return h
	}
	h.SetLimit(l)
	return h
}

// Get returns the holder of a team, or nil if the team has no limit.
func (t *Holders) Get(team string) *Holder {
	return t.teams[team]
}

// MarkBusy makes Due return the holder of a team until it is idle. Call it when a
// request was enqueued or observed.
func (t *Holders) MarkBusy(team string) {
	h := t.teams[team]
	if h == nil || h.inBusyList {
		return
	}
	h.inBusyList = true
	t.busy = append(t.busy, h)
}

// OnGrant passes a grant to the holder of its team and returns that holder, or nil if
// there is none.
func (t *Holders) OnGrant(now time.Time, g Grant) *Holder {
	h := t.teams[g.Key.Team]
	if h != nil {
		h.OnGrant(now, g)
	}
	return h
}

// Due appends the busy holders to buf, in the order in which they became busy, and
// removes idle holders from the busy list.
func (t *Holders) Due(now time.Time, buf []*Holder) []*Holder {
	kept := t.busy[:0]
	for _, h := range t.busy {
		if h.idle(now) {
			h.inBusyList = false
			continue
		}
		kept = append(kept, h)
		buf = append(buf, h)
	}
	t.busy = kept
	return buf
}
