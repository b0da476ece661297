package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/internal/simnet"
)

// ledgerProcesses are the processes of a fleet that store idempotency keys.
type ledgerProcesses interface {
	start(id string, list []rendezvous.Member)
	stop(id string)
	setList(id string, list []rendezvous.Member)
	// send passes a request to an entry; done is called once unless the entry stops.
	send(entry string, r simnet.KeyedRequest, done func(ledger.Verdict))
}

// ledgerPolicy is a method of storing idempotency keys.
type ledgerPolicy struct {
	name         string
	newProcesses func(sim *ledgerSim) ledgerProcesses
}

var ledgerPolicies = []ledgerPolicy{
	{systemPolicyName, newSystemLedgers},
	{"each process remembers alone", newLocalLedgers},
}

// ledgerShards and ledgerWindow keep the warm-up short. The share of keys that a fault
// affects depends on the hosts, not on the number of shards. A new replica is caught up
// once it has fetched the records and does not wait for the window.
const (
	ledgerShards = 32
	ledgerWindow = time.Minute
)

// systemLedgers are processes that run decide/ledger.
type systemLedgers struct{ fleet *simnet.LedgerFleet }

func newSystemLedgers(sim *ledgerSim) ledgerProcesses {
	f := simnet.NewLedgerFleet(sim.net, ledger.Options{Shards: ledgerShards, Window: ledgerWindow})
	f.RunTime = ledgerRunTime
	f.Run = func(r simnet.KeyedRequest, _ string) bool {
		sim.recordRun(r.Key)
		return true
	}
	return systemLedgers{f}
}

func (l systemLedgers) start(id string, list []rendezvous.Member)   { l.fleet.Start(id, list) }
func (l systemLedgers) stop(id string)                              { l.fleet.Stop(id) }
func (l systemLedgers) setList(id string, list []rendezvous.Member) { l.fleet.SetHostList(id, list) }

func (l systemLedgers) send(entry string, r simnet.KeyedRequest, done func(ledger.Verdict)) {
	l.fleet.Send(entry, r, func(a simnet.KeyedAnswer) { done(a.Verdict) })
}

// localLedgers are the baseline: each entry knows only the keys that it executed
// itself.
type localLedgers struct {
	sim      *ledgerSim
	executed map[string]map[string]bool
}

func newLocalLedgers(sim *ledgerSim) ledgerProcesses {
	return &localLedgers{sim, make(map[string]map[string]bool)}
}

func (l *localLedgers) start(id string, _ []rendezvous.Member) {
	l.sim.net.Restart(id)
	l.executed[id] = make(map[string]bool)
}

func (l *localLedgers) stop(id string)                      { l.sim.net.Stop(id) }
func (l *localLedgers) setList(string, []rendezvous.Member) {}

func (l *localLedgers) send(entry string, r simnet.KeyedRequest, done func(ledger.Verdict)) {
	if l.executed[entry][r.Key] {
		done(ledger.AlreadyRan)
		return
	}
	l.executed[entry][r.Key] = true
	l.sim.recordRun(r.Key)
	l.sim.net.RunOn(entry, ledgerRunTime, func() { done(ledger.Run) })
}

// ledgerSim simulates a fleet that gets requests with idempotency keys.
type ledgerSim struct {
	fleet      coordinationFleet
	net        *simnet.Net
	processes  ledgerProcesses
	hostList   []rendezvous.Member // latest host list
	addedHosts int                 // number of hosts added so far

	keyCount  int
	runCounts map[string]int
	pending   map[string]int // sends without an answer, by key

	sent, refused map[string]int  // by zone of the entry
	reruns        int             // repeated executions of a key
	claimTimes    []time.Duration // time until the answer, without the execution
}

// ledgerWarmUp is longer than the window, after which every replica is caught up.
const ledgerWarmUp = ledgerWindow + 10*time.Second

func newLedgerSim(f coordinationFleet, p ledgerPolicy, seed uint64) *ledgerSim {
	sim := &ledgerSim{
		fleet: f, net: f.network(seed), hostList: f.members,
		runCounts: make(map[string]int), pending: make(map[string]int),
		sent: make(map[string]int), refused: make(map[string]int),
	}
	sim.processes = p.newProcesses(sim)
	for _, m := range f.members {
		sim.processes.start(m.ID, sim.hostList)
	}
	sim.net.Run(ledgerWarmUp)
	return sim
}

