// Package spread distributes configuration documents to every process by gossip
// (epidemic dissemination, Demers et al., 1987) and reports whether the document in
// force is still current. A few processes, the readers, read the configuration
// service. The others learn of new versions from announcements and by polling
// random peers.
//
// A confirmation is the knowledge that at some time the configuration service had
// no newer document than the one in force. Replies of peers pass it on with its age.
//
// The package does no I/O. Its methods take the time on the caller's monotonic
// clock and return actions that the caller carries out.
package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// ConfigService is the sender name for replies of the configuration service.
const ConfigService = ""

// Intervals and bounds.
const (
	// ConfirmationTTL is how long a confirmation is valid. A withdrawn key must be
	// rejected within 2 s; 0.5 s of them are reserved for connections whose check
	// is in progress.
	ConfirmationTTL = 1500 * time.Millisecond
	// PeerPollInterval is the time between polls of random peers. Seven polls fit into
	// ConfirmationTTL.
	PeerPollInterval = 200 * time.Millisecond
	// ServiceReadInterval is the time between a reader's reads of the service. At 1 s,
	// a confirmation would have only 0.5 s to reach every process before it expires.
	ServiceReadInterval = 500 * time.Millisecond
	// ReaderRequestMinAge is the confirmation age above which a process polls a
	// reader in addition to a random peer. In a large fleet, gossip reaches a few
	// processes late.
	ReaderRequestMinAge = 900 * time.Millisecond
	// ReaderRequestMaxAge is the confirmation age at which these requests stop: the
	// service is then unavailable, and readers know no more than other peers.
	ReaderRequestMaxAge = 2 * time.Second
	// FallbackReadMinAge is the confirmation age above which a process that is not a
	// reader reads the service itself, in case all readers have failed.
	FallbackReadMinAge = 1200 * time.Millisecond
	// FallbackReadsPerSecond is the limit on these reads for the whole fleet. It is a
	// quarter of the load that the service can handle.
	FallbackReadsPerSecond = 500
	// FetchTimeout is the time without a wanted part after which a fetch is aborted.
	FetchTimeout = 400 * time.Millisecond
	// StartupTimeout is how long readiness waits for the first replies of the
	// service and of peers.
	StartupTimeout = time.Second

	// AgreementWindow and AgreementQuorum apply while the service is unavailable: the
	// document stays current if AgreementQuorum of the last AgreementWindow polls
	// were answered with the same document. At most AgreementQuorum-1 replies of one
	// zone count; otherwise the processes of a partitioned zone would confirm each
	// other.
	AgreementWindow = 7
	AgreementQuorum = 4
	// MinReaders and ProcessesPerReader determine the number of readers. The number
	// of processes that have a confirmation doubles with each PeerPollInterval, which
	// is too slow to get from 3 readers to 2,700 processes.
	MinReaders         = 3
	ProcessesPerReader = 16
	// Fanout is the number of peers to which a process announces an accepted
	// document. Announcements miss a share of e^-4 (2%) of the fleet, which learns of
	// the document by polling.
	Fanout = 4
	// StartupPeers is the number of peers that a process polls when it starts.
	StartupPeers = 3
	// MaxRefusals is the number of recent refusals that are kept.
	MaxRefusals = 16
	// MaxHistoryVersions is the number of previous versions against which a manifest
	// can be sent as a delta. At 4,300 changes a day it covers ten minutes.
	MaxHistoryVersions = 32
	// MaxReplyBytes is the maximum size of all parts in one reply. Encoded as base64
	// it stays below the 4 MB limit of a control message.
	MaxReplyBytes = 2 << 20
	// MaxPartsPerRequest is the maximum number of parts in one request.
	MaxPartsPerRequest = 128
	// maxPendingReads bounds the service reads that wait for a result: a read is
	// dropped once this many newer requests and reads were sent.
	maxPendingReads = 32
)

const readerRankingKey = "configuration-readers"

