package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

// ledgerProcesses are the processes of a fleet that remember idempotency keys.
type ledgerProcesses interface {
	start(id string, list []rendezvous.Member)
	stop(id string)
	setList(id string, list []rendezvous.Member)
	// send lets an entry handle a request; done runs once unless the entry stops.
	send(entry string, r simnet.KeyedRequest, done func(ledger.Verdict))
}

// ledgerPolicy is a way to remember keys.
type ledgerPolicy struct {
	name string
	make func(w *ledgerWorld) ledgerProcesses
}

var ledgerPolicies = []ledgerPolicy{
	{ownPolicy, newLedgerDecisions},
	{"each process remembers alone", newLonelyMemories},
}

// ledgerShards and ledgerWindow keep the warm-up short. The share of keys that a
// fault touches depends on the hosts, not on the number of shards, and a new holder
// vouches by what it fetches, not by waiting for the window.
const (
	ledgerShards = 32
	ledgerWindow = time.Minute
)

// ledgerDecisions are processes that run decide/ledger.
type ledgerDecisions struct{ fleet *simnet.LedgerFleet }

func newLedgerDecisions(w *ledgerWorld) ledgerProcesses {
	f := simnet.NewLedgerFleet(w.net, ledger.Options{Shards: ledgerShards, Window: ledgerWindow})
	f.RunTime = ledgerRunTime
	f.Run = func(r simnet.KeyedRequest, _ string) bool {
		w.ran(r.Key)
		return true
	}
	return ledgerDecisions{f}
}

func (l ledgerDecisions) start(id string, list []rendezvous.Member)   { l.fleet.Start(id, list) }
func (l ledgerDecisions) stop(id string)                              { l.fleet.Stop(id) }
func (l ledgerDecisions) setList(id string, list []rendezvous.Member) { l.fleet.SetHostList(id, list) }

func (l ledgerDecisions) send(entry string, r simnet.KeyedRequest, done func(ledger.Verdict)) {
	l.fleet.Send(entry, r, func(a simnet.KeyedAnswer) { done(a.Verdict) })
}

// lonelyMemories are the baseline: each entry remembers only what it ran itself.
type lonelyMemories struct {
	world *ledgerWorld
	seen  map[string]map[string]bool
}

func newLonelyMemories(w *ledgerWorld) ledgerProcesses {
	return &lonelyMemories{w, make(map[string]map[string]bool)}
}

func (l *lonelyMemories) start(id string, _ []rendezvous.Member) {
	l.world.net.Restart(id)
	l.seen[id] = make(map[string]bool)
}

func (l *lonelyMemories) stop(id string)                      { l.world.net.Stop(id) }
func (l *lonelyMemories) setList(string, []rendezvous.Member) {}

func (l *lonelyMemories) send(entry string, r simnet.KeyedRequest, done func(ledger.Verdict)) {
	if l.seen[entry][r.Key] {
		done(ledger.AlreadyRan)
		return
	}
	l.seen[entry][r.Key] = true
	l.world.ran(r.Key)
	l.world.net.RunOn(entry, ledgerRunTime, func() { done(ledger.Run) })
}

// ledgerWorld is a fleet under traffic with idempotency keys.
type ledgerWorld struct {
	fleet     coordinationFleet
	net       *simnet.Net
	processes ledgerProcesses
	list      []rendezvous.Member // latest host list
	replaced  int                 // hosts so far

	keys    int
	runs    map[string]int
	pending map[string]int // sends without an answer

	sent, refused map[string]int  // by zone of the entry
	twice         int             // runs of a key after its first
	claims        []time.Duration // time until the answer, without the run
}

// ledgerWarmUp is above the window, from when on every holder vouches.
const ledgerWarmUp = ledgerWindow + 10*time.Second

func newLedgerWorld(f coordinationFleet, p ledgerPolicy, seed uint64) *ledgerWorld {
	w := &ledgerWorld{
		fleet: f, net: f.network(seed), list: f.members,
		runs: make(map[string]int), pending: make(map[string]int),
		sent: make(map[string]int), refused: make(map[string]int),
	}
	w.processes = p.make(w)
	for _, m := range f.members {
		w.processes.start(m.ID, w.list)
	}
	w.net.Run(ledgerWarmUp)
	return w
}

