// Package spread decides how a configuration document reaches every process and
// whether a process may still rely on the one in force. Few processes read the
// configuration service; the others learn new versions from random peers by
// announcements and periodic asks (epidemic dissemination, Demers et al., 1987).
//
// The package does no I/O. Every method takes the time on the caller's monotonic
// clock and returns actions that the caller carries out.
package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Service is the sender name of replies of the configuration service.
const Service = ""

// Intervals and bounds.
const (
	// CurrentFor is how long a confirmation lasts. A withdrawn key has to stop
	// within 2 s, of which 0.5 s are left for connections that are being checked.
	CurrentFor = 1500 * time.Millisecond
	// AskInterval is the time between asks to random peers. Seven asks then fit
	// into CurrentFor.
	AskInterval = 200 * time.Millisecond
	// ReadInterval is the time between a reader's reads of the service. With 1 s a
	// confirmation would have only 0.5 s to reach every process before it lapses.
	ReadInterval = 500 * time.Millisecond
	// DirectAfter is the age of its confirmation from which a process asks a reader
	// besides a random peer; in a large fleet a few processes are reached late.
	DirectAfter = 900 * time.Millisecond
	// DirectUntil ends these asks: confirmations so old mean that the service is
	// away, and the readers know no more than others.
	DirectUntil = 2 * time.Second
	// FallbackAfter is the age of its confirmation from which a process reads the
	// service itself, for the case that all readers are lost.
	FallbackAfter = 1200 * time.Millisecond
	// FallbackReads bounds these reads of the whole fleet, in reads per second. It
	// is a quarter of what the service bears.
	FallbackReads = 500
	// FetchTimeout is how long a source may go without sending a wanted part.
	FetchTimeout = 400 * time.Millisecond
	// StartTimeout is how long a starting process waits for the service and peers.
	StartTimeout = time.Second

	// AgreeAsks and AgreeNeeded are the rule for a service that is away: so many of
	// the last asks were answered with the document in force. Of the answers from
	// one zone AgreeNeeded-1 count, since the processes of a zone that is cut off
	// would otherwise confirm each other.
	AgreeAsks   = 7
	AgreeNeeded = 4
	// MinReaders and ProcessesPerReader give the number of readers. A confirmation
	// spreads by one doubling for each ask, too slowly from 3 readers to 2,700.
	MinReaders         = 3
	ProcessesPerReader = 16
	// Fanout is the number of peers to which an accepted document is announced;
	// e^-4 of the fleet, 2 in 100, are left to the periodic asks.
	Fanout = 4
	// StartPeers is the number of peers that a starting process asks.
	StartPeers = 3
	// MaxRefusals bounds the refusals that are kept.
	MaxRefusals = 16
	// MaxHistory bounds the versions from which a manifest can be sent as changes;
	// at 4,300 changes a day it covers ten minutes.
	MaxHistory = 32
	// MaxReplyBytes bounds the bytes of parts in one reply, below the 4 MB bound of
	// a control message after base64.
	MaxReplyBytes = 2 << 20
	// MaxWants bounds the parts asked for in one message.
	MaxWants = 128
	// maxPending bounds the asks and the reads that wait for an answer.
	maxPending = 32
)

const readersKey = "configuration-readers"

// Document is a whole configuration document. Its maps and bytes are shared with
// the Spreader and must not be changed.
type Document struct {
	Stamp   Stamp
	Parts   map[string][]byte // by part name
	Changed []string          // parts that are new or differ from the document before, sorted
	Removed []string          // parts that only the document before had, sorted
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
	Agreeing  int       // of the last AgreeAsks asks, those answered in time with the same document, at most AgreeNeeded-1 for each zone
	Current   bool
}

// Spreader holds the document in force at one process.
type Spreader struct {
	opt     Options
	peers   []string    // members without self
	zones   []zonePeers // the peers by zone
	readers []string    // readers without self
	reader  bool        // this process is a reader

	started  bool
	ready    bool
	start    time.Time
	nextAsk  time.Time
	nextRead time.Time

	seq    uint64
	asks   map[uint64]ask       // waiting for an answer
	reads  map[uint64]time.Time // waiting for the service, with the time of sending
	recent []sample             // the last AgreeAsks+1 periodic asks, oldest first

	confirmed time.Time
	newerAt   time.Time // when a newer document was last heard of

	doc      Document
	refs     []Ref // of doc, sorted
	digests  map[string]string
	history  []change
	previous map[string]part // the copy before the last change, for changed-bytes replies
	fetch    *fetch
	got      map[string][]byte // parts fetched for the next document, by digest
	refusals []Refusal
}

