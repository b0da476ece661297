package mesh

import (
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Identity identifies this process.
type Identity struct {
	Host      string // IP address
	Zone      string
	Service   string // of the backend server of this host
	BootID    uint32 // random for each start
	StartedAt time.Time
}

// Server is the entry of a backend server in the platform's list.
type Server struct {
	ID             string
	Service        string
	Zone           string
	Host           string // IP address of its host
	Addr           string // "ip:port", reachable from its host only
	CreateRevision uint64 // increases with each entry that the platform creates in an era
	Era            uint64 // of the store when the entry was read
	Revision       uint64 // increases with each change of an entry in an era
	Slots          int
	Draining       bool
	WarmUpLeft     time.Duration // remaining warm-up time when the entry was read
	StartUnixMS    int64         // start in Unix milliseconds; 0 when unknown
}

// Position returns the position of the entry.
func (s Server) Position() StorePosition { return StorePosition{Era: s.Era, Revision: s.Revision} }

// Health is the last known health of a backend server.
type Health struct {
	BadProbability  float64 // probability of a gray failure at LastOutcomeAt
	LastOutcomeAt   time.Time
	MeanServiceTime time.Duration // mean time that the requests there are expected to hold a slot
	Stopping        bool          // its exit proxy is shutting down
	RefusesAttempts bool          // its exit proxy accepts no new attempts
}

// LiveState is the state of a backend server that changes between snapshots. The
// control loop writes the health; requests count the attempts of this process.
type LiveState struct {
	health          atomic.Pointer[Health]
	running         atomic.Int32 // as its exit proxy last reported in a status or a response
	waiting         atomic.Int32
	urgent          atomic.Int32
	loadReportedAt  atomic.Int64 // in nanoseconds since timeBase
	inFlight        atomic.Int32
	limit           atomic.Pointer[observedLimit]
	leaving         atomic.Bool  // an answer of the server said that it is leaving
	pathFailedAt    atomic.Int64 // last failure to reach the exit proxy, in nanoseconds since timeBase; 0 for never
	heardDirectlyAt atomic.Int64 // last datagram received directly, in nanoseconds since timeBase
}

// timeBase is the origin of times stored in atomics.
var timeBase = time.Now()

// Health returns the last known health.
func (l *LiveState) Health() Health { return *l.health.Load() }

// SetLoad records the load that the server's exit proxy reported.
func (l *LiveState) SetLoad(now time.Time, load *pipeline.Load) {
	l.loadReportedAt.Store(int64(now.Sub(timeBase)))
	l.running.Store(int32(load.Running))
	l.waiting.Store(int32(load.Waiting))
	l.urgent.Store(int32(load.Urgent))
}

// Load returns the number of requests that hold a slot, that wait for one, and the
// urgent ones of the waiting requests, as last reported. running is at least the
// number of attempts of this process.
func (l *LiveState) Load() (running, waiting, urgent int) {
	return max(int(l.running.Load()), l.InFlight()), int(l.waiting.Load()), int(l.urgent.Load())
}

// LoadReportedWithin reports whether the exit proxy reported its load within the last d.
func (l *LiveState) LoadReportedWithin(now time.Time, d time.Duration) bool {
	return now.Sub(timeBase.Add(time.Duration(l.loadReportedAt.Load()))) < d
}

// observedLimit is the rate limit of a backend server as its exit proxy last reported it.
type observedLimit struct {
	limit     pipeline.RateLimit
	startWait time.Duration // time until another request may start, at the time at
	at        time.Time
}

// SetLimit records the rate limit that the server's exit proxy reported with a load. A load
// of an exit proxy that does not know the limit changes nothing.
func (l *LiveState) SetLimit(now time.Time, load *pipeline.Load) {
	if load.Limit.Known {
		l.limit.Store(&observedLimit{limit: load.Limit, startWait: load.StartWait, at: now})
	}
}

// Limit returns the last known rate limit and the time until another request may start
// within it.
func (l *LiveState) Limit(now time.Time) (pipeline.RateLimit, time.Duration) {
	observed := l.limit.Load()
	if observed == nil || !observed.limit.Limited {
		return pipeline.RateLimit{}, 0
	}
	return observed.limit, max(observed.startWait-now.Sub(observed.at), 0)
}

// MarkLeaving records that an answer of the server said that it is leaving. It reports
// whether this is new. A server that starts again gets a new live state.
func (l *LiveState) MarkLeaving() bool { return !l.leaving.Swap(true) }

// Leaving reports whether an answer of the server said that it is leaving.
func (l *LiveState) Leaving() bool { return l.leaving.Load() }

// AttemptStarted counts an attempt of this process; AttemptEnded must follow.
func (l *LiveState) AttemptStarted() { l.inFlight.Add(1) }

// AttemptEnded ends an attempt counted by AttemptStarted.
func (l *LiveState) AttemptEnded() { l.inFlight.Add(-1) }

// InFlight returns the number of attempts of this process.
func (l *LiveState) InFlight() int { return int(l.inFlight.Load()) }

// recordHeardDirectly records a datagram received directly from the server's exit
// proxy.
func (l *LiveState) recordHeardDirectly(now time.Time) {
	l.heardDirectlyAt.Store(int64(now.Sub(timeBase)))
}

// HeardDirectlyWithin reports whether a datagram was received directly from the
// server's exit proxy within the last d.
func (l *LiveState) HeardDirectlyWithin(now time.Time, d time.Duration) bool {
	return now.Sub(timeBase.Add(time.Duration(l.heardDirectlyAt.Load()))) < d
}

// RecordPathFailure records that the server's exit proxy was not reached.
func (l *LiveState) RecordPathFailure(now time.Time) { l.pathFailedAt.Store(int64(now.Sub(timeBase))) }

// ClearPathFailure clears the last path failure after the exit proxy was reached.
func (l *LiveState) ClearPathFailure() { l.pathFailedAt.Store(0) }

// PathFailedWithin reports whether the exit proxy was not reached within the last d
// and has not been reached since.
func (l *LiveState) PathFailedWithin(now time.Time, d time.Duration) bool {
	at := l.pathFailedAt.Load()
	return at != 0 && now.Sub(timeBase.Add(time.Duration(at))) < d
}

// Target is a backend server that requests may be sent to.
type Target struct {
	Server
	Local       bool
	SameZone    bool
	WarmUpUntil time.Time
	Evacuated   bool // its availability zone is evacuated
	Live        *LiveState
}

// Snapshot is the control state that requests read.
type Snapshot struct {
	Table       *routing.Table // nil until a configuration has been read
	Document    []byte         // the configuration of Table, as peers get it
	KeyTrust    *KeyTrust
	Services    map[string][]*Target
	Local       map[string]*Target // backend servers of this host
	Delisted    map[string]bool    // backend servers of this host that were removed from the list
	Blocked     map[crashcount.Fingerprint]time.Time
	Hosts       int  // number of hosts of the fleet, including this one
	StoreReader bool // this process reads the platform's store for its peers
	// Listed and ListPosition are the list of a store reader and the position of the store
	// that it reflects, for peers whose lists differ. ListComplete is false until the whole
	// list of the era has been read.
	Listed       []Server
	ListPosition StorePosition
	ListComplete bool
	HeldEntries  uint64           // number of entries that were held back since the start
	ListedAt     time.Time        // when the warm-up times in Listed were right
	Evacuations  *EvacuationsRead // of a store reader, for its peers; nil if unknown
	Evacuated    map[string]bool  // evacuated availability zones
	Rooms        *Rooms
	Stopping     bool
	PeerTimeout  time.Duration // silence after which a peer counts as lost
}

// KeyTrust holds the time until which keys can be trusted. After it, a key may have
// been revoked without this process knowing. It is a time of the boot clock, which
// includes suspended time. It is extended without a new snapshot, so requests compare
// it with the clock when they use a key.
type KeyTrust struct{ until atomic.Int64 }

// NewKeyTrust returns a KeyTrust that ends at a time of the boot clock.
func NewKeyTrust(until time.Duration) *KeyTrust {
	t := &KeyTrust{}
	t.until.Store(int64(until))
	return t
}

// Until returns the boot clock time until which keys are trusted.
func (t *KeyTrust) Until() time.Duration { return time.Duration(t.until.Load()) }

// extend moves the end to a later time; an earlier time is ignored. Only the control
// loop calls it.
func (t *KeyTrust) extend(until time.Duration) {
	if until > t.Until() {
		t.until.Store(int64(until))
	}
}

// KeysValid reports whether keys can be trusted at a time of the boot clock.
func (s *Snapshot) KeysValid(bootTime time.Duration) bool { return bootTime < s.KeyTrust.Until() }

// Ready reports whether the process accepts requests of callers: it has a
// configuration, backend servers and valid keys, and is not stopping.
func (s *Snapshot) Ready(bootTime time.Duration) bool {
	return s.Table != nil && len(s.Services) > 0 && s.KeysValid(bootTime) && !s.Stopping
}

// serverRecord is a server entry with the state that this process keeps for it.
type serverRecord struct {
	Server
	warmUpUntil  time.Time
	missingSince time.Time // when it disappeared from the list; zero while listed
	live         *LiveState
}

// state is the state that the stages share. Each field is written only by the stage
// named in its comment.
type state struct {
	identity Identity

	// Written by the configuration stage.
	table    *routing.Table
	document []byte // of table, as peers get it
	keyTrust *KeyTrust

	// Written by the evacuation stage; evacuationsFollowed never changes.
	evacuationsFollowed bool
	evacuations         *EvacuationsRead     // newest set; nil until it is known
	evacuated           map[string]bool      // zones whose servers get no new requests; never modified
	returnedAt          map[string]time.Time // when the last evacuation of each zone ended

	// Written by the servers stage.
	servers          map[string]*serverRecord
	peers            map[string]*Peer        // by IP address, excluding this process
	hostsByZone      map[string][]string     // hosts of peers, sorted
	liveStatesByHost map[string][]*LiveState // of the servers on each host
	delisted         map[string]bool         // backend servers of this host that were removed from the list
	listPosition     StorePosition           // highest position of the store whose changes are in the list
	listIncomplete   bool                    // the whole list of the era of listPosition has not been read yet
	heldEntries      uint64                  // number of entries that were held back
	listConfirmed    bool                    // the list is no old copy; also written by the store stage

	rooms *Rooms // written by the rooms stage

	// Written by the configuration and the servers stage, through noteEra.
	era          uint64    // newest known era of the store
	eraKnown     bool      // era was read or announced at least once
	eraChangedAt time.Time // when era last rose; zero if it did not

	nextRelay int // rotation counter of pickRelays; written by broadcast

	// Written by the store stage.
	storeReader      bool // this process reads the platform's store for its peers
	storeUnreachable bool // this process was a store reader but got no answers from the store

	// Written by the crashes stage.
	blocked map[crashcount.Fingerprint]time.Time

	// Written by the stop stage.
	stopping        bool
	refusesAttempts bool // attempts of peers are no longer accepted
}

// SendMessage is a command to send a datagram to other processes.
type SendMessage struct {
	Hosts   []string // IP addresses
	Message notice.Message
}

// ControlCommand marks SendMessage as a command.
func (SendMessage) ControlCommand() {}

// LogEntry is a command to log a decision of the control loop.
type LogEntry struct {
	Message string
	Fields  map[string]any
}

// ControlCommand marks LogEntry as a command.
func (LogEntry) ControlCommand() {}

// emitLog emits a LogEntry.
func emitLog(out *control.Output, message string, fields map[string]any) {
	out.Emit(LogEntry{Message: message, Fields: fields})
}
