package membership

// State is what one process holds of another.
type State uint8

const (
	// Alive members answer, or nothing speaks against them.
	Alive State = iota
	// Suspect members answered neither directly nor through other peers.
	Suspect
)

// Rumour passes on what is known of a member. The higher incarnation wins; at the
// same incarnation Suspect wins over Alive, and leaving is never taken back.
type Rumour struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
	State       State  `json:"s,omitempty"`
	Leaving     bool   `json:"l,omitempty"`
}

// Ping asks a member for an Ack. Target names the member, so that an address that
// another process has taken over does not answer for it.
type Ping struct {
	Seq     uint64   `json:"q"`
	From    Rumour   `json:"f"`
	Target  string   `json:"t"`
	Rumours []Rumour `json:"r,omitempty"`
}

// Ack answers a Ping.
type Ack struct {
	Seq     uint64   `json:"q"`
	From    Rumour   `json:"f"`
	Rumours []Rumour `json:"r,omitempty"`
}

// PingVia asks a member to ping Target on behalf of From.
type PingVia struct {
	Seq    uint64 `json:"q"`
	From   string `json:"f"`
	Target string `json:"t"`
}

// Leaving announces that its sender is about to stop.
type Leaving struct {
	From Rumour `json:"f"`
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
