package simnet

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// KeyedRequest is one attempt to send a request with an idempotency key.
type KeyedRequest struct {
	Team, Key string
	Digest    uint64
	First     bool // the caller states that it has not sent the key before
}

// KeyedAnswer is the result that the caller of a KeyedRequest receives.
type KeyedAnswer struct {
	Verdict ledger.Verdict
	Status  int
	NotRun  bool // with ledger.Run: the request was started but provably did not run
}

// LedgerFleet simulates the ledger replica and the entry of each process.
type LedgerFleet struct {
	Net       *Net
	Options   ledger.Options
	Replicas  map[string]*ledger.Replica
	HostLists map[string][]rendezvous.Member // the host list that each process uses

	// Run executes a request and reports whether it ran; false means that it provably
	// did not run.
	Run func(r KeyedRequest, attempt string) bool
	// RunTime is the execution time of a request.
	RunTime time.Duration
	// OnSend is called for each message between processes.
	OnSend func(from string, message any)

	attempts int
}

// NewLedgerFleet returns a fleet without running processes.
func NewLedgerFleet(n *Net, o ledger.Options) *LedgerFleet {
	return &LedgerFleet{
		Net:       n,
		Options:   o,
		Replicas:  make(map[string]*ledger.Replica),
		HostLists: make(map[string][]rendezvous.Member),
		Run:       func(KeyedRequest, string) bool { return true },
		OnSend:    func(string, any) {},
	}
}

// Start starts a process, or a new incarnation of it, with a host list.
func (f *LedgerFleet) Start(id string, list []rendezvous.Member) {
	f.Net.Restart(id)
	o := f.Options
	o.Self, o.Seed = id, f.Net.Rand.Uint64()>>1
	replica := ledger.NewReplica(f.Net.Now(), o)
	f.Replicas[id] = replica
	f.SetHostList(id, list)
	f.tick(id, replica)
}

// Stop ends the current incarnation of a process.
func (f *LedgerFleet) Stop(id string) {
	f.Net.Stop(id)
	delete(f.Replicas, id)
}

// SetHostList changes the host list that a process uses.
func (f *LedgerFleet) SetHostList(id string, list []rendezvous.Member) {
	f.HostLists[id] = list
	f.perform(id, f.Replicas[id].SetMembers(f.Net.Now(), list))
}

func (f *LedgerFleet) tick(id string, replica *ledger.Replica) {
	now := f.Net.Now()
	f.perform(id, replica.Tick(now))
	f.Net.RunOn(id, max(replica.Next(now).Sub(now), time.Millisecond), func() { f.tick(id, replica) })
}

func (f *LedgerFleet) send(from, to string, message any, deliver func(replica *ledger.Replica)) {
	f.OnSend(from, message)
	f.Net.Send(from, to, func() {
		if replica := f.Replicas[to]; replica != nil {
			deliver(replica)
		}
	})
}

func (f *LedgerFleet) perform(id string, actions []ledger.Action) {
	for _, action := range actions {
		a := action.(ledger.SendSyncRequest)
		f.send(id, a.To, a.Request, func(replica *ledger.Replica) {
			e := replica.OnSyncRequest(f.Net.Now(), a.Request)
			f.send(a.To, id, e, func(replica *ledger.Replica) { f.perform(id, replica.OnSyncResponse(f.Net.Now(), e)) })
		})
	}
}

// Send sends a request through an entry. done is called once, unless the entry stops
// before it has an answer.
func (f *LedgerFleet) Send(entry string, r KeyedRequest, done func(KeyedAnswer)) {
	f.attempts++
	shard := ledger.ShardOf(r.Team, r.Key, f.shards())
	replicas := ledger.ReplicasOf(shard, f.HostLists[entry])
	claim := ledger.Claim{
		Team: r.Team, Key: r.Key, Attempt: fmt.Sprintf("a%d", f.attempts), RequestDigest: r.Digest, First: r.First,
	}
	p := &pendingRequest{f: f, entry: entry, request: r, replicas: replicas, done: done}
	p.round = ledger.NewClaimRound(f.Net.Now(), claim, replicas)
	for _, host := range replicas {
		f.send(entry, host, p.round.Claim(), func(replica *ledger.Replica) {
			reply := replica.Claim(f.Net.Now(), p.round.Claim())
			f.OnSend(host, reply)
			f.Net.Send(host, entry, func() { p.decide(p.round.OnReply(f.Net.Now(), reply)) })
		})
	}
	f.Net.RunOn(entry, ledger.ClaimTimeout+time.Millisecond, func() { p.decide(p.round.Verdict(f.Net.Now())) })
}

func (f *LedgerFleet) shards() uint32 {
	if f.Options.Shards == 0 {
		return rendezvous.ShardCount
	}
	return f.Options.Shards
}

// pendingRequest is a request that its entry has not answered yet.
type pendingRequest struct {
	f        *LedgerFleet
	entry    string
	request  KeyedRequest
	replicas []string
	round    *ledger.ClaimRound
	done     func(KeyedAnswer)
}

func (p *pendingRequest) decide(v ledger.Verdict) {
	if v == ledger.Undecided || p.done == nil {
		return
	}
	done := p.done
	p.done = nil
	if v != ledger.Run {
		p.finish(done, KeyedAnswer{Verdict: v, Status: p.round.Status()})
		return
	}
	answer := p.run()
	if p.f.RunTime == 0 || answer.NotRun {
		p.finish(done, answer)
		return
	}
	p.f.Net.RunOn(p.entry, p.f.RunTime, func() { p.finish(done, answer) })
}

func (p *pendingRequest) finish(done func(KeyedAnswer), answer KeyedAnswer) {
	if answer.Verdict == ledger.Run && !answer.NotRun {
		m := p.round.Finish(answer.Status)
		p.broadcast(m, func(replica *ledger.Replica) { replica.Finish(p.f.Net.Now(), m) })
	} else {
		m := p.round.Release()
		p.broadcast(m, func(replica *ledger.Replica) { replica.Release(p.f.Net.Now(), m) })
	}
	done(answer)
}

func (p *pendingRequest) run() KeyedAnswer {
	if !p.round.MayStart(p.f.Net.Now()) {
		return KeyedAnswer{Verdict: ledger.NoQuorum}
	}
	ran := p.f.Run(p.request, p.round.Claim().Attempt)
	return KeyedAnswer{Verdict: ledger.Run, Status: 200, NotRun: !ran}
}

func (p *pendingRequest) broadcast(message any, deliver func(replica *ledger.Replica)) {
	for _, host := range p.replicas {
		p.f.send(p.entry, host, message, deliver)
	}
}