func (sim *ledgerSim) recordRun(key string) {
	sim.runCounts[key]++
	if sim.runCounts[key] > 1 {
		sim.reruns++
	}
}

// Traffic of the ledger case: enough keys to measure a ratio of 1 in 10,000.
const (
	ledgerRate        = 100.0 // new keys/s
	ledgerTrafficTime = 2 * time.Minute
)

// ledgerRunTime is the execution time of a request.
const ledgerRunTime = 50 * time.Millisecond

// resendDelays are the delays after which a key is sent again: during the execution of
// the first send, soon after it, and later.
var resendDelays = []time.Duration{20 * time.Millisecond, 2 * time.Second, 30 * time.Second}

// resendShare is the share of keys that are sent again.
const resendShare = 0.2

// startTraffic sends new keys as a Poisson stream for the given time.
func (sim *ledgerSim) startTraffic(span time.Duration) {
	end := sim.net.Now().Add(span)
	var arrive func()
	arrive = func() {
		if !sim.net.Now().Before(end) {
			return
		}
		sim.sendNew()
		sim.net.RunAfter(exponential(sim.net.Rand, ledgerRate), arrive)
	}
	arrive()
}

func (sim *ledgerSim) sendNew() {
	sim.keyCount++
	r := simnet.KeyedRequest{Team: "t", Key: fmt.Sprintf("key-%d", sim.keyCount), Digest: 1, First: sim.net.Rand.IntN(2) == 0}
	sim.send(r)
	if sim.net.Rand.Float64() < resendShare {
		r.First = false
		delay := resendDelays[sim.net.Rand.IntN(len(resendDelays))]
		sim.net.RunAfter(delay, func() { sim.send(r) })
	}
}

// send sends a request to a random running process.
func (sim *ledgerSim) send(r simnet.KeyedRequest) {
	entry := sim.hostList[sim.net.Rand.IntN(len(sim.hostList))]
	if sim.net.Down(entry.ID) {
		sim.send(r) // the connection is refused and the caller tries another process
		return
	}
	began := sim.net.Now()
	sim.pending[r.Key]++
	sim.sent[entry.Zone]++
	sim.processes.send(entry.ID, r, func(v ledger.Verdict) {
		sim.pending[r.Key]--
		if v != ledger.Run {
			began = began.Add(-ledgerRunTime)
		}
		sim.claimTimes = append(sim.claimTimes, sim.net.Now().Sub(began)-ledgerRunTime)
		if sim.wronglyRefused(v, r.Key) {
			sim.refused[entry.Zone]++
		}
	})
}

// wronglyRefused reports whether a verdict refuses a request without another send of
// the key as the reason.
func (sim *ledgerSim) wronglyRefused(v ledger.Verdict, key string) bool {
	if v == ledger.Run || v == ledger.AlreadyRan {
		return false
	}
	return v == ledger.NoQuorum || sim.runCounts[key] == 0 && sim.pending[key] == 0
}

// hostListLag is the maximum delay until a process reads a new host list.
const hostListLag = 2 * time.Second

// publishList publishes a host list. Every process applies it after a random delay; a
// process that is down reads it at its start.
func (sim *ledgerSim) publishList(list []rendezvous.Member) {
	before := sim.hostList
	sim.hostList = list
	for _, m := range before {
		sim.net.RunOn(m.ID, time.Duration(sim.net.Rand.Int64N(int64(hostListLag))), func() { sim.processes.setList(m.ID, list) })
	}
}

// removeHost publishes the host list without a host.
func (sim *ledgerSim) removeHost(m rendezvous.Member) {
	sim.publishList(slices.DeleteFunc(slices.Clone(sim.hostList), func(o rendezvous.Member) bool { return o == m }))
}

// addHost publishes the host list with a new host in a zone and starts its process.
func (sim *ledgerSim) addHost(zone string) {
	sim.addedHosts++
	m := rendezvous.Member{ID: fmt.Sprintf("new-%04d", sim.addedHosts), Zone: zone}
	sim.publishList(append(slices.Clone(sim.hostList), m))
	sim.processes.start(m.ID, sim.hostList)
}