// ask is a ManifestAsk that waits for its answer.
type ask struct {
	peer  string
	sent  time.Time
	start bool // one of the asks of a starting process
}

// sample is the outcome of one periodic ask.
type sample struct {
	seq    uint64
	zone   string
	sent   time.Time
	agreed bool
}

// zonePeers are the peers in one zone.
type zonePeers struct {
	zone   string
	ids    []string // those asked last at the end
	credit int      // the zone with the most is asked next
}

type part struct {
	digest string
	bytes  []byte
}

// New returns a Spreader without a document.
func New(o Options) *Spreader {
	return &Spreader{
		opt: o,
		// A random start keeps answers to an earlier life of the process from
		// matching asks of this one.
		seq:      uint64(o.Rand.Uint32()) << 16,
		asks:     make(map[uint64]ask),
		reads:    make(map[uint64]time.Time),
		digests:  make(map[string]string),
		previous: make(map[string]part),
		got:      make(map[string][]byte),
	}
}

// SetMembers sets the members of the fleet, with or without this process.
func (s *Spreader) SetMembers(members []rendezvous.Member) {
	s.peers = s.peers[:0]
	for _, m := range members {
		if m.ID != s.opt.Self {
			s.peers = append(s.peers, m.ID)
		}
	}
	s.zones = s.groupByZone(members)
	s.readers, s.reader = nil, false
	for _, m := range rendezvous.Rank(rendezvous.Hash(readersKey), members, readerCount(len(members))) {
		if m.ID == s.opt.Self {
			s.reader = true
			continue
		}
		s.readers = append(s.readers, m.ID)
	}
}

// groupByZone starts with random credits, so that not all processes ask the same
// zone at the same time.
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

// Tick returns what is due. The first call starts the Spreader.
func (s *Spreader) Tick(now time.Time) []Action {
	if !s.started {
		return s.begin(now)
	}
	s.dropStalled(now)
	var actions []Action
	if !now.Before(s.nextAsk) {
		actions = append(actions, s.askNext(now)...)
		s.nextAsk = after(s.nextAsk, AskInterval, now)
	}
	if !now.Before(s.nextRead) && s.mayRead(now) {
		actions = append(actions, s.read(now))
		s.nextRead = now.Add(s.readGap())
	}
	return actions
}

// after returns the next time of a periodic event. A process that resumes late
// does not catch up on what it missed.
func after(last time.Time, every time.Duration, now time.Time) time.Time {
	next := last.Add(every)
	if next.Before(now) {
		return now.Add(every)
	}
	return next
}

// Next returns the time at which Tick is to be called next.
func (s *Spreader) Next() time.Time {
	next := s.nextAsk
	if s.reader && s.nextRead.Before(next) {
		next = s.nextRead
	}
	return next
}

func (s *Spreader) begin(now time.Time) []Action {
	s.started, s.start = true, now
	s.nextAsk = now.Add(s.jitter(AskInterval))
	s.nextRead = now.Add(s.jitter(ReadInterval))
	actions := []Action{s.read(now)}
	for range min(StartPeers, len(s.peers)) {
		peer, _ := s.nextPeer()
		seq, a := s.newAsk(now, peer, s.doc.Stamp)
		s.asks[seq] = ask{peer: peer, sent: now, start: true}
		actions = append(actions, a)
	}
	return actions
}

func (s *Spreader) jitter(d time.Duration) time.Duration {
	return time.Duration(s.opt.Rand.Int64N(int64(d)))
}

// mayRead reports whether this process reads the service by itself: readers
// always, others only when no confirmation reaches them.
func (s *Spreader) mayRead(now time.Time) bool {
	return s.reader || s.age(now) > FallbackAfter
}

func (s *Spreader) readGap() time.Duration {
	if s.reader {
		return ReadInterval
	}
	share := time.Duration(len(s.peers)+1) * time.Second / FallbackReads
	return max(2*ReadInterval, share)
}

func (s *Spreader) read(now time.Time) Action {
	s.seq++
	s.reads[s.seq] = now
	for seq := range s.reads {
		if seq+maxPending < s.seq {
			delete(s.reads, seq)
		}
	}
	return ReadService{Seq: s.seq, Have: s.doc.Stamp}
}

// Document returns the document in force; its stamp is zero if there is none.
func (s *Spreader) Document() Document { return s.doc }

// Refusals returns the latest refused documents, oldest first.
func (s *Spreader) Refusals() []Refusal {
	return append([]Refusal(nil), s.refusals...)
}
