// Package notice defines the UDP datagrams that processes exchange about their backend
// servers, the rate-limit tokens of teams, crashes and the platform's store. A datagram
// may be lost; every kind is either repeated or has a fallback.
//
// Messages are CBOR arrays of about 30 bytes. JSON-RPC, which package fleet uses, would
// triple the traffic between availability zones, which is billed per byte on the
// deployments that use this package.
package notice

import (
	"github.com/fxamacker/cbor/v2"
)

// MaxDatagramSize is the maximum size of a datagram in bytes, so that it is never
// fragmented.
const MaxDatagramSize = 1200

// Status reports the state of the sender and its backend server.
type Status struct {
	_                 struct{} `cbor:",toarray"`
	BootID            uint32   `cbor:"Boot"` // random number that the sender chooses at each start
	Seq               uint32   // sequence number, increasing since the start of the sender
	Backend           string   // empty when the sender knows no backend server
	BadProbability    float32  `cbor:"Bad"` // probability that the backend server is in a gray failure
	AgeMS             uint32   // age of the observations that BadProbability is based on
	Running           uint16   // requests that hold a slot
	Waiting           uint16   // requests that wait for a slot
	Urgent            uint16   // waiting requests with a rank up to pipeline.MaxUrgentRank
	MeanServiceTimeMS uint32   `cbor:"HeldMS"` // mean time that the requests there are expected to hold a slot
	Stopping          bool     // the sender will stop soon and no longer performs tasks for other processes
	RefusesAttempts   bool     `cbor:"Closed"` // the sender accepts no new attempts
	StoreUnreachable  bool     `cbor:"Blind"`  // the sender cannot read the platform's store
	Unheard           []string // hosts that the sender has not received a datagram from recently
}

// Purpose is what the tokens of a TokenRequest are used for.
type Purpose uint8

// The purposes.
const (
	ForTeam        Purpose = iota // a request of a team
	ForCallRetry                  // a retry of a call made by a backend server
	ForCallerRetry                // a retry of a caller's request
	ForCallOfRetry                // a call made on behalf of a retried request
)

// TokenRequest requests tokens from the process that owns a team's rate limit or a
// service's retry budget.
type TokenRequest struct {
	_       struct{} `cbor:",toarray"`
	ID      uint32
	Name    string // of the team or the service
	Purpose Purpose
	Count   uint16
	// Relayed means that the request was forwarded by a process that is not the owner.
	Relayed bool
}

// TokenGrant is the reply to TokenRequest.
type TokenGrant struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	Count  uint16
	WaitMS uint32 // time until the next token if Count is 0
}

// Crash reports the requests that were in flight when a backend server crashed.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	InFlight []uint64 // fingerprints
}

// StoreQuery asks a process that reads the platform's store for the state it last read.
type StoreQuery struct {
	_  struct{} `cbor:",toarray"`
	ID uint32
}

// StoreState is the reply to StoreQuery.
type StoreState struct {
	_       struct{} `cbor:",toarray"`
	ID      uint32
	Version uint64 // of the configuration
	AgeMS   uint32 // since the store confirmed that version
	Digest  uint64 // of the list of backend servers
}

// ConfigVersion announces the version of a configuration that the sender has read.
type ConfigVersion struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// Server is an entry in the list of backend servers.
type Server struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Service        string
	Zone           string
	Addr           string
	CreateRevision uint64 `cbor:"Created"`
	Revision       uint64
	Slots          uint16
	Draining       bool
	WarmUpLeftMS   uint32 `cbor:"ColdMS"`
	StartUnixMS    int64  `cbor:"Born"`
}

// ServerListChange is a change to the list of backend servers: entries that were added
// or changed, and identifiers of removed entries.
type ServerListChange struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64   `cbor:"At"` // revision of the store
	Put      []Server
	Removed  []string `cbor:"Gone"`
}

// MaxServersPerChange is the maximum number of entries in a change, so that it fits in a
// datagram.
const MaxServersPerChange = 8

// BackendLimit reports the rate limit of the backend server of a Status.
type BackendLimit struct {
	_         struct{} `cbor:",toarray"`
	Limited   bool     // false once the server names no limit any more
	PerSecond float32  // requests per second that the server accepts from all processes
	WaitMS    uint32   // time until another request may start
}

// Evacuations is the set of availability zones whose backend servers get no new requests,
// at the revision of the store at which it was read.
type Evacuations struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64   `cbor:"At"`
	Zones    []string
}

// Heartbeat shows that the direct path from the sender works. It is needed because
// statuses may be forwarded by other processes.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
}

// Message is the content of one datagram. Exactly one of the pointers is set, except that
// BackendLimit accompanies Status, and that Evacuations may accompany any other.
type Message struct {
	Status       *Status       `cbor:"1,keyasint,omitempty"`
	TokenRequest *TokenRequest `cbor:"2,keyasint,omitempty"`
	TokenGrant   *TokenGrant   `cbor:"3,keyasint,omitempty"`
	Crash        *Crash        `cbor:"4,keyasint,omitempty"`

	StoreQuery       *StoreQuery       `cbor:"5,keyasint,omitempty"`
	StoreState       *StoreState       `cbor:"6,keyasint,omitempty"`
	ConfigVersion    *ConfigVersion    `cbor:"7,keyasint,omitempty"`
	ServerListChange *ServerListChange `cbor:"8,keyasint,omitempty"`
	Heartbeat        *Heartbeat        `cbor:"9,keyasint,omitempty"`

	// BackendLimit accompanies Status if the backend server has named a limit.
	BackendLimit *BackendLimit `cbor:"12,keyasint,omitempty"`

	// Evacuations is sent on its own when the set changes, and with answers to processes
	// that may not know it.
	Evacuations *Evacuations `cbor:"14,keyasint,omitempty"`

	// Era is the era of the platform's store to which all revisions of the message belong.
	Era uint64 `cbor:"13,keyasint,omitempty"`

	// ForwardToZone asks the receiver to forward the message to the other processes in
	// its availability zone.
	ForwardToZone bool `cbor:"10,keyasint,omitempty"`
	// Origin is the IP address of the process that created a forwarded message; empty
	// if the sender created it.
	Origin string `cbor:"11,keyasint,omitempty"`
}

// Encode encodes a message as a datagram.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a datagram.
func Decode(data []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(data, &m)
	return m, err
}
