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

// Self describes this process.
type Self struct {
	ID          string // identifier of the host in the platform's host list
	Zone        string // availability zone
	Incarnation uint64 // increases with each start
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

// State is the state shared by the stages. Each field is written only by the stage
// that its comment names and read by the later stages.
type State struct {
	Self Self

	// Written by the hosts stage.
	HostVersion uint64
	Hosts       map[string]Host
	Members     []rendezvous.Member // hosts that the list does not mark as leaving
	View        membership.View
	Targets     map[string]*balance.Member // load-balancing state by backend server
	// StaleServices holds the services whose hosts changed since the last snapshot.
	// The publisher clears it.
	StaleServices map[string]bool

	// Written by the configuration stage.
	Config           *config.Config
	KeysTrustedUntil time.Time

	// Written by the health stage, by backend server of this host.
	Ejections map[string]ejection.Lease
	Draining  map[string]bool

	// Written by the quarantine stage.
	Quarantine *quarantine.Snapshot

	// Written by the leases stage.
	Leases       Leases
	LeadersKnown bool // all shards that this process is a voter of have leaders

	// Written by the stop stage.
	Stopping bool
}

// NewState returns the state of a process without hosts or configuration.
func NewState(self Self) *State {
	return &State{
		Self:    self,
		Hosts:   make(map[string]Host),
		Targets: make(map[string]*balance.Member),

		StaleServices: make(map[string]bool),
	}
}

// Call sends a control message to a peer. The reply arrives as PeerResponse.
type Call struct {
	Peer    string
	Addr    string
	Message any
}

// ControlCommand marks Call as a command.
func (Call) ControlCommand() {}

// PeerResponse is the result of a Call.
type PeerResponse struct {
	Peer    string
	Message any // the message of the Call
	Reply   any // nil when Err is set
	Err     error
	Sent    time.Time
}

// ControlEvent marks PeerResponse as an event.
func (PeerResponse) ControlEvent() {}

// PeerRequest is a control message from a peer. One stage replies to it.
type PeerRequest struct {
	From    string
	Message any
	Reply   chan any // buffered for one reply
}

// ControlEvent marks PeerRequest as an event.
func (PeerRequest) ControlEvent() {}

// Respond sends the reply; only the first reply is sent.
func (p PeerRequest) Respond(reply any) {
	select {
	case p.Reply <- reply:
	default:
	}
}

// call emits a message to a peer. Unknown peers and this process are skipped.
func (s *State) call(out *Output, peer string, message any) {
	host, ok := s.Hosts[peer]
	if !ok || peer == s.Self.ID {
		return
	}
	out.Emit(Call{Peer: peer, Addr: host.ControlAddr, Message: message})
}
