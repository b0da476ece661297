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

// Self identifies this process.
type Self struct {
	Host    string // IP number
	Zone    string
	Service string // of the backend server of this host
	Boot    uint32 // random for each start
	Started time.Time
}

// Server is one backend server as the platform lists it.
type Server struct {
	ID       string
	Service  string
	Zone     string
	Host     string // IP number of its host
	Addr     string // "ip:port", reached from its host only
	Created  uint64 // grows with each entry that the platform creates
	Revision uint64 // grows with each change of an entry
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer it is slow, when it was listed
	Born     int64         // start in Unix milliseconds; 0 when not stated
}

// Health is the last that is known of a backend server.
type Health struct {
	Bad      float64       // probability of a gray failure at Evidence
	Evidence time.Time     // of the last outcome
	Held     time.Duration // mean time that a request holds a slot
	Stopping bool          // the process in front of it stops soon
	Closed   bool          // it takes no new attempts
}

// Live is what changes about a backend server between snapshots. The control
// loop writes the health; entries count their own attempts.
type Live struct {
	health   atomic.Pointer[Health]
	running  atomic.Int32 // as its process last said, in a status or with an answer
	waiting  atomic.Int32
	urgent   atomic.Int32
	inFlight atomic.Int32
	failed   atomic.Int64 // when a hop last failed, in nanoseconds since base; 0 for never
	heard    atomic.Int64 // when a datagram last came directly, in nanoseconds since base
}

// base is the origin of times that are kept in atomics.
var base = time.Now()

// Health returns the last health.
func (l *Live) Health() Health { return *l.health.Load() }

// SetLoad records what the process in front of the server says of its load.
func (l *Live) SetLoad(load *pipeline.Load) {
	l.running.Store(int32(load.Running))
	l.waiting.Store(int32(load.Waiting))
	l.urgent.Store(int32(load.Urgent))
}

// Load returns the requests that hold a slot and those that wait for one, all and
// the urgent ones, as far as this process knows.
func (l *Live) Load() (running, waiting, urgent int) {
	return max(int(l.running.Load()), l.InFlight()), int(l.waiting.Load()), int(l.urgent.Load())
}

// Started counts an attempt of this process; Ended takes it back.
func (l *Live) Started() { l.inFlight.Add(1) }

// Ended says that an attempt has ended.
func (l *Live) Ended() { l.inFlight.Add(-1) }

// InFlight returns the attempts of this process.
func (l *Live) InFlight() int { return int(l.inFlight.Load()) }

// hear records that a datagram came directly from the process in front of the
// server.
func (l *Live) hear(now time.Time) { l.heard.Store(int64(now.Sub(base))) }

// HeardWithin tells whether the process in front of the server was heard directly
// within the last d.
func (l *Live) HeardWithin(now time.Time, d time.Duration) bool {
	return now.Sub(base.Add(time.Duration(l.heard.Load()))) < d
}

// PathFailed records that the process in front of the server was not reached.
func (l *Live) PathFailed(now time.Time) { l.failed.Store(int64(now.Sub(base))) }

// PathWorked forgets failures of the path.
func (l *Live) PathWorked() { l.failed.Store(0) }

// PathFailedWithin tells whether the path failed within the last d.
func (l *Live) PathFailedWithin(now time.Time, d time.Duration) bool {
	at := l.failed.Load()
	return at != 0 && now.Sub(base.Add(time.Duration(at))) < d
}

// Target is a backend server that traffic may choose.
type Target struct {
	Server
	Local     bool
	SameZone  bool
	ColdUntil time.Time
	Live      *Live
}

// Snapshot is the control state that traffic reads.
type Snapshot struct {
	Table    *routing.Table // nil until a configuration was read
	Trust    *Trust
	Services map[string][]*Target
	Local    map[string]*Target // backend servers of this host
	Left     map[string]bool    // backend servers of this host that the platform took off the list
	Blocked  map[crashcount.Fingerprint]time.Time
	Hosts    int  // hosts of the fleet, this one included
	Reading  bool // this process reads the platform's store for others
	Stopping bool
	Silence  time.Duration // a peer that was not heard for this long is taken for lost
}

// Trust is until when keys can be trusted: then a withdrawal can no longer be
// ruled out. It is a time of the boot clock, which also counts suspended time, and
// is prolonged without a new snapshot. Traffic compares at the moment of use.
type Trust struct{ until atomic.Int64 }

// NewTrust returns the trust until a time of the boot clock.
func NewTrust(until time.Duration) *Trust {
	t := &Trust{}
	t.until.Store(int64(until))
	return t
}

// Until returns the end of the trust.
func (t *Trust) Until() time.Duration { return time.Duration(t.until.Load()) }

// prolong moves the end; it never moves back. Only the control loop calls it.
func (t *Trust) prolong(until time.Duration) {
	if until > t.Until() {
		t.until.Store(int64(until))
	}
}

// KeysValid tells whether keys can be trusted at a reading of the boot clock.
func (s *Snapshot) KeysValid(boot time.Duration) bool { return boot < s.Trust.Until() }

// Ready tells whether the process takes callers.
func (s *Snapshot) Ready(boot time.Duration) bool {
	return s.Table != nil && len(s.Services) > 0 && s.KeysValid(boot) && !s.Stopping
}

// listed is a server with what the process knows of it.
type listed struct {
	Server
	coldUntil time.Time
	missing   time.Time // since when the platform no longer lists it; zero while listed
	live      *Live
}

// state is what the stages share. Each field is written by the stage that its
// comment names.
type state struct {
	self Self

	// Written by the configuration stage.
	table *routing.Table
	trust *Trust

	// Written by the servers stage.
	servers map[string]*listed
	peers   map[string]*Peer    // by IP number, without this process
	zones   map[string][]string // hosts of peers by availability zone, in order
	lives   map[string][]*Live  // of listed servers by host
	left    map[string]bool     // backend servers of this host that were taken off the list

	turn int // which relay is next; written by tell

	// Written by the store stage.
	reading bool // this process reads the platform's store for others
	blind   bool // it was to read the store, but gets no answers

	// Written by the crashes stage.
	blocked map[crashcount.Fingerprint]time.Time

	// Written by the stop stage.
	stopping bool
	closed   bool // no attempts of peers are taken any more
}

// Send is a datagram to other processes.
type Send struct {
	Hosts   []string // IP numbers
	Message notice.Message
}

// ControlCommand marks Send as a command.
func (Send) ControlCommand() {}

// Log is a line about a decision of the control loop.
type Log struct {
	Text   string
	Fields map[string]any
}

// ControlCommand marks Log as a command.
func (Log) ControlCommand() {}

// log emits a line.
func log(out *control.Output, text string, fields map[string]any) {
	out.Emit(Log{Text: text, Fields: fields})
}
