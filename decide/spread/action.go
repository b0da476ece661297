package spread

import "time"

// Action is something that the caller carries out: a message to send, a read of
// the configuration service, or a change to publish.
type Action interface{ isAction() }

// AskManifest sends a ManifestAsk to a peer. The answer goes to OnManifest.
type AskManifest struct {
	Peer string
	Ask  ManifestAsk
}

// AskParts sends a PartsAsk to a peer. The answer goes to OnParts.
type AskParts struct {
	Peer string
	Ask  PartsAsk
}

// ReadService reads the manifest of the configuration service, which the caller
// may skip to transfer if the service still holds Have. The result goes to
// OnService with the same Seq; a failed read is not reported.
type ReadService struct {
	Seq  uint64
	Have Stamp
}

// ReadServiceParts reads parts from the configuration service. The result goes to
// OnParts with Service as the sender.
type ReadServiceParts struct {
	Names []string
}

// Announce sends an Announcement to each of the peers.
type Announce struct {
	Peers        []string
	Announcement Announcement
}

// Accepted says that a document passed validation and is in force from now on.
type Accepted struct {
	Document Document
	From     string // the peer that supplied it, or Service
}

// Refused says that a document was refused whole and the last good one stays.
type Refused struct {
	Refusal Refusal
}

// Refusal keeps the reason for which a document was refused, for operators.
type Refusal struct {
	Stamp  Stamp
	From   string
	At     time.Time
	Reason string
}

func (AskManifest) isAction()      {}
func (AskParts) isAction()         {}
func (ReadService) isAction()      {}
func (ReadServiceParts) isAction() {}
func (Announce) isAction()         {}
func (Accepted) isAction()         {}
func (Refused) isAction()          {}
