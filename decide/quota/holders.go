package quota

import "time"

// Holders is the table of the holders of one process. One goroutine owns it.
type Holders struct {
	id    HolderID
	zone  string
	dir   Directory
	teams map[string]*Holder
	busy  []*Holder // not idle
}

// NewHolders returns an empty table.
func NewHolders(id HolderID, zone string, d Directory) *Holders {
	return &Holders{id: id, zone: zone, dir: d, teams: make(map[string]*Holder)}
}

// SetLimit puts the limit of a team in force and creates its holder.
func (t *Holders) SetLimit(now time.Time, team string, l Limit) *Holder {
	h := t.teams[team]
	if h == nil {
		h = NewHolder(t.id, t.zone, team, l, now, t.dir)
		t.teams[team] = h
		return h
	}
	h.SetLimit(l)
	return h
}

// Get returns the holder of a team, nil if it has no limit.
func (t *Holders) Get(team string) *Holder {
	return t.teams[team]
}

// Attend makes Due return the holder of a team until it is idle. Call it for a
// request that joined or was observed.
func (t *Holders) Attend(team string) {
	h := t.teams[team]
	if h == nil || h.attended {
		return
	}
	h.attended = true
	t.busy = append(t.busy, h)
}

// OnGrant passes a grant to the holder of its team, which is returned.
func (t *Holders) OnGrant(now time.Time, g Grant) *Holder {
	h := t.teams[g.Key.Team]
	if h != nil {
		h.OnGrant(now, g)
	}
	return h
}

// Due appends to buf the holders that need attention by now, in the order in
// which they became busy, and forgets the idle ones.
func (t *Holders) Due(now time.Time, buf []*Holder) []*Holder {
	kept := t.busy[:0]
	for _, h := range t.busy {
		if h.idle(now) {
			h.attended = false
			continue
		}
		kept = append(kept, h)
		buf = append(buf, h)
	}
	t.busy = kept
	return buf
}
