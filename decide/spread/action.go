package spread

import "time"

// Action is an operation that the caller carries out: a message to send, a read of
// the configuration service, or an event to publish.
type Action interface{ isAction() }

// RequestManifest sends a ManifestRequest to a peer. The reply goes to OnManifest.
type RequestManifest struct {
	Peer    string
	Request ManifestRequest
}

// RequestParts sends a PartsRequest to a peer. The reply goes to OnParts.
type RequestParts struct {
	Peer    string
	Request PartsRequest
}

// ReadService reads the manifest from the configuration service. The caller need
// not transfer it if the service still holds the document Have. The result goes to
// OnServiceRead with the same Seq; a failed read is not reported.
type ReadService struct {
	Seq  uint64
	Have Stamp
}

// ReadServiceParts reads parts from the configuration service. The result goes to
// OnParts with ConfigService as the sender.
type ReadServiceParts struct {
	Names []string
}

// Announce sends an Announcement to each of the peers.
type Announce struct {
	Peers        []string
	Announcement Announcement
}

// Accepted reports that a document passed validation and is now in force.
type Accepted struct {
	Document Document
	From     string // the peer that supplied it, or ConfigService
}

// Refused reports that a document failed validation. The previous document stays
// in force.
type Refused struct {
	Refusal Refusal
}

// Refusal records why a document was refused, for operators.
type Refusal struct {
	Stamp  Stamp
	From   string
	At     time.Time
	Reason string
}

func (RequestManifest) isAction()  {}
func (RequestParts) isAction()     {}
func (ReadService) isAction()      {}
func (ReadServiceParts) isAction() {}
func (Announce) isAction()         {}
func (Accepted) isAction()         {}
func (Refused) isAction()          {}
