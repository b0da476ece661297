// Package notice holds the datagrams that processes send each other about their
// backend servers, about tokens of teams and about crashes. A datagram may be
// lost; every kind is either repeated or has a fallback.
//
// The encoding is CBOR with arrays, about 30 bytes a message. JSON-RPC, the usual
// choice between the processes of this project, would triple the bytes between
// availability zones, which are priced on the deployments that use this package.
package notice

import (
	"github.com/fxamacker/cbor/v2"
)

// MaxSize bounds a datagram in bytes, so that it is never fragmented.
const MaxSize = 1200

// Status says how the backend server of the sender is.
type Status struct {
	_        struct{} `cbor:",toarray"`
	Boot     uint32   // random for each start of the sender
	Seq      uint32   // grows with each message of a start
	Backend  string   // empty when the sender knows no backend server
	Bad      float32  // probability that the backend server is in a gray failure
	AgeMS    uint32   // of the evidence for Bad
	Running  uint16   // requests that hold a slot
	Waiting  uint16   // requests that wait for one
	Urgent   uint16   // those of them that are urgent
	HeldMS   uint32   // mean time that a request holds a slot
	Stopping bool     // the sender stops soon and has given up its duties for others
	Closed   bool     // the sender takes no new attempts
	Blind    bool     // the sender cannot read the platform's store
	Unheard  []string // hosts that the sender has not heard for a while
}

// Purpose is what the tokens of an ask are for.
type Purpose uint8

// The purposes.
const (
	ForTeam        Purpose = iota // requests of a team
	ForCallRetry                  // a retry of a call of a backend server
	ForCallerRetry                // a retry of a request of a caller
)

// Ask asks the owner of a team, or of the retries to a service, for tokens.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	ID      uint32
	Name    string // of the team or the service
	Purpose Purpose
	Count   uint16
	// Relayed says that a process that is not the owner passes the ask on.
	Relayed bool
}

// Grant answers Ask.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	Count  uint16
	WaitMS uint32 // until the next token when Count is 0
}

// Crash names the requests that were in flight in a crash of a backend server.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	InFlight []uint64 // fingerprints
}

// StoreAsk asks a process that reads the platform's store what it last read.
type StoreAsk struct {
	_  struct{} `cbor:",toarray"`
	ID uint32
}

// StoreState answers StoreAsk.
type StoreState struct {
	_       struct{} `cbor:",toarray"`
	ID      uint32
	Version uint64 // of the configuration
	AgeMS   uint32 // since the store confirmed that version
	Digest  uint64 // of the list of backend servers
}

// Version says that a configuration was read.
type Version struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// Server is an entry of the list of backend servers.
type Server struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Service  string
	Zone     string
	Addr     string
	Created  uint64
	Revision uint64
	Slots    uint16
	Draining bool
	ColdMS   uint32
	Born     int64
}

// Servers is a change of the list of backend servers.
type Servers struct {
	_    struct{} `cbor:",toarray"`
	At   uint64   // revision of the store
	Put  []Server
	Gone []string
}

// ServersPerMessage bounds the entries of a change, so that it fits a datagram.
const ServersPerMessage = 8

// Beat says that the sender is reached directly; statuses may come through other
// processes.
type Beat struct {
	_ struct{} `cbor:",toarray"`
}

// Message is one datagram; one of the pointers is set.
type Message struct {
	Status *Status `cbor:"1,keyasint,omitempty"`
	Ask    *Ask    `cbor:"2,keyasint,omitempty"`
	Grant  *Grant  `cbor:"3,keyasint,omitempty"`
	Crash  *Crash  `cbor:"4,keyasint,omitempty"`

	StoreAsk   *StoreAsk   `cbor:"5,keyasint,omitempty"`
	StoreState *StoreState `cbor:"6,keyasint,omitempty"`
	Version    *Version    `cbor:"7,keyasint,omitempty"`
	Servers    *Servers    `cbor:"8,keyasint,omitempty"`
	Beat       *Beat       `cbor:"9,keyasint,omitempty"`

	// PassOn asks the receiver to send the message to the other processes of its
	// availability zone.
	PassOn bool `cbor:"10,keyasint,omitempty"`
	// Origin is the IP number of the process that a message that was passed on
	// comes from; empty when it comes from the sender.
	Origin string `cbor:"11,keyasint,omitempty"`
}

// Encode returns the datagram of a message.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a datagram.
func Decode(data []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(data, &m)
	return m, err
}