// Document is a complete configuration document. Its maps and bytes are shared with
// the Spreader and must not be modified.
type Document struct {
	Stamp   Stamp
	Parts   map[string][]byte // by part name
	Changed []string          // parts added or modified since the previous document, sorted
	Removed []string          // parts of the previous document that are gone, sorted
}

// Options configure a Spreader.
type Options struct {
	Self     string               // member ID of this process
	Rand     *rand.Rand           // source of random choices; required
	Validate func(Document) error // an error refuses the whole document; a nil func accepts all
}

// ServiceReadResult is the result of a successful ReadService.
type ServiceReadResult struct {
	Seq      uint64
	Manifest Manifest // Parts may be empty if the service still holds the document ReadService.Have
}

// Freshness describes how recently the document in force was confirmed.
type Freshness struct {
	Stamp     Stamp
	Confirmed time.Time // latest time at which the service is known to have had nothing newer; zero if never
	Agreeing  int       // how many of the last AgreementWindow polls were answered in time with the same document, at most AgreementQuorum-1 for each zone
	Current   bool
}

// Spreader distributes the configuration document on behalf of one process and
// holds the document in force there.
type Spreader struct {
	opt      Options
	peers    []string    // members without self
	zones    []zonePeers // the peers by zone
	readers  []string    // readers without self
	isReader bool        // this process is a reader

	started   bool
	ready     bool
	startedAt time.Time
	nextPoll  time.Time
	nextRead  time.Time

	seq             uint64
	pendingRequests map[uint64]pendingRequest // by Seq
	pendingReads    map[uint64]time.Time      // send times by Seq
	recentPolls     []peerPoll                // the last AgreementWindow+1 polls, oldest first

	confirmedAt time.Time
	newerSeenAt time.Time // when a peer or the service last reported a newer document

	doc           Document
	refs          []Ref // of doc, sorted
	digests       map[string]string
	history       []documentChange
	previousParts map[string]storedPart // each part before its last change; base of delta replies
	fetch         *fetch
	fetchedParts  map[string][]byte // parts fetched for the next document, by digest
	refusals      []Refusal
}

// pendingRequest is a ManifestRequest that waits for its reply.
type pendingRequest struct {
	peer  string
	sent  time.Time
	start bool // sent when the process started
}

// peerPoll is the outcome of one periodic request to a random peer.
type peerPoll struct {
	seq    uint64
	zone   string
	sent   time.Time
	agreed bool // the peer replied with the document in force
}

// zonePeers holds the peers in one zone.
type zonePeers struct {
	zone   string
	ids    []string // least recently polled first
	credit int      // current weight in smooth weighted round robin; the zone with the highest is next
}

// storedPart is the content of one part with its digest.
type storedPart struct {
	digest string
	bytes  []byte
}

// New returns a Spreader without a document.
func New(o Options) *Spreader {
	return &Spreader{
		opt: o,
		// A random start prevents replies to requests sent before a restart from
		// matching requests of this process.
		seq:             uint64(o.Rand.Uint32()) << 16,
		pendingRequests: make(map[uint64]pendingRequest),
		pendingReads:    make(map[uint64]time.Time),
		digests:         make(map[string]string),
		previousParts:   make(map[string]storedPart),
		fetchedParts:    make(map[string][]byte),
	}
}

// SetMembers sets the members of the fleet. The list may include this process.
func (s *Spreader) SetMembers(members []rendezvous.Member) {
	s.peers = s.peers[:0]
	for _, m := range members {
		if m.ID != s.opt.Self {
			s.peers = append(s.peers, m.ID)
		}
	}
	s.zones = s.groupByZone(members)
	s.readers, s.isReader = nil, false
	for _, m := range rendezvous.Rank(rendezvous.Hash(readerRankingKey), members, readerCount(len(members))) {
		if m.ID == s.opt.Self {
			s.isReader = true
			continue
		}
		s.readers = append(s.readers, m.ID)
	}
}