func (w *ledgerWorld) ran(key string) {
	w.runs[key]++
	if w.runs[key] > 1 {
		w.twice++
	}
}

// Traffic of the ledger case: enough keys to judge 1 in 10,000.
const (
	ledgerRate = 100.0 // new keys/s
	ledgerSpan = 2 * time.Minute
)

// ledgerRunTime is how long a request runs.
const ledgerRunTime = 50 * time.Millisecond

// resendDelays are when callers send a key again, besides those that do not: while
// the first send runs, soon after, and later.
var resendDelays = []time.Duration{20 * time.Millisecond, 2 * time.Second, 30 * time.Second}

// resendShare is the part of the callers that send a key again.
const resendShare = 0.2

// traffic sends new keys until the end of the span.
func (w *ledgerWorld) traffic(span time.Duration) {
	end := w.net.Now().Add(span)
	var arrive func()
	arrive = func() {
		if !w.net.Now().Before(end) {
			return
		}
		w.sendNew()
		w.net.RunAfter(exponential(w.net.Rand, ledgerRate), arrive)
	}
	arrive()
}

func (w *ledgerWorld) sendNew() {
	w.keys++
	r := simnet.KeyedRequest{Team: "t", Key: fmt.Sprintf("key-%d", w.keys), Digest: 1, First: w.net.Rand.IntN(2) == 0}
	w.send(r)
	if w.net.Rand.Float64() < resendShare {
		r.First = false
		delay := resendDelays[w.net.Rand.IntN(len(resendDelays))]
		w.net.RunAfter(delay, func() { w.send(r) })
	}
}

// send sends a request to a random process that runs.
func (w *ledgerWorld) send(r simnet.KeyedRequest) {
	entry := w.list[w.net.Rand.IntN(len(w.list))]
	if w.net.Down(entry.ID) {
		w.send(r) // the caller's connection is refused, and it takes another process
		return
	}
	began := w.net.Now()
	w.pending[r.Key]++
	w.sent[entry.Zone]++
	w.processes.send(entry.ID, r, func(v ledger.Verdict) {
		w.pending[r.Key]--
		if v != ledger.Run {
			began = began.Add(-ledgerRunTime)
		}
		w.claims = append(w.claims, w.net.Now().Sub(began)-ledgerRunTime)
		if w.wrongful(v, r.Key) {
			w.refused[entry.Zone]++
		}
	})
}

// wrongful reports whether a refusal has no reason in another send of the key.
func (w *ledgerWorld) wrongful(v ledger.Verdict, key string) bool {
	if v == ledger.Run || v == ledger.AlreadyRan {
		return false
	}
	return v == ledger.NoQuorum || w.runs[key] == 0 && w.pending[key] == 0
}

// listLag bounds how much later one process reads the host list than another.
const listLag = 2 * time.Second

// publishList makes a host list the latest. Every process uses it after its own
// delay; one that is down meanwhile reads it at its start.
func (w *ledgerWorld) publishList(list []rendezvous.Member) {
	before := w.list
	w.list = list
	for _, m := range before {
		w.net.RunOn(m.ID, time.Duration(w.net.Rand.Int64N(int64(listLag))), func() { w.processes.setList(m.ID, list) })
	}
}

// removeHost takes a host off the list.
func (w *ledgerWorld) removeHost(m rendezvous.Member) {
	w.publishList(slices.DeleteFunc(slices.Clone(w.list), func(o rendezvous.Member) bool { return o == m }))
}

// addHost adds a new host in a zone.
func (w *ledgerWorld) addHost(zone string) {
	w.replaced++
	m := rendezvous.Member{ID: fmt.Sprintf("new-%04d", w.replaced), Zone: zone}
	w.publishList(append(slices.Clone(w.list), m))
	w.processes.start(m.ID, w.list)
}
