// Package spread decides how a configuration document reaches every process and
// whether a process may still rely on the one in force. Few processes read the
// configuration service; the others learn new versions from random peers by
// announcements and periodic asks (epidemic dissemination, Demers et al., 1987).
//
// The package does no I/O. Every method takes the time on the caller's monotonic
// clock and returns actions that the caller carries out.
package spread

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Service is the sender name of replies of the configuration service.
const Service = ""

// Document is a whole configuration document. Its maps belong to the Spreader
// until the next document is accepted and must not be changed.
type Document struct {
	Stamp   Stamp
	Parts   map[string][]byte // by part name
	Changed []string          // parts that are new or differ from the document before, sorted
	Removed []string          // parts that the document before had, sorted
}

// Options configure a Spreader.
type Options struct {
	Self     string               // member ID of this process
	Rand     *rand.Rand           // source of random choices; required
	Validate func(Document) error // an error refuses the document whole; nil accepts all
}

// ServiceRead is the result of a ReadService that succeeded.
type ServiceRead struct {
	Seq      uint64
	Manifest Manifest // Parts may be empty if the service still holds the stamp of the read's Have
}

// Freshness describes how far the document in force can be relied on.
type Freshness struct {
	Stamp     Stamp
	Confirmed time.Time // latest time at which the service is known to have had nothing newer; zero if never
	Agreeing  int       // of the last AgreeAsks asks, those that a peer with the same document answered in time
	Current   bool
}

// Spreader holds the document in force at one process.
type Spreader struct{}

// New returns a Spreader without a document.
func New(o Options) *Spreader { return nil }

// SetMembers sets the members of the fleet, with or without this process.
func (s *Spreader) SetMembers(members []rendezvous.Member) {}

// Tick returns what is due. The first call starts the Spreader.
func (s *Spreader) Tick(now time.Time) []Action { return nil }

// Next returns the time at which Tick is to be called next.
func (s *Spreader) Next() time.Time { return time.Time{} }

// OnAsk answers a peer's ManifestAsk.
func (s *Spreader) OnAsk(now time.Time, ask ManifestAsk) Manifest { return Manifest{} }

// OnManifest takes a peer's answer to an AskManifest.
func (s *Spreader) OnManifest(now time.Time, from string, m Manifest) []Action { return nil }

// OnAnnounce takes a peer's announcement.
func (s *Spreader) OnAnnounce(now time.Time, from string, a Announcement) []Action { return nil }

// OnPartsAsk answers a peer's PartsAsk.
func (s *Spreader) OnPartsAsk(ask PartsAsk) Parts { return Parts{} }

// OnParts takes the answer to an AskParts or, from Service, to a ReadServiceParts.
func (s *Spreader) OnParts(now time.Time, from string, p Parts) []Action { return nil }

// OnService takes the result of a ReadService.
func (s *Spreader) OnService(now time.Time, r ServiceRead) []Action { return nil }

// Current reports whether requests that need a key may be served: no withdrawal
// older than CurrentFor can be missing from the document in force.
func (s *Spreader) Current(now time.Time) bool { return false }

// Freshness describes how far the document in force can be relied on.
func (s *Spreader) Freshness(now time.Time) Freshness { return Freshness{} }

// Ready reports whether a starting process has taken the highest version that the
// service and its first peers hold.
func (s *Spreader) Ready(now time.Time) bool { return false }

// Document returns the document in force; its stamp is zero if there is none.
func (s *Spreader) Document() Document { return Document{} }

// Refusals returns the latest refused documents, oldest first.
func (s *Spreader) Refusals() []Refusal { return nil }