// groupByZone returns the peers by zone. The initial credits are random, so that
// processes do not all poll the same zone at the same time.
func (s *Spreader) groupByZone(members []rendezvous.Member) []zonePeers {
	byZone := make(map[string][]string)
	for _, m := range members {
		if m.ID != s.opt.Self {
			byZone[m.Zone] = append(byZone[m.Zone], m.ID)
		}
	}
	var zones []zonePeers
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		zones = append(zones, zonePeers{zone: zone, ids: byZone[zone], credit: s.opt.Rand.IntN(len(s.peers))})
	}
	return zones
}

func readerCount(members int) int {
	return max(MinReaders, (members+ProcessesPerReader-1)/ProcessesPerReader)
}

// Tick returns the actions that are due. The first call starts the Spreader.
func (s *Spreader) Tick(now time.Time) []Action {
	if !s.started {
		return s.startUp(now)
	}
	s.abortStalledFetch(now)
	var actions []Action
	if !now.Before(s.nextPoll) {
		actions = append(actions, s.pollPeers(now)...)
		s.nextPoll = nextOccurrence(s.nextPoll, PeerPollInterval, now)
	}
	if !now.Before(s.nextRead) && s.mayReadService(now) {
		actions = append(actions, s.readService(now))
		s.nextRead = now.Add(s.serviceReadInterval())
	}
	return actions
}

// nextOccurrence returns the next time of a periodic event. Events missed while the
// process was paused are skipped.
func nextOccurrence(last time.Time, every time.Duration, now time.Time) time.Time {
	next := last.Add(every)
	if next.Before(now) {
		return now.Add(every)
	}
	return next
}

// NextTick returns the time at which Tick must be called next.
func (s *Spreader) NextTick() time.Time {
	next := s.nextPoll
	if s.isReader && s.nextRead.Before(next) {
		next = s.nextRead
	}
	return next
}

func (s *Spreader) startUp(now time.Time) []Action {
	s.started, s.startedAt = true, now
	s.nextPoll = now.Add(s.jitter(PeerPollInterval))
	s.nextRead = now.Add(s.jitter(ServiceReadInterval))
	actions := []Action{s.readService(now)}
	for range min(StartupPeers, len(s.peers)) {
		peer, _ := s.nextPeer()
		seq, a := s.newManifestRequest(now, peer, s.doc.Stamp)
		s.pendingRequests[seq] = pendingRequest{peer: peer, sent: now, start: true}
		actions = append(actions, a)
	}
	return actions
}

func (s *Spreader) jitter(d time.Duration) time.Duration {
	return time.Duration(s.opt.Rand.Int64N(int64(d)))
}

// mayReadService reports whether this process may read the service. Readers always
// may, other processes only if their confirmation is old.
func (s *Spreader) mayReadService(now time.Time) bool {
	return s.isReader || s.confirmationAge(now) > FallbackReadMinAge
}

// serviceReadInterval returns the time between reads of the service. Processes that
// are not readers share FallbackReadsPerSecond.
func (s *Spreader) serviceReadInterval() time.Duration {
	if s.isReader {
		return ServiceReadInterval
	}
	share := time.Duration(len(s.peers)+1) * time.Second / FallbackReadsPerSecond
	return max(2*ServiceReadInterval, share)
}

func (s *Spreader) readService(now time.Time) Action {
	s.seq++
	s.pendingReads[s.seq] = now
	for seq := range s.pendingReads {
		if seq+maxPendingReads < s.seq {
			delete(s.pendingReads, seq)
		}
	}
	return ReadService{Seq: s.seq, Have: s.doc.Stamp}
}

// Document returns the document in force, or one with a zero stamp if there is none.
func (s *Spreader) Document() Document { return s.doc }

// Refusals returns the last MaxRefusals refusals, oldest first.
func (s *Spreader) Refusals() []Refusal {
	return append([]Refusal(nil), s.refusals...)
}
