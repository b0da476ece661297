package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/balance"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Self identifies this process.
type Self struct {
	ID          string // identifier of the host in the platform's host list
	Zone        string // availability zone
	Incarnation uint64 // grows with each start
	Started     time.Time
}

// Host is one entry of the platform's host list.
type Host struct {
	ID          string
	Zone        string
	Leaving     bool
	TrafficAddr string // "ip:port" for requests
	ControlAddr string // "ip:port" for control messages
	Backends    []Backend
}

// Backend is one backend server of a host.
type Backend struct {
	ID      string
	Service string
	Addr    string // "ip:port", reached from its own host only
	Slots   int
	Leaving bool
}

// State is what the stages share. Each field is written by the one stage that
// its comment names and read by the stages behind it.
type State struct {
	Self Self

	// Written by the hosts stage.
	HostVersion uint64
	Hosts       map[string]Host
	Members     []rendezvous.Member // hosts without those that the list says are leaving
	View        membership.View
	Targets     map[string]*balance.Member // by backend server
	// StaleServices are those whose hosts changed since the last snapshot. The
	// publisher empties it.
	StaleServices map[string]bool

	// Written by the configuration stage.
	Config    *config.Config
	KeysUntil time.Time

	// Written by the health stage, by backend server of this host.
	Ejections map[string]ejection.Lease
	Draining  map[string]bool

	// Written by the quarantine stage.
	Quarantine *quarantine.Snapshot

	// Written by the leases stage.
	Leases       Leases
	KeepersKnown bool // the shards that this process is a witness of have keepers

	// Written by the stop stage.
	Stopping bool
}

// NewState returns the state of a process that knows nothing yet.
func NewState(self Self) *State {
	return &State{
		Self:    self,
		Hosts:   make(map[string]Host),
		Targets: make(map[string]*balance.Member),

		StaleServices: make(map[string]bool),
	}
}

// Call is a control message to a peer. The reply comes back as PeerReplied.
type Call struct {
	Peer    string
	Addr    string
	Message any
}

// ControlCommand marks Call as a command.
func (Call) ControlCommand() {}

// PeerReplied is the end of a Call.
type PeerReplied struct {
	Peer    string
	Message any // of the Call
	Reply   any // nil when Err is set
	Err     error
	Sent    time.Time
}

// ControlEvent marks PeerReplied as an event.
func (PeerReplied) ControlEvent() {}

// PeerAsked is a control message of a peer. One stage answers it.
type PeerAsked struct {
	From    string
	Message any
	Reply   chan any // with room for one reply
}

// ControlEvent marks PeerAsked as an event.
func (PeerAsked) ControlEvent() {}

// Answer sends the reply; only the first one counts.
func (p PeerAsked) Answer(reply any) {
	select {
	case p.Reply <- reply:
	default:
	}
}

// call emits a message to a peer; unknown peers get none.
func (s *State) call(out *Output, peer string, message any) {
	host, ok := s.Hosts[peer]
	if !ok || peer == s.Self.ID {
		return
	}
	out.Emit(Call{Peer: peer, Addr: host.ControlAddr, Message: message})
}
