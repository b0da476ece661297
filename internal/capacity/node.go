package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// envelopeBytes is what the JSON-RPC frame and the fleet's envelope add to a
// message and its reply together.
const envelopeBytes = 130

// peers stands in for all other processes: it answers the commands of one
// control loop at once and counts the messages.
type peers struct {
	self      string
	placement *lease.Placement
	stamp     spread.Stamp
	queue     []control.Call
	reads     int
	renewAt   time.Time
	sent      time.Duration
	traffic   map[string]*messageCount
}

// messageCount counts the messages of one kind.
type messageCount struct {
	Messages int
	Bytes    int // of requests and replies with their frames
}

// Send takes a command of the loop.
func (p *peers) Send(cmd control.Command) bool {
	switch c := cmd.(type) {
	case control.Call:
		p.queue = append(p.queue, c)
	case control.ReadService:
		p.reads++
	}
	return true
}

// answer returns the reply of a peer in good order.
func (p *peers) answer(c control.Call) any {
	switch m := c.Message.(type) {
	case lease.PromiseRequest:
		return p.promise(m)
	case spread.ManifestRequest:
		return spread.Manifest{Stamp: p.stamp, Seq: m.Seq, AgeMS: 400}
	case membership.Ping:
		return membership.Ack{Seq: m.Seq, From: membership.MemberUpdate{ID: c.Peer, Incarnation: 1}}
	case control.HealthReport:
		return control.HealthReportReply{Leader: true, Epoch: 1}
	case quota.TokenRequest:
		return quota.Grant{Key: m.Key, Holder: m.Holder, Seq: m.Seq, Tokens: m.Need, Version: 1}
	}
	return control.Ack{}
}

// promise grants the shards for which the process ranks first. The others have
// a keeper, as in a fleet in good order.
func (p *peers) promise(m lease.PromiseRequest) lease.PromiseReply {
	reply := lease.PromiseReply{Voter: m.Voter, Candidate: m.Candidate, Sent: m.Sent}
	for _, shard := range m.Shards {
		if p.placement.Rank(shard, p.self) == 0 {
			reply.Promised = append(reply.Promised, shard)
			continue
		}
		keeper := p.placement.Voters(shard)[0].ID
		reply.Refused = append(reply.Refused, lease.Refusal{Shard: shard, Leader: keeper})
	}
	return reply
}

// kept counts the shards for which the process ranks first.
func (p *peers) kept() int {
	n := 0
	for shard := range uint32(rendezvous.ShardCount) {
		if p.placement.Rank(shard, p.self) == 0 {
			n++
		}
	}
	return n
}

// renewOthers sends the renewals of the other keepers to the witness of the
// process, which knows by them that the shards have a keeper.
func (p *peers) renewOthers(loop *control.Loop[control.Snapshot], now time.Time) {
	if now.Before(p.renewAt) {
		return
	}
	p.renewAt = now.Add(lease.RenewInterval)
	p.sent++
	for shard := range uint32(rendezvous.ShardCount) {
		if p.placement.Rank(shard, p.self) <= 0 {
			continue
		}
		keeper := lease.CandidateID{Host: p.placement.Voters(shard)[0].ID, Incarnation: 1}
		request := lease.PromiseRequest{Voter: p.self, Candidate: keeper, Sent: p.sent, Shards: []uint32{shard}}
		loop.Step(now, control.PeerRequest{From: keeper.Host, Message: request, Reply: make(chan any, 1)})
	}
}

func (p *peers) count(c control.Call, reply any) {
	kind := fmt.Sprintf("%T", c.Message)
	n := p.traffic[kind]
	if n == nil {
		n = &messageCount{}
		p.traffic[kind] = n
	}
	n.Messages++
	n.Bytes += sizeOf(c.Message, reply)
}

// sizeOf returns the bytes of a message and its reply with their frames.
func sizeOf(request, reply any) int {
	a, _ := json.Marshal(request)
	b, _ := json.Marshal(reply)
	return len(a) + len(b) + envelopeBytes
}

// nodeCost is what one idle control loop costs for each second.
type nodeCost struct {
	Processor time.Duration // of the loop alone, without encoding and sockets
	Heap      float64       // MB
	Traffic   map[string]*messageCount
	Seconds   int
	Kept      int     // shards that the process keeps
	Change    float64 // ms for a host list with one host replaced
}

// average returns the bytes that a kind of message costs a process in each
// second, averaged over the fleet. Only lease messages depend on the shards that
// a process happens to keep.
func (c nodeCost) average(kind string, hosts int) float64 {
	rate := float64(c.Traffic[kind].Bytes) / float64(c.Seconds)
	if kind != leaseKind || c.Kept == 0 {
		return rate
	}
	return rate / float64(c.Kept) * rendezvous.ShardCount / float64(hosts)
}

// leaseKind is the kind of message that keepers renew their leases with.
var leaseKind = fmt.Sprintf("%T", lease.PromiseRequest{})

// measureNode runs the control loop of one process in virtual time among n hosts
// for the given seconds.
func measureNode(n, seconds int) nodeCost {
	start := time.Unix(1_800_000_000, 0)
	var loop *control.Loop[control.Snapshot]
	p := &peers{self: hostID(0), placement: lease.NewPlacement(membersOf(n)), traffic: make(map[string]*messageCount)}
	heap := heapOf(func() any {
		loop = control.New(control.Options{
			Self:              control.Self{ID: hostID(0), Zone: "zone-0", Incarnation: 1, Started: start},
			Seed:              1,
			EjectionReporting: ejection.ReportingInfrequent,
			LedgerWindow:      5 * time.Minute,
			TokenCaches:       &control.TokenCacheTable{},
		}, p)
		loop.Step(start, control.HostsRead{Version: 1, Hosts: hostsOf(n)})
		return loop
	})
	warm := start.Add(10 * time.Second) // leases settle before the count begins
	p.run(loop, start, warm)
	p.traffic = make(map[string]*messageCount)
	before := processorTime()
	p.run(loop, warm, warm.Add(time.Duration(seconds)*time.Second))
	processor := (processorTime() - before) / time.Duration(seconds)
	return nodeCost{
		Processor: processor,
		Change:    timeOfHostChange(loop, n, warm.Add(time.Duration(seconds)*time.Second)),
		Heap:      heap,
		Traffic:   p.traffic,
		Seconds:   seconds,
		Kept:      p.kept(),
	}
}

// timeOfHostChange returns the time that the loop takes for a host list in which
// one host is replaced by another, in ms.
func timeOfHostChange(loop *control.Loop[control.Snapshot], n int, now time.Time) float64 {
	var lists []control.HostsRead
	for round := range rounds {
		hosts := hostsOf(n)
		hosts[n-1].ID = fmt.Sprintf("host-new-%d", round)
		lists = append(lists, control.HostsRead{Version: uint64(round) + 2, Hosts: hosts})
	}
	round := 0
	return timeOf(func() {
		loop.Step(now, lists[round])
		round++
	}) / 1e3
}

// run steps the loop through virtual time. Replies arrive at once: the time on
// the way costs nothing.
func (p *peers) run(loop *control.Loop[control.Snapshot], from, to time.Time) {
	for now := from; now.Before(to); now = loop.NextDeadline(now) {
		p.renewOthers(loop, now)
		loop.Step(now, control.Tick{})
		for len(p.queue) > 0 {
			c := p.queue[0]
			p.queue = p.queue[1:]
			reply := p.answer(c)
			p.count(c, reply)
			loop.Step(now, control.PeerResponse{Peer: c.Peer, Message: c.Message, Reply: reply, Sent: now})
		}
	}
}
