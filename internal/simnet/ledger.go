package simnet

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Request is one send of a request with an idempotency key.
type Request struct {
	Team, Key string
	Digest    uint64
	First     bool // the caller states that it never sent the key before
}

// Answer is what the caller of a Request is told.
type Answer struct {
	Verdict ledger.Verdict
	Status  int
	NotRun  bool // with Run: it was started and proven not run
}

// LedgerFleet runs the holder and the entry of each process.
type LedgerFleet struct {
	Net     *Net
	Options ledger.Options
	Holders map[string]*ledger.Replica
	Lists   map[string][]rendezvous.Member // the host list that each process uses

	// Run runs a request and reports whether it ran; false means proven not run.
	Run func(r Request, attempt string) bool
	// RunTime is how long a request runs.
	RunTime time.Duration
	// OnSend sees each message between processes.
	OnSend func(from string, message any)

	attempts int
}

// NewLedgerFleet returns a fleet of which no process runs yet.
func NewLedgerFleet(n *Net, o ledger.Options) *LedgerFleet {
	return &LedgerFleet{
		Net:     n,
		Options: o,
		Holders: make(map[string]*ledger.Replica),
		Lists:   make(map[string][]rendezvous.Member),
		Run:     func(Request, string) bool { return true },
		OnSend:  func(string, any) {},
	}
}

// Start begins a life of a process with a host list.
func (f *LedgerFleet) Start(id string, list []rendezvous.Member) {
	f.Net.Restart(id)
	o := f.Options
	o.Self, o.Seed = id, f.Net.Rand.Uint64()>>1
	h := ledger.NewReplica(f.Net.Now(), o)
	f.Holders[id] = h
	f.SetList(id, list)
	f.tick(id, h)
}

// Stop ends the life of a process.
func (f *LedgerFleet) Stop(id string) {
	f.Net.Stop(id)
	delete(f.Holders, id)
}

// SetList gives a process another host list.
func (f *LedgerFleet) SetList(id string, list []rendezvous.Member) {
	f.Lists[id] = list
	f.do(id, f.Holders[id].SetMembers(f.Net.Now(), list))
}

func (f *LedgerFleet) tick(id string, h *ledger.Replica) {
	now := f.Net.Now()
	f.do(id, h.Tick(now))
	f.Net.On(id, max(h.Next(now).Sub(now), time.Millisecond), func() { f.tick(id, h) })
}

func (f *LedgerFleet) send(from, to string, message any, deliver func(h *ledger.Replica)) {
	f.OnSend(from, message)
	f.Net.Send(from, to, func() {
		if h := f.Holders[to]; h != nil {
			deliver(h)
		}
	})
}

func (f *LedgerFleet) do(id string, actions []ledger.Action) {
	for _, action := range actions {
		a := action.(ledger.SendSyncRequest)
		f.send(id, a.To, a.Request, func(h *ledger.Replica) {
			e := h.OnSyncRequest(f.Net.Now(), a.Request)
			f.send(a.To, id, e, func(h *ledger.Replica) { f.do(id, h.OnSyncResponse(f.Net.Now(), e)) })
		})
	}
}

// Send lets an entry handle a request. done runs once unless the entry stops.
func (f *LedgerFleet) Send(entry string, r Request, done func(Answer)) {
	f.attempts++
	shard := ledger.ShardOf(r.Team, r.Key, f.shards())
	holders := ledger.ReplicasOf(shard, f.Lists[entry])
	claim := ledger.Claim{
		Team: r.Team, Key: r.Key, Attempt: fmt.Sprintf("a%d", f.attempts), RequestDigest: r.Digest, First: r.First,
	}
	s := &send{f: f, entry: entry, request: r, holders: holders, done: done}
	s.round = ledger.NewClaimRound(f.Net.Now(), claim, holders)
	for _, holder := range holders {
		f.send(entry, holder, s.round.Claim(), func(h *ledger.Replica) {
			reply := h.Claim(f.Net.Now(), s.round.Claim())
			f.OnSend(holder, reply)
			f.Net.Send(holder, entry, func() { s.decide(s.round.OnReply(f.Net.Now(), reply)) })
		})
	}
	f.Net.On(entry, ledger.ClaimTimeout+time.Millisecond, func() { s.decide(s.round.Verdict(f.Net.Now())) })
}

func (f *LedgerFleet) shards() uint32 {
	if f.Options.Shards == 0 {
		return rendezvous.ShardCount
	}
	return f.Options.Shards
}

// send is one request at its entry.
type send struct {
	f       *LedgerFleet
	entry   string
	request Request
	holders []string
	round   *ledger.ClaimRound
	done    func(Answer)
}

func (s *send) decide(v ledger.Verdict) {
	if v == ledger.Undecided || s.done == nil {
		return
	}
	done := s.done
	s.done = nil
	if v != ledger.Run {
		s.end(done, Answer{Verdict: v, Status: s.round.Status()})
		return
	}
	answer := s.run()
	if s.f.RunTime == 0 || answer.NotRun {
		s.end(done, answer)
		return
	}
	s.f.Net.On(s.entry, s.f.RunTime, func() { s.end(done, answer) })
}

func (s *send) end(done func(Answer), answer Answer) {
	if answer.Verdict == ledger.Run && !answer.NotRun {
		m := s.round.Finish(answer.Status)
		s.tell(m, func(h *ledger.Replica) { h.Finish(s.f.Net.Now(), m) })
	} else {
		m := s.round.Release()
		s.tell(m, func(h *ledger.Replica) { h.Release(s.f.Net.Now(), m) })
	}
	done(answer)
}

func (s *send) run() Answer {
	if !s.round.MayStart(s.f.Net.Now()) {
		return Answer{Verdict: ledger.NoQuorum}
	}
	ran := s.f.Run(s.request, s.round.Claim().Attempt)
	return Answer{Verdict: ledger.Run, Status: 200, NotRun: !ran}
}

func (s *send) tell(message any, deliver func(h *ledger.Replica)) {
	for _, holder := range s.holders {
		s.f.send(s.entry, holder, message, deliver)
	}
}
