package membership

// State is one process's assessment of another.
type State uint8

const (
	// Alive means that the member answers or that no ping to it has failed yet.
	Alive State = iota
	// Suspect means that the member answered neither a direct nor an indirect ping.
	Suspect
)

// MemberUpdate is what a process knows about a member, as spread by gossip. The higher
// incarnation wins. At the same incarnation, Suspect wins over Alive and Leaving stays
// set.
type MemberUpdate struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
	State       State  `json:"s,omitempty"`
	Leaving     bool   `json:"l,omitempty"`
}

// Ping asks a member for an Ack. Target names the member, so that another process that
// has taken over its address does not answer for it.
type Ping struct {
	Seq     uint64         `json:"q"`
	From    MemberUpdate   `json:"f"`
	Target  string         `json:"t"`
	Updates []MemberUpdate `json:"r,omitempty"`
}

// Ack answers a Ping.
type Ack struct {
	Seq     uint64         `json:"q"`
	From    MemberUpdate   `json:"f"`
	Updates []MemberUpdate `json:"r,omitempty"`
}

// PingVia asks a member to ping Target on behalf of From.
type PingVia struct {
	Seq    uint64 `json:"q"`
	From   string `json:"f"`
	Target string `json:"t"`
}

// Leaving announces that its sender is leaving the fleet.
type Leaving struct {
	From MemberUpdate `json:"f"`
}

// Host is one entry of the platform's host list.
type Host struct {
	ID      string
	Zone    string
	Leaving bool
}

// HostList is the platform's list of hosts. A list with a lower version than the
// last one is ignored.
type HostList struct {
	Version uint64
	Hosts   []Host
}
